package workerlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/workers"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// nameLimit merges a limit that a response announced at a time.
func nameLimit(b Table, now time.Time, life workers.Life, perSecond float64) bool {
	return b.Merge(Fact{Worker: life, Rate: perSecond, At: now})
}

// endLimit merges the end of a limit, from the response to a request sent at a time.
func endLimit(b Table, sent time.Time, life workers.Life) bool {
	return b.Merge(Fact{Worker: life, Ended: true, At: sent})
}

// at returns a time in seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func TestLimitEnd(t *testing.T) {
	first, second := workers.Life{ID: "w", Born: 1}, workers.Life{ID: "w", Born: 2}
	for name, test := range map[string]struct {
		update  func(Table)
		of      workers.Life
		limited bool
	}{
		"nothing":                                        {update: func(Table) {}, of: first, limited: true},
		"a response to a later request":                  {update: func(b Table) { endLimit(b, at(11), first) }, of: first},
		"not a response to an earlier request":           {update: func(b Table) { endLimit(b, at(9), first) }, of: first, limited: true},
		"another incarnation of the worker":              {update: func(Table) {}, of: second},
		"not an incarnation whose start is unknown":      {update: func(Table) {}, of: workers.Life{ID: "w"}, limited: true},
		"not an earlier announcement that arrives later": {update: func(b Table) { endLimit(b, at(11), first); nameLimit(b, at(10.5), first, 3) }, of: first},
		"announced again":                                {update: func(b Table) { endLimit(b, at(11), first); nameLimit(b, at(12), first, 3) }, of: first, limited: true},
		"not a response of another worker":               {update: func(b Table) { endLimit(b, at(11), workers.Life{ID: "x"}) }, of: first, limited: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewTable()
			assert.Assert(t, nameLimit(b, at(10), first, 2.5))
			test.update(b)
			_, limited := b.Rate(test.of)
			assert.Equal(t, limited, test.limited)
		})
	}
}

func TestLatestLimitHolds(t *testing.T) {
	b, life := NewTable(), workers.Life{ID: "w"}
	assert.Assert(t, nameLimit(b, at(1), life, 5))
	assert.Assert(t, !nameLimit(b, at(2), life, 4.9)) // equivalent to the published rate
	rate, _ := b.Rate(life)
	assert.Equal(t, rate, 4.9)
	assert.Assert(t, !nameLimit(b, at(3), life, 4.6))
	assert.Assert(t, nameLimit(b, at(4), life, 4.4)) // small steps add up
	assert.Assert(t, !nameLimit(b, at(2), life, 1))  // arrives late
	rate, _ = b.Rate(life)
	assert.Equal(t, rate, 4.4)
}

func TestForget(t *testing.T) {
	b := NewTable()
	for _, id := range []workers.ID{"gone", "ended", "stays"} {
		nameLimit(b, at(0), workers.Life{ID: id}, 1)
	}
	endLimit(b, at(1), workers.Life{ID: "ended"})
	b.Forget(at(2).Add(endedRetention), func(id workers.ID) bool { return id == "gone" })
	assert.Equal(t, len(b.Facts()), 1)
	assert.Equal(t, b.ActiveCount(), 1)
}

func drawFact(t *rapid.T) Fact {
	return Fact{
		Worker: workers.Life{ID: workers.ID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "worker")), Born: workers.Born(rapid.IntRange(0, 2).Draw(t, "born"))},
		Rate:   float64(rapid.IntRange(1, 3).Draw(t, "rate")),
		Ended:  rapid.Bool().Draw(t, "ended"),
		At:     at(float64(rapid.IntRange(0, 5).Draw(t, "at"))),
	}
}

func TestMergeOrderDoesNotMatter(t *testing.T) {
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
