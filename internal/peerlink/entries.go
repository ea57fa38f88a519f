package peerlink

import (
	"cmp"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// keptChanges is how many changes of workers are kept for links that lag at the least, and
	// keptFor is for how long all are, however many come when workers start or a service is
	// released.
	keptChanges = 512
	keptFor     = 5 * time.Second
	// fewChanges are told as they are; more of them are packed.
	fewChanges = 8
	// newcomersPause is the pause between messages to a link that tell of nothing but
	// workers that came, of which there are many at a start. A worker that leaves is
	// told at once.
	newcomersPause = 400 * time.Millisecond
)

// entryLog keeps the last changes of workers. Each process keeps one, so that it has
// them when it leads.
type entryLog struct {
	// from and to are the revisions between which all changes are kept.
	from, to coord.Revision
	changes  []WorkerChange
	// came is when each of them did.
	came []time.Time
	// all are the last changes of the workers that have an entry; nil: no list was read.
	all map[workers.ID]WorkerChange
}

// read takes a list of all workers as of a revision. What it tells that was not known is kept as
// changes, so that links which knew all before are told these only, and not the list: each time
// that the history is forgotten one process reads the list anew.
// since is as of when all was known before.
func (l *entryLog) read(list []WorkerChange, at coord.Revision, since, now time.Time) {
	if l.all == nil || at < l.to {
		l.reset(list, at)
		return
	}
	l.add(l.news(list, at, since), at, now)
}

// reset begins anew: all up to a revision was read at once.
func (l *entryLog) reset(list []WorkerChange, at coord.Revision) {
	l.from, l.to, l.changes, l.came, l.all = at, at, nil, nil, map[workers.ID]WorkerChange{}
	for _, one := range list {
		l.all[one.ID] = one
	}
}

// news returns what a list tells that was not known, in the order of revisions. When workers went
// that are in it no longer is not told: their changes count as of the list, and are known since all
// was known before.
func (l *entryLog) news(list []WorkerChange, at coord.Revision, since time.Time) []WorkerChange {
	listed := make(map[workers.ID]bool, len(list))
	var news []WorkerChange
	for _, one := range list {
		listed[one.ID] = true
		if one.Revision > l.to {
			news = append(news, one)
		}
	}
	slices.SortFunc(news, func(a, b WorkerChange) int { return cmp.Compare(a.Revision, b.Revision) })
	for id := range l.all {
		if !listed[id] {
			news = append(news, WorkerChange{Revision: at, ID: id, Gone: true, LearnedAt: since})
		}
	}
	return news
}

// add takes changes that lead up to a revision.
func (l *entryLog) add(changes []WorkerChange, at coord.Revision, now time.Time) {
	l.changes = append(l.changes, changes...)
	for range changes {
		l.came = append(l.came, now)
	}
	l.to = max(l.to, at)
	l.know(changes)
	old, _ := slices.BinarySearchFunc(l.came, now.Add(-keptFor), time.Time.Compare)
	surplus := min(old, len(l.changes)-keptChanges)
	if surplus > 0 {
		l.from = l.changes[surplus-1].Revision
		l.changes = slices.Clone(l.changes[surplus:])
		l.came = slices.Clone(l.came[surplus:])
	}
}

// know keeps what is announced, once a list was read.
func (l *entryLog) know(changes []WorkerChange) {
	if l.all == nil {
		return
	}
	for _, one := range changes {
		if one.Gone && one.Unreadable == nil {
			delete(l.all, one.ID)
			continue
		}
		l.all[one.ID] = one
	}
}

// announced describes a worker as it is told at a time.
func (c WorkerChange) announced(now time.Time) WorkerChange {
	if c.Draining {
		c.AgeMillis = ageMillis(c.LearnedAt, now)
	}
	c.WarmMillis = max(0, c.warmAt.Sub(now).Milliseconds())
	return c
}

// whole announces all workers, to who knows none.
func (l *entryLog) whole(now time.Time) *EntryChanges {
	news := &EntryChanges{From: l.to, To: l.to, Whole: true}
	for _, one := range l.all {
		news.Changes = append(news.Changes, one.announced(now))
	}
	return news
}

// since returns all changes after a revision, or all workers to who knows none; without them if
// they are too many or no longer kept, and nil if there are none. Each says how old it is now.
func (l *entryLog) since(revision coord.Revision, now time.Time) *EntryChanges {
	switch {
	case revision >= l.to:
		return nil
	case revision == 0 && l.all != nil:
		return l.whole(now)
	case revision < l.from:
		return &EntryChanges{From: l.to, To: l.to}
	}
	news := &EntryChanges{From: revision, To: l.to}
	for _, change := range l.changes {
		if change.Revision > revision {
			change.AgeMillis = ageMillis(change.LearnedAt, now)
			news.Changes = append(news.Changes, change)
		}
	}
	return news
}

// ageMillis is for how long something has been known; zero if that is not told.
func ageMillis(learned, now time.Time) int64 {
	if learned.IsZero() {
		return 0
	}
	return max(0, now.Sub(learned).Milliseconds())
}

// urgent reports whether a change says that a worker leaves.
func urgent(one WorkerChange) bool { return one.Gone || one.Draining }

// tellEntries adds to an update what a link has not heard of the workers. The caller holds mu.
func (h *Hub) tellEntries(one *link, update *Update, now time.Time) {
	if !h.listsTo(one) {
		one.list = listPosition{}
		update.Entries = h.entriesFor(one, now)
		return
	}
	update.Page = h.pageFor(one, now)
}

// listsTo reports whether a link is to be told a list that takes several messages: it knows no
// worker, or has missed more changes than are kept.
func (h *Hub) listsTo(one *link) bool {
	lacks := one.entries == 0 || one.entries < h.entries.from
	return lacks && one.entries < h.entries.to && len(h.entries.all) > pageWorkers
}

// entriesFor returns what a link has not heard of the workers. The caller holds mu.
func (h *Hub) entriesFor(one *link, now time.Time) *EntryChanges {
	news := h.entries.since(one.entries, now)
	if news == nil {
		return nil
	}
	hurry := news.Whole || len(news.Changes) == 0 || slices.ContainsFunc(news.Changes, urgent)
	if !hurry && now.Sub(one.entriesAt) < newcomersPause {
		return nil
	}
	one.entries, one.entriesAt = news.To, now
	if len(news.Changes) > fewChanges {
		h.packed.pack(news, now)
	}
	return news
}

// packedEntries keeps what was packed last: links lag by the same.
type packedEntries struct {
	from, to coord.Revision
	whole    bool
	packed   []byte
	at       time.Time
}

// pack packs the changes of a message.
func (p *packedEntries) pack(news *EntryChanges, now time.Time) {
	if p.from != news.From || p.to != news.To || p.whole != news.Whole {
		*p = packedEntries{from: news.From, to: news.To, whole: news.Whole, packed: pack(news.Changes), at: now}
	}
	news.Packed, news.Changes, news.PackedMillis = p.packed, nil, ageMillis(p.at, now)
}

// EntriesRead tells which entries there are at a revision, up to which all were read at once. since
// is as of when all was known before; the zero time: until now.
func (h *Hub) SetEntries(list []WorkerChange, at coord.Revision, since time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries.read(list, at, since, clock.Now())
	h.wakeAll()
}

// EntriesSince returns what has changed of them after a revision; nil if nothing has.
func (h *Hub) EntriesSince(revision coord.Revision) *EntryChanges {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entries.since(revision, clock.Now())
}

// EntriesChanged tells of changes that lead up to a revision.
func (h *Hub) AddEntryChanges(changes []WorkerChange, at coord.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries.add(changes, at, clock.Now())
	h.wakeAll()
}

// strongest returns the greatest strength of the linked machines and the own. The
// caller holds mu.
func (h *Hub) strongest() float64 {
	strongest := h.Strength
	for one := range h.links {
		strongest = max(strongest, one.hello.Strength)
	}
	return strongest
}
