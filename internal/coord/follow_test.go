package coord_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/coord/memory"
)

// recordingView is a view that records the calls of its methods.
type recordingView struct {
	values     map[string]string
	snapshots  int
	outages    int
	recoveries int
	// unreachableAt is the time last passed to OnReachable.
	unreachableAt time.Time
}

func (r *recordingView) Snapshot(items []coord.Item, _ coord.Revision) {
	r.snapshots++
	r.values = map[string]string{}
	for _, item := range items {
		r.values[item.Key] = string(item.Value)
	}
}

func (r *recordingView) ApplyEvents(events []coord.Event, _ coord.Revision) {
	for _, event := range events {
		if event.Deleted {
			delete(r.values, event.Key)
			continue
		}
		r.values[event.Key] = string(event.Value)
	}
}

func (r *recordingView) OnUnreachable(error) { r.outages++ }

func (r *recordingView) OnReachable(since time.Time) {
	r.recoveries++
	r.unreachableAt = since
}

// advance advances the virtual time and waits until all goroutines are blocked.
func advance(length time.Duration) {
	time.Sleep(length)
	synctest.Wait()
}

func put(t *testing.T, store *memory.Store, key, value string) {
	t.Helper()
	_, err := store.Commit(t.Context(), coord.Txn{Puts: []coord.Put{{Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
}

// runFollow runs a test in virtual time while the prefix "a/" is followed.
func runFollow(t *testing.T, wait time.Duration, play func(t *testing.T, store *memory.Store, view *recordingView, resync chan struct{})) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		view := &recordingView{}
		resync := make(chan struct{}, 1)
		ctx, stop := context.WithCancel(t.Context())
		go coord.Follow(ctx, store, "a/", view, coord.Options{
			WatchTimeout: func() time.Duration { return wait },
			BatchDelay:   func() time.Duration { return 100 * time.Millisecond },
			Resync:       resync,
		})
		synctest.Wait()
		play(t, store, view, resync)
		stop()
		synctest.Wait()
	})
}

func TestFollowSeesChangesAndRemovals(t *testing.T) {
	runFollow(t, time.Second, func(t *testing.T, store *memory.Store, view *recordingView, _ chan struct{}) {
		put(t, store, "a/1", "x")
		put(t, store, "b/1", "other prefix")
		advance(time.Second)
		assert.DeepEqual(t, view.values, map[string]string{"a/1": "x"})
		_, err := store.Commit(t.Context(), coord.Txn{Removes: []string{"a/1"}})
		assert.NilError(t, err)
		advance(time.Second)
		assert.DeepEqual(t, view.values, map[string]string{})
	})
}

// A watch that the service had dropped without notice left a process with an old configuration for
// the whole timeout of the watch.
func TestFollowDetectsDroppedWatch(t *testing.T) {
	runFollow(t, 1500*time.Millisecond, func(t *testing.T, store *memory.Store, view *recordingView, _ chan struct{}) {
		store.SetWatchesSilent(true)
		put(t, store, "a/wake", "silences the pending watch")
		put(t, store, "a/1", "new")
		advance(time.Second)
		store.SetWatchesSilent(false)
		advance(1600 * time.Millisecond)
		assert.Equal(t, view.values["a/1"], "new")
		assert.Equal(t, view.outages, 1)
		assert.Equal(t, view.recoveries, 1)
	})
}

// Each dropped watch cost a list, which has 20 pages with 10,000 workers. The followed data counted as
// out of date meanwhile, so hundreds of processes began to read it themselves.
func TestDroppedWatchNeedsNoList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, view := memory.New(), &recordingView{}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		var lastSyncAt time.Time
		longestGap := time.Duration(0)
		go coord.Follow(ctx, store, "a/", view, coord.Options{
			WatchTimeout: func() time.Duration { return 1500 * time.Millisecond },
			BatchDelay:   func() time.Duration { return 0 },
			OnSynced: func(at time.Time) {
				if !lastSyncAt.IsZero() {
					longestGap = max(longestGap, at.Sub(lastSyncAt))
				}
				lastSyncAt = at
			},
		})
		advance(time.Second)
		for round := range 5 { // the pending watch is dropped, and the next one returns at once
			store.SetWatchesSilent(true)
			put(t, store, "b/wake", "silences the pending watch")
			put(t, store, "a/1", fmt.Sprint(round))
			synctest.Wait()
			store.SetWatchesSilent(false)
			advance(2050 * time.Millisecond)
			assert.Equal(t, view.values["a/1"], fmt.Sprint(round))
		}
		assert.Equal(t, store.Calls["list"], 1)
		assert.Assert(t, longestGap <= 2200*time.Millisecond, "nothing was read for %v", longestGap)
	})
}

func TestFollowListsAgainAfterErrNoHistory(t *testing.T) {
	runFollow(t, 1500*time.Millisecond, func(t *testing.T, store *memory.Store, view *recordingView, _ chan struct{}) {
		store.SetWatchesSilent(true)
		put(t, store, "a/wake", "silences the pending watch")
		put(t, store, "a/1", "new")
		store.ForgetHistory()
		store.SetWatchesSilent(false)
		advance(3 * time.Second)
		assert.Equal(t, view.values["a/1"], "new")
		assert.Equal(t, view.snapshots, 2)
	})
}

func TestResyncCancelsPendingWatch(t *testing.T) {
	runFollow(t, time.Hour, func(t *testing.T, store *memory.Store, view *recordingView, resync chan struct{}) {
		store.SetWatchesSilent(true)
		put(t, store, "a/1", "new")
		synctest.Wait()
		store.SetWatchesSilent(false)
		resync <- struct{}{}
		advance(time.Second)
		assert.Equal(t, view.values["a/1"], "new")
	})
}

// While another process sends the changes, nothing is watched unless Resync is signalled. After the
// pause, watching continues from the last known revision.
func TestPausedFollowReadsOnlyOnResync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, view, resync := memory.New(), &recordingView{}, make(chan struct{}, 1)
		var paused atomic.Bool
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go coord.Follow(ctx, store, "a/", view, coord.Options{
			WatchTimeout: func() time.Duration { return time.Second },
			BatchDelay:   func() time.Duration { return 0 },
			Resync:       resync, Paused: paused.Load,
		})
		advance(100 * time.Millisecond)
		paused.Store(true)
		advance(2 * time.Second)
		calls := store.Calls["watch"] + store.Calls["list"]
		put(t, store, "a/1", "x")
		advance(time.Minute)
		assert.Equal(t, store.Calls["watch"]+store.Calls["list"], calls)
		assert.Equal(t, view.values["a/1"], "")
		resync <- struct{}{}
		advance(time.Second)
		assert.Equal(t, view.values["a/1"], "x", "Resync must read the changes")
		assert.Equal(t, store.Calls["watch"]+store.Calls["list"], calls+1)
		put(t, store, "a/1", "y")
		paused.Store(false)
		advance(time.Second)
		assert.Equal(t, view.values["a/1"], "y")
	})
}

// The followers of a relay whose leader does not reach the service wait for a shorter time than a
// watch without changes takes.
func TestPollAfterPause(t *testing.T) {
	for name, followers := range map[string]bool{"followers wait": true, "no followers": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New()
				var paused atomic.Bool
				var syncs atomic.Int32
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go coord.Follow(ctx, store, "a/", &recordingView{}, coord.Options{
					WatchTimeout:   func() time.Duration { return 700 * time.Millisecond },
					BatchDelay:     func() time.Duration { return 0 },
					Paused:         paused.Load,
					PollAfterPause: func() bool { return followers },
					OnSynced:       func(time.Time) { syncs.Add(1) },
				})
				advance(100 * time.Millisecond)
				paused.Store(true)
				advance(5 * time.Second)
				before := syncs.Load()
				paused.Store(false)
				advance(100 * time.Millisecond)
				assert.Equal(t, syncs.Load() > before, followers)
			})
		})
	}
}

func TestFollowSurvivesOutage(t *testing.T) {
	runFollow(t, 1500*time.Millisecond, func(t *testing.T, store *memory.Store, view *recordingView, _ chan struct{}) {
		put(t, store, "a/1", "before")
		advance(time.Second)
		store.SetDown(true)
		advance(10 * time.Second)
		assert.Equal(t, view.values["a/1"], "before")
		store.SetDown(false)
		advance(4 * time.Second)
		put(t, store, "a/1", "after")
		advance(time.Second)
		assert.Equal(t, view.values["a/1"], "after")
	})
}

// refusingStore is a service that refuses all lists and watches while refuses is set.
type refusingStore struct {
	*memory.Store
	refuses atomic.Bool
}

func (r *refusingStore) ListPage(ctx context.Context, prefix, after string) (coord.Page, error) {
	if r.refuses.Load() {
		return coord.Page{}, coord.ErrRefused
	}
	return r.Store.ListPage(ctx, prefix, after)
}

func (r *refusingStore) Watch(ctx context.Context, prefix string, after coord.Revision, wait time.Duration) ([]coord.Event, coord.Revision, error) {
	if r.refuses.Load() {
		return nil, 0, coord.ErrRefused
	}
	return r.Store.Watch(ctx, prefix, after, wait)
}

// Waits that begin with the service's return count from the time passed to OnReachable, at which
// the service was certainly unreachable. That time must not be after its return, nor further before
// the first answer than one attempt.
func TestOnReachableReportsLastFailure(t *testing.T) {
	for name, setUnreachable := range map[string]func(store *refusingStore, unreachable bool){
		"silent":  func(store *refusingStore, unreachable bool) { store.SetDown(unreachable) },
		"refuses": func(store *refusingStore, unreachable bool) { store.refuses.Store(unreachable) },
	} {
		t.Run(name, func(t *testing.T) {
			for phase := time.Duration(0); phase < 3*time.Second; phase += 70 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					store, view := &refusingStore{Store: memory.New()}, &recordingView{}
					ctx, stop := context.WithCancel(t.Context())
					go coord.Follow(ctx, store, "a/", view, coord.Options{
						WatchTimeout: func() time.Duration { return time.Second },
						BatchDelay:   func() time.Duration { return 0 },
					})
					advance(time.Second)
					setUnreachable(store, true)
					advance(8*time.Second + phase)
					setUnreachable(store, false)
					back := time.Now()
					advance(4 * time.Second)
					assert.Equal(t, view.recoveries, 1)
					assert.Assert(t, !view.unreachableAt.After(back), "%v after its return", view.unreachableAt.Sub(back))
					assert.Assert(t, back.Sub(view.unreachableAt) <= 1800*time.Millisecond, "%v before it", back.Sub(view.unreachableAt))
					stop()
					synctest.Wait()
				})
			}
		})
	}
}

// failingPagesStore is a service that fails some pages of a list.
type failingPagesStore struct {
	*memory.Store
	// fails contains the numbers of the page requests that fail, counted from one.
	fails map[int]bool
	pages int
}

func (s *failingPagesStore) ListPage(ctx context.Context, prefix, after string) (coord.Page, error) {
	s.pages++
	if s.fails[s.pages] {
		return coord.Page{}, memory.ErrDown
	}
	return s.Store.ListPage(ctx, prefix, after)
}

// When one timeout bounded a whole list, a list over a slow link was restarted again and again and
// never ended. Now the timeout applies to each page, and a failed page is requested again.
func TestListResumesAfterFailedPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, view := &failingPagesStore{Store: memory.New(), fails: map[int]bool{2: true, 4: true}}, &recordingView{}
		store.PageItems = 2
		for _, key := range []string{"a/1", "a/2", "a/3", "a/4", "a/5"} {
			put(t, store.Store, key, "x")
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go coord.Follow(ctx, store, "a/", view, coord.Options{
			WatchTimeout: func() time.Duration { return time.Second },
			BatchDelay:   func() time.Duration { return 0 },
		})
		advance(2 * time.Second)
		assert.Equal(t, len(view.values), 5)
		assert.Equal(t, store.pages, 5, "three pages and two failures")
		put(t, store.Store, "a/6", "y")
		advance(time.Second)
		assert.Equal(t, view.values["a/6"], "y")
	})
}

// When a list has more pages than one, a process waits for others to send the list.
func TestAwaitRelayedListSkipsRemainingPages(t *testing.T) {
	for name, relayed := range map[string]bool{"told": true, "the list is not sent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, view := memory.New(), &recordingView{}
				store.PageItems = 2
				for _, key := range []string{"a/1", "a/2", "a/3", "a/4", "a/5"} {
					put(t, store, key, "x")
				}
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go coord.Follow(ctx, store, "a/", view, coord.Options{
					WatchTimeout:    func() time.Duration { return time.Second },
					BatchDelay:      func() time.Duration { return 0 },
					CoveredRevision: func() coord.Revision { return 5 },
					Paused:          func() bool { return relayed },
					AwaitRelayedList: func(_ context.Context, at coord.Revision) bool {
						assert.Check(t, at == 5)
						return relayed
					},
				})
				advance(time.Second)
				if relayed {
					assert.Equal(t, store.Calls["list"], 1)
					assert.Equal(t, view.snapshots, 0)
					return
				}
				assert.Equal(t, store.Calls["list"], 3)
				assert.Equal(t, len(view.values), 5)
			})
		})
	}
}
