// Package explore drives real consensus nodes through every order of events up
// to a number of steps, and checks the safety rules in each state.
//
// Three replicas exchange messages that may be delayed, reordered or never
// arrive. Time passes in whole units for all; a node that gets no event while
// time passes is paused. The clock of one node may go wrong within what its
// bounds promise: Upper may leap ahead and Lower may stand still.
package explore

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/wire"
)

const replicas = 3

// Times of the nodes, in units of the model. The lease is as long as the
// promise, which is the tightest that is safe with clocks of the same rate.
const (
	heartbeat   = 1
	electionMin = 2
	electionMax = 3
	lease       = 2
)

var identities = [replicas]wire.Incarnation{"A", "B", "C"}

// envelope is a message on its way.
type envelope struct {
	message consensus.Message
	from    int
	to      int
}

// world is one state. Nodes and envelopes are shared between states and never
// changed in place.
type world struct {
	nodes   [replicas]*consensus.Node
	clocks  [replicas]clock.Instant
	network []*envelope
	// committed has the term of every entry that any node committed.
	committed []consensus.Term
	// leaders has the node that led each term.
	leaders map[consensus.Term]int
	// proposals, seals and skips of a clock may still happen so many times.
	proposals int
	seals     int
	skips     int
}

func newWorld(options Options) *world {
	w := &world{
		leaders:   map[consensus.Term]int{},
		proposals: options.Proposals,
		seals:     options.Seals,
		skips:     options.Skips,
	}
	for i := range w.nodes {
		w.nodes[i] = consensus.NewNode(configOf(i), w.clocks[i])
	}
	return w
}

func configOf(i int) consensus.Config {
	var membership consensus.Membership
	for _, id := range identities {
		membership.Members = append(membership.Members, consensus.Member{ID: id})
	}
	return consensus.Config{
		Cell:        "cell",
		Self:        identities[i],
		Membership:  membership,
		Heartbeat:   heartbeat,
		ElectionMin: electionMin,
		ElectionMax: electionMax,
		Lease:       lease,
		Random:      func() float64 { return 0 },
	}
}

// clone returns a state that can be changed without changing w. Nodes are
// copied by change only.
func (w *world) clone() *world {
	copied := *w
	copied.network = slices.Clone(w.network)
	copied.committed = slices.Clone(w.committed)
	return &copied
}

// change runs act on a copy of a node and takes what the node hands out.
func (w *world) change(i int, act func(*consensus.Node)) error {
	node := w.nodes[i].Clone()
	w.nodes[i] = node
	act(node)
	ready := node.Ready()
	for _, message := range ready.Messages {
		to := slices.Index(identities[:], message.To)
		w.network = append(w.network, &envelope{message: message, from: i, to: to})
	}
	for _, entry := range ready.Committed {
		if err := w.commit(i, entry); err != nil {
			return err
		}
	}
	return w.check(i)
}

// commit checks that no two nodes commit different entries at an index, and
// that nothing new is committed once a majority is sealed.
func (w *world) commit(i int, entry consensus.Entry) error {
	if int(entry.Index) <= len(w.committed) {
		if w.committed[entry.Index-1] != entry.Term {
			return fmt.Errorf("%s commits another entry %d", identities[i], entry.Index)
		}
		return nil
	}
	if w.sealed() > replicas/2 {
		return fmt.Errorf("%s commits entry %d after a majority was sealed", identities[i], entry.Index)
	}
	w.committed = append(w.committed, entry.Term)
	return nil
}

func (w *world) sealed() int {
	count := 0
	for _, node := range w.nodes {
		if node.Role() == consensus.RoleSealed {
			count++
		}
	}
	return count
}

// check tests the rules that hold between nodes after node i changed.
func (w *world) check(i int) error {
	node := w.nodes[i]
	if node.Role() == consensus.RoleLeader {
		if err := w.recordLeader(i, node.Term()); err != nil {
			return err
		}
	}
	return w.checkLeases()
}

func (w *world) recordLeader(i int, term consensus.Term) error {
	other, known := w.leaders[term]
	if known && other != i {
		return fmt.Errorf("%s and %s both lead term %d", identities[other], identities[i], term)
	}
	if !known {
		leaders := map[consensus.Term]int{term: i}
		for t, node := range w.leaders {
			leaders[t] = node
		}
		w.leaders = leaders
	}
	return nil
}

// checkLeases tests that at most one node holds the leadership lease now.
func (w *world) checkLeases() error {
	holders := 0
	for i, node := range w.nodes {
		until, ok := node.LeaseUntil()
		if ok && !w.clocks[i].HolderExpired(until) {
			holders++
		}
	}
	if holders > 1 {
		return fmt.Errorf("%d nodes hold the leadership lease", holders)
	}
	return nil
}

// fingerprint is equal for states with the same future.
func (w *world) fingerprint() xxh3.Uint128 {
	buffer := make([]byte, 0, 512)
	for i, node := range w.nodes {
		buffer = node.AppendState(buffer, w.clocks[i])
		buffer = binary.AppendVarint(buffer, int64(w.clocks[i].Upper-w.clocks[i].Lower))
	}
	buffer = w.appendNetwork(buffer)
	for _, term := range w.committed {
		buffer = binary.AppendUvarint(buffer, uint64(term))
	}
	buffer = append(buffer, byte(w.proposals), byte(w.seals), byte(w.skips))
	return xxh3.Hash128(buffer)
}

// appendNetwork appends the messages without regard to their order.
func (w *world) appendNetwork(buffer []byte) []byte {
	encoded := make([][]byte, len(w.network))
	for i, sent := range w.network {
		encoded[i] = w.appendMessage(nil, sent)
	}
	slices.SortFunc(encoded, bytes.Compare)
	for _, message := range encoded {
		buffer = append(buffer, message...)
	}
	return buffer
}

func (w *world) appendMessage(buffer []byte, sent *envelope) []byte {
	message := &sent.message
	buffer = append(buffer, byte(sent.from), byte(sent.to))
	buffer = append(buffer, message.Kind...)
	buffer = binary.AppendUvarint(buffer, uint64(message.Term))
	buffer = binary.AppendUvarint(buffer, uint64(message.LogIndex))
	buffer = binary.AppendUvarint(buffer, uint64(message.LogTerm))
	buffer = binary.AppendUvarint(buffer, uint64(message.Commit))
	buffer = binary.AppendVarint(buffer, int64(w.roundAge(sent)))
	if message.Reject {
		buffer = append(buffer, 1)
	}
	return consensus.AppendEntries(buffer, message.Entries)
}

// roundAge is how long ago, on the leader's clock, the round began.
func (w *world) roundAge(sent *envelope) time.Duration {
	switch sent.message.Kind {
	case consensus.MessageAppend:
		return min(w.clocks[sent.from].Upper-sent.message.Round, lease)
	case consensus.MessageAppendResponse:
		return min(w.clocks[sent.to].Upper-sent.message.Round, lease)
	default:
		return 0
	}
}
