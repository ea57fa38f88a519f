package departure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/facts"
	"github.com/shalefork/shalefork/internal/workers"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func drawFact(t *rapid.T) Fact {
	worker := workers.Incarnation{ID: rapid.SampledFrom([]workers.ID{"a", "b"}).Draw(t, "worker"), StartTime: workers.StartTime(rapid.IntRange(0, 2).Draw(t, "born"))}
	return Fact{Worker: worker, Since: start.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "since")) * time.Second)}
}

func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(drawFact), 1, 8).Draw(t, "facts")
		other := rapid.Permutation(list).Draw(t, "other")
		merged := func(list []Fact) []Fact {
			table := facts.NewTable[Fact]()
			for _, one := range append(list, list...) {
				table.Merge(one)
			}
			return table.Facts()
		}
		assert.DeepEqual(t, merged(list), merged(other))
	})
}

func TestEarliestDepartureWins(t *testing.T) {
	table, worker := facts.NewTable[Fact](), workers.Incarnation{ID: "w", StartTime: 1}
	assert.Assert(t, table.Merge(Fact{Worker: worker, Since: start}))
	assert.Assert(t, !table.Merge(Fact{Worker: worker, Since: start.Add(time.Second)}))
	assert.Assert(t, !table.Merge(Fact{Worker: worker, Since: start.Add(-sinceTolerance)}), "within the tolerance of times")
	assert.Assert(t, table.Merge(Fact{Worker: worker, Since: start.Add(-time.Second)}))
	known, _ := table.Fact(worker)
	assert.Equal(t, known.Since, start.Add(-time.Second))
	assert.Equal(t, NewMessage(start, known).Fact(start), known)
}
