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
	answers map[bundle.ServerName]Testimony
}

// NewTakeover returns a takeover of the range that has heard from nobody.
func NewTakeover(within keyspace.Range) *Takeover {
	return &Takeover{within: within, answers: map[bundle.ServerName]Testimony{}}
}

// Answered takes what a gateway said of itself.
func (t *Takeover) Answered(name bundle.ServerName, said Testimony) {
	t.answers[name] = said
}

// HasAnswered reports whether the gateway has answered.
func (t *Takeover) HasAnswered(name bundle.ServerName) bool {
	_, ok := t.answers[name]
	return ok
}

// Complete reports whether every record of the range is known, if gateways are
// all that may hold one: for each hash at most toleratedLoss of them are
// missing, so that of each record's two gateways one has answered.
//
// Missing are those that did not answer, and those that vouch for nothing
// although somebody knows of a tenure: they may have held records before they
// were started anew. Where nobody knows of any tenure, there were no records.
func (t *Takeover) Complete(gateways []bundle.ServerName) bool {
	for _, hash := range t.borders() {
		if t.missingAt(hash, gateways) > toleratedLoss {
			return false
		}
	}
	return true
}

func (t *Takeover) missingAt(hash keyspace.Hash, gateways []bundle.ServerName) int {
	latest, without := t.latestAt(hash)
	missing := 0
	for _, name := range gateways {
		said, answered := t.answers[name]
		vouches := answered && (latest == 0 || tenureAt(said.Vouched, hash).Fence > 0)
		if !vouches && !slices.Contains(without, name) {
			missing++
		}
	}
	return missing
}

// latestAt returns the fence of the latest tenure that anybody knows of, zero
// for none, and the gateways that its owner left out. What the owner of an
// earlier tenure left out may have been used since.
func (t *Takeover) latestAt(hash keyspace.Hash) (wire.Fence, []bundle.ServerName) {
	latest := wire.Fence(0)
	for _, said := range t.answers {
		latest = max(latest, tenureAt(said.Vouched, hash).Fence, tenureAt(said.Promised, hash).Fence)
	}
	var without []bundle.ServerName
	for _, said := range t.answers {
		if vouched := tenureAt(said.Vouched, hash); vouched.Fence == latest {
			without = append(without, vouched.Without...)
		}
	}
	return latest, without
}

// borders returns a hash of every part of the range within which no answer
// changes.
func (t *Takeover) borders() []keyspace.Hash {
	hashes := []keyspace.Hash{t.within.First}
	for _, said := range t.answers {
		for _, tenure := range slices.Concat(said.Vouched, said.Promised) {
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

// tenureAt returns the tenure of the hash, the zero value if there is none.
func tenureAt(tenures []Tenure, hash keyspace.Hash) Tenure {
	for _, tenure := range tenures {
		if tenure.Range.Contains(hash) {
			return tenure
		}
	}
	return Tenure{}
}
