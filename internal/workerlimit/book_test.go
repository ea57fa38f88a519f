package workerlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/workers"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// named and unnamed are what answers tell: one at a time, one to a request that left at a time.
func named(b Table, now time.Time, life workers.Incarnation, perSecond float64) bool {
	return b.Merge(Fact{Worker: life, Rate: perSecond, At: now})
}

func unnamed(b Table, sent time.Time, life workers.Incarnation) bool {
	return b.Merge(Fact{Worker: life, Ended: true, At: sent})
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func TestWhatEndsALimit(t *testing.T) {
	first, second := workers.Incarnation{ID: "w", StartTime: 1}, workers.Incarnation{ID: "w", StartTime: 2}
	for name, test := range map[string]struct {
		tell    func(Table)
		of      workers.Incarnation
		limited bool
	}{
		"nothing":                                 {tell: func(Table) {}, of: first, limited: true},
		"an answer to a later request":            {tell: func(b Table) { unnamed(b, at(11), first) }, of: first},
		"not one to an earlier request":           {tell: func(b Table) { unnamed(b, at(9), first) }, of: first, limited: true},
		"another life of the worker":              {tell: func(Table) {}, of: second},
		"not a life whose start is not known":     {tell: func(Table) {}, of: workers.Incarnation{ID: "w"}, limited: true},
		"not an earlier naming that arrives late": {tell: func(b Table) { unnamed(b, at(11), first); named(b, at(10.5), first, 3) }, of: first},
		"but it is named again":                   {tell: func(b Table) { unnamed(b, at(11), first); named(b, at(12), first, 3) }, of: first, limited: true},
		"not what another worker answers":         {tell: func(b Table) { unnamed(b, at(11), workers.Incarnation{ID: "x"}) }, of: first, limited: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewTable()
			assert.Assert(t, named(b, at(10), first, 2.5))
			test.tell(b)
			_, limited := b.Rate(test.of)
			assert.Equal(t, limited, test.limited)
		})
	}
}

func TestTheLimitNamedLastHolds(t *testing.T) {
	b, life := NewTable(), workers.Incarnation{ID: "w"}
	assert.Assert(t, named(b, at(1), life, 5))
	assert.Assert(t, !named(b, at(2), life, 4.9)) // no news for others
	rate, _ := b.Rate(life)
	assert.Equal(t, rate, 4.9)
	assert.Assert(t, !named(b, at(3), life, 4.6))
	assert.Assert(t, named(b, at(4), life, 4.4)) // in small steps it has become news
	assert.Assert(t, !named(b, at(2), life, 1))  // arrives late
	rate, _ = b.Rate(life)
	assert.Equal(t, rate, 4.4)
}

func TestEndedLimitsAndWorkersThatAreGoneAreForgotten(t *testing.T) {
	b := NewTable()
	for _, id := range []workers.ID{"gone", "ended", "stays"} {
		named(b, at(0), workers.Incarnation{ID: id}, 1)
	}
	unnamed(b, at(1), workers.Incarnation{ID: "ended"})
	b.Forget(at(2).Add(endedMemory), func(id workers.ID) bool { return id == "gone" })
	assert.Equal(t, len(b.Facts()), 1)
	assert.Equal(t, b.ActiveCount(), 1)
}

func drawFact(t *rapid.T) Fact {
	return Fact{
		Worker: workers.Incarnation{ID: workers.ID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "worker")), StartTime: workers.StartTime(rapid.IntRange(0, 2).Draw(t, "born"))},
		Rate:   float64(rapid.IntRange(1, 3).Draw(t, "rate")),
		Ended:  rapid.Bool().Draw(t, "ended"),
		At:     at(float64(rapid.IntRange(0, 5).Draw(t, "at"))),
	}
}

func TestFactsMergeToTheSameInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := rapid.SliceOfN(rapid.Custom(drawFact), 1, 8).Draw(t, "facts")
		other := rapid.Permutation(facts).Draw(t, "other")
		merged := func(list []Fact) map[workers.ID]Fact {
			b, seen := NewTable(), map[workers.ID]Fact{}
			for _, one := range append(list, list...) {
				b.Merge(one)
			}
			for _, one := range b.Facts() {
				if one.Ended {
					one.Rate = 0
				}
				seen[one.Worker.ID] = one
			}
			return seen
		}
		assert.DeepEqual(t, merged(facts), merged(other))
	})
}
