package peerlink

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/workers"
)

// pageWorkers is how many workers a page of a list announces: packed, some 20 KB.
const pageWorkers = 512

// A list that takes several messages is told in pages by the order of the workers' IDs. Each is as
// of its own revision; what changed since the least of them is told after the last page. So a
// process that loses its link goes on with another one's pages.

// listPosition is how far a link was told a list.
type listPosition struct {
	// after is the last worker that was told of, and at the least revision of the pages so far.
	after    workers.ID
	revision coord.Revision
}

// entryPages keeps pages that were packed, for as long as what changed since is kept. The zero
// value has none.
type entryPages struct {
	// cuts are the last workers of the pages but the last one, in order.
	lastIDs []workers.ID
	pages   []packedPage
}

// packedPage is a page; its revision is zero if it is still to be packed.
type packedPage struct {
	revision coord.Revision
	packed   []byte
	packedAt time.Time
}

// pageFor returns the next page of the list for a link; nil if it has to wait. The caller holds mu.
func (h *Hub) pageFor(l *link, now time.Time) *EntryChanges {
	if !h.bulkTransfers.admit(l, now) {
		return nil
	}
	if l.listPosition.revision < h.entries.from { // what changed since its pages is no longer kept
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

// next returns the page of a list that begins after a worker.
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
	page := &EntryChanges{To: entry.revision, Whole: true, After: after, Packed: entry.packed, PackedMillis: ageMillis(entry.packedAt, now)}
	if page.More = index < len(p.lastIDs); page.More {
		page.Last = p.lastIDs[index]
	}
	return page
}

// cut divides the workers into pages, and does so again once their number has changed by half of a
// page for each of them.
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

// announced describes the workers of a page.
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
