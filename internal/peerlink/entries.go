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
	// minKeptChanges is how many changes of workers are kept at the least for links that lag. All
	// changes are kept for changesKeptFor, however many arrive when workers start or a service is
	// released.
	minKeptChanges = 512
	changesKeptFor = 5 * time.Second
	// maxUnpackedChanges is how many changes are sent unpacked; more of them are packed.
	maxUnpackedChanges = 8
	// newWorkersInterval is the pause between messages to a link that contain only new workers, of
	// which there are many at a start. The departure of a worker is sent immediately.
	newWorkersInterval = 400 * time.Millisecond
)

// entryLog keeps the recent changes of workers. Each process keeps one, so that it has the changes
// when it becomes the leader.
type entryLog struct {
	// All changes between the revisions from and to are kept.
	from, to coord.Revision
	changes  []WorkerChange
	// receivedAt is when each of the changes was received.
	receivedAt []time.Time
	// current holds the last change of each worker that has an entry. It is nil until a list was
	// read.
	current map[workers.ID]WorkerChange
}

// setList takes a list of all workers as of a revision. Differences from the known state are kept
// as changes, so that links which were up to date are sent only these and not the whole list:
// whenever the service no longer has the history of changes, a process reads the list again.
// goneSince is when the known state was last complete.
func (l *entryLog) setList(list []WorkerChange, revision coord.Revision, goneSince, now time.Time) {
	if l.current == nil || revision < l.to {
		l.reset(list, revision)
		return
	}
	l.add(l.changesIn(list, revision, goneSince), revision, now)
}

// reset replaces the log by a list of all workers as of a revision.
func (l *entryLog) reset(list []WorkerChange, revision coord.Revision) {
	l.from, l.to, l.changes, l.receivedAt, l.current = revision, revision, nil, nil, map[workers.ID]WorkerChange{}
	for _, change := range list {
		l.current[change.ID] = change
	}
}

// changesIn returns the changes that a list contains compared with the known state, in the order of
// revisions. For workers that are no longer listed, the time of the departure is unknown: such a
// change gets the list's revision and is dated goneSince, when the known state was last complete.
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

// add appends changes that lead up to a revision.
func (l *entryLog) add(changes []WorkerChange, revision coord.Revision, now time.Time) {
	l.changes = append(l.changes, changes...)
	for range changes {
		l.receivedAt = append(l.receivedAt, now)
	}
	l.to = max(l.to, revision)
	l.updateCurrent(changes)
	expired, _ := slices.BinarySearchFunc(l.receivedAt, now.Add(-changesKeptFor), time.Time.Compare)
	surplus := min(expired, len(l.changes)-minKeptChanges)
	if surplus > 0 {
		l.from = l.changes[surplus-1].Revision
		l.changes = slices.Clone(l.changes[surplus:])
		l.receivedAt = slices.Clone(l.receivedAt[surplus:])
	}
}

// updateCurrent applies changes to the current workers, once a list was read.
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

// withAges returns the change with its ages as of now, as it is sent.
func (c WorkerChange) withAges(now time.Time) WorkerChange {
	if c.Draining {
		c.AgeMillis = ageMillis(c.LearnedAt, now)
	}
	c.WarmMillis = max(0, c.warmAt.Sub(now).Milliseconds())
	return c
}

// fullList returns all workers, for a receiver that knows none.
func (l *entryLog) fullList(now time.Time) *EntryChanges {
	full := &EntryChanges{From: l.to, To: l.to, Full: true}
	for _, change := range l.current {
		full.Changes = append(full.Changes, change.withAges(now))
	}
	return full
}

// changesSince returns all changes after a revision, each with its age as of now, or all workers if
// the revision is zero and a list is known. The result has no changes if some of them are no longer
// kept, and is nil if there are none.
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

// ageMillis returns for how long something has been known, or zero if that is unknown.
func ageMillis(learnedAt, now time.Time) int64 {
	if learnedAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(learnedAt).Milliseconds())
}

// urgent reports whether a worker leaves with this change.
func urgent(change WorkerChange) bool { return change.Gone || change.Draining }

// addEntries adds the changes of workers that a link lacks to an update. The caller holds mu.
func (h *Hub) addEntries(l *link, update *Update, now time.Time) {
	if !h.needsPagedList(l) {
		l.listPosition = listPosition{}
		update.Entries = h.entryChangesFor(l, now)
		return
	}
	update.Page = h.pageFor(l, now)
}

// needsPagedList reports whether a link is to be sent a list that takes several messages: it knows
// no worker, or has missed more changes than are kept.
func (h *Hub) needsPagedList(l *link) bool {
	lacks := l.entriesRevision == 0 || l.entriesRevision < h.entries.from
	return lacks && l.entriesRevision < h.entries.to && len(h.entries.current) > pageWorkers
}

// entryChangesFor returns the changes of workers that a link lacks, or nil if there are none or
// they are delayed to be batched. The caller holds mu.
func (h *Hub) entryChangesFor(l *link, now time.Time) *EntryChanges {
	changes := h.entries.changesSince(l.entriesRevision, now)
	if changes == nil {
		return nil
	}
	immediate := changes.Full || len(changes.Changes) == 0 || slices.ContainsFunc(changes.Changes, urgent)
	if !immediate && now.Sub(l.entriesSentAt) < newWorkersInterval {
		return nil
	}
	l.entriesRevision, l.entriesSentAt = changes.To, now
	if len(changes.Changes) > maxUnpackedChanges {
		h.packedEntries.pack(changes, now)
	}
	return changes
}

// packedEntries caches the last packed changes, as most links lag by the same ones.
type packedEntries struct {
	from, to coord.Revision
	full     bool
	packed   []byte
	packedAt time.Time
}

// pack replaces the changes of a message by their packed form.
func (p *packedEntries) pack(changes *EntryChanges, now time.Time) {
	if p.from != changes.From || p.to != changes.To || p.full != changes.Full {
		*p = packedEntries{from: changes.From, to: changes.To, full: changes.Full, packed: pack(changes.Changes), packedAt: now}
	}
	changes.Packed, changes.Changes, changes.PackedMillis = p.packed, nil, ageMillis(p.packedAt, now)
}

// SetEntries publishes a complete list of the workers' entries as of a revision. goneSince is when
// the known state was last complete; the zero time means that it was complete until now.
func (h *Hub) SetEntries(list []WorkerChange, revision coord.Revision, goneSince time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries.setList(list, revision, goneSince, clock.Now())
	h.wakeAll()
}

// EntriesSince returns the changes of the workers' entries after a revision, or nil if there are
// none.
func (h *Hub) EntriesSince(revision coord.Revision) *EntryChanges {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entries.changesSince(revision, clock.Now())
}

// AddEntryChanges publishes changes of the workers' entries that lead up to a revision.
func (h *Hub) AddEntryChanges(changes []WorkerChange, revision coord.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries.add(changes, revision, clock.Now())
	h.wakeAll()
}

// maxStrength returns the greatest strength among this machine and those of the linked processes.
// The caller holds mu.
func (h *Hub) maxStrength() float64 {
	strongest := h.Strength
	for l := range h.links {
		strongest = max(strongest, l.hello.Strength)
	}
	return strongest
}
