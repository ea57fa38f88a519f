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

// workersView follows the worker entries, as read from the service or received from the leader.
type workersView struct {
	r  *Router
	mu sync.Mutex
	// at is the revision up to which all entries were read.
	at coord.Revision
	// unreachableSince is when the service last became unreachable.
	unreachableSince time.Time
	// unreadable holds the entries that can't be used as workers, as of their last changes.
	unreadable map[workers.ID]unreadableEntry
	zones      unknownZones
	// partial is the part of a paged list that was received so far.
	partial partialList
}

// partialList holds the received pages of a list as of one revision: all workers up to the ID
// after.
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
		return // newer changes were received from the leader
	}
	since := v.r.completeAsOf(v.r.entries)
	list := make([]peerlink.WorkerChange, 0, len(items))
	for _, item := range items {
		change := v.readEntry(item)
		change.LearnedAt = v.r.workers.EarliestListChange(since)
		list = append(list, change)
	}
	v.replace(list, at, since)
}

// replace sets the whole list. since is the time up to which everything was known before. The
// caller holds mu.
func (v *workersView) replace(list []peerlink.WorkerChange, at coord.Revision, since time.Time) {
	v.at = at
	v.r.entries.noteCovered(at)
	v.r.listSizeKnown.close()
	announced := make([]workers.Worker, 0, len(list))
	unusable := map[workers.ID]unreadableEntry{}
	learned := workers.LearnedTimes{}
	for _, change := range list {
		v.r.entries.noteListed(change.Revision, at)
		if change.Unreadable != nil {
			unusable[change.ID] = unreadableEntry{revision: change.Revision, fault: *change.Unreadable}
			continue
		}
		worker := change.Worker()
		v.zones.logIfUnknown(v.r.zoneMap, worker, v.r.log)
		announced = append(announced, worker)
		learned[change.ID] = change.LearnedAt
	}
	v.replaceUnreadable(unusable)
	vanished := v.r.workers.Replace(announced, learned, since)
	v.r.hub.SetEntries(list, at, since)
	v.logVanished(vanished, at)
	v.r.log.Line(decision.KindWorker).Int("announced", len(announced)).Int64("revision", int64(at)).Msg("worker list read")
}

// ApplyEvents implements coord.View.
func (v *workersView) ApplyEvents(events []coord.Event, at coord.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(v.changesOf(events), at)
}

// applyRelayed applies changes that the leader relays; false if earlier changes are missing.
func (v *workersView) applyRelayed(update peerlink.EntryChanges) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changes, err := update.Decode(clock.Now())
	if update.Full && err == nil {
		return v.collectPage(update, changes)
	}
	if v.at < update.From || err != nil {
		return false
	}
	v.apply(changes, update.To)
	return true
}

// collectPage adds a page of a list, and replaces the known list once it has the last page; false
// if earlier pages are missing. The caller holds mu.
func (v *workersView) collectPage(update peerlink.EntryChanges, changes []peerlink.WorkerChange) bool {
	if update.After == "" {
		v.partial = partialList{}
	}
	if update.After != v.partial.after {
		return false
	}
	v.partial.changes = append(v.partial.changes, changes...)
	v.partial.after, v.partial.at = update.Last, update.To
	if update.More {
		return true
	}
	list := v.partial
	v.partial = partialList{}
	if v.at < list.at {
		v.replace(list.changes, list.at, v.r.completeAsOf(v.r.entries))
	}
	return true
}

// partialListUpTo returns the last worker of a partially received list, and the list's revision.
func (v *workersView) partialListUpTo() (workers.ID, coord.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.partial.after, v.partial.at
}

// revision returns the revision up to which all entries were read.
func (v *workersView) revision() coord.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.at
}

// changesOf converts events into worker changes.
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

// apply applies the changes that are new. The caller holds mu.
func (v *workersView) apply(changes []peerlink.WorkerChange, at coord.Revision) {
	changes = slices.DeleteFunc(changes, func(change peerlink.WorkerChange) bool { return change.Revision <= v.at })
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
	learned := workers.LearnedTimes{}
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

// logVanished logs workers whose entries were removed, and whether they are kept.
func (v *workersView) logVanished(vanished workers.Vanished, at coord.Revision) {
	for _, id := range vanished.Gone {
		v.r.log.Line(decision.KindWorker).Str("worker", string(id)).Str("state", "gone").
			Int64("revision", int64(at)).Msg("")
	}
	for _, id := range vanished.Kept {
		v.r.log.Line(decision.KindWorker).Str("worker", string(id)).Str("state", "kept").
			Int64("revision", int64(at)).Float64("for", v.r.workers.SettlingLeft().Seconds()).Msg("entry vanished, but may merely have expired; keeping the worker")
	}
}

// logExpired logs workers whose removed entries did not come back in time.
func (v *workersView) logExpired(ids []workers.ID) {
	for _, id := range ids {
		v.r.log.Line(decision.KindWorker).Str("worker", string(id)).Str("state", "gone").Msg("expired entry did not come back; worker removed")
	}
}

// OnUnreachable implements coord.View.
func (v *workersView) OnUnreachable(err error) {
	v.unreachableSince = clock.Now()
	v.r.log.Line(decision.KindStoreLost).Str("for", "workers").Err(err).Msg("")
}

// catchUpMargin is subtracted from the time within which a router must have caught up: requests
// that are already sent take a moment to reach their worker.
const catchUpMargin = 200 * time.Millisecond

// OnReachable implements coord.View. Workers whose entries may have expired during the outage are
// kept for a while; a worker that left must get no requests once the router has to have caught up.
// That deadline counts from the end of the outage or disconnection, but this process's first answer
// may come a second later, because of the pause between attempts. The wait therefore counts from
// the last failed attempt. Counted from the first answer, requests went to a worker that had left
// for up to 3.9 s after the end of a disconnection, where 3 s are allowed (18 of 40 ends of a
// disconnection between two attempts, in virtual time).
func (v *workersView) OnReachable(since time.Time) {
	now := clock.Now()
	until := now.Add(workers.SettleTime)
	if caughtUp := since.Add(v.r.settings.CatchUp.Std() - catchUpMargin); caughtUp.Before(until) {
		until = caughtUp
	}
	v.r.workers.BeginSettling(until)
	v.r.log.Line(decision.KindStoreRegained).Str("for", "workers").Float64("away", now.Sub(v.unreachableSince).Seconds()).
		Float64("waits", max(0, until.Sub(now)).Seconds()).Msg("")
}

// settleWithLeader applies the leader's notice that removed entries may merely have expired. A
// process that was disconnected itself waits as long as the leader. Any other has read all changes;
// it waits for half of the drain time, in which leaving workers may get requests, less the transit
// time of a request. When it waited as long as the leader, it sent requests to workers for 2.2 s
// after they had left, where 2 s are allowed; without the margin, until the very end of the 2 s (in
// 16 of 60 runs of 41 leaving times, in virtual time).
func (r *Router) settleWithLeader(now time.Time, settle time.Duration) {
	each := workers.SettleTime
	if !r.entries.storeUnreachable(now) {
		each = r.settings.Drain.Std()/2 - catchUpMargin
	}
	r.workers.BeginPeerSettling(now.Add(settle), each)
}
