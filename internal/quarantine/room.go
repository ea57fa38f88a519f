package quarantine

import (
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
func (b *Book) makeRoom() {
	if len(b.records) <= mostRecords {
		return
	}
	weighed := make([]weighed, 0, len(b.records))
	for _, known := range b.records {
		if known.HeldAt.IsZero() {
			weighed = append(weighed, b.weigh(known))
		}
	}
	slices.SortFunc(weighed, compareWeights)
	for _, one := range weighed[:min(len(weighed), len(b.records)-mostRecords+roomMade)] {
		delete(b.records, one.request)
		if one.ends > 0 {
			b.dropped++
		}
	}
}

// weighed says how much is held against a request that is not quarantined.
type weighed struct {
	request Fingerprint
	// ends counts its workers that crashed, and crowd how many of all did at the moment of the
	// last: the more, the less that says of one request.
	ends, crowd int
	last        time.Time
}

// weigh says how much is held against a request.
func (b *Book) weigh(known *Record) weighed {
	if len(known.Crashes) == 0 {
		return weighed{request: known.Attempt.Request, last: known.removedAt()}
	}
	one := weighed{request: known.Attempt.Request, ends: len(known.ends()), last: known.last()}
	for _, at := range b.ended {
		if at.Sub(one.last).Abs() < sameMoment {
			one.crowd++
		}
	}
	return one
}

// compareWeights orders requests, those first against which less is held.
func compareWeights(a, c weighed) int {
	return a.last.Compare(c.last)
}
