package memory_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/platform/memory"
)

// Writers that race through lost answers, delays and an outage each leave their
// mark exactly once, if they decide anew from the entry that a conflict shows.
func TestRacingWritersEachTakeEffectOnce(t *testing.T) {
	const writers = 8
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.LoseAnswers(0.5, 7)
		store.SetDelay(20 * time.Millisecond)
		time.AfterFunc(100*time.Millisecond, func() { store.StartOutage(2 * time.Second) })
		var group sync.WaitGroup
		for i := range writers {
			group.Go(func() { assert.Check(t, addMark(t.Context(), store, fmt.Sprintf("w%d", i))) })
		}
		group.Wait()
		entry, err := store.Get(t.Context(), "marks")
		assert.NilError(t, err)
		marks := strings.Fields(string(entry.Value))
		slices.Sort(marks)
		assert.DeepEqual(t, marks, []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"})
		assert.Assert(t, store.Counts().AnswersLost > 0 && store.Counts().Refused > 0)
	})
}

func addMark(ctx context.Context, store platform.Store, mark string) error {
	var current platform.Entry
	for {
		marks := strings.Fields(string(current.Value))
		if slices.Contains(marks, mark) {
			return nil
		}
		entry, err := platform.CompareAndSwapResolved(ctx, store, platform.Write{
			Key:     "marks",
			Value:   []byte(strings.Join(append(marks, mark), " ")),
			Expect:  current.Revision,
			WriteID: platform.NewWriteID(),
		})
		if err == nil {
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		current = entry
	}
}
