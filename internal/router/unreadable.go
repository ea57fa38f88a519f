package router

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/workers"
)

// unreadable is an entry that names no worker.
type unreadableEntry struct {
	revision coord.Revision
	fault    workers.EntryError
}

// readEntry reads what an entry announces, or why it names no worker. The caller holds mu.
func (v *workersView) readEntry(item coord.Item) peerlink.WorkerChange {
	worker, err := v.r.adapter.ParseWorker(item)
	id := v.r.adapter.WorkerID(item.Key)
	if err == nil && worker.Born == 0 {
		err = v.checkBornKept(id, item.Revision)
	}
	if err == nil {
		return peerlink.NewWorkerChange(item.Revision, worker)
	}
	fault := &workers.EntryError{Reason: workers.ReasonUnreadable}
	_ = errors.As(err, &fault)
	return peerlink.WorkerChange{Revision: item.Revision, ID: id, Gone: true, Unreadable: fault}
}

// hidesStart returns an error for an entry that does not tell when its worker began although that
// one has: a worker does so in all of its entries, so somebody else has written it.
func (v *workersView) checkBornKept(id workers.ID, revision coord.Revision) error {
	known, announced := v.r.workers.Get(id)
	before, refused := v.unreadable[id]
	if (announced && known.Born != 0) || (refused && before.revision == revision) {
		return &workers.EntryError{Reason: workers.ReasonMissing, Field: "born"}
	}
	return nil
}

// replaceUnreadable sets all entries that name no worker. The caller holds mu.
func (v *workersView) replaceUnreadable(faulty map[workers.ID]unreadableEntry) {
	for id, entry := range faulty {
		v.logUnreadable(id, entry)
	}
	v.unreadable = faulty
	ids := make([]workers.ID, 0, len(faulty))
	for id := range faulty {
		ids = append(ids, id)
	}
	v.r.workers.SetUnreadable(ids)
	v.r.unreadable.count(faulty)
}

// noteUnreadable takes what a change says of its entry. The caller holds mu.
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

// tellUnreadable writes a line, once for an entry and revision.
func (v *workersView) logUnreadable(id workers.ID, entry unreadableEntry) {
	if known, logged := v.unreadable[id]; logged && known.revision == entry.revision {
		return
	}
	v.r.log.Line(decision.KindEntryBad).Str("worker", string(id)).Str("reason", string(entry.fault.Reason)).
		Str("field", entry.fault.Field).Int64("revision", int64(entry.revision)).Msg("names no worker to use")
}

// unreadableMetric shows how many entries name no worker, by reason.
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
	for _, one := range entries {
		counts[one.fault.Reason]++
	}
	for _, reason := range workers.Reasons() {
		m.entries.WithLabelValues(string(reason)).Set(float64(counts[reason]))
	}
}
