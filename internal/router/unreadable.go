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
type unreadable struct {
	revision coord.Revision
	reason   workers.Reason
	field    string
}

// readEntry reads an entry; fault is nil if it names a worker. A worker that has told when it
// began does so in all of its entries: one without was written by somebody else. The caller holds mu.
func (v *workersView) readEntry(item coord.Item) (workers.Worker, *unreadable) {
	worker, err := v.r.adapter.ReadWorker(item)
	if err == nil && worker.Born == 0 {
		if known, announced := v.r.workers.Get(worker.ID); announced && known.Born != 0 {
			err = &workers.EntryError{Reason: workers.ReasonMissing, Field: "born"}
		}
	}
	if err == nil {
		return worker, nil
	}
	fault := &unreadable{revision: item.Revision, reason: workers.ReasonUnreadable}
	if entry := (*workers.EntryError)(nil); errors.As(err, &entry) {
		fault.reason, fault.field = entry.Reason, entry.Field
	}
	return workers.Worker{}, fault
}

// replaceUnreadable sets all entries that name no worker. The caller holds mu.
func (v *workersView) replaceUnreadable(faulty map[workers.ID]unreadable) {
	for id, fault := range faulty {
		v.tellUnreadable(id, fault)
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
	if change.Unreadable == "" && !was {
		return
	}
	if change.Unreadable == "" {
		delete(v.unreadable, change.ID)
	} else {
		fault := unreadable{revision: change.Revision, reason: change.Unreadable}
		v.tellUnreadable(change.ID, fault)
		v.unreadable[change.ID] = fault
	}
	v.r.workers.MarkUnreadable(change.ID, change.Unreadable != "")
	v.r.unreadable.count(v.unreadable)
}

// tellUnreadable writes a line, once for an entry and revision.
func (v *workersView) tellUnreadable(id workers.ID, fault unreadable) {
	if known, told := v.unreadable[id]; told && known.revision == fault.revision {
		return
	}
	v.r.log.Line(decision.KindEntryBad).Str("worker", string(id)).Str("reason", string(fault.reason)).
		Str("field", fault.field).Int64("revision", int64(fault.revision)).Msg("names no worker to use")
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
func (m unreadableMetric) count(entries map[workers.ID]unreadable) {
	counts := map[workers.Reason]int{}
	for _, one := range entries {
		counts[one.reason]++
	}
	for _, reason := range workers.Reasons() {
		m.entries.WithLabelValues(string(reason)).Set(float64(counts[reason]))
	}
}
