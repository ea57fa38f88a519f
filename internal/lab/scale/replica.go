package scale

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/controller"
	"github.com/shalefork/shalefork/internal/wire"
)

// Times of the control group; they are the product's defaults.
const (
	heartbeat       = 100 * time.Millisecond
	electionMin     = 240 * time.Millisecond
	electionMax     = 320 * time.Millisecond
	leadershipLease = 200 * time.Millisecond
	loopTick        = heartbeat / 4
	// compactEvery is as in package controller.
	compactEvery = 256
	firstIndex   = 1
)

// replica is one voter of the control group. It does after each event what the
// loop of package controller does, in the same order.
type replica struct {
	*node
	consensus   *consensus.Node
	state       cellstate.State
	members     consensus.Membership
	applied     consensus.Index
	appliedTerm consensus.Term
	compacted   consensus.Index
	leadership  *leadership
	outbox      map[wire.Incarnation]*outbox
	replyTo     wire.Incarnation
	replies     []consensus.Message
	streams     tableSource
	checkpoint  checkpoint
}

// outbox holds the messages for one peer; one request is under way at a time.
type outbox struct {
	to      *replica
	waiting []consensus.Message
	busy    bool
}

func newReplica(on *node) *replica {
	return &replica{node: on, outbox: map[wire.Incarnation]*outbox{}}
}

// incarnation is as long as a real one.
func incarnationOf(n *node) wire.Incarnation {
	return wire.Incarnation(fmt.Sprintf("%016x", 0x9e3779b97f4a7c15*uint64(n.machine+1)))
}

func (c *cell) initialMembership() consensus.Membership {
	var members consensus.Membership
	for _, each := range c.replicas {
		members.Members = append(members.Members, consensus.Member{
			ID: incarnationOf(each.node), Address: each.address, Zone: string(each.zone),
		})
	}
	return members
}

func (r *replica) join(members consensus.Membership) {
	r.members = members
	r.state = cellstate.New(r.cell.name, 1)
	r.applied, r.compacted = firstIndex, firstIndex
	r.consensus = consensus.NewNode(consensus.Config{
		Cell: string(r.cell.name), Generation: 1, Self: incarnationOf(r.node), Membership: members,
		Initial:   consensus.Snapshot{Index: firstIndex, Membership: members, State: encode(r.state)},
		Heartbeat: heartbeat, ElectionMin: electionMin, ElectionMax: electionMax, Lease: leadershipLease,
		Random: r.cell.random.Float64,
	}, r.now())
	for _, peer := range r.cell.replicas {
		if peer != r {
			r.outbox[incarnationOf(peer.node)] = &outbox{to: peer}
		}
	}
}

// startTicks lets time pass for the replica, out of step with the others.
func (r *replica) startTicks() {
	phase := time.Duration(r.cell.random.Int64N(int64(loopTick)))
	r.cell.After(phase, func() {
		r.cell.Every(loopTick, func() {
			r.take(partTick, func() { r.consensus.Tick(r.now()) })
		})
	})
}

// take lets one event change the replica, then does what follows from it.
func (r *replica) take(part component, event func()) {
	if !r.alive {
		return
	}
	r.run(part, func() {
		event()
		r.pump()
		r.lead()
		r.pump()
		r.publish()
	})
}

// pump sends and applies what the consensus node hands out.
func (r *replica) pump() {
	ready := r.consensus.Ready()
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

func (r *replica) restore(snapshot consensus.Snapshot) {
	r.state = decode[cellstate.State](snapshot.State)
	r.applied, r.appliedTerm, r.compacted = snapshot.Index, snapshot.Term, snapshot.Index
}

func (r *replica) apply(entry consensus.Entry) {
	r.applied, r.appliedTerm = entry.Index, entry.Term
	if entry.Kind != consensus.EntryCommand {
		return
	}
	command := decode[cellstate.Command](entry.Command)
	r.state, _ = cellstate.Apply(r.state, uint64(entry.Index), command)
	if r.leadership != nil {
		delete(r.leadership.inFlight, string(entry.Command))
	}
}

func (r *replica) compact() {
	if r.applied < r.compacted+compactEvery {
		return
	}
	r.consensus.Compact(consensus.Snapshot{
		Index: r.applied, Term: r.appliedTerm, Membership: r.members, State: encode(r.state),
	})
	r.compacted = r.applied
}

// send puts a message into the answer of the batch being taken, if it goes to
// the batch's sender, and else into the receiver's queue.
func (r *replica) send(message consensus.Message) {
	if message.To == r.replyTo {
		r.replies = append(r.replies, message)
		return
	}
	queue := r.outbox[message.To]
	queue.waiting = append(queue.waiting, message)
	if !queue.busy {
		queue.busy = true
		r.cell.After(0, func() { r.deliver(queue) })
	}
}

// deliver sends all that waits for one peer in one request.
func (r *replica) deliver(queue *outbox) {
	if !r.alive {
		return
	}
	batch := queue.waiting
	queue.waiting = nil
	r.run(partConsensus, func() {
		r.cell.exchange(call{
			part: partConsensus, from: r.node, to: queue.to.node, body: frames(controller.EncodeBatch(batch)), bare: true, timeout: electionMin,
			serve: queue.to.answerBatch,
			done:  func(answer []byte, answered bool) { r.delivered(queue, batch[0], answer, answered) },
		})
	})
}

func (r *replica) delivered(queue *outbox, asked consensus.Message, answer []byte, answered bool) {
	queue.busy = false
	if answered {
		r.take(partConsensus, func() { r.stepAll(frames(controller.DecodeAnswer(answer, asked))) })
	}
	if len(queue.waiting) > 0 && !queue.busy {
		queue.busy = true
		r.cell.After(0, func() { r.deliver(queue) })
	}
}

// answerBatch takes a batch in and returns the messages for its sender.
func (r *replica) answerBatch(body []byte) []byte {
	batch := frames(controller.DecodeBatch(body))
	var replies []consensus.Message
	r.take(partConsensus, func() {
		r.replyTo = batch[0].From
		r.stepAll(batch)
		r.pump()
		replies = r.replies
		r.replies = nil
		r.replyTo = ""
	})
	return frames(controller.EncodeAnswer(replies))
}

func (r *replica) stepAll(batch []consensus.Message) {
	for _, message := range batch {
		r.consensus.Step(r.now(), message)
	}
}

// frames returns encoded or decoded frames; those of this process can always be
// read.
func frames[Value any](value Value, err error) Value {
	if err != nil {
		panic(Error.Wrap(err))
	}
	return value
}

// publish makes the state visible, as the loop does after each event.
func (r *replica) publish() {
	_ = r.consensus.Status()
	r.streams.publish(r.state)
}

// propose appends a command at the leader unless the same one is in flight.
func (r *replica) propose(command cellstate.Command) {
	encoded := encode(command)
	inFlight := r.leadership.inFlight
	if inFlight[string(encoded)] {
		return
	}
	_, outcome := r.consensus.Propose(r.now(), json.RawMessage(encoded))
	if outcome == consensus.ProposeAccepted {
		inFlight[string(encoded)] = true
	}
}
