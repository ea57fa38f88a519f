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
	after workers.ID
	at    coord.Revision
}

// entryPages keeps pages that were packed, for as long as what changed since is kept. The zero
// value has none.
type entryPages struct {
	// cuts are the last workers of the pages but the last one, in order.
	cuts   []workers.ID
	packed []packedPage
}

// packedPage is a page; its revision is zero if it is still to be packed.
type packedPage struct {
	revision coord.Revision
	packed   []byte
	at       time.Time
}

// pageFor returns the next page of the list for a link; nil if it has to wait. The caller holds mu.
func (h *Hub) pageFor(one *link, now time.Time) *EntryChanges {
	if !h.bulk.admits(one, now) {
		return nil
	}
	if one.list.at < h.entries.from { // what changed since its pages is no longer kept
		one.list = listPosition{}
	}
	page := h.pages.next(&h.entries, one.list.after, now)
	if one.list.after == "" || page.To < one.list.at {
		one.list.at = page.To
	}
	page.From, page.To = one.list.at, one.list.at
	one.list.after = page.Last
	if !page.More {
		one.entries, one.entriesAt, one.list = one.list.at, now, listPosition{}
	}
	h.bulk.spend(now, len(page.Packed)*4/3, h.LinkRate)
	return page
}

// next returns the page of a list that begins after a worker.
func (p *entryPages) next(log *entryLog, after workers.ID, now time.Time) *EntryChanges {
	p.cut(log)
	index, _ := slices.BinarySearch(p.cuts, after)
	if index < len(p.cuts) && p.cuts[index] == after {
		index++
	}
	one := &p.packed[index]
	if one.revision == 0 || one.revision < log.from {
		*one = packedPage{revision: log.to, packed: pack(p.announced(log, index, now)), at: now}
	}
	page := &EntryChanges{To: one.revision, Whole: true, After: after, Packed: one.packed, PackedMillis: ageMillis(one.at, now)}
	if page.More = index < len(p.cuts); page.More {
		page.Last = p.cuts[index]
	}
	return page
}

// cut divides the workers into pages, and does so again once their number has changed by half of a
// page for each of them.
func (p *entryPages) cut(log *entryLog) {
	pages := len(p.cuts) + 1
	if p.packed != nil && 2*len(log.all) >= pages*pageWorkers && 2*len(log.all) <= 3*pages*pageWorkers {
		return
	}
	ids := make([]workers.ID, 0, len(log.all))
	for id := range log.all {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	p.cuts = nil
	for last := pageWorkers; last < len(ids); last += pageWorkers {
		p.cuts = append(p.cuts, ids[last-1])
	}
	p.packed = make([]packedPage, len(p.cuts)+1)
}

// announced describes the workers of a page.
func (p *entryPages) announced(log *entryLog, index int, now time.Time) []WorkerChange {
	var after, last workers.ID
	if index > 0 {
		after = p.cuts[index-1]
	}
	if index < len(p.cuts) {
		last = p.cuts[index]
	}
	var list []WorkerChange
	for id, one := range log.all {
		if id > after && (last == "" || id <= last) {
			list = append(list, one.announced(now))
		}
	}
	return list
}
