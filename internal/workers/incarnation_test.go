package workers

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func workerStartedAt(id ID, state State, at StartTime) Worker {
	one := worker(id, state)
	one.StartTime = at
	return one
}

// A drain belongs to one incarnation. A later one that drained was taken to have drained for as
// long as the first, and got no requests although it was entitled to them.
func TestDrainEndsWithItsIncarnation(t *testing.T) {
	for name, test := range map[string]struct {
		second Worker
		listed bool
		want   time.Duration
	}{
		"ready":                        {second: workerStartedAt("a", StateReady, 2)},
		"ready, in a list":             {second: workerStartedAt("a", StateReady, 2), listed: true},
		"draining again":               {second: workerStartedAt("a", StateDraining, 2), want: 300 * time.Millisecond},
		"draining again, in a list":    {second: workerStartedAt("a", StateDraining, 2), listed: true, want: 300*time.Millisecond + listAge},
		"draining, same incarnation":   {second: workerStartedAt("a", StateDraining, 1), want: 5300 * time.Millisecond},
		"draining, earlier start time": {second: workerStartedAt("a", StateDraining, -7), want: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := NewDirectory()
				directory.Update([]Worker{workerStartedAt("a", StateDraining, 1)}, nil, nil)
				time.Sleep(5 * time.Second)
				if test.listed {
					directory.Replace([]Worker{test.second}, LearnedTimes{"a": directory.EarliestListChange(time.Now())}, time.Now())
				} else {
					directory.Update([]Worker{test.second}, nil, nil)
				}
				time.Sleep(300 * time.Millisecond)
				assert.Equal(t, directory.DrainingFor("a"), test.want)
				usable, _ := directory.Usable("s")
				assert.Equal(t, len(usable) == 1, test.second.State == StateReady)
			})
		})
	}
}

// The previous incarnation is known while the worker is announced, unless its entry vanished.
func TestPreviousIncarnationIsRemembered(t *testing.T) {
	directory := NewDirectory()
	directory.Update([]Worker{workerStartedAt("a", StateReady, 1), workerStartedAt("b", StateDraining, 1)}, nil, nil)
	_, known := directory.PreviousIncarnation("a")
	assert.Assert(t, !known)
	directory.Update([]Worker{workerStartedAt("a", StateReady, 2), workerStartedAt("b", StateReady, 2)}, nil, nil)
	before, known := directory.PreviousIncarnation("a")
	assert.Assert(t, known)
	assert.Equal(t, before.Incarnation(), Incarnation{ID: "a", StartTime: 1})
	before, _ = directory.PreviousIncarnation("b")
	assert.Equal(t, before.State, StateDraining)
	directory.Update(nil, []ID{"a"}, nil)
	directory.Update([]Worker{workerStartedAt("a", StateReady, 3)}, nil, nil)
	_, known = directory.PreviousIncarnation("a")
	assert.Assert(t, !known)
}

// A worker whose entry vanished comes back as another incarnation and then leaves: it must not be
// kept as long as the first one would have been.
func TestNewIncarnationEndsTheWaitForThePreviousOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory()
		directory.Update([]Worker{workerStartedAt("a", StateReady, 1)}, nil, nil)
		directory.BeginSettling(time.Now().Add(time.Second))
		assert.DeepEqual(t, directory.Update(nil, []ID{"a"}, nil).Kept, []ID{"a"})
		directory.Update([]Worker{workerStartedAt("a", StateReady, 2)}, nil, nil)
		assert.Equal(t, directory.KeptCount(), 0)
		time.Sleep(2 * time.Second)
		_, known := directory.Get("a")
		assert.Assert(t, known)
		assert.DeepEqual(t, directory.Update(nil, []ID{"a"}, nil).Gone, []ID{"a"})
	})
}
