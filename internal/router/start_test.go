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

// A process that starts waits for a leader to tell it what there is, and no longer than is known
// that none will.
func TestStartWaitsForLeaderUpdate(t *testing.T) {
	for name, test := range map[string]struct {
		first  bool
		happen func(r *Router)
		told   bool
		after  time.Duration
	}{
		"told":                       {happen: func(r *Router) { r.entries.noteCovered(7) }, told: true, after: 100 * time.Millisecond},
		"no leader":                  {happen: func(r *Router) { r.noLeader.close() }, after: 100 * time.Millisecond},
		"a leader that says nothing": {happen: func(*Router) {}, after: startTimeout},
		"a leader that tells others first": {happen: func(r *Router) {
			r.updates.received(time.Now(), 0, true)
			time.AfterFunc(time.Second, func() { r.updates.received(time.Now(), 0, true) })
			time.AfterFunc(2*time.Second, func() { r.entries.noteCovered(7) })
		}, told: true, after: 2100 * time.Millisecond},
		"a leader that is lost": {happen: func(r *Router) {
			r.updates.received(time.Now(), 0, true)
		}, after: 90*time.Millisecond + peerlink.SilenceLimit + startTimeout},
		"nothing, at the first start": {first: true, happen: func(*Router) {}, after: firstStartTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRouter(t)
				r.settings.FirstStart = test.first
				time.AfterFunc(95*time.Millisecond, func() { test.happen(r) })
				began := time.Now()
				told := r.awaitUpdate(t.Context(), func() bool { return r.entries.coveredRevision() > 0 })
				assert.Equal(t, told, test.told)
				assert.Equal(t, time.Since(began).Round(pollInterval), test.after)
			})
		})
	}
}

// What a leader tells a process that knows nothing replaces a list of the store's: also for
// those that follow it, and with the time for which workers have been leaving.
func TestWholeWorkerListIsRelayedToNewRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, relay, last := newTestRouter(t), newTestRouter(t), newTestRouter(t)
		leader.entriesView.Snapshot([]coord.Item{item("a", 8, workers.StateReady), item("b", 9, workers.StateReady), item("c", 9, workers.StateReady)}, 10)
		leaves := drainingChange("b", 12)
		leaves.LearnedAt = time.Now()
		leader.entriesView.apply([]peerlink.WorkerChange{{ID: "c", Revision: 11, Gone: true}, leaves}, 12)
		time.Sleep(500 * time.Millisecond)
		for _, hop := range [][2]*Router{{leader, relay}, {relay, last}} {
			news := hop[0].hub.EntriesSince(0)
			assert.Assert(t, news.Whole)
			assert.Assert(t, hop[1].entriesView.applyRelayed(*news))
		}
		assert.Equal(t, last.workers.Count(), 2)
		assert.Equal(t, last.entriesView.revision(), coord.Revision(12))
		assert.Equal(t, usable(last), 1)
		assert.Equal(t, last.workers.DrainingFor("b"), leader.workers.DrainingFor("b"))
		assert.Assert(t, last.workers.DrainingFor("b") >= 500*time.Millisecond)
		assert.Assert(t, relay.hub.EntriesSince(12) == nil, "nothing is new")
	})
}

// Where there are many workers, one process reads the list: who leads at once, the others only if
// nobody tells it.
func TestLongListIsReadByOneProcess(t *testing.T) {
	for name, test := range map[string]struct {
		happen func(r *Router)
		told   bool
		after  time.Duration
	}{
		"it leads":         {happen: func(r *Router) { r.hub.Open(1) }, after: 100 * time.Millisecond},
		"it is told":       {happen: func(r *Router) { r.entries.noteCovered(7) }, told: true, after: 100 * time.Millisecond},
		"nobody is heard":  {happen: func(*Router) {}, after: listTimeout},
		"the leader tells": {happen: func(r *Router) { r.updates.received(time.Now(), 0, true) }, after: 90*time.Millisecond + peerlink.SilenceLimit + listTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRouter(t)
				time.AfterFunc(95*time.Millisecond, func() { test.happen(r) })
				began := time.Now()
				assert.Equal(t, r.awaitRelayedList(t.Context(), r.entries, 7), test.told)
				assert.Equal(t, time.Since(began).Round(pollInterval), test.after)
			})
		})
	}
}

// A process that has an older list than its leader keeps changes for is left to read it. It waited to
// be told for as long as it heard that leader, and knew no worker that came or went from then on.
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
		time.Sleep(time.Second) // the leader falls silent
	})
}
