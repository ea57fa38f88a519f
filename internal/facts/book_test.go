package facts

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// count is a fact of which the greatest holds.
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

func TestNewsGoToTheFollowedProcessOnce(t *testing.T) {
	m := NewReplica[count]()
	assert.Assert(t, m.Add(count{"a", 10}))
	assert.Assert(t, !m.Add(count{"a", 10}))
	assert.Assert(t, !m.Add(count{"a", 12}), "others need not hear of so little")
	assert.Assert(t, m.ApplyUpdate(count{"b", 30}), "the followed process tells it")
	assert.DeepEqual(t, m.TakeReport(9), []count{{"a", 12}})
	assert.Equal(t, len(m.TakeReport(9)), 0)
	m.QueueAll()
	assert.Equal(t, len(m.TakeReport(1)), 1)
	assert.Equal(t, len(m.TakeReport(9)), 1, "another process is told all, in pieces")
	m.SetLeading(true)
	m.Add(count{"c", 50})
	assert.Equal(t, len(m.TakeReport(9)), 0, "a leader follows nobody")
}

func TestLinksAreToldWhatIsNewInPieces(t *testing.T) {
	b := NewTable[count]()
	for _, id := range []workers.ID{"c", "a", "b"} {
		b.Merge(count{id, 10})
	}
	first, version := b.Since(0, 2)
	assert.DeepEqual(t, first, []count{{"c", 10}, {"a", 10}})
	b.Merge(count{"c", 25})
	rest, version := b.Since(version, 9)
	assert.DeepEqual(t, rest, []count{{"b", 10}, {"c", 25}})
	none, _ := b.Since(version, 9)
	assert.Equal(t, len(none), 0)
}

func TestWhatHasEndedIsKnownAndDoesNotHold(t *testing.T) {
	b := NewTable[count]()
	assert.Assert(t, !b.Merge(count{"a", -1}), "nobody needs to hear of the end of what was not known")
	assert.Equal(t, b.ActiveCount(), 0)
	assert.Equal(t, len(b.Facts()), 1)
	assert.Equal(t, len(b.Published()), 0)
	b.Merge(count{"a", 1})
	assert.Equal(t, b.ActiveCount(), 1)
	b.Forget(func(count) bool { return true })
	assert.Equal(t, b.ActiveCount(), 0)
	assert.Equal(t, len(b.Facts()), 0)
}
