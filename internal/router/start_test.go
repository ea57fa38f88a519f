package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/workers"
)

// A starting process waits for a leader to send the data, but no longer than until it is known that
// none will.
func TestStartWaitsForLeaderUpdate(t *testing.T) {
	for name, test := range map[string]struct {
		first    bool
		act      func(r *Router)
		received bool
		after    time.Duration
	}{
		"told":                        {act: func(r *Router) { r.entries.noteCovered(7) }, received: true, after: 100 * time.Millisecond},
		"no leader":                   {act: func(r *Router) { r.noLeader.close() }, after: 100 * time.Millisecond},
		"a leader that sends nothing": {act: func(*Router) {}, after: startTimeout},
		"a leader that serves others first": {act: func(r *Router) {
			r.updates.received(time.Now(), 0, true)
			time.AfterFunc(time.Second, func() { r.updates.received(time.Now(), 0, true) })
			time.AfterFunc(2*time.Second, func() { r.entries.noteCovered(7) })
		}, received: true, after: 2100 * time.Millisecond},
		"a leader that is lost": {act: func(r *Router) {
			r.updates.received(time.Now(), 0, true)
		}, after: 90*time.Millisecond + peerlink.SilenceLimit + startTimeout},
		"no leader at the first start": {first: true, act: func(*Router) {}, after: firstStartTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRouter(t)
				r.settings.FirstStart = test.first
				time.AfterFunc(95*time.Millisecond, func() { test.act(r) })
				began := time.Now()
				received := r.awaitUpdate(t.Context(), func() bool { return r.entries.coveredRevision() > 0 })
				assert.Equal(t, received, test.received)
				assert.Equal(t, time.Since(began).Round(pollInterval), test.after)
			})
		})
	}
}

// A list from a leader replaces a list from the store at a process that has none, and at its
// followers. It includes for how long workers have been leaving.
func TestWholeWorkerListIsRelayedToNewRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, relay, last := newTestRouter(t), newTestRouter(t), newTestRouter(t)
		leader.entriesView.Snapshot([]coord.Item{item("a", 8, workers.StateReady), item("b", 9, workers.StateReady), item("c", 9, workers.StateReady)}, 10)
		leaves := drainingChange("b", 12)
		leaves.LearnedAt = time.Now()
		leader.entriesView.apply([]peerlink.WorkerChange{{ID: "c", Revision: 11, Gone: true}, leaves}, 12)
		time.Sleep(500 * time.Millisecond)
		for _, hop := range [][2]*Router{{leader, relay}, {relay, last}} {
			update := hop[0].hub.EntriesSince(0)
			assert.Assert(t, update.Full)
			assert.Assert(t, hop[1].entriesView.applyRelayed(*update))
		}
		assert.Equal(t, last.workers.Count(), 2)
		assert.Equal(t, last.entriesView.revision(), coord.Revision(12))
		assert.Equal(t, usable(last), 1)
		assert.Equal(t, last.workers.DrainingFor("b"), leader.workers.DrainingFor("b"))
		assert.Assert(t, last.workers.DrainingFor("b") >= 500*time.Millisecond)
		assert.Assert(t, relay.hub.EntriesSince(12) == nil, "nothing is new")
	})
}

// A long worker list is read by one process: the leader reads it at once, the others only if no
// process sends it.
func TestLongListIsReadByOneProcess(t *testing.T) {
	for name, test := range map[string]struct {
		act      func(r *Router)
		received bool
		after    time.Duration
	}{
		"it leads":             {act: func(r *Router) { r.hub.Open(1) }, after: 100 * time.Millisecond},
		"it receives the list": {act: func(r *Router) { r.entries.noteCovered(7) }, received: true, after: 100 * time.Millisecond},
		"it receives an older list": {act: func(r *Router) {
			r.entries.noteCovered(5)
			r.updates.received(time.Now(), 0, true)
		}, received: true, after: 100 * time.Millisecond},
		"no updates":                     {act: func(*Router) {}, after: listTimeout},
		"the leader sends other updates": {act: func(r *Router) { r.updates.received(time.Now(), 0, true) }, after: 90*time.Millisecond + peerlink.SilenceLimit + listTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRouter(t)
				time.AfterFunc(95*time.Millisecond, func() { test.act(r) })
				began := time.Now()
				assert.Equal(t, r.awaitRelayedList(t.Context(), r.entries, 7), test.received)
				assert.Equal(t, time.Since(began).Round(pollInterval), test.after)
			})
		})
	}
}

// Guards against waiting forever for a list. A process whose list is older than the changes that
// its leader retains must read the list itself. It waited for the list for as long as it received
// updates from that leader, and missed every later change.
func TestOutdatedListIsReadFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRouter(t)
		r.entries.noteCovered(67)
		bounded, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		go func() {
			for bounded.Err() == nil {
				r.updates.received(time.Now(), 0, true)
				time.Sleep(300 * time.Millisecond)
			}
		}()
		began := time.Now()
		assert.Assert(t, !r.awaitRelayedList(bounded, r.entries, 70))
		assert.Assert(t, time.Since(began) <= relistTimeout+pollInterval)
		cancel()
		time.Sleep(time.Second) // the leader goes silent
	})
}

// A process that finds no leader waits for a configuration before it looks for one again. If what the operators
// have written takes several pages, it waited for a leader to send each of them, one after the other.
func TestLongConfigurationListIsReadWhereNoLeaderIsFollowed(t *testing.T) {
	for name, test := range map[string]struct {
		noLeader bool
		waits    time.Duration
	}{"no leader": {noLeader: true}, "a leader may be followed": {waits: listTimeout}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRouter(t)
				if test.noLeader {
					r.noLeader.close()
				}
				began := time.Now()
				assert.Assert(t, !r.awaitRelayedList(t.Context(), r.config, 7))
				assert.Equal(t, time.Since(began).Round(pollInterval), test.waits)
			})
		})
	}
}
