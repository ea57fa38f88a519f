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

// seenGateway is a gateway that the table named once.
type seenGateway struct {
	server wire.TableServer
	at     time.Duration
}

// mayHold lists the gateways that may hold records: those of the table and
// those that left it a short while ago, this one included.
func (n *Node) mayHold() []wire.TableServer {
	n.noteGateways()
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []wire.TableServer
	for _, known := range n.seen {
		list = append(list, known.server)
	}
	slices.SortFunc(list, func(a, b wire.TableServer) int { return compareNames(a.Name, b.Name) })
	return list
}

// noteGateways remembers the gateways of the table, and for a while those that
// left it.
func (n *Node) noteGateways() {
	present := n.directory.Gateways()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for _, server := range present {
		n.seen[server.Name] = seenGateway{server: server, at: now}
	}
	for name, known := range n.seen {
		if now-known.at > removedMemory {
			delete(n.seen, name)
			delete(n.peers, name)
		}
	}
}

// sync keeps a second copy of every record that this node owns at a gateway
// that is up, and then lets the others vouch for that.
func (n *Node) sync(ctx context.Context) {
	n.noteGateways()
	owned := n.owned()
	if len(owned) == 0 {
		return
	}
	n.askPeers(ctx)
	for _, t := range owned {
		n.leaveOut(t)
		n.secure(ctx, t)
	}
}

// owned lists the complete tenures, in the order of their slices.
func (n *Node) owned() []*tenure {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*tenure
	for _, t := range n.tenures {
		if t.complete {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *tenure) int {
		if a.slice.Range.First < b.slice.Range.First {
			return -1
		}
		return 1
	})
	return list
}

// leaveOut bars gateways that are silent from copies: what they hold is not
// needed once it is copied elsewhere. Those that answer again come back.
func (n *Node) leaveOut(t *tenure) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, known := range n.peers {
		if known.silent >= silentRounds {
			t.leftOut.add(name)
		} else if known.silent == 0 {
			t.leftOut.takeBack(name)
		}
	}
}

// isLeftOut is called with the lock held.
func (n *Node) isLeftOut(hash keyspace.Hash, name bundle.ServerName) bool {
	for _, t := range n.tenures {
		if t.slice.Range.Contains(hash) && t.leftOut.bars(name) {
			return true
		}
	}
	return false
}

// secure copies the records that lack a second copy at a gateway that is up.
// Only when all have one do this gateway and the others vouch for the tenure.
func (n *Node) secure(ctx context.Context, t *tenure) {
	n.mu.Lock()
	present := slices.DeleteFunc(n.present(), func(holder ledger.Holder) bool {
		return t.leftOut.bars(holder.Name)
	})
	vouching := t.asTenure()
	lacking := n.book.Uncopied(n.now(), t.slice.Range, present)
	n.mu.Unlock()
	for _, record := range lacking {
		if ctx.Err() != nil || !n.copyOut(ctx, t.fence, record) {
			return
		}
	}
	n.mu.Lock()
	if t.complete {
		n.vouch(vouching)
	}
	up := n.present()
	n.mu.Unlock()
	var telling sync.WaitGroup
	for _, holder := range up {
		telling.Go(func() { n.letVouch(ctx, t, vouching, holder) })
	}
	telling.Wait()
}

func (n *Node) letVouch(ctx context.Context, t *tenure, vouching ledger.Tenure, holder ledger.Holder) {
	address, ok := n.addressOf(holder.Name)
	n.mu.Lock()
	current := t.leftOut.isCurrent(holder) || vouching.Round != t.leftOut.round
	if ok && !current {
		t.leftOut.telling(holder)
	}
	n.mu.Unlock()
	if current || !ok {
		return
	}
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	message := ledger.VouchRequest{Cell: n.config.Cell, Tenure: vouching}
	response, err := post[ledger.VouchResponse](limited, n.client, address, ledger.PathVouch, message)
	if err != nil || !response.Accepted || response.Holder != holder {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	t.leftOut.vouched(holder, vouching)
}
