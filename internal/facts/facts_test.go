package facts

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// count is a fact of which the greatest value replaces the others.
type count struct {
	Of    workers.ID
	Value int
}

func (c count) Key() workers.Incarnation  { return workers.Incarnation{ID: c.Of} }
func (c count) Replaces(other count) bool { return c.Value > other.Value }
func (c count) EquivalentTo(other count) bool {
	return c.Active() == other.Active() && c.Value/10 == other.Value/10
}
func (c count) Active() bool { return c.Value >= 0 }

func TestChangesAreReportedOnce(t *testing.T) {
	r := NewReplica[count]()
	assert.Assert(t, r.Add(count{"a", 10}))
	assert.Assert(t, !r.Add(count{"a", 10}))
	assert.Assert(t, !r.Add(count{"a", 12}), "equivalent to the published fact")
	assert.Assert(t, r.ApplyUpdate(count{"b", 30}), "received from the followed process")
	assert.DeepEqual(t, r.TakeReport(9), []count{{"a", 12}})
	assert.Equal(t, len(r.TakeReport(9)), 0)
	r.QueueAll()
	assert.Equal(t, len(r.TakeReport(1)), 1)
	assert.Equal(t, len(r.TakeReport(9)), 1, "all facts are reported to another process, in parts")
	r.SetLeading(true)
	r.Add(count{"c", 50})
	assert.Equal(t, len(r.TakeReport(9)), 0, "a leader reports to no process")
}

func TestChangesAreReturnedInParts(t *testing.T) {
	table := NewTable[count]()
	for _, id := range []workers.ID{"c", "a", "b"} {
		table.Merge(count{id, 10})
	}
	first, version := table.Since(0, 2)
	assert.DeepEqual(t, first, []count{{"c", 10}, {"a", 10}})
	table.Merge(count{"c", 25})
	rest, version := table.Since(version, 9)
	assert.DeepEqual(t, rest, []count{{"b", 10}, {"c", 25}})
	none, _ := table.Since(version, 9)
	assert.Equal(t, len(none), 0)
}

func TestEndedFactIsKeptButNotActive(t *testing.T) {
	table := NewTable[count]()
	assert.Assert(t, !table.Merge(count{"a", -1}), "the end of something unknown is not published")
	assert.Equal(t, table.ActiveCount(), 0)
	assert.Equal(t, len(table.Facts()), 1)
	assert.Equal(t, len(table.Published()), 0)
	table.Merge(count{"a", 1})
	assert.Equal(t, table.ActiveCount(), 1)
	table.Forget(func(count) bool { return true })
	assert.Equal(t, table.ActiveCount(), 0)
	assert.Equal(t, len(table.Facts()), 0)
}

// Whoever reports facts about workers that don't exist could make each process hold all of them.
func TestFactsOfUnknownWorkersAreBounded(t *testing.T) {
	table := NewTable[count]()
	for index := range maxEntries + 10 {
		table.entries[workers.Incarnation{ID: workers.ID(strconv.Itoa(index))}] = &tableEntry[count]{}
		if len(table.entries) == maxEntries {
			break
		}
	}
	assert.Assert(t, !table.Merge(count{"new", 10}))
	assert.Assert(t, table.Merge(count{"0", 10}), "a known one changes")
	assert.Equal(t, len(table.entries), maxEntries)
	assert.Assert(t, !NewTable[count]().Merge(count{workers.ID(strings.Repeat("a", maxIDBytes+1)), 10}))
}
