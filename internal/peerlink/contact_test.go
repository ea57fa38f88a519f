package peerlink

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
)

// addLink adds a link whose process has sent a report.
func addLink(h *Hub, address string, report Report) *link {
	l := &link{wake: make(chan struct{}, 1), hello: Hello{Address: address, Process: address}}
	l.contact.record(clock.Now(), report)
	h.links[l] = struct{}{}
	return l
}

func newContactHub(address string, contact Contact) *Hub {
	h := NewHub(address, make(chan Report, 1), func() ReadState { return ReadState{} })
	h.Address, h.Contact = address, func() Contact { return contact }
	return h
}

func sorted(addresses []string) []string {
	slices.Sort(addresses)
	return addresses
}

// A process that is cut off must be told of others that reach the workers, also if its whole zone, with its
// relay, is cut off.
func TestHelpersAreNamedThroughRelays(t *testing.T) {
	now := clock.Now()
	relay := newContactHub("a-relay", CutOff)
	follower := addLink(relay, "a1", Report{Contact: CutOff})
	addLink(relay, "a2", Report{})
	report := Report{}
	relay.AddContact(&report, now)
	assert.Equal(t, report.Contact, CutOff)
	assert.Assert(t, report.SeeksHelp)
	assert.Assert(t, relay.helpersFor(follower, now) == nil, "none is known yet")

	leader := newContactHub("leader", InContact)
	leader.Open(1)
	seeking := addLink(leader, "a-relay", report)
	addLink(leader, "b-relay", Report{Contact: InContact, Offers: []string{"b1", "b2"}})
	addLink(leader, "c", Report{Contact: CutOff})
	addLink(leader, "d", Report{})
	named := leader.helpersFor(seeking, now)
	assert.DeepEqual(t, sorted(named), []string{"b-relay", "b1", "b2", "leader"})
	assert.Assert(t, leader.helpersFor(seeking, now) == nil, "sent at intervals")
	assert.Assert(t, leader.AnyFollowerInContact(now))

	relay.SetHelpers(named)
	addLink(relay, "a3", Report{Contact: InContact})
	assert.DeepEqual(t, sorted(relay.helpersFor(follower, now)), []string{"a3", "b-relay", "b1", "b2", "leader"})
}

// Reports that have stopped must not make a process a helper, or a standby, for ever.
func TestContactReportsExpire(t *testing.T) {
	leader := newContactHub("leader", CutOff)
	leader.Open(1)
	seeking := addLink(leader, "a", Report{Contact: CutOff})
	addLink(leader, "b", Report{Contact: InContact})
	assert.Equal(t, len(leader.Peers()), 1, "a process that is cut off is no standby")
	later := clock.Now().Add(contactLifetime + time.Second)
	assert.Assert(t, !leader.AnyFollowerInContact(later))
	assert.Assert(t, leader.helpersFor(seeking, later) == nil)
	assert.Equal(t, len(leader.ReachingAddresses(later)), 0)
}
