package ledgernode

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	// collectTimeout bounds the wait for one gateway's records.
	collectTimeout = 400 * time.Millisecond
	// collectPause lies between two rounds of a takeover.
	collectPause = 200 * time.Millisecond
	// removedMemory is how long a gateway that left the table still counts as
	// one that may hold records.
	removedMemory = 2 * time.Minute
)

// tenure is this node's time as the owner of a slice. Its fields are guarded by
// the node's lock, save collected.
type tenure struct {
	slice keyspace.Slice
	fence wire.Fence
	// cancel ends the takeover.
	cancel context.CancelFunc
	// collected is closed after the first round of the takeover.
	collected chan struct{}
	once      sync.Once
	// gateways that may hold records of the slice. Only the takeover uses it.
	gateways []wire.TableServer
	// complete says that every record of the slice is known.
	complete bool
	// listed are the gateways that the table named in the last round in which
	// every record had its second copy at one of them; round counts the lists.
	listed []wire.TableServer
	round  uint64
	// vouching holds the runs of gateways that vouch for the present list.
	vouching map[ledger.Holder]bool
}

// followGrants starts and ends tenures with the grants. The lock is held.
func (n *Node) followGrants(grants []wire.SliceGrant) {
	held := map[wire.SliceFence]bool{}
	for _, grant := range grants {
		key := wire.SliceFence{Slice: grant.Slice, Fence: grant.Fence}
		held[key] = true
		if n.tenures[key] == nil && grant.Slice.Service == ledger.Service {
			n.startTenure(key)
		}
	}
	for key, known := range n.tenures {
		if !held[key] {
			known.cancel()
			delete(n.tenures, key)
		}
	}
}

func (n *Node) startTenure(key wire.SliceFence) {
	if n.running.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(n.running)
	started := &tenure{
		slice:     key.Slice,
		fence:     key.Fence,
		cancel:    cancel,
		collected: make(chan struct{}),
		vouching:  map[ledger.Holder]bool{},
	}
	n.tenures[key] = started
	n.work.Go(func() { n.takeOver(ctx, started) })
}

// awaitTakeover waits until the first round of the slice's takeover is over.
func (n *Node) awaitTakeover(ctx context.Context, grant ledger.Grant) {
	n.mu.Lock()
	known := n.tenures[wire.SliceFence{Slice: grant.Slice, Fence: grant.Fence}]
	n.mu.Unlock()
	if known == nil {
		return
	}
	select {
	case <-known.collected:
	case <-ctx.Done():
	}
}

// mayBegin reports whether a key that is not known is surely new. The lock is
// held.
func (n *Node) mayBegin(grant ledger.Grant) bool {
	known := n.tenures[wire.SliceFence{Slice: grant.Slice, Fence: grant.Fence}]
	return known != nil && known.complete
}

// takeOver collects the records of a slice from all gateways until they are
// complete.
func (n *Node) takeOver(ctx context.Context, t *tenure) {
	defer t.once.Do(func() { close(t.collected) })
	if !n.awaitTable(ctx, t.fence) {
		return
	}
	took := ledger.NewTakeover(t.slice.Range)
	t.gateways = n.mayHold()
	n.testifyOwn(took, t)
	began := n.now()
	for ctx.Err() == nil {
		n.collectRound(ctx, took, t)
		expired := n.now()-began > n.config.Doubt
		if t.knowsAll(took) || expired {
			n.completed(t)
			t.once.Do(func() { close(t.collected) })
			n.secure(ctx, t)
			n.askPeers(ctx) // those that were slow to answer vouch too
			n.secure(ctx, t)
			return
		}
		n.metrics.Takeovers.WithLabelValues("incomplete").Inc()
		t.once.Do(func() { close(t.collected) })
		clock.Sleep(ctx, collectPause)
	}
}

// awaitTable waits until the table is as new as the grant, so that it names
// every gateway that may hold records.
func (n *Node) awaitTable(ctx context.Context, fence wire.Fence) bool {
	granted := wire.TableVersion{Generation: fence.Generation(), Index: fence.Index()}
	for {
		changed := n.directory.Changed()
		if !granted.Newer(n.directory.Version()) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// testifyOwn adds what this gateway holds itself.
func (n *Node) testifyOwn(took *ledger.Takeover, t *tenure) {
	if said, _, ok := n.testify(n.collectRequest(t)); ok {
		took.Answered(n.config.Self, said)
	}
}

// collected is one gateway's answer in a round.
type collected struct {
	name bundle.ServerName
	said ledger.Testimony
	ok   bool
}

// collectRound asks all gateways that have not answered, at once. It returns
// when the records are complete, without waiting for the slowest.
func (n *Node) collectRound(ctx context.Context, took *ledger.Takeover, t *tenure) {
	answers := make(chan collected, len(t.gateways))
	message := n.collectRequest(t)
	asked := 0
	for _, server := range t.gateways {
		if took.HasAnswered(server.Name) {
			continue
		}
		asked++
		n.work.Go(func() { answers <- n.collectFrom(ctx, server, message) })
	}
	for ; asked > 0 && !t.knowsAll(took); asked-- {
		if answer := <-answers; answer.ok {
			took.Answered(answer.name, answer.said)
		}
	}
}

// collectFrom takes one gateway's records over. It fails unless the answer came
// whole and all its records could be kept.
func (n *Node) collectFrom(ctx context.Context, server wire.TableServer, message ledger.CollectRequest) collected {
	limited, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	failed := collected{name: server.Name}
	answer, err := open(limited, n.client, server.Address, ledger.PathCollect, message)
	if err != nil {
		return failed
	}
	defer func() { _ = answer.Body.Close() }()
	holder, said, ok := n.readCollected(wire.NewLineReader(answer.Body))
	if !ok {
		return failed
	}
	n.heardOf(server.Name, holder, true)
	return collected{name: server.Name, said: said, ok: true}
}

func (n *Node) readCollected(lines *wire.LineReader) (ledger.Holder, ledger.Testimony, bool) {
	var holder ledger.Holder
	var said ledger.Testimony
	for {
		var line ledger.CollectLine
		if lines.Read(&line) != nil {
			return holder, said, false
		}
		switch {
		case line.Said != nil && line.Holder != nil:
			holder, said = *line.Holder, *line.Said
		case line.Record != nil:
			if !n.keep(*line.Record, holder) {
				return holder, said, false
			}
		case line.End:
			return holder, said, holder.Name != ""
		}
	}
}

// keep takes a record over and notes that its sender holds a copy, if what the
// sender knows is as much as is known.
func (n *Node) keep(record ledger.Record, holder ledger.Holder) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.book.Put(n.now(), record) {
		return false
	}
	n.book.CopyKnown(record, holder)
	return true
}

// collectRequest asks for the records of the tenure's slice.
func (n *Node) collectRequest(t *tenure) ledger.CollectRequest {
	return ledger.CollectRequest{
		Cell:     n.config.Cell,
		Range:    t.slice.Range,
		Fence:    t.fence,
		Gateways: t.gateways,
	}
}

// knowsAll reports whether the takeover is complete, counting the gateways that
// unfinished ones before it counted.
func (t *tenure) knowsAll(took *ledger.Takeover) bool {
	t.gateways = ledger.MergeGateways(t.gateways, took.Awaited())
	return took.Complete(names(t.gateways))
}

// completed lets the tenure begin new keys at once. The others have promised to
// take no older copies, so they know of it; they vouch for it soon after.
func (n *Node) completed(t *tenure) {
	n.mu.Lock()
	t.complete = n.vouch(t.asTenure())
	complete := t.complete
	n.mu.Unlock()
	n.metrics.Takeovers.WithLabelValues(resultOf(complete)).Inc()
	n.logger.Info().Str("slice", t.slice.String()).Str("fence", t.fence.String()).Bool("complete", complete).Msg("ledger slice taken over")
}

func (t *tenure) asTenure() ledger.Tenure {
	return ledger.Tenure{Range: t.slice.Range, Fence: t.fence, Gateways: t.listed, Round: t.round}
}

func names(servers []wire.TableServer) []bundle.ServerName {
	list := make([]bundle.ServerName, 0, len(servers))
	for _, server := range servers {
		list = append(list, server.Name)
	}
	return list
}

func compareNames(a, b bundle.ServerName) int {
	return strings.Compare(string(a), string(b))
}
