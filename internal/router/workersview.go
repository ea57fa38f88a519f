package router

import (
	"slices"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/workers"
)

// workersView follows the workers' entries, as the service or the leader tells them.
type workersView struct {
	r  *Router
	mu sync.Mutex
	// at is the revision up to which all entries were read.
	at coord.Revision
	// lostAt is when the service was lost last.
	lostAt time.Time
	// unreadable are the entries that name no worker, as of their last changes.
	unreadable map[workers.ID]unreadableEntry
	zones      unknownZones
	// collected are the pages of a list that is being told.
	partial partialList
}

// collected are the pages of a list that were told so far: all workers up to one, as of a
// revision.
type partialList struct {
	after   workers.ID
	at      coord.Revision
	changes []peerlink.WorkerChange
}

// Snapshot implements coord.View.
func (v *workersView) Snapshot(items []coord.Item, at coord.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at < v.at {
		return // the leader has told more meanwhile
	}
	since := v.r.completeAsOf(v.r.entries)
	list := make([]peerlink.WorkerChange, 0, len(items))
	for _, item := range items {
		change := v.readEntry(item)
		change.LearnedAt = v.r.workers.ListedSince(since)
		list = append(list, change)
	}
	v.replace(list, at, since)
}

// replace sets the whole list. since is as of when all was known before. The caller holds mu.
func (v *workersView) replace(list []peerlink.WorkerChange, at coord.Revision, since time.Time) {
	v.at = at
	v.r.entries.noteCovered(at)
	v.r.listSizeKnown.close()
	announced := make([]workers.Worker, 0, len(list))
	faulty := map[workers.ID]unreadableEntry{}
	learned := workers.Learned{}
	for _, change := range list {
		v.r.entries.noteRead(change.Revision)
		if change.Unreadable != nil {
			faulty[change.ID] = unreadableEntry{revision: change.Revision, fault: *change.Unreadable}
			continue
		}
		worker := change.Worker()
		v.zones.logIfUnknown(v.r.zoneMap, worker, v.r.log)
		announced = append(announced, worker)
		learned[change.ID] = change.LearnedAt
	}
	v.replaceUnreadable(faulty)
	vanished := v.r.workers.Replace(announced, learned, since)
	v.r.hub.SetEntries(list, at, since)
	v.logVanished(vanished, at)
	v.r.log.Line(decision.KindWorker).Int("announced", len(announced)).Int64("revision", int64(at)).Msg("list read")
}

// Changed implements coord.View.
func (v *workersView) Changed(events []coord.Event, at coord.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(v.changesOf(events), at)
}

// relayed applies what the leader passes on; false if changes are missing.
func (v *workersView) applyRelayed(news peerlink.EntryChanges) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changes, err := news.Decode(clock.Now())
	if news.Whole && err == nil {
		return v.collectPage(news, changes)
	}
	if v.at < news.From || err != nil {
		return false
	}
	v.apply(changes, news.To)
	return true
}

// collect takes a page of the list, or all of it, and replaces what was known once there are no
// more; false if pages before it are missing. The caller holds mu.
func (v *workersView) collectPage(news peerlink.EntryChanges, changes []peerlink.WorkerChange) bool {
	if news.After == "" {
		v.partial = partialList{}
	}
	if news.After != v.partial.after {
		return false
	}
	v.partial.changes = append(v.partial.changes, changes...)
	v.partial.after, v.partial.at = news.Last, news.To
	if news.More {
		return true
	}
	list := v.partial
	v.partial = partialList{}
	if v.at < list.at {
		v.replace(list.changes, list.at, v.r.completeAsOf(v.r.entries))
	}
	return true
}

// collectedUpTo returns up to which worker a list was told in part, and as of which revision.
func (v *workersView) partialListUpTo() (workers.ID, coord.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.partial.after, v.partial.at
}

// revision returns up to which revision all entries were read.
func (v *workersView) revision() coord.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.at
}

// read turns events into changes of workers.
func (v *workersView) changesOf(events []coord.Event) []peerlink.WorkerChange {
	learned := v.r.earliestWatchChange(v.r.entries)
	changes := make([]peerlink.WorkerChange, 0, len(events))
	for _, event := range events {
		change := peerlink.WorkerChange{Revision: event.Revision, ID: v.r.adapter.WorkerID(event.Key), Gone: true}
		if !event.Deleted {
			change = v.readEntry(event.Item)
		}
		change.LearnedAt = learned
		changes = append(changes, change)
	}
	return changes
}

// apply changes the list of workers by what is new. The caller holds mu.
func (v *workersView) apply(changes []peerlink.WorkerChange, at coord.Revision) {
	changes = slices.DeleteFunc(changes, func(one peerlink.WorkerChange) bool { return one.Revision <= v.at })
	v.at = max(v.at, at)
	v.r.entries.noteCovered(at)
	v.r.hub.AddEntryChanges(changes, at)
	last := map[workers.ID]peerlink.WorkerChange{}
	for _, change := range changes {
		v.r.entries.noteRead(change.Revision)
		last[change.ID] = change
	}
	if len(last) == 0 {
		return
	}
	var changed []workers.Worker
	var gone []workers.ID
	learned := workers.Learned{}
	for id, change := range last {
		learned[id] = change.LearnedAt
		v.noteUnreadable(change)
		if change.Gone {
			gone = append(gone, id)
			continue
		}
		worker := change.Worker()
		if before, known := v.r.workers.Get(id); !known || before.State != worker.State {
			v.r.log.Line(decision.KindWorker).Str("worker", string(id)).Str("state", string(worker.State)).
				Str("service", string(worker.Service)).Int64("revision", int64(change.Revision)).Msg("")
		}
		v.zones.logIfUnknown(v.r.zoneMap, worker, v.r.log)
		changed = append(changed, worker)
	}
	v.logVanished(v.r.workers.Update(changed, gone, learned), at)
}

// tellVanished logs what became of workers whose entries went.
func (v *workersView) logVanished(vanished workers.Vanished, at coord.Revision) {
	for _, id := range vanished.Gone {
		v.r.log.Line(decision.KindWorker).Str("worker", string(id)).Str("state", "gone").
			Int64("revision", int64(at)).Msg("")
	}
	for _, id := range vanished.Kept {
		v.r.log.Line(decision.KindWorker).Str("worker", string(id)).Str("state", "kept").
			Int64("revision", int64(at)).Float64("for", v.r.workers.Settling().Seconds()).Msg("its entry may have lapsed only")
	}
}

// expired logs which entries did not come back.
func (v *workersView) logExpired(ids []workers.ID) {
	for _, id := range ids {
		v.r.log.Line(decision.KindWorker).Str("worker", string(id)).Str("state", "gone").Msg("its entry did not come back")
	}
}

// Lost implements coord.View.
func (v *workersView) Lost(err error) {
	v.lostAt = clock.Now()
	v.r.log.Line(decision.KindStoreLost).Str("for", "workers").Err(err).Msg("")
}

// catchUpMargin is kept from the time in which a router must have caught up: requests that
// were sent before take a moment to reach their worker.
const catchUpMargin = 200 * time.Millisecond

// Regained implements coord.View. Entries that lapsed while the service was away are waited
// for; a worker that left must get nothing once the router has to have caught up. That time
// counts from the end of the outage or cut, and this process's first answer may come a second
// later, by the pause between its tries: the wait counts from the last one that failed.
// Counted from the answer, requests went to a worker that had left for up to 3.9 s after the
// end of a cut, where 3 s are allowed (18 of 40 ends of a cut between two tries, in virtual time).
func (v *workersView) Regained(since time.Time) {
	now := clock.Now()
	until := now.Add(workers.SettleTime)
	if caughtUp := since.Add(v.r.settings.CatchUp.Std() - catchUpMargin); caughtUp.Before(until) {
		until = caughtUp
	}
	v.r.workers.Settle(until)
	v.r.log.Line(decision.KindStoreBack).Str("for", "workers").Float64("away", now.Sub(v.lostAt).Seconds()).
		Float64("waits", max(0, until.Sub(now)).Seconds()).Msg("")
}

// settleAsTold takes the leader's word that entries may have lapsed only. A process that was
// away itself waits as long as the leader; another has read all changes, and waits for half of
// the time in which workers that leave may get requests, less what a request takes on its way.
// Waiting as long as the leader, it sent requests to workers for 2.2 s after they had left, where
// 2 s are allowed; without the margin, up to the very end of the 2 s (in 16 of 60 runs of 41 times
// of leaving, in virtual time).
func (r *Router) settleWithLeader(now time.Time, settle time.Duration) {
	each := workers.SettleTime
	if !r.entries.storeUnreachable(now) {
		each = r.settings.Drain.Std()/2 - catchUpMargin
	}
	r.workers.SettleTold(now.Add(settle), each)
}
