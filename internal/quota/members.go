package quota

import (
	"maps"
	"time"
)

// Members are the routers that leaders may have granted units, with the start times of their
// incarnations. A router is stored before it is granted any units, so that the next leader knows
// which reports to expect: once each member has reported what it holds, or has started a later
// incarnation, no other router holds units, and only units that were spent in ended incarnations
// stay in use, for the reuse delay.
type Members map[string]int64

// membershipState is the state of a leader's view of the stored members.
type membershipState int

const (
	// membersUnrecorded: members are not stored. Grants of previous leaders end with their leases.
	membersUnrecorded membershipState = iota
	// membersAwaited: the stored members have not been read yet, and no units are granted.
	membersAwaited
	// membersRecorded: the stored members were read, and routers are stored before they are granted
	// units.
	membersRecorded
)

// membership is a leader's view of the stored members.
type membership struct {
	state membershipState
	// previous are the members that previous leaders stored, and stored the current ones.
	previous, stored Members
	// joined are the routers that have reported to this leader, with the start times of their
	// newest incarnations, and heldUntil is when the units of those that are lost end at the
	// latest.
	joined    Members
	heldUntil map[string]time.Time
	// startedBy is when the newest incarnations of joined routers had started at the latest.
	startedBy map[string]time.Time
	// allReported is true if all previous members have reported, in their stored incarnations or
	// later ones. lastEnded is when the last of their earlier incarnations had ended at the latest.
	allReported bool
	lastEnded   time.Time
}

func newMembership() membership {
	return membership{stored: Members{}, joined: Members{}, heldUntil: map[string]time.Time{}, startedBy: map[string]time.Time{}}
}

// AwaitMembers makes the leader grant nothing until MembersLoaded is called.
func (c *Coordinator) AwaitMembers() { c.membership.state = membersAwaited }

// MembersLoaded sets the members that previous leaders stored; nil if they stored none. The very
// first leader starts to store them. After a leader that stored none, members are not stored, since
// it is unknown which routers it granted units.
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

// markAllDirty requests that the allocation of all tenants is recomputed.
func (c *Coordinator) markAllDirty() {
	for _, p := range c.pools {
		p.dirty = true
	}
}

// MembersToStore returns the members to store, if a router that has joined is not stored yet;
// otherwise nil.
func (c *Coordinator) MembersToStore(now time.Time) Members {
	if c.membership.state != membersRecorded {
		return nil
	}
	missing := false
	for node, startTime := range c.membership.joined {
		missing = missing || c.membership.stored[node] != startTime
	}
	if !missing {
		return nil
	}
	fresh := maps.Clone(c.membership.stored)
	maps.Copy(fresh, c.membership.joined)
	maps.DeleteFunc(fresh, func(node string, _ int64) bool { return c.holdsNothing(now, node) })
	return fresh
}

// holdsNothing reports whether a router is lost and the units that it held have ended.
func (c *Coordinator) holdsNothing(now time.Time, node string) bool {
	if c.members[node] != nil {
		return false
	}
	if until, known := c.membership.heldUntil[node]; known {
		return now.After(until)
	}
	return c.membership.joined[node] == 0 && now.Sub(c.startedAt) > FloorLease+c.bound.reuseDelay()
}

// MembersStored records that members have been stored.
func (c *Coordinator) MembersStored(fresh Members) {
	c.membership.stored = fresh
	c.markAllDirty()
}

// mayGrant reports whether a router may be granted units.
func (c *Coordinator) mayGrant(m *member) bool {
	return c.membership.state == membersUnrecorded || c.membership.state == membersRecorded && c.membership.stored[m.node] == m.startTime
}

// recordJoined records that a router has reported what it holds.
func (c *Coordinator) recordJoined(now time.Time, report Report) {
	k := &c.membership
	if report.StartTime >= k.joined[report.Node] {
		k.joined[report.Node], k.startedBy[report.Node] = report.StartTime, report.startedBy(now)
	}
	delete(k.heldUntil, report.Node)
	c.updateAllReported()
}

// startedBy returns when the router's incarnation had started at the latest, for a report received
// now: the stamp is the time since its start.
func (r Report) startedBy(now time.Time) time.Time {
	return now.Add(-time.Duration(r.Stamp) * time.Millisecond)
}

// updateAllReported updates whether all members of previous leaders have reported.
func (c *Coordinator) updateAllReported() {
	k := &c.membership
	if k.state != membersRecorded || k.allReported {
		return
	}
	lastEnded := time.Time{}
	for node, startTime := range k.previous {
		if k.joined[node] < startTime {
			return
		}
		// An earlier incarnation may have ended when this one started, even if this one is the
		// stored one: a leader in between stores the next incarnation at once.
		if k.startedBy[node].After(lastEnded) {
			lastEnded = k.startedBy[node]
		}
	}
	k.allReported, k.lastEnded = true, lastEnded
}

// priorGrantsKnown returns when all units granted by previous leaders are accounted for: once all
// members have reported, and units spent in ended incarnations are no longer in use. False if that
// time is not known yet.
func (c *Coordinator) priorGrantsKnown() (time.Time, bool) {
	return c.membership.lastEnded.Add(c.bound.reuseDelay()), c.membership.allReported
}
