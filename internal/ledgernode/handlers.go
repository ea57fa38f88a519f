package ledgernode

import (
	"context"
	"net/http"

	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/wire"
)

// Routes adds the node's paths to the peer port.
func (n *Node) Routes(mux *http.ServeMux) {
	mux.HandleFunc("POST "+wire.PathRenew, handle(n.renew))
	mux.HandleFunc("POST "+ledger.PathBegin, handle(n.begin))
	mux.HandleFunc("POST "+ledger.PathFinish, handle(n.finish))
	mux.HandleFunc("POST "+ledger.PathCopy, handle(n.takeCopy))
	mux.HandleFunc("POST "+ledger.PathVouch, handle(n.takeVouch))
	mux.HandleFunc("POST "+ledger.PathLeave, handle(n.takeLeave))
	mux.HandleFunc("POST "+ledger.PathCollect, n.serveCollect)
}

// renew takes a leader's renewal, and starts to collect the records of slices
// that are new.
func (n *Node) renew(_ context.Context, request wire.RenewRequest) wire.RenewResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	response := n.holder.Renew(n.clock.Now(), request)
	response.Load.InFlight = n.holder.InFlight()
	if response.Refused == "" && request.Slices != nil {
		n.followGrants(*request.Slices)
	}
	return response
}

// takeCopy holds a copy for an owner, unless a later one has been heard of or
// this gateway leaves.
func (n *Node) takeCopy(_ context.Context, request ledger.CopyRequest) ledger.CopyResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	refused := ledger.CopyResponse{Holder: n.self}
	hash := request.Record.Key.Hash()
	at := ledger.Tenure{Range: hashRange(hash), Fence: request.Fence}
	if request.Cell != n.config.Cell || n.promised.Highest(at.Range) > request.Fence {
		return refused
	}
	if request.Remove {
		n.book.Remove(request.Record.Key, request.Record.Stamp)
		return ledger.CopyResponse{Holder: n.self, Accepted: true}
	}
	if n.leaving || !n.book.Put(n.now(), request.Record) {
		return refused
	}
	return ledger.CopyResponse{Holder: n.self, Accepted: true}
}

// takeVouch notes that the owner lets this gateway vouch for its tenure.
func (n *Node) takeVouch(_ context.Context, request ledger.VouchRequest) ledger.VouchResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	response := ledger.VouchResponse{Holder: n.self}
	if request.Ask || request.Cell != n.config.Cell || request.Holder != n.self {
		return response
	}
	response.Accepted = n.vouch(request.Tenure)
	return response
}

// vouch is called with the lock held. An owner that has been followed by
// another cannot make anybody vouch any more.
func (n *Node) vouch(tenure ledger.Tenure) bool {
	if n.promised.Highest(tenure.Range) > tenure.Fence {
		return false
	}
	if n.promised.Highest(tenure.Range) < tenure.Fence {
		n.promised.Raise(tenure)
	}
	return n.vouched.Raise(tenure)
}

// serveCollect gives a new owner all records of its range.
func (n *Node) serveCollect(writer http.ResponseWriter, request *http.Request) {
	asked, ok := decode[ledger.CollectRequest](writer, request)
	if !ok {
		return
	}
	said, records, ok := n.testify(asked)
	if !ok {
		http.Error(writer, "a later owner has collected", http.StatusConflict)
		return
	}
	lines := wire.NewLineWriter(writer)
	if lines.Write(ledger.CollectLine{Holder: &n.self, Said: &said}) != nil {
		return
	}
	for _, record := range records {
		if lines.Write(ledger.CollectLine{Record: &record}) != nil {
			return
		}
	}
	_ = lines.Write(ledger.CollectLine{End: true})
}

// takeoverID names a takeover. One log entry can assign many slices, so the
// fence alone does not.
type takeoverID struct {
	within keyspace.Range
	fence  wire.Fence
}

func (t takeoverID) before(other takeoverID) bool {
	if t.fence != other.fence {
		return t.fence < other.fence
	}
	return t.within.First < other.within.First
}

// testify promises to take no copies under older fences, and returns what this
// gateway said of itself when that takeover first asked.
func (n *Node) testify(asked ledger.CollectRequest) (ledger.Testimony, []ledger.Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if asked.Cell != n.config.Cell {
		return ledger.Testimony{}, nil, false
	}
	id := takeoverID{within: asked.Range, fence: asked.Fence}
	said, again := n.testimonies[id]
	if !again {
		said = ledger.Testimony{
			Vouched:  n.vouched.Overlapping(asked.Range),
			Promised: n.promised.Overlapping(asked.Range),
		}
	}
	promise := asked.Tenure()
	promise.Gateways = ledger.MergeGateways(promise.Gateways, said.Awaited(asked.Range))
	if !n.promised.Raise(promise) {
		return ledger.Testimony{}, nil, false
	}
	n.remember(id, said)
	return said, n.book.In(n.now(), asked.Range), true
}

// maxTestimonies bounds the takeovers remembered.
const maxTestimonies = 4096

// remember keeps what was said; the oldest is forgotten when there are many.
func (n *Node) remember(id takeoverID, said ledger.Testimony) {
	n.testimonies[id] = said
	if len(n.testimonies) <= maxTestimonies {
		return
	}
	oldest := id
	for known := range n.testimonies {
		if known.before(oldest) {
			oldest = known
		}
	}
	delete(n.testimonies, oldest)
}
