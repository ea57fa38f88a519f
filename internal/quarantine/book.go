package quarantine

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// mostCrashes is how many workers a request may crash before it is quarantined. One crash
	// may be chance, and so may two where requests are many; the users' platform allows three.
	mostCrashes = 3
	// sameMoment: workers that end within it may have ended together, for a reason that they
	// share (a rack, a zone, an address). Routers report a crash within half a second.
	sameMoment = time.Second
	// suspectMemory is for how long a crash is held against a request that is not quarantined.
	// Callers who come again do so within seconds; two crashes an hour apart are chance.
	suspectMemory = 10 * time.Minute
	// holdTime is for how long a request stays in quarantine unless an operator lifts it: the
	// users' platform counts what is sent within a day.
	holdTime = 24 * time.Hour
	// mostRecords bounds the requests that are remembered. Those that are not quarantined and
	// were suspected longest ago make room.
	mostRecords = 512
)

// Standing says how a request may be sent.
type Standing int

// Standings of requests.
const (
	// Free: nothing speaks against it.
	Free Standing = iota
	// Suspect: it was under way at a worker that crashed, and no run has ended well since. It
	// may be sent, but to one worker at a time.
	Suspect
	// Quarantined: it may not be sent.
	Quarantined
)

// Crash is a worker's end with a request under way.
type Crash struct {
	Worker workers.ID
	// Born tells the lives of a worker apart that starts again under its ID: each crash counts.
	Born workers.Born
	// Caller had asked for what was under way.
	Caller netip.Addr
	At     time.Time
}

// life returns the life of the worker that crashed.
func (c Crash) life() workers.Life { return workers.Life{ID: c.Worker, Born: c.Born} }

// same reports whether two crashes are one, with the request of the same caller under way. Their
// times may differ by what messages took.
func (c Crash) same(other Crash) bool { return c.life() == other.life() && c.Caller == other.Caller }

// Record is what is known of a request.
type Record struct {
	// Attempt is the last one that was under way at a crash.
	Attempt Attempt
	// For is the only caller whose request is meant; zero: everybody's.
	For netip.Addr
	// Crashes are those of different workers, or with requests of different callers, in order.
	Crashes []Crash
	// HeldAt is when the request was quarantined; zero: it is not.
	HeldAt time.Time
}

// Standing says how the request may be sent.
func (r Record) Standing() Standing {
	if r.HeldAt.IsZero() {
		return Suspect
	}
	return Quarantined
}

// Until returns when the record is forgotten.
func (r Record) Until() time.Time {
	if !r.HeldAt.IsZero() {
		return r.HeldAt.Add(holdTime)
	}
	return r.last().Add(suspectMemory)
}

// last returns when the last of its crashes was.
func (r Record) last() time.Time { return r.Crashes[len(r.Crashes)-1].At }

// Book judges requests by the crashes that they were under way at. Its zero value is not
// usable; see NewBook.
//
// All requests that were under way at a worker's crash are suspects. What tells the guilty one
// is that it was under way at three, at different moments, without a run of it that ended well
// in between: such a run clears a request. Crashes with the requests of all callers add up; once
// a run of one caller has ended well, what crashed under another's speaks against that one's only.
type Book struct {
	records map[Fingerprint]*Record
	// ended are the workers that crashed lately, whatever was under way there.
	ended   map[workers.Life]time.Time
	version uint64
	// dropped counts the suspects that were forgotten to make room.
	dropped uint64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{records: map[Fingerprint]*Record{}, ended: map[workers.Life]time.Time{}}
}

// Version counts the changes of the book.
func (b *Book) Version() uint64 { return b.version }

// Dropped counts the suspects that were forgotten early, to make room for others.
func (b *Book) Dropped() uint64 { return b.dropped }

// Len returns how many requests are suspects or quarantined.
func (b *Book) Len() int { return len(b.records) }

// Standing says how the request of a caller may be sent.
func (b *Book) Standing(run Run) Standing {
	return max(b.standing(run.Request), b.standing(run.Request.By(run.Caller)))
}

func (b *Book) standing(request Fingerprint) Standing {
	if known := b.records[request]; known != nil {
		return known.Standing()
	}
	return Free
}

// Crashed notes that a request was under way at a worker when that crashed, at a time. It
// returns what is quarantined by that: the request, or that of its caller.
func (b *Book) Crashed(now time.Time, attempt Attempt, crash Crash) []Attempt {
	if _, known := b.ended[crash.life()]; !known {
		b.ended[crash.life()] = crash.At
	}
	crash.Caller = attempt.Caller
	var held []Attempt
	if b.blame(now, attempt, netip.Addr{}, crash) {
		held = append(held, attempt)
	}
	own := attempt
	own.Request = attempt.Request.By(attempt.Caller)
	if b.records[own.Request] != nil && b.blame(now, own, attempt.Caller, crash) {
		held = append(held, own)
	}
	b.makeRoom()
	return held
}

// blame holds a crash against a request, of one caller or of everybody. It reports whether the
// request is quarantined by that.
func (b *Book) blame(now time.Time, attempt Attempt, caller netip.Addr, crash Crash) bool {
	known := b.records[attempt.Request]
	if known == nil {
		known = &Record{For: caller}
		b.records[attempt.Request] = known
	}
	if !known.add(crash) {
		return false
	}
	known.Attempt = attempt
	b.version++
	if known.crashedOften() && known.moments() > 1 {
		known.HeldAt = now
		return true
	}
	return false
}

// add adds a crash; false if it is known, or nothing depends on it since the request is
// quarantined.
func (r *Record) add(crash Crash) bool {
	if !r.HeldAt.IsZero() || slices.ContainsFunc(r.Crashes, crash.same) {
		return false
	}
	r.Crashes = append(r.Crashes, crash)
	slices.SortStableFunc(r.Crashes, func(a, c Crash) int { return a.At.Compare(c.At) })
	return true
}

// ends returns when each of the request's workers crashed, in order.
func (r *Record) ends() []time.Time {
	var ends []time.Time
	ended := map[workers.Life]bool{}
	for _, crash := range r.Crashes {
		if !ended[crash.life()] {
			ended[crash.life()] = true
			ends = append(ends, crash.At)
		}
	}
	return ends
}

func (r *Record) crashedOften() bool { return len(r.ends()) >= mostCrashes }

// moments counts the moments at which the request's workers crashed. A moment lasts from its first
// crash, so that a steady series of crashes has many.
func (r *Record) moments() int {
	count := 0
	var began time.Time
	for _, end := range r.ends() {
		if count == 0 || end.Sub(began) >= sameMoment {
			count++
			began = end
		}
	}
	return count
}

// Finished notes that a run of a request ended well: it does not crash its workers, as its caller
// asks it. It reports whether the request was suspected or quarantined.
func (b *Book) Finished(run Run) bool {
	if b.Standing(run) == Free {
		return false
	}
	delete(b.records, run.Request.By(run.Caller))
	if known := b.records[run.Request]; known != nil {
		delete(b.records, run.Request)
		b.holdAgainstOthers(known, run.Caller)
	}
	b.version++
	b.makeRoom()
	return true
}

// holdAgainstOthers holds the crashes of a request against the requests of their own callers,
// except for one of these.
func (b *Book) holdAgainstOthers(known *Record, except netip.Addr) {
	for _, crash := range known.Crashes {
		if crash.Caller == except {
			continue
		}
		own := known.Attempt
		own.Request, own.Caller = known.Attempt.Request.By(crash.Caller), crash.Caller
		b.blame(crash.At, own, crash.Caller, crash)
	}
}

// Settle does what time brings: it forgets what is old, and quarantines requests whose workers
// all crashed at one moment if no other worker crashed then, as it would where they share a
// reason. It needs the evidence of all processes. It returns those that it has quarantined.
func (b *Book) Settle(now time.Time) []Record {
	var held []Record
	for request, known := range b.records {
		switch {
		case !now.Before(known.Until()):
			delete(b.records, request)
			b.version++
		case known.HeldAt.IsZero() && known.crashedOften() && now.Sub(known.last()) >= sameMoment && b.alone(known):
			known.HeldAt = now
			b.version++
			held = append(held, known.copied())
		}
	}
	maps.DeleteFunc(b.ended, func(_ workers.Life, at time.Time) bool { return now.Sub(at) >= suspectMemory })
	return held
}

// alone reports whether no worker without the request crashed at the moment of its crashes.
func (b *Book) alone(of *Record) bool {
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

// makeRoom forgets the suspects of longest ago if there are too many records.
func (b *Book) makeRoom() {
	for len(b.records) > mostRecords {
		var oldest Fingerprint
		var at time.Time
		for request, known := range b.records {
			if known.HeldAt.IsZero() && (at.IsZero() || known.last().Before(at)) {
				oldest, at = request, known.last()
			}
		}
		if at.IsZero() {
			return
		}
		delete(b.records, oldest)
		b.dropped++
	}
}

// Records returns all requests that are suspects or quarantined, those first that have crashed
// workers for longest.
func (b *Book) Records() []Record {
	list := make([]Record, 0, len(b.records))
	for _, known := range b.records {
		list = append(list, known.copied())
	}
	slices.SortFunc(list, func(a, c Record) int {
		if order := a.Crashes[0].At.Compare(c.Crashes[0].At); order != 0 {
			return order
		}
		return slices.Compare(a.Attempt.Request[:], c.Attempt.Request[:])
	})
	return list
}

func (r *Record) copied() Record {
	same := *r
	same.Crashes = slices.Clone(r.Crashes)
	return same
}

// Replace sets all records.
func (b *Book) Replace(list []Record) {
	clear(b.records)
	b.version++
	b.Merge(list)
}

// Merge adds what another book knows.
func (b *Book) Merge(list []Record) {
	for _, other := range list {
		if len(other.Crashes) == 0 {
			continue
		}
		known := b.records[other.Attempt.Request]
		if known == nil {
			known = &Record{Attempt: other.Attempt, For: other.For}
			b.records[other.Attempt.Request] = known
			b.version++
		}
		for _, crash := range other.Crashes {
			if known.add(crash) {
				b.version++
			}
		}
		if known.HeldAt.IsZero() && !other.HeldAt.IsZero() {
			known.HeldAt = other.HeldAt
			b.version++
		}
	}
	b.makeRoom()
}
