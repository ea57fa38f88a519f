package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// mostRecords bounds the requests that are remembered. Those against which least is held make
	// room; what is or was quarantined never does.
	mostRecords = 512
	// roomMade is how many records make room at once, so that a burst of crashes does not sort the
	// book at each.
	roomMade = mostRecords / 16
)

// makeRoom forgets the requests against which least is held if there are too many records.
func (b *Tracker) makeRoom() {
	if len(b.records) <= mostRecords {
		return
	}
	removable := make([]weight, 0, len(b.records))
	for _, known := range b.records {
		if known.QuarantinedAt.IsZero() {
			removable = append(removable, b.weigh(known))
		}
	}
	slices.SortFunc(removable, compareWeights)
	for _, one := range removable[:min(len(removable), len(b.records)-mostRecords+roomMade)] {
		delete(b.records, one.request)
		if one.ends > 0 {
			b.dropped++
		}
	}
}

// weight says how much is held against a request that is not quarantined.
type weight struct {
	request Fingerprint
	// ends counts its workers that crashed, and crowd how many of all did around the last: the
	// more, the less that says of one request.
	ends, crowd int
	last        time.Time
}

// weigh says how much is held against a request.
func (b *Tracker) weigh(known *Record) weight {
	if len(known.Crashes) == 0 {
		return weight{request: known.Attempt.Request, last: known.removedAt()}
	}
	return weight{
		request: known.Attempt.Request, ends: len(known.ends()), crowd: b.crowds.around(known.last()), last: known.last(),
	}
}

// crowds counts workers that ended, by parts of a moment.
type crowds map[int64]int

// momentParts is into how many parts a moment is divided.
const momentParts = 4

func partOf(at time.Time) int64 { return at.UnixNano() / int64(sameMoment/momentParts) }

func (c crowds) add(at time.Time) { c[partOf(at)]++ }

// around returns how many workers ended less than a moment before or after a time.
func (c crowds) around(at time.Time) int {
	count := 0
	for part := partOf(at) - momentParts + 1; part < partOf(at)+momentParts; part++ {
		count += c[part]
	}
	return count
}

// forget drops what was before a time.
func (c crowds) forget(before time.Time) {
	maps.DeleteFunc(c, func(part int64, _ int) bool { return part < partOf(before) })
}

// compareWeights orders requests, those first against which less is held.
func compareWeights(a, c weight) int {
	return cmp.Or(cmp.Compare(a.ends, c.ends), cmp.Compare(c.crowd, a.crowd), a.last.Compare(c.last))
}
