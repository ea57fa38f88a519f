package quota

import (
	"maps"
	"time"
)

// Members are the routers that leaders may have given units, with their lives. They are stored
// before a router is given any, so that the next leader knows whom to hear: once each of them has
// told what it holds, or begun another life, nobody else holds anything, and what was spent in
// lives that have ended rests for a window only.
type Members map[string]int64

// recording is how far a leader is with the stored members.
type recording int

const (
	// notRecorded: nobody stores members. What leaders before gave ends with its leases.
	notRecorded recording = iota
	// awaited: they are still to be read, and nothing is given.
	awaited
	// recorded: they were read, and are stored before a router is given anything.
	recorded
)

// members is what a leader knows of stored members.
type members struct {
	state recording
	// before are those that leaders before have stored, and stored are those that are now.
	before, stored Members
	// joined are the routers that have told this leader what they hold, in their newest lives,
	// and heldUntil is until when those that are lost may hold anything.
	joined    Members
	heldUntil map[string]time.Time
	// began is when the lives of those began that have joined, at the latest.
	began map[string]time.Time
	// all says that all of those before have been heard, and ended is when the last of their lives
	// had ended that they have not told of.
	all   bool
	ended time.Time
}

func newMembers() members {
	return members{stored: Members{}, joined: Members{}, heldUntil: map[string]time.Time{}, began: map[string]time.Time{}}
}

// AwaitMembers lets a leader give nothing until it is told which members are stored.
func (c *Coordinator) AwaitMembers() { c.known.state = awaited }

// TakeMembers takes the members that leaders before have stored; nil if none did. The first leader
// of all begins to store them; after one that did not, nothing is known of whom it gave to.
func (c *Coordinator) MembersLoaded(before Members) {
	c.known.state = recorded
	switch {
	case before != nil:
		c.known.before, c.known.stored = before, maps.Clone(before)
	case c.first:
		c.known.before = Members{}
	default:
		c.known.state = notRecorded
	}
	c.noteHeard()
	c.redeal()
}

// redeal lets all tenants be dealt anew.
func (c *Coordinator) redeal() {
	for _, p := range c.pools {
		p.dirty = true
	}
}

// Unstored returns the members as they are to be stored, since some of them are not; nil if all
// are.
func (c *Coordinator) MembersToStore(now time.Time) Members {
	if c.known.state != recorded {
		return nil
	}
	missing := false
	for node, life := range c.known.joined {
		missing = missing || c.known.stored[node] != life
	}
	if !missing {
		return nil
	}
	fresh := maps.Clone(c.known.stored)
	maps.Copy(fresh, c.known.joined)
	maps.DeleteFunc(fresh, func(node string, _ int64) bool { return c.holdsNothing(now, node) })
	return fresh
}

// holdsNothing reports whether a router is lost, and what it held has ended.
func (c *Coordinator) holdsNothing(now time.Time, node string) bool {
	if c.members[node] != nil {
		return false
	}
	if until, was := c.known.heldUntil[node]; was {
		return now.After(until)
	}
	return c.known.joined[node] == 0 && now.Sub(c.opened) > FloorLease+c.bound.rest()
}

// Stored notes that members are stored.
func (c *Coordinator) MembersStored(fresh Members) {
	c.known.stored = fresh
	c.redeal()
}

// mayGive reports whether a router may be given units.
func (c *Coordinator) mayGive(m *member) bool {
	return c.known.state == notRecorded || c.known.state == recorded && c.known.stored[m.node] == m.life
}

// noteJoined notes that a router has told what it holds. Its stamp is the time since its life began.
func (c *Coordinator) noteJoined(now time.Time, told Report) {
	k := &c.known
	if told.Incarnation >= k.joined[told.Node] {
		k.joined[told.Node], k.began[told.Node] = told.Incarnation, told.begun(now)
	}
	delete(k.heldUntil, told.Node)
	c.noteHeard()
}

// begun is when the router's life had begun that has told this by a time.
func (t Report) begun(now time.Time) time.Time {
	return now.Add(-time.Duration(t.Stamp) * time.Millisecond)
}

// noteHeard notes whether all members of leaders before have been heard.
func (c *Coordinator) noteHeard() {
	k := &c.known
	if k.state != recorded || k.all {
		return
	}
	ended := time.Time{}
	for node, life := range k.before {
		if k.joined[node] < life {
			return
		}
		// An earlier life may have ended then: a leader in between stores the next one at once.
		if k.began[node].After(ended) {
			ended = k.began[node]
		}
	}
	k.all, k.ended = true, ended
}

// allKnown is when nothing is unknown any more that leaders before have given: once all have been
// heard, and what was spent in lives that have ended has rested. False: that is not known.
func (c *Coordinator) allKnown() (time.Time, bool) {
	return c.known.ended.Add(c.bound.rest()), c.known.all
}
