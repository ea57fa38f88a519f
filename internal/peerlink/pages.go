package peerlink

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/workers"
)

// pageWorkers is the number of workers in a page of a list: some 20 KB packed.
const pageWorkers = 512

// A list that takes several messages is sent in pages, in the order of the workers' IDs. Each page
// has its own revision; changes since the lowest of these revisions are sent after the last page. A
// process that loses its link can therefore continue with the pages of another process.

// listPosition is how much of a list a link was sent.
type listPosition struct {
	// after is the last worker that was sent, and revision is the lowest revision of the pages so
	// far.
	after    workers.ID
	revision coord.Revision
}

// entryPages caches packed pages for as long as the changes since then are kept. The zero value is
// empty.
type entryPages struct {
	// lastIDs are the last workers of all pages but the last page, in order.
	lastIDs []workers.ID
	pages   []packedPage
}

// packedPage is a page. Its revision is zero if the page is not packed yet.
type packedPage struct {
	revision coord.Revision
	packed   []byte
	packedAt time.Time
}

// pageFor returns the next page of the list for a link, or nil if the link has to wait. The caller
// holds mu.
func (h *Hub) pageFor(l *link, now time.Time) *EntryChanges {
	if !h.bulkTransfers.admit(l, now) {
		return nil
	}
	if l.listPosition.revision < h.entries.from { // the changes since its pages are no longer kept
		l.listPosition = listPosition{}
	}
	page := h.pages.next(&h.entries, l.listPosition.after, now)
	if l.listPosition.after == "" || page.To < l.listPosition.revision {
		l.listPosition.revision = page.To
	}
	page.From, page.To = l.listPosition.revision, l.listPosition.revision
	l.listPosition.after = page.Last
	if !page.More {
		l.entriesRevision, l.entriesSentAt, l.listPosition = l.listPosition.revision, now, listPosition{}
	}
	h.bulkTransfers.reserve(now, len(page.Packed)*4/3, h.LinkRate)
	return page
}

// next returns the page of the list that starts after a worker.
func (p *entryPages) next(log *entryLog, after workers.ID, now time.Time) *EntryChanges {
	p.divide(log)
	index, _ := slices.BinarySearch(p.lastIDs, after)
	if index < len(p.lastIDs) && p.lastIDs[index] == after {
		index++
	}
	entry := &p.pages[index]
	if entry.revision == 0 || entry.revision < log.from {
		*entry = packedPage{revision: log.to, packed: pack(p.changesOf(log, index, now)), packedAt: now}
	}
	page := &EntryChanges{To: entry.revision, Full: true, After: after, Packed: entry.packed, PackedMillis: ageMillis(entry.packedAt, now)}
	if page.More = index < len(p.lastIDs); page.More {
		page.Last = p.lastIDs[index]
	}
	return page
}

// divide splits the workers into pages. It does so again once the number of workers has changed by
// half a page per page.
func (p *entryPages) divide(log *entryLog) {
	pages := len(p.lastIDs) + 1
	if p.pages != nil && 2*len(log.current) >= pages*pageWorkers && 2*len(log.current) <= 3*pages*pageWorkers {
		return
	}
	ids := make([]workers.ID, 0, len(log.current))
	for id := range log.current {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	p.lastIDs = nil
	for last := pageWorkers; last < len(ids); last += pageWorkers {
		p.lastIDs = append(p.lastIDs, ids[last-1])
	}
	p.pages = make([]packedPage, len(p.lastIDs)+1)
}

// changesOf returns the workers of a page.
func (p *entryPages) changesOf(log *entryLog, index int, now time.Time) []WorkerChange {
	var after, last workers.ID
	if index > 0 {
		after = p.lastIDs[index-1]
	}
	if index < len(p.lastIDs) {
		last = p.lastIDs[index]
	}
	var changes []WorkerChange
	for id, change := range log.current {
		if id > after && (last == "" || id <= last) {
			changes = append(changes, change.withAges(now))
		}
	}
	return changes
}
