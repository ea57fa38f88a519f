package workers

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// SettleTime is how long after the service's return entries that lapsed meanwhile are
// back, if their workers live: the users' platform says about 2 s.
const SettleTime = 2200 * time.Millisecond

// wait is a time in which entries that vanish may have lapsed only.
type wait struct {
	until time.Time
	// each is for how long one entry is waited for at most.
	each time.Duration
}

// deadline returns until when an entry that vanishes now is waited for; it has passed if
// the entry is not.
func (w wait) deadline(now time.Time) time.Time {
	if longest := now.Add(w.each); longest.Before(w.until) {
		return longest
	}
	return w.until
}

// kept is a worker whose entry went.
type kept struct {
	// since is when the entry went, and until when the worker is kept. That is decided once:
	// with a wait that began anew a worker that left would be kept for as long as the service
	// comes and goes.
	since, until time.Time
}

// Settle tells that this process did not reach the service: until a time, entries of ready
// workers that vanish may have lapsed only, and their workers are kept.
func (d *Directory) BeginSettling(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own = wait{until: until, each: SettleTime}
}

// SettleTold tells that another process, which tells of changes, did not reach the service.
// each is for how long one worker is kept at most: who read all changes itself meanwhile
// would else send requests to workers that left, for as long as the other waits.
func (d *Directory) BeginPeerSettling(until time.Time, each time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told = wait{until: until, each: each}
}

// EndSettling tells that the service was not away for others: entries that vanished are
// gone.
func (d *Directory) EndSettling() {
	d.mu.Lock()
	d.own, d.told = wait{}, wait{}
	for id, one := range d.kept {
		one.until = time.Time{}
		d.kept[id] = one
	}
	d.mu.Unlock()
	d.Expire()
}

// Settling returns for how long vanished entries are kept still.
func (d *Directory) SettlingLeft() time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return max(0, clock.Until(d.own.until), clock.Until(d.told.until))
}

// Kept returns how many workers are kept although their entries went.
func (d *Directory) KeptCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.kept)
}

// OnExpired sets what is called with the workers whose entries did not come back in time.
// It is set before the directory is used.
func (d *Directory) OnExpired(call func([]ID)) { d.expired = call }

// vanish notes that the entry of a known worker went, and reports whether the worker is
// kept. learned is since when that is known. The caller holds mu.
func (d *Directory) vanish(id ID, learned time.Time, vanished *Vanished) bool {
	if _, already := d.kept[id]; already && !d.unreadable[id] {
		return true
	}
	delete(d.kept, id)
	now := clock.Now()
	until := d.keptUntil(id, learned, now)
	if !now.Before(until) {
		d.goneAt[id] = learned
		vanished.Gone = append(vanished.Gone, id)
		return false
	}
	d.kept[id] = kept{since: learned, until: until}
	vanished.Kept = append(vanished.Kept, id)
	time.AfterFunc(until.Sub(now), d.Expire)
	return true
}

// keptUntil returns until when a known worker is kept whose entry went, as is known since a
// time. A process that was away itself cannot know when: its wait ends by when it was back. The
// caller holds mu.
func (d *Directory) keptUntil(id ID, learned, now time.Time) time.Time {
	if d.byID[id].State != StateReady || d.unreadable[id] {
		return now // it left, or its entry stands and has not lapsed
	}
	own, told := d.own.deadline(now), d.told.deadline(learned)
	if told.After(own) {
		return told
	}
	return own
}

// Expire takes workers to be gone whose entries did not come back in time. It is done when that
// time is over, and is to be called after a suspension, in which timers stand.
func (d *Directory) Expire() {
	expired := d.dropKept()
	if len(expired) > 0 && d.expired != nil {
		d.expired(expired)
	}
}

// dropKept removes the kept workers whose time is over, and returns them. They are gone since
// their entries went: what else may reach them for a while is counted from then.
func (d *Directory) dropKept() []ID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var expired []ID
	for id, one := range d.kept {
		if clock.Now().Before(one.until) {
			continue
		}
		delete(d.kept, id)
		delete(d.byID, id)
		delete(d.drainingSince, id)
		d.goneAt[id] = one.since
		expired = append(expired, id)
	}
	if len(expired) > 0 {
		d.index()
	}
	return expired
}
