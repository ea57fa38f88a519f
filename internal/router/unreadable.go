package router

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/workers"
)

// unreadableEntry is an entry that can't be used as a worker.
type unreadableEntry struct {
	revision coord.Revision
	fault    workers.EntryError
}

// readEntry returns the worker of an entry, or why the entry is unusable. The caller holds mu.
func (v *workersView) readEntry(item coord.Item) peerlink.WorkerChange {
	worker, err := v.r.adapter.ParseWorker(item)
	id := v.r.adapter.WorkerID(item.Key)
	if err == nil && worker.StartTime == 0 {
		err = v.checkStartTime(id, item.Revision)
	}
	if err == nil {
		return peerlink.NewWorkerChange(item.Revision, worker)
	}
	fault := &workers.EntryError{Reason: workers.ReasonUnreadable}
	_ = errors.As(err, &fault)
	return peerlink.WorkerChange{Revision: item.Revision, ID: id, Gone: true, Unreadable: fault}
}

// checkStartTime returns an error for an entry without the worker's start time, if an earlier entry
// had one. A worker includes it in all of its entries, so another writer has written this one.
func (v *workersView) checkStartTime(id workers.ID, revision coord.Revision) error {
	known, announced := v.r.workers.Get(id)
	before, refused := v.unreadable[id]
	if (announced && known.StartTime != 0) || (refused && before.revision == revision) {
		return &workers.EntryError{Reason: workers.ReasonMissing, Field: "born"}
	}
	return nil
}

// replaceUnreadable sets all unusable entries. The caller holds mu.
func (v *workersView) replaceUnreadable(unusable map[workers.ID]unreadableEntry) {
	for id, entry := range unusable {
		v.logUnreadable(id, entry)
	}
	v.unreadable = unusable
	ids := make([]workers.ID, 0, len(unusable))
	for id := range unusable {
		ids = append(ids, id)
	}
	v.r.workers.SetUnreadable(ids)
	v.r.unreadable.count(unusable)
}

// noteUnreadable records whether a changed entry is usable. The caller holds mu.
func (v *workersView) noteUnreadable(change peerlink.WorkerChange) {
	_, was := v.unreadable[change.ID]
	if change.Unreadable == nil && !was {
		return
	}
	if change.Unreadable == nil {
		delete(v.unreadable, change.ID)
	} else {
		entry := unreadableEntry{revision: change.Revision, fault: *change.Unreadable}
		v.logUnreadable(change.ID, entry)
		v.unreadable[change.ID] = entry
	}
	v.r.workers.MarkUnreadable(change.ID, change.Unreadable != nil)
	v.r.unreadable.count(v.unreadable)
}

// logUnreadable logs an unusable entry once per revision.
func (v *workersView) logUnreadable(id workers.ID, entry unreadableEntry) {
	if known, logged := v.unreadable[id]; logged && known.revision == entry.revision {
		return
	}
	v.r.log.Line(decision.KindEntryRefused).Str("worker", string(id)).Str("reason", string(entry.fault.Reason)).
		Str("field", entry.fault.Field).Int64("revision", int64(entry.revision)).Msg("unusable worker entry; ignoring it")
}

// unreadableMetric shows the number of unusable entries by reason.
type unreadableMetric struct {
	entries *prometheus.GaugeVec
}

func newUnreadableMetric(registerer prometheus.Registerer) unreadableMetric {
	metric := unreadableMetric{entries: prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "shalefork_router_refused_entries", Help: "Entries among the workers' that name no worker to use.",
	}, []string{"reason"})}
	registerer.MustRegister(metric.entries)
	return metric
}

// count sets the numbers by reason.
func (m unreadableMetric) count(entries map[workers.ID]unreadableEntry) {
	counts := map[workers.Reason]int{}
	for _, entry := range entries {
		counts[entry.fault.Reason]++
	}
	for _, reason := range workers.Reasons() {
		m.entries.WithLabelValues(string(reason)).Set(float64(counts[reason]))
	}
}
