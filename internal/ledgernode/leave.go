package ledgernode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	// relieveTimeout bounds the wait until the owners keep nothing at a gateway
	// that leaves.
	relieveTimeout = 3 * time.Second
	// relieveAgain is how often it asks, since owners change.
	relieveAgain = 250 * time.Millisecond
	// leaveWindow is how soon after it was relieved a gateway is out of the
	// table. One that is named later runs anew.
	leaveWindow = 5 * time.Second
)

// Leave ends the node's part in the ledger at the end of a planned stop, within
// a bounded time. From here on it takes no copies. Once the owners of all
// slices have copied their records elsewhere and named a list of gateways
// without this one, the controllers are asked to forget it. Where that takes
// too long nothing is said, and the controllers forget it after a silence.
func (n *Node) Leave(ctx context.Context) {
	if !n.Idle() || !n.isListed() || len(n.others()) < 2 {
		return // one that stays alone can hold no second copy anyway
	}
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	if !n.awaitRelief(ctx) {
		n.metrics.Leaves.WithLabelValues(resultFailed).Inc()
		return
	}
	n.stopRegistering()
	n.tellLeave(ctx, true)
	n.metrics.Leaves.WithLabelValues(resultOf(n.unregister(ctx))).Inc()
}

func (n *Node) isListed() bool {
	return slices.Contains(names(n.directory.Gateways()), n.config.Self)
}

// awaitRelief asks to be relieved until all owners have done so.
func (n *Node) awaitRelief(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, relieveTimeout)
	defer cancel()
	for limited.Err() == nil {
		n.tellLeave(limited, false)
		asked := n.now()
		for n.now()-asked < relieveAgain && limited.Err() == nil {
			if n.isRelieved() {
				return true
			}
			waitFor(limited, nil, askPause)
		}
	}
	return false
}

// tellLeave tells every other gateway that this one leaves.
func (n *Node) tellLeave(ctx context.Context, relieved bool) {
	message := ledger.LeaveRequest{Cell: n.config.Cell, Holder: n.self, Relieved: relieved}
	var telling sync.WaitGroup
	for _, server := range n.others() {
		telling.Go(func() {
			limited, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_, _ = post[ledger.LeaveResponse](limited, n.client, server.Address, ledger.PathLeave, message)
		})
	}
	telling.Wait()
}

// isRelieved reports whether the owner of every hash let this gateway vouch for
// a list of gateways that it does not stand in.
func (n *Node) isRelieved() bool {
	for hash := keyspace.FullRange().First; ; {
		entry, server, ok := n.directory.Owner(hash)
		if !ok || server.Name == n.config.Self || !n.isRelievedOf(entry) {
			return false
		}
		if entry.Slice.Range.Last >= keyspace.FullRange().Last {
			return true
		}
		hash = entry.Slice.Range.Last + 1
	}
}

func (n *Node) isRelievedOf(entry wire.TableEntry) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	vouched := n.vouched.Overlapping(entry.Slice.Range)
	if entry.State != wire.SliceServing || len(vouched) != 1 {
		return false
	}
	last := vouched[0]
	return last.Range == entry.Slice.Range && last.Fence == entry.Fence &&
		!slices.Contains(names(last.Gateways), n.config.Self)
}

// takeLeave notes that another gateway leaves. What this node owns is copied
// elsewhere at once.
func (n *Node) takeLeave(_ context.Context, request ledger.LeaveRequest) ledger.LeaveResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	if request.Cell != n.config.Cell {
		return ledger.LeaveResponse{Holder: n.self}
	}
	n.peer(request.Holder.Name).leaving = request.Holder
	if request.Relieved {
		n.relieved[request.Holder.Name] = n.now()
	}
	select {
	case n.syncNow <- struct{}{}:
	default: // a round is due anyway, and begins after this
	}
	return ledger.LeaveResponse{Holder: n.self}
}

// split divides the gateways of the table: those that later owners have to
// count, the runs of others among them that are up, and the runs that leave.
// The latter still count while no other gateway is up. The lock is held.
func (n *Node) split(table []wire.TableServer) (listed []wire.TableServer, present, leaving []ledger.Holder) {
	for _, holder := range n.present() {
		switch {
		case !slices.Contains(names(table), holder.Name):
		case n.isLeaving(holder.Name):
			leaving = append(leaving, holder)
		default:
			present = append(present, holder)
		}
	}
	if len(present) == 0 {
		return table, leaving, nil
	}
	listed = slices.DeleteFunc(slices.Clone(table), func(server wire.TableServer) bool {
		return n.isLeaving(server.Name)
	})
	return listed, present, leaving
}

// relieve lets the gateways that leave vouch for a list without them. They take
// no copies since they said so, which was before the round that made the list;
// so every record is at two others. All others that are up know the list first.
func (n *Node) relieve(ctx context.Context, t *tenure, present, leaving []ledger.Holder) {
	n.mu.Lock()
	known := !slices.ContainsFunc(present, func(holder ledger.Holder) bool { return !t.vouching[holder] })
	n.mu.Unlock()
	if !known {
		return
	}
	for _, holder := range leaving {
		n.letVouch(ctx, t, holder)
	}
}

// leftRelieved reports whether a gateway that the table names no more was
// relieved before it left. The lock is held.
func (n *Node) leftRelieved(name bundle.ServerName, known seenGateway) bool {
	at, relieved := n.relieved[name]
	return relieved && known.at <= at+leaveWindow
}
