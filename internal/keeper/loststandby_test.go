package keeper

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/routing"
)

// serveHub serves a hub at a free address.
func serveHub(t *testing.T, process string) (*peerlink.Hub, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	reports := make(chan peerlink.Report, 16)
	hub := peerlink.NewHub(process, reports, func() peerlink.ReadState { return peerlink.ReadState{} })
	go hub.Serve(listener)
	return hub, listener.Addr().String()
}

// linkStandby links a process to a hub as a standby, until the returned function is called.
func linkStandby(t *testing.T, hub *peerlink.Hub, leader, process, address string) (lose func()) {
	t.Helper()
	hub.AppointStandbys([]string{process})
	ctx, cancel := context.WithCancel(t.Context())
	var granted atomic.Bool
	follower := peerlink.Follower{
		Hello: peerlink.Hello{Node: process, Process: process, Address: address}, Table: keytable.New(), Nodes: &atomic.Int32{},
		EntriesRevision: func() coord.Revision { return 0 }, ConfigRevision: func() coord.Revision { return 0 },
		OnFirstUpdate: func() {}, OnLeadershipUncertain: func() {},
		TakeReport: func() peerlink.Report {
			return peerlink.Report{Stamp: 1, HoldVersions: map[routing.ServiceName]uint64{}}
		},
		OnUpdate: func(update peerlink.Update) {
			granted.Store(granted.Load() || update.Delegation != nil && update.Delegation.Stamp > 0)
		},
	}
	go func() { _ = follower.Follow(ctx, leader) }()
	waitUntil(t, "the standby has a delegation", granted.Load)
	return cancel
}

func waitUntil(t *testing.T, what string, reached func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	})
}

// Guards against a fault: the leader waited for the delegation of a standby that had ended, and for one more
// hold, although another process had taken its place. Keys of workers that crashed meanwhile were not served.
func TestDelegationOfEndedStandbyEnds(t *testing.T) {
	for name, test := range map[string]struct {
		answers string
		ends    bool
	}{
		"another process at its address": {answers: "p2", ends: true},
		"it still answers":               {answers: "p1"},
	} {
		t.Run(name, func(t *testing.T) {
			hub, leader := serveHub(t, "leader")
			hub.Open(1)
			hub.SetDelegationLimit(clock.Now().Add(time.Minute))
			_, address := serveHub(t, test.answers)
			lose := linkStandby(t, hub, leader, "p1", address)
			lose()
			waitUntil(t, "the standby is lost", func() bool { return len(hub.LostStandbys(clock.Now())) == 1 })
			keeper := &tenureKeeper{Keeper: &Keeper{Hub: hub}, ctx: t.Context()}
			keeper.checkLostStandbys(clock.Now())
			if test.ends {
				waitUntil(t, "the delegation has ended", func() bool { return len(hub.LostStandbys(clock.Now())) == 0 })
				return
			}
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, len(hub.LostStandbys(clock.Now())), 1)
		})
	}
}
