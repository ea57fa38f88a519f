package ledger

import (
	"slices"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// toleratedLoss is how many gateways may be lost at once: each record is held
// by two.
const toleratedLoss = 1

// Takeover decides whether a new owner of a range knows every record. It is
// told what each gateway, the new owner included, vouched for before.
type Takeover struct {
	within  keyspace.Range
	answers map[bundle.ServerName][]Tenure
}

// NewTakeover returns a takeover of the range that has heard from nobody.
func NewTakeover(within keyspace.Range) *Takeover {
	return &Takeover{within: within, answers: map[bundle.ServerName][]Tenure{}}
}

// Answered takes what a gateway vouched for before it was asked.
func (t *Takeover) Answered(name bundle.ServerName, tenures []Tenure) {
	t.answers[name] = tenures
}

// HasAnswered reports whether the gateway has answered.
func (t *Takeover) HasAnswered(name bundle.ServerName) bool {
	_, ok := t.answers[name]
	return ok
}

// Complete reports whether every record of the range is known, if gateways are
// all that may hold one: for each hash at most toleratedLoss of them do not
// vouch for the latest tenure that anybody knows of. A gateway that was started
// anew since that tenure began does not vouch for it, since it may have held
// copies before.
func (t *Takeover) Complete(gateways []bundle.ServerName) bool {
	for _, hash := range t.borders() {
		latest := t.latestAt(hash)
		missing := 0
		for _, name := range gateways {
			if !t.vouches(name, hash, latest) {
				missing++
			}
		}
		if missing > toleratedLoss {
			return false
		}
	}
	return true
}

// borders returns a hash of every part of the range within which no answer
// changes.
func (t *Takeover) borders() []keyspace.Hash {
	hashes := []keyspace.Hash{t.within.First}
	for _, tenures := range t.answers {
		for _, tenure := range tenures {
			hashes = append(hashes, tenure.Range.First)
			if tenure.Range.Last < t.within.Last {
				hashes = append(hashes, tenure.Range.Last+1)
			}
		}
	}
	hashes = slices.DeleteFunc(hashes, func(hash keyspace.Hash) bool { return !t.within.Contains(hash) })
	slices.Sort(hashes)
	return slices.Compact(hashes)
}

func (t *Takeover) latestAt(hash keyspace.Hash) wire.Fence {
	latest := wire.Fence(0)
	for _, tenures := range t.answers {
		latest = max(latest, fenceAt(tenures, hash))
	}
	return latest
}

func (t *Takeover) vouches(name bundle.ServerName, hash keyspace.Hash, latest wire.Fence) bool {
	tenures, answered := t.answers[name]
	return answered && fenceAt(tenures, hash) == latest
}

func fenceAt(tenures []Tenure, hash keyspace.Hash) wire.Fence {
	for _, tenure := range tenures {
		if tenure.Range.Contains(hash) {
			return tenure.Fence
		}
	}
	return 0
}
