package router

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/workers"
)

// overwrittenItem returns an entry that another writer has overwritten.
func overwrittenItem(id string, revision coord.Revision) coord.Item {
	return coord.Item{Key: "w/" + id, Revision: revision}
}

// refusedEntries returns the metric of unusable entries for a reason.
func refusedEntries(t *testing.T, r *Router, reason workers.Reason) float64 {
	t.Helper()
	families, err := r.metrics.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() == "shalefork_router_refused_entries" && metric.GetLabel()[0].GetValue() == string(reason) {
				return metric.GetGauge().GetValue()
			}
		}
	}
	return 0
}

// An unusable entry does not stop the processing of a list, a watch or relayed changes.
func TestUnreadableEntryIsSkipped(t *testing.T) {
	good := item("a", 11, "ready 5")
	for name, learn := range map[string]func(v *workersView) bool{
		"in a list": func(v *workersView) bool {
			v.Snapshot([]coord.Item{overwrittenItem("b", 10), good}, 12)
			return true
		},
		"in a watch": func(v *workersView) bool {
			v.ApplyEvents([]coord.Event{{Item: overwrittenItem("b", 10)}, {Item: good}}, 12)
			return true
		},
		"in a whole list from a leader": func(v *workersView) bool {
			leader := newTestRouter(t).entriesView
			return v.applyRelayed(peerlink.EntryChanges{
				To: 12, Full: true, Changes: leader.changesOf([]coord.Event{{Item: overwrittenItem("b", 10)}, {Item: good}}),
			})
		},
		"in changes from a leader": func(v *workersView) bool {
			leader := newTestRouter(t).entriesView
			return v.applyRelayed(peerlink.EntryChanges{To: 12, Changes: leader.changesOf([]coord.Event{{Item: overwrittenItem("b", 10)}, {Item: good}})})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			assert.Assert(t, learn(r.entriesView))
			worker, known := r.workers.Get("a")
			assert.Assert(t, known)
			assert.Equal(t, worker.StartTime, workers.StartTime(5))
			_, known = r.workers.Get("b")
			assert.Assert(t, !known)
			assert.Assert(t, r.workers.Unreadable("b"))
			assert.Equal(t, r.entriesView.revision(), coord.Revision(12))
			assert.Equal(t, refusedEntries(t, r, workers.ReasonUnreadable), 1.0)
		})
	}
}

// A worker whose entry was overwritten by another writer gets no new requests, even while entries
// may have expired: it may have announced meanwhile that it leaves. Its own next entry restores it.
func TestWorkerWithOverwrittenEntryIsNotUsed(t *testing.T) {
	for name, state := range map[string]workers.State{"was ready": workers.StateReady, "was draining": workers.StateDraining} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRouter(t)
				view := r.entriesView
				view.Snapshot([]coord.Item{item("a", 8, state)}, 10)
				r.workers.BeginSettling(time.Now().Add(time.Minute))
				view.ApplyEvents([]coord.Event{{Item: overwrittenItem("a", 11)}}, 11)
				usable, _ := r.workers.Usable("s")
				assert.Equal(t, len(usable), 0)
				view.Snapshot([]coord.Item{overwrittenItem("a", 11)}, 12)
				usable, _ = r.workers.Usable("s")
				assert.Equal(t, len(usable), 0)
				view.ApplyEvents([]coord.Event{{Item: item("a", 13, workers.StateReady)}}, 13)
				usable, _ = r.workers.Usable("s")
				assert.Equal(t, len(usable), 1)
				assert.Assert(t, !r.workers.Unreadable("a"))
			})
		})
	}
}

// A worker that has announced its start time always includes it.
func TestEntryThatDropsItsStartTimeIsUnreadable(t *testing.T) {
	r := newTestRouter(t)
	r.entriesView.ApplyEvents([]coord.Event{{Item: item("a", 1, "ready 5")}, {Item: item("b", 2, "ready")}}, 2)
	r.entriesView.ApplyEvents([]coord.Event{{Item: item("a", 3, "ready")}, {Item: item("b", 4, "ready")}}, 4)
	assert.Assert(t, r.workers.Unreadable("a"))
	_, known := r.workers.Get("b")
	assert.Assert(t, known)
	r.entriesView.Snapshot([]coord.Item{item("a", 3, "ready"), item("b", 4, "ready")}, 6)
	assert.Assert(t, r.workers.Unreadable("a"), "the same applies to a list")
}

// An older update about the first incarnation, from a relay, does not replace the second.
func TestStaleUpdateOfPreviousIncarnationIsIgnored(t *testing.T) {
	r := newTestRouter(t)
	view := r.entriesView
	view.Snapshot([]coord.Item{item("a", 8, "ready 1")}, 10)
	view.ApplyEvents([]coord.Event{{Item: item("a", 12, "ready 2")}}, 12)
	late := peerlink.NewWorkerChange(11, workers.Worker{ID: "a", Service: "s", State: workers.StateDraining, StartTime: 1})
	assert.Assert(t, view.applyRelayed(peerlink.EntryChanges{From: 10, To: 11, Changes: []peerlink.WorkerChange{late}}))
	view.Snapshot([]coord.Item{item("a", 11, "draining 1")}, 11)
	worker, _ := r.workers.Get("a")
	assert.Equal(t, worker.StartTime, workers.StartTime(2))
	assert.Equal(t, worker.State, workers.StateReady)
	assert.Equal(t, r.workers.DrainingFor("a"), time.Duration(0))
}

// lockedBuffer is a writer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *lockedBuffer) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(line)
}

func (s *lockedBuffer) count(kind decision.Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Count(s.text.String(), `"kind":"`+string(kind)+`"`)
}

func TestUnreadableEntryIsLoggedOncePerRevision(t *testing.T) {
	logged := &lockedBuffer{}
	r := newTestRouter(t)
	r.log = decision.NewTo(logged, "n")
	r.entriesView.Snapshot([]coord.Item{overwrittenItem("a", 1)}, 1)
	r.entriesView.Snapshot([]coord.Item{overwrittenItem("a", 1)}, 2)
	r.entriesView.ApplyEvents([]coord.Event{{Item: overwrittenItem("a", 3)}}, 3)
	r.entriesView.Snapshot([]coord.Item{overwrittenItem("a", 3)}, 4)
	r.log.Line(decision.KindStop).Msg("")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if logged.count(decision.KindStop) == 0 {
			return poll.Continue("not written yet")
		}
		return poll.Success()
	})
	r.log.Close()
	assert.Equal(t, logged.count(decision.KindEntryRefused), 2)
}
