package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/generation"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/wire"
)

// startIndex is the log index of the empty state that a cell's first
// generation starts from. It is not zero, so that a member that knows nothing
// is always told apart from one that holds the start state.
const startIndex = 1

// pollGap is the shortest time between two reads of the group record.
const pollGap = 100 * time.Millisecond

// pollGroup reads the group record again and again. While the platform's
// service is down, the loop goes on with the record that it has.
func (c *Controller) pollGroup(ctx context.Context) error {
	bootstrap := &bootstrapper{controller: c}
	for {
		c.readGroup(ctx, bootstrap)
		if !clock.Sleep(ctx, pollGap) {
			return nil
		}
		c.awaitPoll(ctx)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// awaitPoll waits until the record is to be read again. It looks anew every
// unsettledPoll how long that is, so that a controller which becomes unsettled
// reads as soon as one that always was.
func (c *Controller) awaitPoll(ctx context.Context) {
	for waited := time.Duration(0); waited < c.pollPause(); waited += unsettledPoll {
		if sleepUnlessPoked(ctx, unsettledPoll, c.pollNow) != slept {
			return
		}
	}
}

// pollPause is long for a member whose group has a leader, and for a standby
// that hears a member. A standby that is named a learner hears of it by the
// leader's first message.
func (c *Controller) pollPause() time.Duration {
	current := c.view.Load()
	if current.member && current.status.Leader != "" {
		return settledPoll
	}
	if !current.member && c.following.Load() {
		return settledPoll
	}
	return unsettledPoll
}

func (c *Controller) readGroup(ctx context.Context, bootstrap *bootstrapper) {
	entry, err := c.get(ctx, platform.GroupKey(c.settings.Cell))
	if errors.Is(err, platform.ErrNotFound) {
		bootstrap.attempt(ctx)
		return
	}
	if err == nil {
		c.groupRead(ctx, entry)
	}
}

// groupRead hands a record that was read or written to the loop.
func (c *Controller) groupRead(ctx context.Context, entry platform.Entry) {
	record, err := decodeRecord(entry)
	if err != nil {
		c.logger.Error().Err(err).Msg("the group record cannot be read")
		return
	}
	c.post(ctx, func(r *replica) { r.recordRead(record, entry.Revision) })
}

func decodeRecord(entry platform.Entry) (generation.Record, error) {
	var record generation.Record
	err := json.Unmarshal(entry.Value, &record)
	return record, Error.Wrap(err)
}

// recordRead takes in a record unless a younger one is known already.
func (r *replica) recordRead(record generation.Record, revision platform.Revision) {
	if r.group.known && revision <= r.group.revision {
		return
	}
	r.group = groupRecord{record: record, revision: revision, known: true}
	r.followRecord()
}

// followRecord joins or leaves the group as the record says.
func (r *replica) followRecord() {
	membership, named := namedIn(r.group.record, r.self())
	switch {
	case r.node != nil && r.group.record.Generation > r.generation:
		r.stopLeading()
		r.node = nil
		r.followRecord()
	case r.node != nil && !named:
		r.stopNode("another controller has taken its place")
	case r.node == nil && named && r.mayJoin():
		r.join(membership)
	case r.node == nil && !named && r.sealedThrough >= r.group.record.Generation:
		// The group went on without it. Its promise binds this incarnation.
		r.renewIdentity()
	}
}

// mayJoin reports whether this incarnation has never been in the record's
// generation, nor promised to stay out of it.
func (r *replica) mayJoin() bool {
	next := r.group.record.Generation
	return next > r.generation && next > r.sealedThrough && !r.starting
}

// namedIn returns the membership of the record that names id.
func namedIn(record generation.Record, id wire.Incarnation) (consensus.Membership, bool) {
	if _, ok := findMember(record.Members, id); ok {
		return record.Members, true
	}
	if record.Next == nil {
		return consensus.Membership{}, false
	}
	_, ok := findMember(*record.Next, id)
	return *record.Next, ok
}

// join starts a node. A learner learns the membership and the state from the
// leader. A voter that has no node yet is one that the generation began with,
// since all others were promoted after they had caught up; it starts from the
// generation's start state, which is in the platform's service for every
// generation but the first.
func (r *replica) join(membership consensus.Membership) {
	record := r.group.record
	self, _ := findMember(membership, r.self())
	if self.Learner {
		r.startNode(without(membership, self.ID), consensus.Snapshot{})
		return
	}
	if record.Start == "" {
		r.startNode(membership, firstSnapshot(record, membership))
		return
	}
	r.starting = true
	r.background(func(ctx context.Context) {
		state, err := r.readStart(ctx, record.Start)
		r.post(ctx, func(r *replica) { r.startRead(record, membership, state, err) })
	})
}

func (c *Controller) readStart(ctx context.Context, key string) (cellstate.State, error) {
	entry, err := c.get(ctx, key)
	if err != nil {
		return cellstate.State{}, err
	}
	var state cellstate.State
	err = json.Unmarshal(entry.Value, &state)
	return state, Error.Wrap(err)
}

// startRead starts the node, unless the record has moved on meanwhile; the next
// read of the record then tries again.
func (r *replica) startRead(record generation.Record, membership consensus.Membership, state cellstate.State, err error) {
	r.starting = false
	if err != nil || r.group.record.Generation != record.Generation || r.node != nil || !r.mayJoin() {
		r.poke(r.pollNow)
		return
	}
	r.startNode(membership, startSnapshot(membership, state))
}

// firstSnapshot is the empty state that a cell begins with.
func firstSnapshot(record generation.Record, membership consensus.Membership) consensus.Snapshot {
	state := cellstate.New(record.Cell, record.Generation)
	state.Index = startIndex
	return startSnapshot(membership, state)
}

func startSnapshot(membership consensus.Membership, state cellstate.State) consensus.Snapshot {
	return consensus.Snapshot{
		Index:      consensus.Index(state.Index),
		Membership: membership,
		State:      encodeState(state),
	}
}
