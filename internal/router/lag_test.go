package router

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/routing"
)

// Guards against needless resyncs: while workers arrive in a continuous stream, the leader is
// always one revision ahead of its updates. Each of hundreds of processes repeatedly read the
// service because of that.
func TestContinuousUpdatesAreNotLag(t *testing.T) {
	for name, test := range map[string]struct {
		// late is how far received updates lag behind the leader's revision.
		late  time.Duration
		reads bool
	}{
		"slightly behind":     {late: 400 * time.Millisecond},
		"behind for too long": {late: 1500 * time.Millisecond, reads: true},
		"no updates at all":   {late: time.Hour, reads: true},
	} {
		t.Run(name, func(t *testing.T) {
			state := newPrefixState()
			start := time.Unix(1000, 0)
			state.noteCovered(1)
			const step = 50 * time.Millisecond
			for at := time.Duration(0); at < 5*time.Second; at += step {
				state.noteCovered(coord.Revision(1 + (at-test.late)/step))
				state.resyncIfLagging(start.Add(at), coord.Revision(1+at/step))
			}
			assert.Equal(t, len(state.resync) > 0, test.reads)
		})
	}
}

// A process that relays a leader's updates announces a revision only with the change itself.
// Otherwise each of its followers would read the service at once.
func TestRevisionIsAnnouncedWithItsChange(t *testing.T) {
	r := newTestRouter(t)
	r.handleUpdate(peerlink.Update{Leading: true, ReadState: peerlink.ReadState{Config: 3}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go r.hub.Serve(listener)
	var known atomic.Int64
	follower := peerlink.Follower{
		Table: keytable.New(), TakeReport: func() peerlink.Report { return peerlink.Report{} }, Nodes: &atomic.Int32{}, OnFirstUpdate: func() {},
		OnLeadershipUncertain: func() {}, OnOwnersApplied: func(routing.ServiceName) {}, KeepFollowing: func(peerlink.Update) bool { return true },
		EntriesRevision: func() coord.Revision { return 0 }, ConfigRevision: func() coord.Revision { return 0 },
		OnUpdate: func(update peerlink.Update) { known.Store(int64(update.ReadState.Config)) },
	}
	go func() { _ = follower.Follow(t.Context(), listener.Addr().String()) }()
	for known.Load() != 3 {
		time.Sleep(time.Millisecond)
	}
	r.adapter.HashAPIKeys = func(item coord.Item) (coord.Item, error) { // the change is being applied
		time.Sleep(800 * time.Millisecond)
		assert.Check(t, known.Load() == 3, "announced %d", known.Load())
		return item, nil
	}
	r.adapter.ParseConfig = func([]coord.Item) (*routing.Config, error) { return nil, nil }
	change := coord.Event{Item: coord.Item{Key: "op/config", Revision: 9}}
	r.configView.ApplyEvents([]coord.Event{change}, 9)
	for known.Load() != 9 {
		time.Sleep(time.Millisecond)
	}
}
