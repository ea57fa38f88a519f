package peerlink

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/workers"
)

// newRelayHub returns a hub that serves links but has received no update yet, and its address.
func newRelayHub(t *testing.T) (*Hub, string) {
	t.Helper()
	hub := NewHub("relay", nil, func() ReadState { return ReadState{Config: 7} })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go hub.Serve(listener)
	return hub, listener.Addr().String()
}

func TestRelayForwardsLeaderUpdates(t *testing.T) {
	hub, address := newRelayHub(t)
	reports := make(chan Report, 4)
	hub.OnFollowerReport(func(report Report) { reports <- report })
	rejected := follow(t, address)
	assert.ErrorIs(t, <-rejected.result, ErrNotLeading, "it has received no update yet")
	hub.RelayUpdate(Update{Nodes: 50, ReadState: ReadState{Config: 9}})
	hub.RelayOwners("s", singleOwner("a"), 3, 1)
	f := follow(t, address)
	eventually(t, "owners", f.owns(7, "a"))
	assert.Equal(t, f.configRevision.Load(), int64(9), "the newer of the revisions of leader and relay")
	hub.AddEntryChanges([]WorkerChange{drainingChange("b", 12)}, 14)
	eventually(t, "changed workers", func() bool { return f.entriesRevision.Load() == 14 })
	f.meter.CountRequest("s", 5)
	report := <-reports
	assert.DeepEqual(t, report.Keys["s"], []int{5, 1})
	assert.Equal(t, hub.Followers(), 1)
	hub.RelayOwners("s", singleOwner("b"), 4, 1)
	eventually(t, "owners of the next leader", f.owns(7, "b"))
	answer, ok := QueryLeadership(t.Context(), address, 0)
	assert.Assert(t, ok && !answer.Leading, "a relay does not lead")
	hub.RedirectFollowers("other:1")
	var redirect *RedirectError
	assert.Assert(t, errors.As(<-f.result, &redirect))
	assert.Equal(t, redirect.Address, "other:1")
	// Seen in trouble-3 of malaika-charge-grown: a relay that had redirected its followers still
	// accepted new ones and won an election. It redirected new followers to its former relay, and
	// that relay to itself, so that no process received changes.
	f = follow(t, address)
	assert.ErrorIs(t, <-f.result, ErrNotLeading, "a relay that redirects its followers accepts no new ones")
}

// singleOwner returns one worker that owns all keys.
func singleOwner(worker string) []owner.Owner {
	return []owner.Owner{{Keys: owner.KeyRange{From: 0, To: owner.KeyCount - 1}, Worker: workers.ID(worker), Address: "a"}}
}

func TestRelayedStateBecomesStale(t *testing.T) {
	hub := NewHub("relay", nil, func() ReadState { return ReadState{} })
	start := time.Now()
	hub.RelayUpdate(Update{})
	headerAfter := func(after time.Duration) Update {
		head, ok := hub.header(&link{}, start.Add(after))
		assert.Assert(t, ok)
		return head
	}
	assert.Assert(t, !headerAfter(time.Second).Stale())
	assert.Assert(t, headerAfter(2*time.Second).Stale())
	hub.MarkLeaderLost()
	assert.Assert(t, headerAfter(time.Second).Leaderless)
	hub.MarkStoreRead(start.Add(5 * time.Second))
	assert.Assert(t, !headerAfter(6*time.Second).Stale(), "the relay has read the service itself")
	assert.Assert(t, headerAfter(7*time.Second).Stale())
	hub.MarkStoreRead(start)
	assert.Assert(t, !headerAfter(6*time.Second).Stale(), "an older time is ignored")
	hub.RelayUpdate(Update{StoreUnreachable: true})
	assert.Assert(t, headerAfter(7*time.Second).Stale(), "an update of a leader that does not reach the service does not refresh the state")
	assert.Assert(t, !headerAfter(7*time.Second).Leaderless)
}

func TestRelayAssignment(t *testing.T) {
	start := time.Unix(1000, 0)
	late := start.Add(relayChoiceDelay)
	strong := Hello{Process: "strong", Address: "strong:1", Zone: "z", Strength: 1}
	weak := Hello{Process: "weak", Address: "weak:1", Zone: "z", Strength: 0.2}
	for name, test := range map[string]struct {
		direct    int
		now       time.Time
		self      Hello
		appointed string
		lostBy    int
		want      string
	}{
		"few processes":                      {direct: 9, now: late, self: weak},
		"strong machine, chosen immediately": {now: start.Add(relayChoiceDelay / 2), self: weak, want: "strong:1"},
		"too early to choose": {
			now: start.Add(relayChoiceDelay / 2), self: Hello{Process: "weak", Address: "weak:1", Zone: "y", Strength: 0.2},
		},
		"strongest machine of the zone":   {now: late, self: weak, want: "strong:1"},
		"relay itself":                    {now: late, self: strong},
		"only process of its zone":        {now: late, self: Hello{Process: "x", Address: "x:1", Zone: "y"}},
		"appointed standby":               {now: late, self: weak, appointed: "weak"},
		"same address as the relay":       {now: late, self: Hello{Process: "restarted relay", Address: "strong:1", Zone: "z"}},
		"has lost the relay":              {now: late, self: Hello{Process: "weak", Address: "weak:1", Zone: "z", Avoid: "strong:1"}},
		"relay lost by too few processes": {now: late, self: weak, lostBy: lostReportsToReplaceRelay - 1, want: "strong:1"},
		"relay lost by enough processes":  {now: late, self: weak, lostBy: lostReportsToReplaceRelay, want: "d0:1"},
	} {
		t.Run(name, func(t *testing.T) {
			hub := NewHub("leader", nil, func() ReadState { return ReadState{} })
			hub.DirectNodes = test.direct
			hub.Open(1)
			add := func(hello Hello) *link {
				l := &link{hello: hello, since: start}
				hub.links[l] = struct{}{}
				return l
			}
			relay := add(strong)
			self := relay
			if test.self.Process != strong.Process {
				self = add(test.self)
			}
			if test.lostBy > 0 {
				hub.relays["z"] = relay
			}
			for index := range test.lostBy {
				name := fmt.Sprintf("d%d", index)
				add(Hello{Process: name, Address: name + ":1", Zone: "z", Strength: 0.9 - float64(index)/10, Avoid: "strong:1"})
			}
			hub.standbys.appointed[test.appointed] = true
			assert.Equal(t, hub.relayFor(self, test.now), test.want)
		})
	}
}

// A process that joins a zone with a relay costs the leader only one message.
func TestNewProcessesAreRedirectedToTheRelay(t *testing.T) {
	hub, _, address := newLeadingHub(t, 3)
	hub.Publish("s", singleOwner("a"))
	relay := &link{hello: Hello{Process: "relay", Address: "relay:1"}, since: time.Now()}
	hub.mu.Lock()
	hub.links[relay], hub.relays[""] = struct{}{}, relay
	hub.mu.Unlock()
	f := followAs(t, address, Hello{Node: "n", Process: "n", Address: "n:1"})
	var redirect *RedirectError
	assert.Assert(t, errors.As(<-f.result, &redirect))
	assert.Equal(t, redirect.Address, "relay:1")
	assert.Equal(t, len(hub.Peers()), 1)
	hub.handleReport(relay, Report{Followers: 40})
	assert.Equal(t, hub.Nodes(), 42)
	hub.handleReport(relay, Report{Followers: 30})
	assert.Equal(t, hub.Nodes(), 42, "processes that change their link are still counted")
}

// A new leader learns from the first process that there are many.
func TestNewLeaderLearnsNodeCountFromFirstHello(t *testing.T) {
	hub := NewHub("leader", nil, func() ReadState { return ReadState{} })
	now := time.Unix(1000, 0)
	hub.noteNodeCount(295, now)
	assert.Equal(t, hub.nodes(now.Add(time.Second)), 295)
	assert.Equal(t, hub.nodes(now.Add(2*nodeCountHold)), 1, "the other processes did not link")
}
