package peerlink

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/workers"
)

// What passes through others says for how long the first process has known it. A router that
// heard 1.0 s later than its neighbour that a worker leaves gave it the whole time for leaving
// from then, and sent to it 2.57 s after it had left, where 2.5 s were allowed.
func TestEntryChangesCarryTheirAge(t *testing.T) {
	for name, count := range map[string]int{"as they are": 1, "packed": maxUnpackedChanges + 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := newTestHub(), newTestHub()
				learned := time.Now()
				first.AddEntryChanges(drainingChanges(count, learned), coord.Revision(count))
				time.Sleep(300 * time.Millisecond)
				first.entryChangesFor(&link{}, time.Now()) // another link hears sooner
				time.Sleep(200 * time.Millisecond)
				relayed, err := first.entryChangesFor(&link{}, time.Now()).Decode(time.Now())
				assert.NilError(t, err)
				second.AddEntryChanges(relayed, coord.Revision(count))
				time.Sleep(400 * time.Millisecond)
				received, err := second.entryChangesFor(&link{}, time.Now()).Decode(time.Now())
				assert.NilError(t, err)
				for _, change := range received {
					assert.Equal(t, change.LearnedAt, learned)
				}
			})
		})
	}
}

func TestConfigChangesCarryTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := newTestHub()
		learned := time.Now()
		hub.SetConfig([]coord.Item{{Key: "a", Revision: 1}}, 1, learned)
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, hub.ConfigSince(0).KnownSince(time.Now()), learned)
		hub.SetConfig([]coord.Item{{Key: "a", Revision: 1}}, 2, time.Time{})
		assert.Assert(t, hub.ConfigSince(0).KnownSince(time.Now()).IsZero(), "a list does not tell since when it stands")
	})
}

func newTestHub() *Hub { return NewHub("process", nil, func() ReadState { return ReadState{} }) }

// leaving are changes by which workers begin to drain.
func drainingChanges(count int, learned time.Time) []WorkerChange {
	var changes []WorkerChange
	for index := range count {
		drained := drainingChange(workers.ID(rune('a'+index)), coord.Revision(1+index))
		drained.LearnedAt = learned
		changes = append(changes, drained)
	}
	return changes
}
