package ledgernode

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/wire"
)

// begin is the owner's answer to a request that wants to run.
func (n *Node) begin(ctx context.Context, request ledger.BeginRequest) ledger.BeginResponse {
	response := n.decide(ctx, request)
	counted := string(response.Verdict)
	if response.Refused != "" {
		counted = string(response.Refused)
	}
	n.metrics.Begins.WithLabelValues(counted).Inc()
	return response
}

func (n *Node) decide(ctx context.Context, request ledger.BeginRequest) ledger.BeginResponse {
	if request.Cell != n.config.Cell || !request.Grant.Slice.Range.Contains(request.Key.Hash()) {
		return ledger.BeginResponse{Refused: wire.ReasonMalformed}
	}
	ticket, reason := n.admit(request.Grant)
	if reason != "" {
		return ledger.BeginResponse{Refused: reason}
	}
	defer n.finishTicket(ticket)
	n.awaitTakeover(ctx, request.Grant)
	verdict, record := n.lookOrBegin(request)
	switch verdict {
	case ledger.VerdictAbsent:
		return ledger.BeginResponse{Refused: wire.ReasonLedgerUnready}
	case ledger.VerdictProceed:
		return n.proceed(ctx, ticket, request, record)
	default:
		return ledger.BeginResponse{Verdict: verdict, Stamp: record.Stamp, Answer: record.Answer}
	}
}

// lookOrBegin looks the key up, and makes a record if it is surely new.
func (n *Node) lookOrBegin(request ledger.BeginRequest) (ledger.Verdict, ledger.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	asked := ledger.Question{
		Key: request.Key, Digest: request.Digest, Attempt: request.Attempt, RunsFor: request.RunsFor,
	}
	verdict, record := n.book.Look(n.now(), asked)
	if verdict == ledger.VerdictAbsent && n.mayBegin(request.Grant) {
		n.sequence++
		stamp := ledger.Stamp{Fence: request.Grant.Fence, Sequence: n.sequence}
		verdict, record = n.book.Begin(n.now(), asked, stamp)
	}
	if verdict == ledger.VerdictProceed {
		n.book.Claim(record.Key, record.Stamp)
	}
	return verdict, record
}

// proceed lets the request leave once a second gateway holds the record and
// the grant still stands. The grant is checked after the copy is held: if it
// stands then, a later owner has not collected yet and will find the copy.
func (n *Node) proceed(ctx context.Context, ticket lease.Ticket, request ledger.BeginRequest, record ledger.Record) ledger.BeginResponse {
	if !n.copyOut(ctx, request.Grant.Fence, record) {
		n.abandon(ctx, request.Grant.Fence, record)
		return ledger.BeginResponse{Verdict: ledger.VerdictFull}
	}
	if reason := n.checkTicket(ticket); reason != "" {
		return ledger.BeginResponse{Refused: reason}
	}
	return ledger.BeginResponse{Verdict: ledger.VerdictProceed, Stamp: record.Stamp}
}

// finish records how a request ended.
func (n *Node) finish(ctx context.Context, request ledger.FinishRequest) ledger.FinishResponse {
	ticket, reason := n.admit(request.Grant)
	if reason != "" {
		return ledger.FinishResponse{Refused: reason}
	}
	defer n.finishTicket(ticket)
	n.awaitTakeover(ctx, request.Grant)
	if request.NotRun {
		n.drop(ctx, request.Grant.Fence, ledger.Record{Key: request.Key, Stamp: request.Stamp})
		return ledger.FinishResponse{}
	}
	n.mu.Lock()
	record, known := n.book.Finish(n.now(), request.Key, request.Stamp, request.Answer)
	n.mu.Unlock()
	if known {
		n.copyOut(ctx, request.Grant.Fence, record)
	}
	return ledger.FinishResponse{}
}

// abandon drops the record of a question that got no leave, unless the same
// attempt has asked again.
func (n *Node) abandon(ctx context.Context, fence wire.Fence, record ledger.Record) {
	n.mu.Lock()
	holder := n.book.HolderOf(record.Key)
	dropped := n.book.Abandon(record.Key, record.Stamp)
	n.mu.Unlock()
	if dropped {
		n.dropCopy(ctx, holder, fence, record)
	}
}

// drop removes the record of a request that is proved not to have run.
func (n *Node) drop(ctx context.Context, fence wire.Fence, record ledger.Record) {
	n.mu.Lock()
	holder := n.book.HolderOf(record.Key)
	n.book.Remove(record.Key, record.Stamp)
	n.mu.Unlock()
	n.dropCopy(ctx, holder, fence, record)
}

// dropCopy removes a record's copy if that can be reached. A copy that stays
// behind can only make a later owner answer "unknown".
func (n *Node) dropCopy(ctx context.Context, holder ledger.Holder, fence wire.Fence, record ledger.Record) {
	address, ok := n.addressOf(holder.Name)
	if !ok {
		return
	}
	limited, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	message := ledger.CopyRequest{Cell: n.config.Cell, Fence: fence, Record: record, Remove: true}
	_, err := post[ledger.CopyResponse](limited, n.client, address, ledger.PathCopy, message)
	n.metrics.Copies.WithLabelValues("remove-" + resultOf(err == nil)).Inc()
}

// copyTimeout bounds one try to place a second copy.
const copyTimeout = 250 * time.Millisecond

// maxCopyTries bounds the gateways asked to hold one copy.
const maxCopyTries = 3

// copyOut places the record's second copy. It returns true also when no other
// gateway is known, which is counted: a gateway alone cannot do better.
func (n *Node) copyOut(ctx context.Context, fence wire.Fence, record ledger.Record) bool {
	candidates := n.copyCandidates(record.Key)
	if len(candidates) == 0 {
		if n.isAlone() {
			n.metrics.Uncopied.Inc()
			return true
		}
		return false
	}
	for _, candidate := range candidates[:min(maxCopyTries, len(candidates))] {
		holder, accepted := n.copyTo(ctx, candidate.Address, fence, record)
		if accepted {
			n.mu.Lock()
			n.book.Copied(record.Key, record.Stamp, holder)
			n.mu.Unlock()
			return true
		}
	}
	return false
}

func (n *Node) copyTo(ctx context.Context, address string, fence wire.Fence, record ledger.Record) (ledger.Holder, bool) {
	limited, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	message := ledger.CopyRequest{Cell: n.config.Cell, Fence: fence, Record: record}
	response, err := post[ledger.CopyResponse](limited, n.client, address, ledger.PathCopy, message)
	accepted := err == nil && response.Accepted
	n.metrics.Copies.WithLabelValues(resultOf(accepted)).Inc()
	return response.Holder, accepted
}

// hashRange is the range of one hash.
func hashRange(hash keyspace.Hash) keyspace.Range {
	return keyspace.Range{First: hash, Last: hash}
}
