package quarantine

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Book judges requests by the crashes that they were under way at. Its zero value is not
// usable; see NewTracker.
//
// All requests that were under way at a worker's crash are suspects. What tells the guilty one
// is that it was under way at three, at different moments, without a run of it that ended well
// in between: such a run clears a request. Crashes with the requests of all callers add up; once
// a run of one caller has ended well, what crashed under another's speaks against that one's only.
type Tracker struct {
	records map[Fingerprint]*Record
	// ended are the workers that crashed lately, whatever was under way there, and crowds count
	// them.
	ended   map[workers.Incarnation]time.Time
	crowds  crowds
	version uint64
	// dropped counts the suspects that were forgotten to make room.
	dropped uint64
}

// NewTracker returns an empty book.
func NewTracker() *Tracker {
	return &Tracker{records: map[Fingerprint]*Record{}, ended: map[workers.Incarnation]time.Time{}, crowds: crowds{}}
}

// Version counts the changes of the book.
func (b *Tracker) Version() uint64 { return b.version }

// Dropped counts the suspects that were forgotten early, to make room for others.
func (b *Tracker) Evicted() uint64 { return b.dropped }

// Count returns how many requests are suspects and how many are quarantined.
func (b *Tracker) Count() (suspects, quarantined int) {
	for _, known := range b.records {
		switch known.Standing() {
		case Suspect:
			suspects++
		case Quarantined:
			quarantined++
		}
	}
	return suspects, quarantined
}

// Standing says how the request of a caller may be sent.
func (b *Tracker) Standing(run CallerRequest) Standing {
	return max(b.standing(run.Request), b.standing(run.Request.ForCaller(run.Caller)))
}

func (b *Tracker) standing(request Fingerprint) Standing {
	if known := b.records[request]; known != nil {
		return known.Standing()
	}
	return Unsuspected
}

// Crashed notes that a request was under way at a worker when that crashed, at a time. It
// returns what is quarantined by that: the request, or that of its caller.
func (b *Tracker) RecordCrash(now time.Time, attempt Attempt, crash Crash) []Attempt {
	if _, known := b.ended[crash.life()]; !known {
		b.ended[crash.life()] = crash.At
		b.crowds.add(crash.At)
	}
	crash.Caller = attempt.Caller
	var held []Attempt
	own := attempt.own()
	if b.isCallers(attempt, crash) && b.blame(now, own, attempt.Caller, crash) {
		held = append(held, own)
	}
	if b.blame(now, attempt, netip.Addr{}, crash) {
		held = append(held, attempt)
	}
	b.makeRoom()
	return held
}

// isCallers reports whether a crash is held against the request of its caller too: once runs of
// others have ended well.
func (b *Tracker) isCallers(attempt Attempt, crash Crash) bool {
	known := b.records[attempt.Request]
	if known != nil && known.lifts(crash.At) {
		return false
	}
	return b.records[attempt.own().Request] != nil || (known != nil && known.clears(crash.At))
}

// blame holds a crash against a request, of one caller or of everybody. It reports whether the
// request is quarantined by that.
func (b *Tracker) blame(now time.Time, attempt Attempt, caller netip.Addr, crash Crash) bool {
	known := b.record(attempt, caller)
	if !known.add(crash) {
		return false
	}
	b.version++
	if known.QuarantinedAt.IsZero() {
		known.Attempt = attempt
	}
	return known.noteHeld(now)
}

// record returns what is known of a request, of one caller or of everybody; nothing is yet if it
// is new.
func (b *Tracker) record(attempt Attempt, caller netip.Addr) *Record {
	known := b.records[attempt.Request]
	if known == nil {
		known = &Record{Attempt: attempt, OnlyCaller: caller}
		b.records[attempt.Request] = known
	}
	return known
}

// Finished notes that a run of a request ended well: it does not crash its workers, as its caller
// asks it. It reports whether the request was suspected or quarantined.
func (b *Tracker) RecordSuccess(now time.Time, run CallerRequest) bool {
	if b.Standing(run) == Unsuspected {
		return false
	}
	if own := b.records[run.Request.ForCaller(run.Caller)]; own != nil {
		own.clear(now)
	}
	if known := b.records[run.Request]; known != nil {
		cleared := known.clear(now)
		if slices.ContainsFunc(cleared, func(crash Crash) bool { return crash.Caller == run.Caller }) {
			b.record(Attempt{Request: run.Request, Caller: run.Caller}.own(), run.Caller).clear(now)
		}
		b.holdAgainstCallers(known.Attempt, cleared)
	}
	b.version++
	b.makeRoom()
	return true
}

// holdAgainstCallers holds the crashes of a request that was cleared against the requests of their
// own callers.
func (b *Tracker) holdAgainstCallers(attempt Attempt, crashes []Crash) {
	for _, crash := range crashes {
		attempt.Caller = crash.Caller
		b.blame(crash.At, attempt.own(), crash.Caller, crash)
	}
}

// Settle does what time brings: it forgets what is old, and quarantines requests whose workers
// all crashed at one moment if no other worker crashed then, as it would where they share a
// reason. It needs the evidence of all processes. It returns those that it has quarantined.
func (b *Tracker) Evaluate(now time.Time) []Record {
	b.Expire(now)
	var held []Record
	for _, known := range b.records {
		if known.Standing() == Suspect && known.crashedOften() && now.Sub(known.last()) >= sameMoment && b.alone(known) {
			known.IsolatedAt, known.QuarantinedAt = now, now
			b.version++
			held = append(held, known.copied())
		}
	}
	return held
}

// Expire forgets what is old.
func (b *Tracker) Expire(now time.Time) {
	maps.DeleteFunc(b.records, func(_ Fingerprint, known *Record) bool {
		old := !now.Before(known.ExpiresAt())
		if old {
			b.version++
		}
		return old
	})
	maps.DeleteFunc(b.ended, func(_ workers.Incarnation, at time.Time) bool { return now.Sub(at) >= suspectMemory })
	b.crowds.forget(now.Add(-suspectMemory))
}

// alone reports whether no worker without the request crashed at the moment of its crashes.
func (b *Tracker) alone(of *Record) bool {
	first, last := of.Crashes[0].At.Add(-sameMoment), of.last().Add(sameMoment)
	for life, at := range b.ended {
		if at.Before(first) || at.After(last) {
			continue
		}
		if !slices.ContainsFunc(of.Crashes, func(one Crash) bool { return one.life() == life }) {
			return false
		}
	}
	return true
}

// Records returns all that is known, those requests first that have crashed workers for longest.
func (b *Tracker) Records() []Record {
	list := make([]Record, 0, len(b.records))
	for _, known := range b.records {
		list = append(list, known.copied())
	}
	slices.SortFunc(list, func(a, c Record) int {
		if order := a.began().Compare(c.began()); order != 0 {
			return order
		}
		return slices.Compare(a.Attempt.Request[:], c.Attempt.Request[:])
	})
	return list
}

// began returns when the first crash was that counts; without one, when the request was cleared.
func (r Record) began() time.Time {
	if len(r.Crashes) == 0 {
		return r.removedAt()
	}
	return r.Crashes[0].At
}

// Merge adds what another book knows. It returns what is quarantined by that.
func (b *Tracker) Merge(now time.Time, list []Record) []Attempt {
	var held []Attempt
	for _, other := range list {
		if other.Standing() == Unsuspected && other.removedAt().IsZero() {
			continue
		}
		known := b.record(other.Attempt, other.OnlyCaller)
		before := known.Standing()
		if known.merge(other) {
			b.version++
		}
		known.noteHeld(now)
		if before != Quarantined && known.Standing() == Quarantined {
			held = append(held, known.Attempt)
		}
	}
	b.makeRoom()
	return held
}
