package ledgernode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/wire"
)

// seenGateway is a gateway that the table named once.
type seenGateway struct {
	server wire.TableServer
	at     time.Duration
}

// mayHold lists the gateways that may hold records: those of the table and
// those that left it a short while ago, this one included, but for those that
// were relieved before.
func (n *Node) mayHold() []wire.TableServer {
	n.noteGateways()
	present := names(n.directory.Gateways())
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []wire.TableServer
	for name, known := range n.seen {
		if slices.Contains(present, name) || !n.leftRelieved(name, known) {
			list = append(list, known.server)
		}
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
		n.metOthers = n.metOthers || server.Name != n.config.Self
	}
	for name, known := range n.seen {
		if now-known.at > removedMemory {
			delete(n.seen, name)
			delete(n.peers, name)
			delete(n.relieved, name)
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

// secure copies the records that lack a second copy at a gateway that is up.
// Only when all have one do this gateway and the others vouch for the tenure.
//
// The grant is checked after the others' runs are known: if it stands then,
// each of these runs began before any later tenure, so that it will hold
// whatever a later owner gives it. A message that comes late changes nothing.
func (n *Node) secure(ctx context.Context, t *tenure) {
	n.mu.Lock()
	listed, present, leaving := n.split(n.directory.Gateways())
	lacking := n.book.Uncopied(n.now(), t.slice.Range, present)
	n.mu.Unlock()
	for _, record := range lacking {
		if ctx.Err() != nil || !n.copyOut(ctx, t.fence, record) {
			return
		}
	}
	if !n.stillHolds(t) {
		return
	}
	n.announce(t, listed)
	var telling sync.WaitGroup
	for _, holder := range present {
		telling.Go(func() { n.letVouch(ctx, t, holder) })
	}
	telling.Wait()
	n.relieve(ctx, t, present, leaving)
}

// announce puts a list of gateways in place of the tenure's last one.
func (n *Node) announce(t *tenure, listed []wire.TableServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t.round == 0 || !slices.Equal(names(listed), names(t.listed)) {
		t.listed = listed
		t.round++
		clear(t.vouching)
	}
	if t.complete {
		n.vouch(t.asTenure())
	}
}

// stillHolds reports whether the tenure's grant stands.
func (n *Node) stillHolds(t *tenure) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := wire.SliceFence{Slice: t.slice, Fence: t.fence}
	_, held := n.holder.Expiry(n.clock.Now())
	return held && n.tenures[key] == t
}

func (n *Node) letVouch(ctx context.Context, t *tenure, holder ledger.Holder) {
	n.mu.Lock()
	done := t.vouching[holder]
	vouching := t.asTenure()
	n.mu.Unlock()
	address, ok := n.addressOf(holder.Name)
	if done || !ok {
		return
	}
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	message := ledger.VouchRequest{Cell: n.config.Cell, Tenure: vouching, Holder: holder}
	response, err := post[ledger.VouchResponse](limited, n.client, address, ledger.PathVouch, message)
	if err != nil || !response.Accepted {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if t.round == vouching.Round {
		t.vouching[holder] = true
	}
}
