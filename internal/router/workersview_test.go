package router

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/coord/memory"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/settings"
	"github.com/shalefork/shalefork/internal/workers"
)

// newTestRouter returns a router with nothing running. An entry's value is its worker's state.
func newTestRouter(t *testing.T) *Router {
	t.Helper()
	log := decision.NewTo(io.Discard, "n")
	t.Cleanup(log.Close)
	adapter := Adapter{
		Store:    memory.New(),
		WorkerID: func(key string) workers.ID { return workers.ID(strings.TrimPrefix(key, "w/")) },
		ParseWorker: func(item coord.Item) (workers.Worker, error) {
			id := workers.ID(strings.TrimPrefix(item.Key, "w/"))
			if len(item.Value) == 0 {
				return workers.Worker{}, &workers.EntryError{Reason: workers.ReasonUnreadable}
			}
			state, startTime, _ := strings.Cut(string(item.Value), " ")
			at, _ := strconv.Atoi(startTime)
			return workers.Worker{ID: id, Service: "s", State: workers.State(state), StartTime: workers.StartTime(at)}, nil
		},
	}
	times := settings.Router{Drain: bundle.Duration(drainTime), CatchUp: bundle.Duration(catchUpTime)}
	return New(times, adapter, log, prometheus.NewRegistry())
}

func item(id string, revision coord.Revision, state workers.State) coord.Item {
	return coord.Item{Key: "w/" + id, Value: []byte(state), Revision: revision}
}

// drainingChange returns a change that the leader relays.
func drainingChange(id workers.ID, revision coord.Revision) peerlink.WorkerChange {
	return peerlink.NewWorkerChange(revision, workers.Worker{ID: id, Service: "s", State: workers.StateDraining})
}

func TestWorkerChangesFromTheLeader(t *testing.T) {
	for name, test := range map[string]struct {
		changes peerlink.EntryChanges
		applied bool
		drains  bool
		at      coord.Revision
	}{
		"next":                    {changes: peerlink.EntryChanges{From: 10, To: 12, Changes: []peerlink.WorkerChange{drainingChange("a", 11)}}, applied: true, drains: true, at: 12},
		"some already known":      {changes: peerlink.EntryChanges{From: 5, To: 12, Changes: []peerlink.WorkerChange{drainingChange("a", 9)}}, applied: true, at: 12},
		"earlier changes missing": {changes: peerlink.EntryChanges{From: 11, To: 12, Changes: []peerlink.WorkerChange{drainingChange("a", 12)}}, at: 10},
		"too many to relay":       {changes: peerlink.EntryChanges{From: 12, To: 12}, at: 10},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			view := r.entriesView
			view.Snapshot([]coord.Item{item("a", 8, workers.StateReady)}, 10)
			assert.Equal(t, view.applyRelayed(test.changes), test.applied)
			worker, known := r.workers.Get("a")
			assert.Assert(t, known)
			assert.Equal(t, worker.State == workers.StateDraining, test.drains)
			assert.Equal(t, view.revision(), test.at)
		})
	}
}

// A list that was being read while newer changes arrived from the leader must not undo them.
func TestOlderListIsIgnored(t *testing.T) {
	r := newTestRouter(t)
	view := r.entriesView
	view.Snapshot([]coord.Item{item("a", 8, workers.StateReady)}, 10)
	assert.Assert(t, view.applyRelayed(peerlink.EntryChanges{From: 10, To: 12, Changes: []peerlink.WorkerChange{drainingChange("a", 12)}}))
	view.Snapshot([]coord.Item{item("a", 8, workers.StateReady)}, 11)
	worker, _ := r.workers.Get("a")
	assert.Equal(t, worker.State, workers.StateDraining)
	view.ApplyEvents([]coord.Event{{Item: item("a", 8, workers.StateReady)}}, 11)
	worker, _ = r.workers.Get("a")
	assert.Equal(t, worker.State, workers.StateDraining, "already known events change nothing either")
}

// Guards against a fault: the pages of a list are read one after the other, so that items of later ones may be
// newer than the list. Changes in between to items of earlier pages were taken for read, and keys of workers
// that had come in between were refused until the next change of any worker.
func TestNewerItemsOfAListDoNotHideOtherChanges(t *testing.T) {
	for name, views := range map[string]func(*Router) (coord.View, *prefixState){
		"workers":       func(r *Router) (coord.View, *prefixState) { return r.entriesView, r.entries },
		"configuration": func(r *Router) (coord.View, *prefixState) { return r.configView, r.config },
		"bundles":       func(r *Router) (coord.View, *prefixState) { return newBundlesView(r), r.config },
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			r.adapter.ParseConfig = func([]coord.Item) (*routing.Config, error) { return nil, nil }
			view, state := views(r)
			view.Snapshot([]coord.Item{item("a", 8, workers.StateReady), item("b", 12, workers.StateReady)}, 10)
			assert.Equal(t, state.coveredRevision(), coord.Revision(10))
			assert.Equal(t, state.newestRevision(), coord.Revision(10))
		})
	}
}

// A revision of the leader that is missing here is read from the store at once, and again only
// after maxLag. An immediate read at each update would repeat the same call.
func TestLeaderRevisionIsReadOnce(t *testing.T) {
	resyncRequested := func(of *prefixState) bool {
		select {
		case <-of.resync:
			return true
		default:
			return false
		}
	}
	now := time.Unix(1000, 0)
	r := newTestRouter(t)
	r.config.noteCovered(10)
	r.handleUpdate(peerlink.Update{ReadState: peerlink.ReadState{Config: 10}})
	assert.Assert(t, !resyncRequested(r.config), "already known")
	r.config.resyncIfBehind(now, 12)
	assert.Assert(t, resyncRequested(r.config))
	r.config.resyncIfBehind(now, 12)
	assert.Assert(t, !resyncRequested(r.config), "already requested")
	r.config.resyncIfBehind(now.Add(2*maxLag), 12)
	assert.Assert(t, resyncRequested(r.config), "it did not arrive")
	r.config.noteRead(12)
	r.config.resyncIfBehind(now.Add(4*maxLag), 12)
	assert.Assert(t, !resyncRequested(r.config))
}

func TestLeaderWithoutStoreIsNotTrusted(t *testing.T) {
	r := newTestRouter(t)
	r.handleUpdate(peerlink.Update{})
	assert.Assert(t, r.updates.live())
	r.handleUpdate(peerlink.Update{StoreUnreachable: true})
	assert.Assert(t, !r.updates.live())
}

// Guards against vanished workers that are kept although only this process was cut off. On a day on
// which machines were cut off for 12 s (DRAIN), their routers assumed that the missing entries had
// expired, and sent requests to workers that had left.
func TestVanishedWorkersAreGoneIfTheLeaderStayedConnected(t *testing.T) {
	settle := workers.SettleTime.Milliseconds()
	stale := (2 * peerlink.SilenceLimit).Milliseconds()
	for name, test := range map[string]struct {
		update peerlink.Update
		kept   bool
	}{
		"the leader stayed connected":           {update: peerlink.Update{ReadState: peerlink.ReadState{Settled: true}}},
		"the leader may have been disconnected": {update: peerlink.Update{}, kept: true},
		"the leader was disconnected":           {update: peerlink.Update{ReadState: peerlink.ReadState{SettleMillis: settle}}, kept: true},
		"the leader is disconnected":            {update: peerlink.Update{StoreUnreachable: true, ReadState: peerlink.ReadState{Settled: true}}, kept: true},
		"a relay has no recent update":          {update: peerlink.Update{AgeMillis: stale, ReadState: peerlink.ReadState{Settled: true}}, kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			r.entriesView.Snapshot([]coord.Item{item("a", 8, workers.StateReady)}, 10)
			r.entriesView.OnReachable(time.Now())
			r.entriesView.Snapshot(nil, 12)
			r.handleUpdate(test.update)
			_, known := r.workers.Get("a")
			assert.Equal(t, known, test.kept)
		})
	}
}

func TestStrongMachinesCampaignFirst(t *testing.T) {
	r := newTestRouter(t)
	for name, test := range map[string]struct {
		own, strongest float64
		least          time.Duration
	}{
		"strong, knows no others": {own: 1},
		"weak, knows no others":   {own: 0.2, least: weakMachineDelay / 2},
		"weak, like all others":   {own: 0.2, strongest: 0.2},
		"weaker than another":     {own: 0.2, strongest: 0.5, least: weakMachineDelay},
		"the strongest of them":   {own: 0.5, strongest: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			r.hub.Strength = test.own
			r.handleUpdate(peerlink.Update{Strongest: test.strongest})
			for range 50 {
				pause := r.campaignDelay()
				assert.Assert(t, pause >= test.least && pause < test.least+campaignJitter+weakMachineDelay/2, "%v", pause)
			}
		})
	}
}
