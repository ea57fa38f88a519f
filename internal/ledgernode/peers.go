package ledgernode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/wire"
)

// peer is what the node knows of another gateway.
type peer struct {
	// holder is its present run; zero before it answered.
	holder ledger.Holder
	// leaving is the run that said it leaves; zero for none.
	leaving ledger.Holder
	// silent counts the rounds in a row that it did not answer.
	silent int
}

// others lists the other gateways of the table.
func (n *Node) others() []wire.TableServer {
	return slices.DeleteFunc(slices.Clone(n.directory.Gateways()), func(server wire.TableServer) bool {
		return server.Name == n.config.Self
	})
}

// isAlone reports whether the table never named another gateway. One that has
// lost the others is not alone: they may come back after it is lost itself.
func (n *Node) isAlone() bool {
	n.noteGateways()
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.metOthers
}

func (n *Node) addressOf(name bundle.ServerName) (string, bool) {
	for _, server := range n.others() {
		if server.Name == name {
			return server.Address, true
		}
	}
	return "", false
}

// copyCandidates lists the gateways that may hold the second copy, the best
// first: the one that has it, then those in other zones, then those that do
// not drain; keys are spread over equals. Silent ones come last.
func (n *Node) copyCandidates(key ledger.Key) []wire.TableServer {
	candidates := n.others()
	if len(candidates) == 0 {
		return nil
	}
	first := int(uint64(key.Hash()) % uint64(len(candidates)))
	candidates = slices.Concat(candidates[first:], candidates[:first])
	n.mu.Lock()
	defer n.mu.Unlock()
	holder := n.book.HolderOf(key).Name
	slices.SortStableFunc(candidates, func(a, b wire.TableServer) int {
		return n.copyRank(a, holder) - n.copyRank(b, holder)
	})
	return candidates
}

// copyRank is lower for a better place for a second copy.
func (n *Node) copyRank(server wire.TableServer, holder bundle.ServerName) int {
	rank := 0
	if server.Name != holder {
		rank += 8
	}
	if known := n.peers[server.Name]; known != nil && known.silent > 0 {
		rank += 16
	}
	if n.isLeaving(server.Name) {
		rank += 32
	}
	if server.Draining {
		rank += 4
	}
	if server.Zone == n.config.Zone {
		rank += 2
	}
	return rank
}

// askPeers asks every other gateway who it is, all at once.
func (n *Node) askPeers(ctx context.Context) {
	var asking sync.WaitGroup
	for _, server := range n.others() {
		asking.Go(func() {
			limited, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			message := ledger.VouchRequest{Cell: n.config.Cell, Ask: true}
			response, err := post[ledger.VouchResponse](limited, n.client, server.Address, ledger.PathVouch, message)
			n.heardOf(server.Name, response.Holder, err == nil)
		})
	}
	asking.Wait()
}

// askTimeout bounds the wait for another gateway's answer.
const askTimeout = 500 * time.Millisecond

func (n *Node) heardOf(name bundle.ServerName, holder ledger.Holder, answered bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.peer(name)
	if !answered {
		known.silent++
		return
	}
	known.silent = 0
	known.holder = holder
}

// peer returns what is known of a gateway. The lock is held.
func (n *Node) peer(name bundle.ServerName) *peer {
	known := n.peers[name]
	if known == nil {
		known = &peer{}
		n.peers[name] = known
	}
	return known
}

// isLeaving reports whether the gateway's present run said that it leaves. The
// lock is held.
func (n *Node) isLeaving(name bundle.ServerName) bool {
	known := n.peers[name]
	return known != nil && known.leaving.Name != "" && known.leaving == known.holder
}

// present lists the runs of other gateways that answered last time. The lock
// is held.
func (n *Node) present() []ledger.Holder {
	var found []ledger.Holder
	for _, known := range n.peers {
		if known.silent == 0 && known.holder.Name != "" {
			found = append(found, known.holder)
		}
	}
	slices.SortFunc(found, func(a, b ledger.Holder) int {
		return compareNames(a.Name, b.Name)
	})
	return found
}
