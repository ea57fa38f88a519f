package ledger

import (
	"slices"
	"strings"

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
// Missing are those that did not answer, and those that vouch for nothing: they
// may have held records before they were started anew. Where nobody knows of
// any tenure, there were no records, but then everybody has to say so: the one
// that does not answer may be the one that knows.
func (t *Takeover) Complete(gateways []bundle.ServerName) bool {
	for _, hash := range t.borders() {
		if !t.completeAt(hash, gateways) {
			return false
		}
	}
	return true
}

func (t *Takeover) completeAt(hash keyspace.Hash, gateways []bundle.ServerName) bool {
	if !t.anyTenureAt(hash) {
		return !slices.ContainsFunc(gateways, func(name bundle.ServerName) bool { return !t.HasAnswered(name) })
	}
	missing := 0
	for _, name := range gateways {
		if tenureAt(t.answers[name].Vouched, hash).Fence == 0 {
			missing++
		}
	}
	return missing <= toleratedLoss
}

// anyTenureAt reports whether somebody knows of an earlier owner.
func (t *Takeover) anyTenureAt(hash keyspace.Hash) bool {
	for _, said := range t.answers {
		if tenureAt(said.Vouched, hash).Fence > 0 || tenureAt(said.Promised, hash).Fence > 0 {
			return true
		}
	}
	return false
}

// Awaited lists the gateways that may hold records as far as those who answered
// know, ordered by name: those of the latest list that is vouched for, and
// those of takeovers that were not complete. They count in this one too.
func (t *Takeover) Awaited() []wire.TableServer {
	var list []wire.TableServer
	for _, said := range t.answers {
		list = append(list, said.Awaited(t.within)...)
	}
	for _, hash := range t.borders() {
		list = append(list, t.latestAt(hash).Gateways...)
	}
	return MergeGateways(list, nil)
}

// latestAt returns the latest tenure of the hash that is vouched for.
func (t *Takeover) latestAt(hash keyspace.Hash) Tenure {
	var latest Tenure
	for _, said := range t.answers {
		if vouched := tenureAt(said.Vouched, hash); vouched.newer(latest) {
			latest = vouched
		}
	}
	return latest
}

// MergeGateways returns the gateways of both lists once each, ordered by name.
// Of two with one name the one from first is kept.
func MergeGateways(first, second []wire.TableServer) []wire.TableServer {
	merged := slices.Concat(first, second)
	slices.SortStableFunc(merged, func(a, b wire.TableServer) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return slices.CompactFunc(merged, func(a, b wire.TableServer) bool { return a.Name == b.Name })
}

// borders returns a hash of every part of the range within which no answer
// changes.
func (t *Takeover) borders() []keyspace.Hash {
	var tenures []Tenure
	for _, said := range t.answers {
		tenures = slices.Concat(tenures, said.Vouched, said.Promised)
	}
	return borders(t.within, tenures)
}

// borders returns a hash of every part of the range within which the tenures
// are the same.
func borders(within keyspace.Range, tenures []Tenure) []keyspace.Hash {
	hashes := []keyspace.Hash{within.First}
	for _, tenure := range tenures {
		hashes = append(hashes, tenure.Range.First)
		if tenure.Range.Last < within.Last {
			hashes = append(hashes, tenure.Range.Last+1)
		}
	}
	hashes = slices.DeleteFunc(hashes, func(hash keyspace.Hash) bool { return !within.Contains(hash) })
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
