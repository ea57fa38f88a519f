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
type membershipState int

const (
	// membersUnrecorded: nobody stores members. What leaders before gave ends with its leases.
	membersUnrecorded membershipState = iota
	// awaited: they are still to be read, and nothing is given.
	membersAwaited
	// recorded: they were read, and are stored before a router is given anything.
	membersRecorded
)

// members is what a leader knows of stored members.
type membership struct {
	state membershipState
	// before are those that leaders before have stored, and stored are those that are now.
	previous, stored Members
	// joined are the routers that have told this leader what they hold, in their newest lives,
	// and heldUntil is until when those that are lost may hold anything.
	joined    Members
	heldUntil map[string]time.Time
	// began is when the lives of those began that have joined, at the latest.
	startedBy map[string]time.Time
	// all says that all of those before have been heard, and ended is when the last of their lives
	// had ended that they have not told of.
	allReported bool
	lastEnded   time.Time
}

func newMembership() membership {
	return membership{stored: Members{}, joined: Members{}, heldUntil: map[string]time.Time{}, startedBy: map[string]time.Time{}}
}

// AwaitMembers lets a leader give nothing until it is told which members are stored.
func (c *Coordinator) AwaitMembers() { c.membership.state = membersAwaited }

// TakeMembers takes the members that leaders before have stored; nil if none did. The first leader
// of all begins to store them; after one that did not, nothing is known of whom it gave to.
func (c *Coordinator) MembersLoaded(previous Members) {
	c.membership.state = membersRecorded
	switch {
	case previous != nil:
		c.membership.previous, c.membership.stored = previous, maps.Clone(previous)
	case c.firstLeader:
		c.membership.previous = Members{}
	default:
		c.membership.state = membersUnrecorded
	}
	c.updateAllReported()
	c.markAllDirty()
}

// redeal lets all tenants be dealt anew.
func (c *Coordinator) markAllDirty() {
	for _, p := range c.pools {
		p.dirty = true
	}
}

// Unstored returns the members as they are to be stored, since some of them are not; nil if all
// are.
func (c *Coordinator) MembersToStore(now time.Time) Members {
	if c.membership.state != membersRecorded {
		return nil
	}
	missing := false
	for node, incarnation := range c.membership.joined {
		missing = missing || c.membership.stored[node] != incarnation
	}
	if !missing {
		return nil
	}
	fresh := maps.Clone(c.membership.stored)
	maps.Copy(fresh, c.membership.joined)
	maps.DeleteFunc(fresh, func(node string, _ int64) bool { return c.holdsNothing(now, node) })
	return fresh
}

// holdsNothing reports whether a router is lost, and what it held has ended.
func (c *Coordinator) holdsNothing(now time.Time, node string) bool {
	if c.members[node] != nil {
		return false
	}
	if until, known := c.membership.heldUntil[node]; known {
		return now.After(until)
	}
	return c.membership.joined[node] == 0 && now.Sub(c.startedAt) > FloorLease+c.bound.reuseDelay()
}

// Stored notes that members are stored.
func (c *Coordinator) MembersStored(fresh Members) {
	c.membership.stored = fresh
	c.markAllDirty()
}

// mayGive reports whether a router may be given units.
func (c *Coordinator) mayGrant(m *member) bool {
	return c.membership.state == membersUnrecorded || c.membership.state == membersRecorded && c.membership.stored[m.node] == m.incarnation
}

// noteJoined notes that a router has told what it holds. Its stamp is the time since its life began.
func (c *Coordinator) recordJoined(now time.Time, report Report) {
	k := &c.membership
	if report.Incarnation >= k.joined[report.Node] {
		k.joined[report.Node], k.startedBy[report.Node] = report.Incarnation, report.startedBy(now)
	}
	delete(k.heldUntil, report.Node)
	c.updateAllReported()
}

// begun is when the router's life had begun that has told this by a time.
func (t Report) startedBy(now time.Time) time.Time {
	return now.Add(-time.Duration(t.Stamp) * time.Millisecond)
}

// noteHeard notes whether all members of leaders before have been heard.
func (c *Coordinator) updateAllReported() {
	k := &c.membership
	if k.state != membersRecorded || k.allReported {
		return
	}
	lastEnded := time.Time{}
	for node, incarnation := range k.previous {
		if k.joined[node] < incarnation {
			return
		}
		// An earlier life may have ended then: a leader in between stores the next one at once.
		if k.startedBy[node].After(lastEnded) {
			lastEnded = k.startedBy[node]
		}
	}
	k.allReported, k.lastEnded = true, lastEnded
}

// allKnown is when nothing is unknown any more that leaders before have given: once all have been
// heard, and what was spent in lives that have ended has rested. False: that is not known.
func (c *Coordinator) priorGrantsKnown() (time.Time, bool) {
	return c.membership.lastEnded.Add(c.bound.reuseDelay()), c.membership.allReported
}
