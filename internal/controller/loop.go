package controller

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/generation"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/wire"
)

// eventQueue bounds the events that wait for the loop. Whoever posts to a full
// queue waits, save the transport, which drops.
const eventQueue = 1024

// event is something that happened, to be taken in by the loop.
type event func(*replica)

// replica is the state that the loop alone owns.
type replica struct {
	*Controller
	ctx context.Context

	// node is nil while this process is a standby.
	node       *consensus.Node
	generation wire.Generation
	// sealedThrough is the last generation that this incarnation has promised
	// never to join although it was named a member.
	sealedThrough wire.Generation
	unjoined      unjoinedGeneration
	starting      bool

	state       cellstate.State
	committed   consensus.Membership
	applied     consensus.Index
	appliedTerm consensus.Term
	compacted   consensus.Index

	group    groupRecord
	standbys []consensus.Member
	// leaderSeen is the last instant (Lower) at which a leader was known.
	leaderSeen time.Duration

	leadership *leadership
	outbox     *outbox
	// replyTo and replies collect messages that answer the batch being taken.
	replyTo envelope
	replies []consensus.Message

	checkpoint checkpointState
}

// groupRecord is the platform's record of the group as last read.
type groupRecord struct {
	record   generation.Record
	revision platform.Revision
	known    bool
}

// view is what the loop publishes for other goroutines; it is never changed
// after it was published.
type view struct {
	member     bool
	leading    bool
	generation wire.Generation
	status     consensus.Status
	state      cellstate.State
	leaderless time.Duration
	record     groupRecord
	checkpoint uint64
	serverView []serverStatus
}

func (c *Controller) runLoop(ctx context.Context) error {
	r := &replica{
		Controller: c,
		ctx:        ctx,
		outbox:     newOutbox(ctx, c),
		leaderSeen: c.clock.Now().Lower,
	}
	defer r.outbox.close()
	for {
		select {
		case <-ctx.Done():
			r.stopLeading()
			return nil
		case next := <-c.events:
			r.take(next)
		case <-c.ticks:
			r.take((*replica).tick)
		}
	}
}

// runTicks wakes the loop at a steady pace. A tick that the loop has not taken
// yet stands for those that come meanwhile.
func (c *Controller) runTicks(ctx context.Context) error {
	for ctx.Err() == nil {
		time.Sleep(c.times.heartbeat / ticksPerHeartbeat)
		c.poke(c.ticks)
	}
	return nil
}

// take lets one event change the state, then does what follows from it.
func (r *replica) take(next event) {
	started := time.Now()
	next(r)
	r.pump()
	r.lead()
	r.pump()
	r.publish()
	r.metrics.LoopSeconds.Observe(time.Since(started).Seconds())
}

func (r *replica) tick() {
	if r.node != nil {
		r.node.Tick(r.clock.Now())
	}
}

// post hands an event to the loop; it gives up when ctx ends.
func (c *Controller) post(ctx context.Context, next event) bool {
	select {
	case c.events <- next:
		return true
	case <-ctx.Done():
		return false
	}
}

// call posts an event and waits until the loop has taken it in.
func (c *Controller) call(ctx context.Context, next event) bool {
	done := make(chan struct{})
	posted := c.post(ctx, func(r *replica) {
		defer close(done)
		next(r)
	})
	if !posted {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// background runs I/O outside the loop. The task posts what it learned.
func (r *replica) background(task func(ctx context.Context)) {
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		task(r.ctx)
	}()
}

// publish makes the state visible to other goroutines.
func (r *replica) publish() {
	next := &view{
		generation: r.generation,
		state:      r.state,
		record:     r.group,
		checkpoint: r.checkpoint.index,
	}
	if r.node != nil {
		next.member = true
		next.status = r.node.Status()
		next.leaderless = r.sinceLeader(next.status)
	}
	if r.leadership != nil {
		next.leading = r.holdsLease()
		next.serverView = r.leadership.servers
	}
	r.view.Store(next)
	r.tables.publish(r.state)
	r.metrics.GroupVoters.Set(float64(len(votersOf(r.committed))))
	r.metrics.Leading.Set(oneIf(next.leading))
	r.metrics.LeaderlessSeconds.Set(next.leaderless.Seconds())
	r.metrics.AppliedIndex.Set(float64(r.applied))
}

// holdsLease reports whether the leadership lease runs now. A leader that is
// cut off stays one in its own eyes for a while, but grants nothing.
func (r *replica) holdsLease() bool {
	until, leading := r.node.LeaseUntil()
	return leading && !r.clock.Now().HolderExpired(until)
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// sinceLeader returns how long this member has known no leader.
func (r *replica) sinceLeader(status consensus.Status) time.Duration {
	now := r.clock.Now().Lower
	if status.Leader != "" && status.Role != consensus.RoleSealed {
		r.leaderSeen = now
	}
	return now - r.leaderSeen
}
