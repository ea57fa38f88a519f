package peerlink

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/owner"
)

// newZoneRelay returns a relay that follows a leader, and its links to processes of its zone.
func newZoneRelay(directNodes, strong, weak int, now time.Time) (*Hub, []*link) {
	hub := NewHub("relay", nil, func() ReadState { return ReadState{} })
	hub.DirectNodes = directNodes
	hub.RelayUpdate(Update{Leading: true, Nodes: 900})
	var links []*link
	for index := range strong + weak {
		hello := Hello{Process: fmt.Sprint("p", index), Address: fmt.Sprintf("10.0.0.%d:7600", index), Zone: "z", Strength: 0.2}
		if index >= weak { // the strong ones are linked last
			hello.Strength = 1
		}
		l := newLink(hello)
		l.since = now
		hub.links[l] = struct{}{}
		links = append(links, l)
	}
	return hub, links
}

// What a relay sends must not grow with its zone: of 200 or 400 processes, only some ten follow it
// directly.
func TestLargeRelayAppointsSubRelays(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		strong, weak int
		after        time.Duration
		relays       int
	}{
		"few":                                   {strong: 2, weak: 20, after: time.Second},
		"zone of 200":                           {strong: 10, weak: 190, relays: 7},
		"zone of 400":                           {strong: 20, weak: 380, relays: 13},
		"weak machines, initially":              {weak: 200},
		"weak machines, after relayChoiceDelay": {weak: 200, after: relayChoiceDelay, relays: 7},
	} {
		t.Run(name, func(t *testing.T) {
			hub, links := newZoneRelay(32, test.strong, test.weak, start)
			followers := map[string]int{}
			for _, l := range links {
				if address := hub.subRelayFor(l, start.Add(test.after)); address != "" {
					followers[address]++
				}
			}
			assert.Equal(t, len(followers), test.relays)
			relays := map[string]*link{}
			for _, l := range links {
				if l.subRelay {
					relays[l.hello.Address] = l
					assert.Equal(t, hub.subRelayFor(l, start.Add(time.Second)), "", "a sub-relay stays")
				}
			}
			for address, count := range followers {
				assert.Assert(t, relays[address] != nil)
				assert.Assert(t, count <= 2*32, "%d followers of one sub-relay", count)
				if test.strong >= test.relays {
					assert.Equal(t, relays[address].hello.Strength, 1.0)
				}
			}
		})
	}
}

func TestSubRelayAssignment(t *testing.T) {
	start := time.Unix(1000, 0)
	hub, links := newZoneRelay(4, 8, 20, start)
	late := start.Add(time.Second)
	weak := links[0]
	first := hub.subRelayFor(weak, late)
	assert.Assert(t, first != "")
	assert.Equal(t, hub.subRelayFor(weak, late), first, "the choice is stable")
	weak.hello.Avoid = first
	second := hub.subRelayFor(weak, late)
	assert.Assert(t, second != "" && second != first, "the lost relay is avoided")

	// The sub-relay accepts followers but appoints no sub-relays, as its state is already forwarded
	// twice.
	sub, subLinks := newZoneRelay(4, 8, 20, start)
	sub.upstream = nil
	sub.RelayUpdate(Update{Relayed: true, Hops: 1, AgeMillis: 400})
	assert.Assert(t, sub.acceptsFollowers())
	assert.Equal(t, sub.subRelayFor(subLinks[0], late), "")
	head, ok := sub.header(subLinks[0], time.Now())
	assert.Assert(t, ok)
	assert.Equal(t, head.Hops, 2)
	assert.Assert(t, head.Age() >= 400*time.Millisecond, "the ages are added")

	last := NewHub("last", nil, func() ReadState { return ReadState{} })
	last.RelayUpdate(head)
	assert.Assert(t, !last.acceptsFollowers(), "a cycle of relays ends")
	sub.RelayUpdate(Update{Relayed: true, Hops: 1, Leaderless: true})
	head, _ = sub.header(subLinks[0], time.Now())
	assert.Assert(t, head.Leaderless, "the relay that it follows has lost the leader")
}

// Owners, workers and reports pass through both relays.
func TestUpdatesAndReportsPassTwoRelays(t *testing.T) {
	leader, reports, address := newLeadingHub(t, 3)
	leader.Publish("s", singleOwner("a"))
	for range maxHops {
		hub, relayAddress := newRelayHub(t)
		hub.OnFollowerReport(func(report Report) {
			hub.mu.Lock()
			defer hub.mu.Unlock()
			reports <- report
		})
		f := follow(t, address)
		eventually(t, "owners", f.owns(7, "a"))
		owners, term, version := f.table.Owners("s")
		hub.RelayUpdate(Update{Leading: true, Nodes: 50})
		hub.RelayOwners("s", owners, term, version)
		address = relayAddress
	}
	f := follow(t, address)
	eventually(t, "owners", f.owns(7, "a"))
	_, term, version := f.table.Owners("s")
	assert.Equal(t, term, owner.Term(3))
	assert.Equal(t, version, uint64(1))
	f.meter.CountRequest("s", 5)
	report := <-reports
	assert.DeepEqual(t, report.Keys["s"], []int{5, 1})
}
