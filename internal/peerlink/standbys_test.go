package peerlink

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

func TestStandbyReceivesHoldsAndAcknowledgesThem(t *testing.T) {
	hub, reports, address := newLeadingHub(t, 3)
	go func() {
		for range reports { // the reports are not used
		}
	}()
	limit := time.Now().Add(time.Minute)
	hub.SetDelegationLimit(limit)
	holds := []owner.Hold{{Keys: owner.KeyRange{From: 0, To: 9}, Target: owner.Target{ID: "w", Address: "a:1"}, Fence: 1 << 40}}
	hub.PublishHolds("s", 5, holds)

	var version atomic.Uint64
	received := make(chan []owner.Hold, 8)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	follower := Follower{
		Hello: Hello{Node: "n", Process: "p", Address: "b:1"}, Table: keytable.New(), Nodes: &atomic.Int32{},
		EntriesRevision: func() coord.Revision { return 0 }, ConfigRevision: func() coord.Revision { return 0 }, OnFirstUpdate: func() {}, OnLeadershipUncertain: func() {},
		TakeReport: func() Report {
			return Report{Stamp: 1, HoldVersions: map[routing.ServiceName]uint64{"s": version.Load()}}
		},
		OnUpdate: func(update Update) {
			if update.Delegation == nil {
				return
			}
			for _, message := range update.Delegation.Services {
				got, ok := message.Holds()
				assert.Check(t, ok)
				version.Store(message.Version)
				received <- got
			}
		},
	}
	go func() { _ = follower.Follow(ctx, address) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(hub.Peers()) == 0 {
			return poll.Continue("not linked")
		}
		return poll.Success()
	})
	assert.Equal(t, len(hub.Delegations("s")), 0, "no delegation before the appointment")
	hub.AppointStandbys([]string{"p"})
	assert.DeepEqual(t, <-received, holds)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		delegations := hub.Delegations("s")
		if len(delegations) == 1 && delegations[0].KnownVersion == 5 && delegations[0].Until.Equal(limit) && delegations[0].LastRenewal.IsZero() {
			return poll.Success()
		}
		return poll.Continue("%+v", delegations)
	})
	assert.Assert(t, hub.HadDelegation("p", time.Now()))

	stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if delegations := hub.Delegations("s"); delegations[0].LastRenewal.IsZero() {
			return poll.Continue("the link is not lost yet")
		}
		return poll.Success()
	})
	hub.PublishHolds("s", 6, nil)
	assert.Equal(t, hub.Delegations("s")[0].KnownVersion, uint64(5), "it can't have received the empty holds")
}

// All holds are sent only at intervals: fences may change at each step of the leader, and sending
// them each time cost 40 MB a day on the grown sites.
func TestHoldUpdatesAreRateLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	var s standbys
	s.reset()
	s.limit = now.Add(time.Minute)
	s.appointed["p"] = true
	l := &link{hello: Hello{Process: "p"}, stamp: 1, holdVersions: map[routing.ServiceName]uint64{}}
	sent := 0
	for step := range 60 {
		s.holds["s"] = currentHolds{version: uint64(step + 1)}
		at := now.Add(time.Duration(step) * 50 * time.Millisecond)
		delegation := s.extend(l, at)
		assert.Assert(t, delegation.RemainingMillis > 0, "the delegation is extended")
		sent += len(delegation.Services)
	}
	assert.Equal(t, sent, 3)
}

// Found by the soak test with real processes (seed 514): two standbys were replaced by stronger
// ones while they had a delegation for 9 s and stayed linked. From then on, they did not learn of
// holds that ended.
func TestReplacedStandbyReceivesHoldsUntilItsDelegationEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	var s standbys
	s.reset()
	s.limit = now.Add(9 * time.Second)
	s.appointed["p"] = true
	l := &link{hello: Hello{Process: "p"}, stamp: 1, holdVersions: map[routing.ServiceName]uint64{}}
	s.holds["s"] = currentHolds{version: 1}
	assert.Equal(t, len(s.extend(l, now).Services), 1)
	s.appointed["p"] = false
	s.holds["s"], s.limit = currentHolds{version: 2}, now.Add(12*time.Second)
	delegation := s.extend(l, now.Add(2*time.Second))
	assert.Equal(t, len(delegation.Services), 1)
	assert.Equal(t, delegation.RemainingMillis, int64(7000), "the delegation is not extended")
	assert.Assert(t, s.extend(l, now.Add(9*time.Second)) == nil)
}

// A standby that restarts with the same node name and address is another process: it has no
// delegation, and that of the previous process lasts until this is known to have ended.
func TestRestartedRouterIsADifferentStandby(t *testing.T) {
	now := time.Unix(1000, 0)
	var s standbys
	s.reset()
	s.limit = now.Add(9 * time.Second)
	s.appointed["p1"] = true
	before := &link{hello: Hello{Node: "n", Address: "a:1", Process: "p1"}, stamp: 1, holdVersions: map[routing.ServiceName]uint64{}}
	s.extend(before, now)
	s.markLinkLost(before)
	after := &link{hello: Hello{Node: "n", Address: "a:1", Process: "p2"}, stamp: 1, holdVersions: map[routing.ServiceName]uint64{}}
	assert.Assert(t, s.extend(after, now.Add(time.Second)) == nil)
	delegations := s.ownerDelegations("s", now.Add(time.Second))
	assert.Equal(t, len(delegations), 1)
	assert.Equal(t, delegations[0].Until, s.limit)
}

func TestDelegationEndsWithItsProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	var s standbys
	s.reset()
	s.limit = now.Add(9 * time.Second)
	s.appointed["p1"] = true
	l := &link{hello: Hello{Address: "a:1", Process: "p1"}, stamp: 1, holdVersions: map[routing.ServiceName]uint64{}}
	s.extend(l, now)
	assert.Equal(t, len(s.lost(now)), 0)
	s.markLinkLost(l)
	assert.DeepEqual(t, s.lost(now), []Peer{{Process: "p1", Address: "a:1"}})
	now = now.Add(time.Second)
	s.end("p2", now)
	assert.Equal(t, s.ownerDelegations("s", now)[0].Until, s.limit, "another process has ended")
	s.end("p1", now)
	delegations := s.ownerDelegations("s", now.Add(time.Second))
	assert.Equal(t, delegations[0].Until, now.Add(renewalTimeout), "a last renewal may be in progress")
	assert.Assert(t, !delegations[0].LastRenewal.IsZero(), "it may have renewed a hold alone")
	assert.Equal(t, len(s.lost(now)), 0)
}

// A worker that restarted at another address was sent to followers with its first address for as
// long as their links lasted.
func TestChangedWorkerAddressIsSent(t *testing.T) {
	hub, _, address := newLeadingHub(t, 3)
	at := func(address string) []owner.Owner {
		return []owner.Owner{{Keys: owner.KeyRange{From: 0, To: owner.KeyCount - 1}, Worker: "w", Address: address}}
	}
	f := follow(t, address)
	for _, where := range []string{"a:1", "b:1", "a:1"} {
		hub.Publish("s", at(where))
		eventually(t, where, func() bool {
			held, known := f.table.Lookup("s", 9)
			return known && held.Worker == "w" && held.Address == where
		})
	}
}

func TestHoldsOfUnknownWorkersAreRejected(t *testing.T) {
	_, ok := ServiceHolds{Service: "s", Runs: pack([][4]int64{{0, 9, 1, 7}})}.Holds()
	assert.Assert(t, !ok)
}
