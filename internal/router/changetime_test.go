package router

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/workers"
)

// A change that is read or received late counts from the time at which the first process knew it
// or, if that is unknown, from the last time at which this process knew everything.
func TestDelayedChangeCountsFromEarliestPossibleTime(t *testing.T) {
	drains := coord.Event{Item: item("a", 11, workers.StateDraining)}
	for name, test := range map[string]struct {
		learn func(r *Router)
		want  time.Duration
	}{
		"update from another process": {learn: func(r *Router) {
			late := delayedDraining(1000)
			r.handleUpdate(peerlink.Update{Entries: &peerlink.EntryChanges{From: 10, To: 11, Changes: []peerlink.WorkerChange{late}}})
		}, want: time.Second},
		"watch without a failure": {learn: func(r *Router) {
			r.noteStoreSynced(r.entries, time.Now())
			r.entriesView.ApplyEvents([]coord.Event{drains}, 11)
		}, want: followerBatchDelay},
		"first watch after failures": {learn: func(r *Router) {
			r.noteStoreSynced(r.entries, time.Now())
			time.Sleep(2 * time.Second)
			r.entries.failedAt.Store(clock.Nanos(clock.Now()))
			r.entriesView.ApplyEvents([]coord.Event{drains}, 11)
		}, want: 2 * time.Second},
		"first watch after the leader's silence": {learn: func(r *Router) {
			r.handleUpdate(peerlink.Update{})
			time.Sleep(1200 * time.Millisecond)
			r.entriesView.ApplyEvents([]coord.Event{drains}, 11)
		}, want: 1200 * time.Millisecond},
		"list after failures": {learn: func(r *Router) {
			r.noteStoreSynced(r.entries, time.Now())
			time.Sleep(4 * time.Second)
			r.entriesView.Snapshot([]coord.Item{drains.Item}, 11)
		}, want: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRouter(t)
				r.entriesView.Snapshot([]coord.Item{item("a", 8, workers.StateReady)}, 10)
				test.learn(r)
				assert.Equal(t, r.workers.DrainingFor("a"), test.want)
			})
		})
	}
}

// delayedDraining returns a change that the first process has known for the given milliseconds.
func delayedDraining(millis int64) peerlink.WorkerChange {
	change := drainingChange("a", 11)
	change.AgeMillis = millis
	return change
}
