package peerlink

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/coord"
)

const (
	// keptChanges is how many changes of workers are kept for links that lag.
	keptChanges = 512
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
}

// reset begins anew: all up to a revision was read at once.
func (l *entryLog) reset(at coord.Revision) {
	l.from, l.to, l.changes = at, at, nil
}

// add takes changes that lead up to a revision.
func (l *entryLog) add(changes []WorkerChange, at coord.Revision) {
	l.changes = append(l.changes, changes...)
	l.to = max(l.to, at)
	if surplus := len(l.changes) - keptChanges; surplus > 0 {
		l.from = l.changes[surplus-1].Revision
		l.changes = append([]WorkerChange(nil), l.changes[surplus:]...)
	}
}

// since returns all changes after a revision; without them if they are too many or no
// longer kept, and nil if there are none. Each says how old it is now.
func (l *entryLog) since(revision coord.Revision, now time.Time) *Entries {
	if revision >= l.to {
		return nil
	}
	if revision < l.from {
		return &Entries{From: l.to, To: l.to}
	}
	news := &Entries{From: revision, To: l.to}
	for _, change := range l.changes {
		if change.Revision > revision {
			change.AgeMillis = ageMillis(change.Learned, now)
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

// entriesFor returns what a link has not heard of the workers. The caller holds mu.
func (h *Hub) entriesFor(one *link, now time.Time) *Entries {
	news := h.entries.since(one.entries, now)
	if news == nil {
		return nil
	}
	hurry := len(news.Changes) == 0 || slices.ContainsFunc(news.Changes, urgent)
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
	packed   []byte
	at       time.Time
}

// pack packs the changes of a message.
func (p *packedEntries) pack(news *Entries, now time.Time) {
	if p.from != news.From || p.to != news.To {
		*p = packedEntries{from: news.From, to: news.To, packed: pack(news.Changes), at: now}
	}
	news.Packed, news.Changes, news.PackedMillis = p.packed, nil, ageMillis(p.at, now)
}

// EntriesRead tells that all entries up to a revision were read at once.
func (h *Hub) EntriesRead(at coord.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries.reset(at)
	h.wakeAll()
}

// EntriesChanged tells of changes that lead up to a revision.
func (h *Hub) EntriesChanged(changes []WorkerChange, at coord.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries.add(changes, at)
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
