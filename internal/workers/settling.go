package workers

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// SettleTime is how long after the service has become reachable again entries that expired in the
// meantime are back, if their workers are alive: the users' platform specifies about 2 s.
const SettleTime = 2200 * time.Millisecond

// settling is a period in which entries that vanish may merely have expired.
type settling struct {
	until time.Time
	// perEntry limits how long the worker of one entry is kept.
	perEntry time.Duration
}

// deadline returns until when the worker of an entry that vanishes now is kept. The time has passed
// if the worker is not kept.
func (s settling) deadline(now time.Time) time.Time {
	if longest := now.Add(s.perEntry); longest.Before(s.until) {
		return longest
	}
	return s.until
}

// keptWorker is a worker whose entry vanished.
type keptWorker struct {
	// since is when the entry vanished, and until when the worker is kept. That is decided once: if
	// each settling period began the wait anew, a worker that left would be kept for as long as the
	// service alternates between reachable and unreachable.
	since, until time.Time
}

// BeginSettling records that this process could not reach the service: until a time, entries of
// ready workers that vanish may merely have expired, and their workers are kept.
func (d *Directory) BeginSettling(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own = settling{until: until, perEntry: SettleTime}
}

// BeginPeerSettling records that another process, which sends changes to this one, could not reach
// the service. perEntry limits how long one worker is kept: a process that read all changes itself
// in the meantime would otherwise send requests to workers that left, for as long as the other
// process waits.
func (d *Directory) BeginPeerSettling(until time.Time, perEntry time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peer = settling{until: until, perEntry: perEntry}
}

// EndSettling records that other processes could reach the service: workers whose entries vanished
// are removed.
func (d *Directory) EndSettling() {
	d.mu.Lock()
	d.own, d.peer = settling{}, settling{}
	for id, kept := range d.kept {
		kept.until = time.Time{}
		d.kept[id] = kept
	}
	d.mu.Unlock()
	d.Expire()
}

// SettlingLeft returns for how much longer workers are kept when their entries vanish.
func (d *Directory) SettlingLeft() time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return max(0, clock.Until(d.own.until), clock.Until(d.peer.until))
}

// KeptCount returns how many workers are kept although their entries vanished.
func (d *Directory) KeptCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.kept)
}

// OnExpired sets a function that is called with the workers whose entries did not come back in
// time. It must be set before the directory is used.
func (d *Directory) OnExpired(call func([]ID)) { d.onExpired = call }

// handleVanished records that the entry of a known worker vanished, which is known since learnedAt,
// and reports whether the worker is kept. The caller holds mu.
func (d *Directory) handleVanished(id ID, learnedAt time.Time, vanished *Vanished) bool {
	if _, already := d.kept[id]; already && !d.unreadable[id] {
		return true
	}
	delete(d.kept, id)
	now := clock.Now()
	until := d.keptUntil(id, learnedAt, now)
	if !now.Before(until) {
		d.goneAt[id] = learnedAt
		vanished.Gone = append(vanished.Gone, id)
		return false
	}
	d.kept[id] = keptWorker{since: learnedAt, until: until}
	vanished.Kept = append(vanished.Kept, id)
	time.AfterFunc(until.Sub(now), d.Expire)
	return true
}

// keptUntil returns until when a known worker is kept whose entry vanished, which is known since
// learnedAt. A process that could not reach the service itself can't know when the entry vanished:
// the end of its wait depends on when it reached the service again. The caller holds mu.
func (d *Directory) keptUntil(id ID, learnedAt, now time.Time) time.Time {
	if d.byID[id].State != StateReady || d.unreadable[id] {
		return now // it left, or its entry exists and has not expired
	}
	own, peer := d.own.deadline(now), d.peer.deadline(learnedAt)
	if peer.After(own) {
		return peer
	}
	return own
}

// Expire removes the workers whose entries did not come back in time. A timer calls it when that
// time is over; it must also be called after a suspension, during which timers stop.
func (d *Directory) Expire() {
	expired := d.removeExpired()
	if len(expired) > 0 && d.onExpired != nil {
		d.onExpired(expired)
	}
}

// removeExpired removes the kept workers whose time is over, and returns them. They count as
// removed since their entries vanished: the time for which requests may still reach them counts
// from then.
func (d *Directory) removeExpired() []ID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var expired []ID
	for id, kept := range d.kept {
		if clock.Now().Before(kept.until) {
			continue
		}
		delete(d.kept, id)
		delete(d.byID, id)
		delete(d.drainingSince, id)
		d.goneAt[id] = kept.since
		expired = append(expired, id)
	}
	if len(expired) > 0 {
		d.rebuildIndex()
	}
	return expired
}
