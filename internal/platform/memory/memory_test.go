package memory_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/platform/memory"
)

func put(t *testing.T, store *memory.Store, key, lease string) platform.Entry {
	t.Helper()
	entry, err := store.CompareAndSwap(t.Context(), platform.Write{
		Key: key, Value: []byte(key), WriteID: platform.NewWriteID(), Lease: lease,
	})
	assert.NilError(t, err)
	return entry
}

func TestLeaseLapsesWithItsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		lease, err := store.GrantLease(t.Context(), time.Second)
		assert.NilError(t, err)
		put(t, store, "a", lease)
		time.Sleep(900 * time.Millisecond)
		assert.NilError(t, store.RenewLease(t.Context(), lease))
		time.Sleep(900 * time.Millisecond)
		_, err = store.Get(t.Context(), "a")
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		_, err = store.Get(t.Context(), "a")
		assert.ErrorIs(t, err, platform.ErrNotFound)
		assert.ErrorIs(t, store.RenewLease(t.Context(), lease), platform.ErrNotFound)
	})
}

func TestWatchSeesALapseThatNobodyAskedAbout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		lease, err := store.GrantLease(t.Context(), time.Second)
		assert.NilError(t, err)
		entry := put(t, store, "a", lease)
		time.Sleep(900 * time.Millisecond)
		assert.NilError(t, store.RenewLease(t.Context(), lease))
		started := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		err = store.Watch(ctx, "a", entry.Revision, func(event platform.Event) {
			assert.Check(t, event.Deleted)
			cancel()
		})
		assert.ErrorIs(t, err, context.Canceled)
		assert.Equal(t, time.Since(started), time.Second)
	})
}

func TestOutageEndsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.StartOutage(10 * time.Second)
		time.Sleep(10*time.Second - 1)
		_, err := store.List(t.Context(), "")
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		time.Sleep(time.Nanosecond)
		_, err = store.List(t.Context(), "")
		assert.NilError(t, err)
	})
}

func TestWriteThatIsGivenUpMayHaveTakenEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetDelay(2 * time.Second)
		for name, patience := range map[string]time.Duration{"before": 900 * time.Millisecond, "after": 1100 * time.Millisecond} {
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			_, err := store.CompareAndSwap(ctx, platform.Write{Key: name, WriteID: "w"})
			assert.ErrorIs(t, err, platform.ErrUnavailable)
			cancel()
		}
		_, err := store.Get(t.Context(), "before")
		assert.ErrorIs(t, err, platform.ErrNotFound)
		_, err = store.Get(t.Context(), "after")
		assert.NilError(t, err)
	})
}

func TestOutageOvertakesACallUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetDelay(2 * time.Second)
		time.AfterFunc(time.Millisecond, func() { store.StartOutage(10 * time.Second) })
		_, err := store.CompareAndSwap(t.Context(), platform.Write{Key: "a", WriteID: "w"})
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		assert.Equal(t, store.Counts().Writes, uint64(0))
	})
}

func TestResolvedWriteOutlastsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.LoseAnswers(0.9, 1)
		store.StartOutage(time.Minute)
		started := time.Now()
		entry, err := platform.CompareAndSwapResolved(t.Context(), store, platform.Write{Key: "a", WriteID: "mine"})
		assert.NilError(t, err)
		assert.Equal(t, entry.WriteID, "mine")
		assert.Assert(t, time.Since(started) < 63*time.Second)
		assert.Equal(t, store.Counts().Writes, uint64(1))
	})
}

func TestResolvedWriteEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.StartOutage(0)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := platform.CompareAndSwapResolved(ctx, store, platform.Write{Key: "a", WriteID: "mine"})
		assert.ErrorIs(t, err, platform.ErrUnavailable)
	})
}

func TestMachineListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		machine := platform.Machine{Address: "127.0.0.2", Name: "m2", Zone: "casa-a", State: platform.MachineLive}
		store.SetMachine(machine)
		store.SetMachineLag(5 * time.Second)
		store.RemoveMachine(machine.Address)
		time.Sleep(5*time.Second - 1)
		machines, err := store.Machines(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, machines, []platform.Machine{machine})
		time.Sleep(time.Nanosecond)
		machines, err = store.Machines(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(machines), 0)
	})
}

func TestWatchFromACompactedRevisionIsRefused(t *testing.T) {
	store := memory.New()
	for i := range platform.Revision(9000) {
		_, err := store.CompareAndSwap(t.Context(), platform.Write{Key: "a", Expect: i, WriteID: "w"})
		assert.NilError(t, err)
	}
	err := store.Watch(t.Context(), "a", 1, nil)
	assert.ErrorIs(t, err, platform.ErrCompacted)
}

// A prefix under which nothing changes can be followed however much changes
// elsewhere.
func TestQuietPrefixIsWatchedFromTheListing(t *testing.T) {
	store := memory.New()
	_, err := store.CompareAndSwap(t.Context(), platform.Write{Key: "quiet", WriteID: "w"})
	assert.NilError(t, err)
	for i := range platform.Revision(9000) {
		expect := i + 1
		if i == 0 {
			expect = 0
		}
		_, err := store.CompareAndSwap(t.Context(), platform.Write{Key: "busy", Expect: expect, WriteID: "w"})
		assert.NilError(t, err)
	}
	listing, err := store.List(t.Context(), "quiet")
	assert.NilError(t, err)
	assert.Equal(t, listing.Entries[0].Revision, platform.Revision(1))
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	err = store.Watch(ctx, "quiet", listing.Revision, nil)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}
