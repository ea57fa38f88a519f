package workerlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/workers"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// mergeLimit merges a limit that a response announced at a time.
func mergeLimit(t Table, now time.Time, worker workers.Incarnation, perSecond float64) bool {
	return t.Merge(Fact{Worker: worker, Rate: perSecond, At: now})
}

// endLimit merges the end of a limit, from the response to a request sent at a time.
func endLimit(t Table, sent time.Time, worker workers.Incarnation) bool {
	return t.Merge(Fact{Worker: worker, Ended: true, At: sent})
}

// at returns a time in seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func TestLimitEnd(t *testing.T) {
	first, second := workers.Incarnation{ID: "w", StartTime: 1}, workers.Incarnation{ID: "w", StartTime: 2}
	for name, test := range map[string]struct {
		update  func(Table)
		of      workers.Incarnation
		limited bool
	}{
		"nothing":                                        {update: func(Table) {}, of: first, limited: true},
		"a response to a later request":                  {update: func(t Table) { endLimit(t, at(11), first) }, of: first},
		"not a response to an earlier request":           {update: func(t Table) { endLimit(t, at(9), first) }, of: first, limited: true},
		"another incarnation of the worker":              {update: func(Table) {}, of: second},
		"not an incarnation whose start is unknown":      {update: func(Table) {}, of: workers.Incarnation{ID: "w"}, limited: true},
		"not an earlier announcement that arrives later": {update: func(t Table) { endLimit(t, at(11), first); mergeLimit(t, at(10.5), first, 3) }, of: first},
		"announced again":                                {update: func(t Table) { endLimit(t, at(11), first); mergeLimit(t, at(12), first, 3) }, of: first, limited: true},
		"not a response of another worker":               {update: func(t Table) { endLimit(t, at(11), workers.Incarnation{ID: "x"}) }, of: first, limited: true},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			assert.Assert(t, mergeLimit(table, at(10), first, 2.5))
			test.update(table)
			_, limited := table.Rate(test.of)
			assert.Equal(t, limited, test.limited)
		})
	}
}

func TestLatestLimitHolds(t *testing.T) {
	table, worker := NewTable(), workers.Incarnation{ID: "w"}
	assert.Assert(t, mergeLimit(table, at(1), worker, 5))
	assert.Assert(t, !mergeLimit(table, at(2), worker, 4.9)) // equivalent to the published rate
	rate, _ := table.Rate(worker)
	assert.Equal(t, rate, 4.9)
	assert.Assert(t, !mergeLimit(table, at(3), worker, 4.6))
	assert.Assert(t, mergeLimit(table, at(4), worker, 4.4)) // small steps add up
	assert.Assert(t, !mergeLimit(table, at(2), worker, 1))  // arrives late
	rate, _ = table.Rate(worker)
	assert.Equal(t, rate, 4.4)
}

func TestForget(t *testing.T) {
	table := NewTable()
	for _, id := range []workers.ID{"gone", "ended", "stays"} {
		mergeLimit(table, at(0), workers.Incarnation{ID: id}, 1)
	}
	endLimit(table, at(1), workers.Incarnation{ID: "ended"})
	table.Forget(at(2).Add(endedRetention), func(id workers.ID) bool { return id == "gone" })
	assert.Equal(t, len(table.Facts()), 1)
	assert.Equal(t, table.ActiveCount(), 1)
}

func drawFact(t *rapid.T) Fact {
	return Fact{
		Worker: workers.Incarnation{ID: workers.ID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "worker")), StartTime: workers.StartTime(rapid.IntRange(0, 2).Draw(t, "born"))},
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
			table, seen := NewTable(), map[workers.ID]Fact{}
			for _, one := range append(list, list...) {
				table.Merge(one)
			}
			for _, one := range table.Facts() {
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
