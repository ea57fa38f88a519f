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
	// minKeptChanges is how many changes of workers are kept for links that lag at the least, and
	// changesKeptFor is for how long all are, however many come when workers start or a service is
	// released.
	minKeptChanges = 512
	changesKeptFor = 5 * time.Second
	// maxUnpackedChanges are told as they are; more of them are packed.
	maxUnpackedChanges = 8
	// newWorkersInterval is the pause between messages to a link that tell of nothing but
	// workers that came, of which there are many at a start. A worker that leaves is
	// told at once.
	newWorkersInterval = 400 * time.Millisecond
)

// entryLog keeps the last changes of workers. Each process keeps one, so that it has
// them when it leads.
type entryLog struct {
	// from and to are the revisions between which all changes are kept.
	from, to coord.Revision
	changes  []WorkerChange
	// came is when each of them did.
	receivedAt []time.Time
	// all are the last changes of the workers that have an entry; nil: no list was read.
	current map[workers.ID]WorkerChange
}

// read takes a list of all workers as of a revision. What it tells that was not known is kept as
// changes, so that links which knew all before are told these only, and not the list: each time
// that the history is forgotten one process reads the list anew.
// since is as of when all was known before.
func (l *entryLog) setList(list []WorkerChange, revision coord.Revision, goneSince, now time.Time) {
	if l.current == nil || revision < l.to {
		l.reset(list, revision)
		return
	}
	l.add(l.changesIn(list, revision, goneSince), revision, now)
}

// reset begins anew: all up to a revision was read at once.
func (l *entryLog) reset(list []WorkerChange, revision coord.Revision) {
	l.from, l.to, l.changes, l.receivedAt, l.current = revision, revision, nil, nil, map[workers.ID]WorkerChange{}
	for _, change := range list {
		l.current[change.ID] = change
	}
}

// news returns what a list tells that was not known, in the order of revisions. When workers went
// that are in it no longer is not told: their changes count as of the list, and are known since all
// was known before.
func (l *entryLog) changesIn(list []WorkerChange, revision coord.Revision, goneSince time.Time) []WorkerChange {
	listed := make(map[workers.ID]bool, len(list))
	var changes []WorkerChange
	for _, change := range list {
		listed[change.ID] = true
		if change.Revision > l.to {
			changes = append(changes, change)
		}
	}
	slices.SortFunc(changes, func(a, b WorkerChange) int { return cmp.Compare(a.Revision, b.Revision) })
	for id := range l.current {
		if !listed[id] {
			changes = append(changes, WorkerChange{Revision: revision, ID: id, Gone: true, LearnedAt: goneSince})
		}
	}
	return changes
}

// add takes changes that lead up to a revision.
func (l *entryLog) add(changes []WorkerChange, revision coord.Revision, now time.Time) {
	l.changes = append(l.changes, changes...)
	for range changes {
		l.receivedAt = append(l.receivedAt, now)
	}
	l.to = max(l.to, revision)
	l.updateCurrent(changes)
	old, _ := slices.BinarySearchFunc(l.receivedAt, now.Add(-changesKeptFor), time.Time.Compare)
	surplus := min(old, len(l.changes)-minKeptChanges)
	if surplus > 0 {
		l.from = l.changes[surplus-1].Revision
		l.changes = slices.Clone(l.changes[surplus:])
		l.receivedAt = slices.Clone(l.receivedAt[surplus:])
	}
}

// know keeps what is announced, once a list was read.
func (l *entryLog) updateCurrent(changes []WorkerChange) {
	if l.current == nil {
		return
	}
	for _, change := range changes {
		if change.Gone && change.Unreadable == nil {
			delete(l.current, change.ID)
			continue
		}
		l.current[change.ID] = change
	}
}

// announced describes a worker as it is told at a time.
func (c WorkerChange) withAges(now time.Time) WorkerChange {
	if c.Draining {
		c.AgeMillis = ageMillis(c.LearnedAt, now)
	}
	c.WarmMillis = max(0, c.warmAt.Sub(now).Milliseconds())
	return c
}

// whole announces all workers, to who knows none.
func (l *entryLog) fullList(now time.Time) *EntryChanges {
	full := &EntryChanges{From: l.to, To: l.to, Whole: true}
	for _, change := range l.current {
		full.Changes = append(full.Changes, change.withAges(now))
	}
	return full
}

// since returns all changes after a revision, or all workers to who knows none; without them if
// they are too many or no longer kept, and nil if there are none. Each says how old it is now.
func (l *entryLog) changesSince(revision coord.Revision, now time.Time) *EntryChanges {
	switch {
	case revision >= l.to:
		return nil
	case revision == 0 && l.current != nil:
		return l.fullList(now)
	case revision < l.from:
		return &EntryChanges{From: l.to, To: l.to}
	}
	result := &EntryChanges{From: revision, To: l.to}
	for _, change := range l.changes {
		if change.Revision > revision {
			change.AgeMillis = ageMillis(change.LearnedAt, now)
			result.Changes = append(result.Changes, change)
		}
	}
	return result
}

// ageMillis is for how long something has been known; zero if that is not told.
func ageMillis(learnedAt, now time.Time) int64 {
	if learnedAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(learnedAt).Milliseconds())
}

// urgent reports whether a change says that a worker leaves.
func urgent(change WorkerChange) bool { return change.Gone || change.Draining }

// tellEntries adds to an update what a link has not heard of the workers. The caller holds mu.
func (h *Hub) addEntries(l *link, update *Update, now time.Time) {
	if !h.needsPagedList(l) {
		l.listPosition = listPosition{}
		update.Entries = h.entryChangesFor(l, now)
		return
	}
	update.Page = h.pageFor(l, now)
}

// listsTo reports whether a link is to be told a list that takes several messages: it knows no
// worker, or has missed more changes than are kept.
func (h *Hub) needsPagedList(l *link) bool {
	lacks := l.entriesRevision == 0 || l.entriesRevision < h.entries.from
	return lacks && l.entriesRevision < h.entries.to && len(h.entries.current) > pageWorkers
}

// entriesFor returns what a link has not heard of the workers. The caller holds mu.
func (h *Hub) entryChangesFor(l *link, now time.Time) *EntryChanges {
	changes := h.entries.changesSince(l.entriesRevision, now)
	if changes == nil {
		return nil
	}
	immediate := changes.Whole || len(changes.Changes) == 0 || slices.ContainsFunc(changes.Changes, urgent)
	if !immediate && now.Sub(l.entriesSentAt) < newWorkersInterval {
		return nil
	}
	l.entriesRevision, l.entriesSentAt = changes.To, now
	if len(changes.Changes) > maxUnpackedChanges {
		h.packedEntries.pack(changes, now)
	}
	return changes
}

// packedEntries keeps what was packed last: links lag by the same.
type packedEntries struct {
	from, to coord.Revision
	whole    bool
	packed   []byte
	packedAt time.Time
}

// pack packs the changes of a message.
func (p *packedEntries) pack(changes *EntryChanges, now time.Time) {
	if p.from != changes.From || p.to != changes.To || p.whole != changes.Whole {
		*p = packedEntries{from: changes.From, to: changes.To, whole: changes.Whole, packed: pack(changes.Changes), packedAt: now}
	}
	changes.Packed, changes.Changes, changes.PackedMillis = p.packed, nil, ageMillis(p.packedAt, now)
}

// EntriesRead tells which entries there are at a revision, up to which all were read at once. since
// is as of when all was known before; the zero time: until now.
func (h *Hub) SetEntries(list []WorkerChange, revision coord.Revision, goneSince time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries.setList(list, revision, goneSince, clock.Now())
	h.wakeAll()
}

// EntriesSince returns what has changed of them after a revision; nil if nothing has.
func (h *Hub) EntriesSince(revision coord.Revision) *EntryChanges {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entries.changesSince(revision, clock.Now())
}

// EntriesChanged tells of changes that lead up to a revision.
func (h *Hub) AddEntryChanges(changes []WorkerChange, revision coord.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries.add(changes, revision, clock.Now())
	h.wakeAll()
}

// strongest returns the greatest strength of the linked machines and the own. The
// caller holds mu.
func (h *Hub) maxStrength() float64 {
	strongest := h.Strength
	for l := range h.links {
		strongest = max(strongest, l.hello.Strength)
	}
	return strongest
}
