package controller

import (
	"encoding/json"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/wire"
)

// compactEvery is how many entries are applied between two compactions.
const compactEvery = 256

// keepEntries stay in the log before a snapshot, so that a message lost round a
// compaction does not cost a whole snapshot.
const keepEntries = 64

// startNode makes this process a member of the group that the record names.
// Each incarnation starts at most one node a generation, so it never votes
// twice in a term.
func (r *replica) startNode(membership consensus.Membership, initial consensus.Snapshot) {
	now := r.clock.Now()
	r.generation = r.group.record.Generation
	r.committed = membership
	r.applied = 0
	r.appliedTerm = 0
	r.state = cellstate.New(r.settings.Cell, r.generation)
	r.leaderSeen = now.Lower
	r.checkpoint.index = 0
	if initial.Index > 0 {
		r.restore(initial)
	}
	r.node = consensus.NewNode(consensus.Config{
		Cell:        string(r.settings.Cell),
		Generation:  r.generation,
		Self:        r.self(),
		Membership:  membership,
		Initial:     initial,
		Heartbeat:   r.times.heartbeat,
		ElectionMin: r.times.electionMin,
		ElectionMax: r.times.electionMax,
		Lease:       r.times.lease,
		KeepEntries: keepEntries,
		Random:      r.randomFraction,
	}, now)
	r.logger.Info().Uint32("generation", uint32(r.generation)).Str("incarnation", string(r.self())).Msg("joined the control group")
}

// stopNode leaves the group for good. The process goes on as a standby under a
// new incarnation, so that it can never be taken for the member it was.
func (r *replica) stopNode(reason string) {
	r.stopLeading()
	r.node = nil
	r.generation = 0
	r.renewIdentity()
	r.logger.Info().Str("reason", reason).Str("incarnation", string(r.self())).Msg("left the control group")
}

// renewIdentity draws a new incarnation, which has promised nothing.
func (r *replica) renewIdentity() {
	r.sealedThrough = 0
	r.identity.Store(r.newIdentity())
	r.poke(r.pollNow)
	r.poke(r.presenceNow)
}

// pump sends and applies what the node hands out.
func (r *replica) pump() {
	if r.node == nil {
		return
	}
	ready := r.node.Ready()
	if ready.Restore != nil {
		r.restore(*ready.Restore)
	}
	for _, entry := range ready.Committed {
		r.apply(entry)
	}
	for _, message := range ready.Messages {
		r.send(message)
	}
	r.compact()
}

// send puts a message into the answer of the batch being taken, if that goes to
// the same receiver, and else into the receiver's queue.
func (r *replica) send(message consensus.Message) {
	if envelopeOf(message) == r.replyTo {
		r.replies = append(r.replies, message)
		return
	}
	r.outbox.send(r.addressOf(message.To), message)
}

func (r *replica) addressOf(id wire.Incarnation) string {
	if member, ok := findMember(r.node.Status().Membership, id); ok {
		return member.Address
	}
	member, _ := findMember(r.committed, id)
	return member.Address
}

func (r *replica) restore(snapshot consensus.Snapshot) {
	var state cellstate.State
	if err := json.Unmarshal(snapshot.State, &state); err != nil {
		panic(Error.New("snapshot at %d cannot be read: %v", snapshot.Index, err))
	}
	r.state = state
	r.committed = snapshot.Membership
	r.applied = snapshot.Index
	r.appliedTerm = snapshot.Term
	r.compacted = snapshot.Index
}

func (r *replica) apply(entry consensus.Entry) {
	r.applied = entry.Index
	r.appliedTerm = entry.Term
	switch entry.Kind {
	case consensus.EntryMembership:
		r.membershipCommitted(*entry.Membership)
	case consensus.EntryCommand:
		r.applyCommand(entry)
	}
}

func (r *replica) applyCommand(entry consensus.Entry) {
	next, rejection := applyEntry(r.state, entry)
	r.state = next
	if rejection != cellstate.Applied {
		r.metrics.CommandsRejected.Inc()
	} else {
		r.metrics.CommandsApplied.Inc()
	}
	if r.leadership != nil {
		r.leadership.settled(entry, rejection)
	}
}

// applyEntry applies the command that a committed entry carries. An entry that
// cannot be read is a broken invariant: every replica must apply the same.
func applyEntry(state cellstate.State, entry consensus.Entry) (cellstate.State, cellstate.Rejection) {
	var command cellstate.Command
	if err := json.Unmarshal(entry.Command, &command); err != nil {
		panic(Error.New("command at %d cannot be read: %v", entry.Index, err))
	}
	return cellstate.Apply(state, uint64(entry.Index), command)
}

// compact lets the node drop the log that the state already holds.
func (r *replica) compact() {
	if r.applied < r.compacted+compactEvery {
		return
	}
	r.node.Compact(consensus.Snapshot{
		Index:      r.applied,
		Term:       r.appliedTerm,
		Membership: r.committed,
		State:      encodeState(r.state),
	})
	r.compacted = r.applied
}

// encodeState returns the state as JSON; a state that has none is a bug.
func encodeState(state cellstate.State) json.RawMessage {
	encoded, err := json.Marshal(state)
	if err != nil {
		panic(Error.Wrap(err))
	}
	return encoded
}
