package peerlink

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/workers"
)

// Forwarded changes carry for how long the first process has known them. Without that, a router
// that learned 1.0 s after its neighbor that a worker leaves counted the whole time for leaving
// from then on, and sent a request to the worker 2.57 s after it had left, where 2.5 s were
// allowed.
func TestEntryChangesCarryTheirAge(t *testing.T) {
	for name, count := range map[string]int{"not packed": 1, "packed": maxUnpackedChanges + 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := newTestHub(), newTestHub()
				learnedAt := time.Now()
				first.AddEntryChanges(drainingChanges(count, learnedAt), coord.Revision(count))
				time.Sleep(300 * time.Millisecond)
				first.entryChangesFor(&link{}, time.Now()) // another link receives them earlier
				time.Sleep(200 * time.Millisecond)
				relayed, err := first.entryChangesFor(&link{}, time.Now()).Decode(time.Now())
				assert.NilError(t, err)
				second.AddEntryChanges(relayed, coord.Revision(count))
				time.Sleep(400 * time.Millisecond)
				received, err := second.entryChangesFor(&link{}, time.Now()).Decode(time.Now())
				assert.NilError(t, err)
				for _, change := range received {
					assert.Equal(t, change.LearnedAt, learnedAt)
				}
			})
		})
	}
}

func TestConfigChangesCarryTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := newTestHub()
		learnedAt := time.Now()
		hub.SetConfig([]coord.Item{{Key: "a", Revision: 1}}, 1, learnedAt)
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, hub.ConfigSince(0).KnownSince(time.Now()), learnedAt)
		hub.SetConfig([]coord.Item{{Key: "a", Revision: 1}}, 2, time.Time{})
		assert.Assert(t, hub.ConfigSince(0).KnownSince(time.Now()).IsZero(), "the age of a configuration read in a list is unknown")
	})
}

func newTestHub() *Hub { return NewHub("process", nil, func() ReadState { return ReadState{} }) }

// drainingChanges returns changes by which workers start to drain.
func drainingChanges(count int, learnedAt time.Time) []WorkerChange {
	var changes []WorkerChange
	for index := range count {
		drained := drainingChange(workers.ID(rune('a'+index)), coord.Revision(1+index))
		drained.LearnedAt = learnedAt
		changes = append(changes, drained)
	}
	return changes
}
