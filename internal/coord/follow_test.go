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

// recorded is a view that keeps what it is told.
type recorded struct {
	values    map[string]string
	snapshots int
	lost      int
	regained  int
	// away is when the service was away last, as it was told with regained.
	away time.Time
}

func (r *recorded) Snapshot(items []coord.Item, _ coord.Revision) {
	r.snapshots++
	r.values = map[string]string{}
	for _, item := range items {
		r.values[item.Key] = string(item.Value)
	}
}

func (r *recorded) Changed(events []coord.Event, _ coord.Revision) {
	for _, event := range events {
		if event.Deleted {
			delete(r.values, event.Key)
			continue
		}
		r.values[event.Key] = string(event.Value)
	}
}

func (r *recorded) Lost(error) { r.lost++ }

func (r *recorded) Regained(since time.Time) {
	r.regained++
	r.away = since
}

// elapse lets time pass and all that is due in it happen.
func elapse(length time.Duration) {
	time.Sleep(length)
	synctest.Wait()
}

func put(t *testing.T, store *memory.Store, key, value string) {
	t.Helper()
	_, err := store.Commit(t.Context(), coord.Txn{Puts: []coord.Put{{Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
}

// follow runs a test in virtual time with a follower of "a/".
func follow(t *testing.T, wait time.Duration, play func(t *testing.T, store *memory.Store, view *recorded, renew chan struct{})) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		view := &recorded{}
		renew := make(chan struct{}, 1)
		ctx, stop := context.WithCancel(t.Context())
		go coord.Follow(ctx, store, "a/", view, coord.Options{
			WatchTimeout: func() time.Duration { return wait },
			BatchDelay:   func() time.Duration { return 100 * time.Millisecond },
			Resync:       renew,
		})
		synctest.Wait()
		play(t, store, view, renew)
		stop()
		synctest.Wait()
	})
}

func TestFollowSeesChangesAndRemovals(t *testing.T) {
	follow(t, time.Second, func(t *testing.T, store *memory.Store, view *recorded, _ chan struct{}) {
		put(t, store, "a/1", "x")
		put(t, store, "b/1", "other prefix")
		elapse(time.Second)
		assert.DeepEqual(t, view.values, map[string]string{"a/1": "x"})
		_, err := store.Commit(t.Context(), coord.Txn{Removes: []string{"a/1"}})
		assert.NilError(t, err)
		elapse(time.Second)
		assert.DeepEqual(t, view.values, map[string]string{})
	})
}

// Found by hunts of both deployments: a watch that the service lost unseen kept
// a process on an old configuration for as long as the watch might be silent.
func TestFollowNoticesAWatchThatWasLostUnseen(t *testing.T) {
	follow(t, 1500*time.Millisecond, func(t *testing.T, store *memory.Store, view *recorded, _ chan struct{}) {
		store.SetWatchesSilent(true)
		put(t, store, "a/wake", "sets the waiting watch deaf")
		put(t, store, "a/1", "new")
		elapse(time.Second)
		store.SetWatchesSilent(false)
		elapse(1600 * time.Millisecond)
		assert.Equal(t, view.values["a/1"], "new")
		assert.Equal(t, view.lost, 1)
		assert.Equal(t, view.regained, 1)
	})
}

// One lost watch after the other cost a list each, which has 20 pages with 10,000 workers, and what is
// followed counted as unread meanwhile: hundreds of processes began to read it for themselves.
func TestALostWatchCostsNoList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, view := memory.New(), &recorded{}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		var reached time.Time
		longest := time.Duration(0)
		go coord.Follow(ctx, store, "a/", view, coord.Options{
			WatchTimeout: func() time.Duration { return 1500 * time.Millisecond },
			BatchDelay:   func() time.Duration { return 0 },
			OnSynced: func(at time.Time) {
				if !reached.IsZero() {
					longest = max(longest, at.Sub(reached))
				}
				reached = at
			},
		})
		elapse(time.Second)
		for round := range 5 { // each watch is lost that waits, and the next one answers at once
			store.SetWatchesSilent(true)
			put(t, store, "b/wake", "sets the waiting watch deaf")
			put(t, store, "a/1", fmt.Sprint(round))
			synctest.Wait()
			store.SetWatchesSilent(false)
			elapse(2050 * time.Millisecond)
			assert.Equal(t, view.values["a/1"], fmt.Sprint(round))
		}
		assert.Equal(t, store.Calls["list"], 1)
		assert.Assert(t, longest <= 2200*time.Millisecond, "nothing was read for %v", longest)
	})
}

func TestFollowListsAnewWhenTheHistoryIsGone(t *testing.T) {
	follow(t, 1500*time.Millisecond, func(t *testing.T, store *memory.Store, view *recorded, _ chan struct{}) {
		store.SetWatchesSilent(true)
		put(t, store, "a/wake", "sets the waiting watch deaf")
		put(t, store, "a/1", "new")
		store.ForgetHistory()
		store.SetWatchesSilent(false)
		elapse(3 * time.Second)
		assert.Equal(t, view.values["a/1"], "new")
		assert.Equal(t, view.snapshots, 2)
	})
}

func TestFollowRenewsAWaitingWatch(t *testing.T) {
	follow(t, time.Hour, func(t *testing.T, store *memory.Store, view *recorded, renew chan struct{}) {
		store.SetWatchesSilent(true)
		put(t, store, "a/1", "new")
		synctest.Wait()
		store.SetWatchesSilent(false)
		renew <- struct{}{}
		elapse(time.Second)
		assert.Equal(t, view.values["a/1"], "new")
	})
}

// While another process tells of changes nothing is watched but on request; after that
// the watch goes on where the view stands.
func TestFollowPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, view, renew := memory.New(), &recorded{}, make(chan struct{}, 1)
		var paused atomic.Bool
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go coord.Follow(ctx, store, "a/", view, coord.Options{
			WatchTimeout: func() time.Duration { return time.Second },
			BatchDelay:   func() time.Duration { return 0 },
			Resync:       renew, Paused: paused.Load,
		})
		elapse(100 * time.Millisecond)
		paused.Store(true)
		elapse(2 * time.Second)
		calls := store.Calls["watch"] + store.Calls["list"]
		put(t, store, "a/1", "x")
		elapse(time.Minute)
		assert.Equal(t, store.Calls["watch"]+store.Calls["list"], calls)
		assert.Equal(t, view.values["a/1"], "")
		renew <- struct{}{}
		elapse(time.Second)
		assert.Equal(t, view.values["a/1"], "x", "read anew on request")
		assert.Equal(t, store.Calls["watch"]+store.Calls["list"], calls+1)
		put(t, store, "a/1", "y")
		paused.Store(false)
		elapse(time.Second)
		assert.Equal(t, view.values["a/1"], "y")
	})
}

// A relay whose leader does not reach the service is followed by others, whose patience is shorter
// than a silent watch.
func TestFollowHurriesAfterAPauseForOthers(t *testing.T) {
	for name, hurries := range map[string]bool{"others wait": true, "nobody waits": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New()
				var paused atomic.Bool
				var reached atomic.Int32
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go coord.Follow(ctx, store, "a/", &recorded{}, coord.Options{
					WatchTimeout:   func() time.Duration { return 700 * time.Millisecond },
					BatchDelay:     func() time.Duration { return 0 },
					Paused:         paused.Load,
					PollAfterPause: func() bool { return hurries },
					OnSynced:       func(time.Time) { reached.Add(1) },
				})
				elapse(100 * time.Millisecond)
				paused.Store(true)
				elapse(5 * time.Second)
				before := reached.Load()
				paused.Store(false)
				elapse(100 * time.Millisecond)
				assert.Equal(t, reached.Load() > before, hurries)
			})
		})
	}
}

func TestFollowOutlastsAnOutage(t *testing.T) {
	follow(t, 1500*time.Millisecond, func(t *testing.T, store *memory.Store, view *recorded, _ chan struct{}) {
		put(t, store, "a/1", "before")
		elapse(time.Second)
		store.SetDown(true)
		elapse(10 * time.Second)
		assert.Equal(t, view.values["a/1"], "before")
		store.SetDown(false)
		elapse(4 * time.Second)
		put(t, store, "a/1", "after")
		elapse(time.Second)
		assert.Equal(t, view.values["a/1"], "after")
	})
}

// refusing is a service that answers each call with a refusal while it is told to.
type refusing struct {
	*memory.Store
	refuses atomic.Bool
}

func (r *refusing) ListPage(ctx context.Context, prefix, after string) (coord.Page, error) {
	if r.refuses.Load() {
		return coord.Page{}, coord.ErrRefused
	}
	return r.Store.ListPage(ctx, prefix, after)
}

func (r *refusing) Watch(ctx context.Context, prefix string, after coord.Revision, wait time.Duration) ([]coord.Event, coord.Revision, error) {
	if r.refuses.Load() {
		return nil, 0, coord.ErrRefused
	}
	return r.Store.Watch(ctx, prefix, after, wait)
}

// Whoever waits after the service's return counts from when it was surely away, which is no
// later than its return and no more than one try before the first answer.
func TestFollowTellsSinceWhenTheServiceMayBeBack(t *testing.T) {
	for name, away := range map[string]func(store *refusing, is bool){
		"silent":  func(store *refusing, is bool) { store.SetDown(is) },
		"refuses": func(store *refusing, is bool) { store.refuses.Store(is) },
	} {
		t.Run(name, func(t *testing.T) {
			for phase := time.Duration(0); phase < 3*time.Second; phase += 70 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					store, view := &refusing{Store: memory.New()}, &recorded{}
					ctx, stop := context.WithCancel(t.Context())
					go coord.Follow(ctx, store, "a/", view, coord.Options{
						WatchTimeout: func() time.Duration { return time.Second },
						BatchDelay:   func() time.Duration { return 0 },
					})
					elapse(time.Second)
					away(store, true)
					elapse(8*time.Second + phase)
					away(store, false)
					back := time.Now()
					elapse(4 * time.Second)
					assert.Equal(t, view.regained, 1)
					assert.Assert(t, !view.away.After(back), "%v after its return", view.away.Sub(back))
					assert.Assert(t, back.Sub(view.away) <= 1800*time.Millisecond, "%v before it", back.Sub(view.away))
					stop()
					synctest.Wait()
				})
			}
		})
	}
}

// slow is a service that fails some pages of a list.
type slow struct {
	*memory.Store
	// fails are the calls for pages that fail, counted from one.
	fails map[int]bool
	pages int
}

func (s *slow) ListPage(ctx context.Context, prefix, after string) (coord.Page, error) {
	s.pages++
	if s.fails[s.pages] {
		return coord.Page{}, memory.ErrDown
	}
	return s.Store.ListPage(ctx, prefix, after)
}

// A list over a slow link was begun again whenever it took longer than one call may, and never
// ended: each of its pages may take that long now, and one that fails is asked for again.
func TestALongListGoesOnAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, view := &slow{Store: memory.New(), fails: map[int]bool{2: true, 4: true}}, &recorded{}
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
		elapse(2 * time.Second)
		assert.Equal(t, len(view.values), 5)
		assert.Equal(t, store.pages, 5, "three pages and two failures")
		put(t, store.Store, "a/6", "y")
		elapse(time.Second)
		assert.Equal(t, view.values["a/6"], "y")
	})
}

// Once a list shows that it has more pages, a process waits for others to tell it.
func TestTheOtherPagesAreLeftToWhoTells(t *testing.T) {
	for name, told := range map[string]bool{"told": true, "nobody tells": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, view := memory.New(), &recorded{}
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
					Paused:          func() bool { return told },
					AwaitRelayedList: func(_ context.Context, at coord.Revision) bool {
						assert.Check(t, at == 5)
						return told
					},
				})
				elapse(time.Second)
				if told {
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
