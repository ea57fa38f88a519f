package kv_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/lab/kv"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/platform/memory"
)

// service is what the contract tests need from either twin.
type service interface {
	platform.Store
	platform.Machines
}

// onBoth runs a test on the in-memory twin and on the client over HTTP.
func onBoth(t *testing.T, test func(t *testing.T, store *memory.Store, service service)) {
	t.Run("memory", func(t *testing.T) {
		store := memory.New()
		test(t, store, store)
	})
	t.Run("http", func(t *testing.T) {
		store := memory.New()
		server := httptest.NewServer(kv.NewServer(store))
		t.Cleanup(server.Close)
		test(t, store, platform.NewClient(server.URL, server.Client(), platform.WithRate(10000, 10000)))
	})
}

func write(key, value string, expect platform.Revision) platform.Write {
	return platform.Write{Key: key, Value: []byte(value), Expect: expect, WriteID: platform.NewWriteID()}
}

func TestCompareAndSwap(t *testing.T) {
	onBoth(t, func(t *testing.T, _ *memory.Store, service service) {
		ctx := t.Context()
		_, err := service.Get(ctx, "a/b c")
		assert.ErrorIs(t, err, platform.ErrNotFound)
		first, err := service.CompareAndSwap(ctx, write("a/b c", "one", 0))
		assert.NilError(t, err)
		_, err = service.CompareAndSwap(ctx, write("a/b c", "two", 0))
		assert.ErrorIs(t, err, platform.ErrConflict)
		second, err := service.CompareAndSwap(ctx, write("a/b c", "two", first.Revision))
		assert.NilError(t, err)
		read, err := service.Get(ctx, "a/b c")
		assert.NilError(t, err)
		assert.DeepEqual(t, read, second)
		assert.ErrorIs(t, service.Delete(ctx, "a/b c", first.Revision), platform.ErrConflict)
		assert.NilError(t, service.Delete(ctx, "a/b c", second.Revision))
		assert.ErrorIs(t, service.Delete(ctx, "a/b c", second.Revision), platform.ErrNotFound)
		_, err = service.CompareAndSwap(ctx, platform.Write{Key: "a"})
		assert.ErrorIs(t, err, platform.ErrMalformed)
	})
}

func TestListIsOrderedAndBoundedByPrefix(t *testing.T) {
	onBoth(t, func(t *testing.T, _ *memory.Store, service service) {
		for _, key := range []string{"b/2", "c/1", "b/1", "a/1"} {
			_, err := service.CompareAndSwap(t.Context(), write(key, key, 0))
			assert.NilError(t, err)
		}
		listing, err := service.List(t.Context(), "b/")
		assert.NilError(t, err)
		assert.Equal(t, listing.Revision, platform.Revision(4))
		entries := listing.Entries
		assert.Equal(t, len(entries), 2)
		assert.Equal(t, entries[0].Key+entries[1].Key, "b/1b/2")
	})
}

func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	onBoth(t, func(t *testing.T, store *memory.Store, service service) {
		store.LoseNextAnswers(1)
		wanted := write("head", "mine", 0)
		entry, err := platform.CompareAndSwapResolved(t.Context(), service, wanted)
		assert.NilError(t, err)
		assert.Equal(t, entry.WriteID, wanted.WriteID)
		assert.Equal(t, store.Counts().AnswersLost, uint64(1))
		assert.Equal(t, store.Counts().Writes, uint64(1))
	})
}

func TestLoserOfARaceGetsTheWinnersEntry(t *testing.T) {
	onBoth(t, func(t *testing.T, _ *memory.Store, service service) {
		winner, err := platform.CompareAndSwapResolved(t.Context(), service, write("head", "first", 0))
		assert.NilError(t, err)
		found, err := platform.CompareAndSwapResolved(t.Context(), service, write("head", "second", 0))
		assert.ErrorIs(t, err, platform.ErrConflict)
		assert.DeepEqual(t, found, winner)
	})
}

func TestOutageAndRateLimitAreUnavailable(t *testing.T) {
	onBoth(t, func(t *testing.T, store *memory.Store, service service) {
		store.StartOutage(0)
		_, err := service.List(t.Context(), "")
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		assert.ErrorIs(t, service.Watch(t.Context(), "", 0, nil), platform.ErrUnavailable)
		store.EndOutage()
		store.LimitRate(0.001, 1)
		_, err = service.Machines(t.Context())
		assert.NilError(t, err)
		_, err = service.Machines(t.Context())
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		assert.ErrorIs(t, err, platform.ErrRateLimited)
	})
}

func TestWatchShowsChangesInOrderAndEndsWithAnOutage(t *testing.T) {
	onBoth(t, func(t *testing.T, store *memory.Store, service service) {
		ctx := t.Context()
		entry, err := service.CompareAndSwap(ctx, write("a/1", "one", 0))
		assert.NilError(t, err)
		var events []platform.Event
		err = service.Watch(ctx, "a/", 0, func(event platform.Event) {
			events = append(events, event)
			switch len(events) {
			case 1:
				_, err := store.CompareAndSwap(ctx, write("b/1", "other prefix", 0))
				assert.Check(t, err)
				assert.Check(t, store.Delete(ctx, "a/1", entry.Revision))
			case 2:
				store.StartOutage(0)
			}
		})
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		assert.DeepEqual(t, events, []platform.Event{
			{Entry: entry},
			{Entry: platform.Entry{Key: "a/1", Revision: entry.Revision + 2}, Deleted: true},
		})
	})
}

func TestWatchEndsWithItsContext(t *testing.T) {
	onBoth(t, func(t *testing.T, store *memory.Store, service service) {
		ctx, cancel := context.WithCancel(t.Context())
		_, err := store.CompareAndSwap(ctx, write("a", "one", 0))
		assert.NilError(t, err)
		err = service.Watch(ctx, "", 0, func(platform.Event) { cancel() })
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		assert.ErrorIs(t, err, context.Canceled)
	})
}

func TestLeases(t *testing.T) {
	onBoth(t, func(t *testing.T, _ *memory.Store, service service) {
		ctx := t.Context()
		lease, err := service.GrantLease(ctx, time.Hour)
		assert.NilError(t, err)
		assert.NilError(t, service.RenewLease(ctx, lease))
		assert.ErrorIs(t, service.RenewLease(ctx, "other"), platform.ErrNotFound)
		leased := write("a", "one", 0)
		leased.Lease = "other"
		_, err = service.CompareAndSwap(ctx, leased)
		assert.ErrorIs(t, err, platform.ErrNotFound)
		leased.Lease = lease
		entry, err := service.CompareAndSwap(ctx, leased)
		assert.NilError(t, err)
		assert.Equal(t, entry.Lease, lease)
	})
}

func TestClientTakesAnUnknownAnswerAsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	_, err := platform.NewClient(server.URL, server.Client()).Get(t.Context(), "a")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
}

// What a reader has together with the changes since is always the whole list;
// a revision of another service, or of none, is answered with all of it.
func TestMachineChanges(t *testing.T) {
	onBoth(t, func(t *testing.T, store *memory.Store, service service) {
		ctx := t.Context()
		machine := func(address string, state platform.MachineState) platform.Machine {
			return platform.Machine{Address: address, Name: "m" + address, Zone: "z", State: state}
		}
		live, leaving := machine("10.0.0.10", platform.MachineLive), machine("10.0.0.10", platform.MachineLeaving)
		store.SetMachine(live)
		store.SetMachine(machine("10.0.0.9", platform.MachineLive))
		first, err := service.MachineChanges(ctx, "")
		assert.NilError(t, err)
		assert.Assert(t, first.Whole)
		assert.DeepEqual(t, first.Machines, []platform.Machine{machine("10.0.0.9", platform.MachineLive), live})
		none, err := service.MachineChanges(ctx, first.Revision)
		assert.NilError(t, err)
		assert.DeepEqual(t, none, platform.MachineChanges{Revision: first.Revision})
		store.RemoveMachine("10.0.0.9")
		store.SetMachine(leaving)
		next, err := service.MachineChanges(ctx, first.Revision)
		assert.NilError(t, err)
		assert.DeepEqual(t, next, platform.MachineChanges{
			Revision: next.Revision, Machines: []platform.Machine{leaving}, Removed: []string{"10.0.0.9"},
		})
		other, err := memory.New().MachineChanges(ctx, "")
		assert.NilError(t, err)
		for _, unknown := range []platform.MachineRevision{"", "x", other.Revision, first.Revision + "9"} {
			whole, err := service.MachineChanges(ctx, unknown)
			assert.NilError(t, err)
			assert.DeepEqual(t, whole, platform.MachineChanges{Revision: next.Revision, Whole: true, Machines: []platform.Machine{leaving}})
		}
	})
}
