package coord

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// Times of following a prefix.
const (
	// watchSlack is added until a silent watch is given up.
	watchSlack = 500 * time.Millisecond
	// followPause is the wait after a failed call, and longestPause after many.
	followPause  = 250 * time.Millisecond
	longestPause = time.Second
	// pageTimeout bounds one page of a list. A list has as many as it needs: what bounded it
	// as a whole would begin a long one on a slow link again and again.
	pageTimeout = 1500 * time.Millisecond
	// catchUpWait is how long a watch may stay silent that reads what has changed.
	catchUpWait = 20 * time.Millisecond
	// pauseLook is the pause between looks whether following is paused still.
	pauseLook = 50 * time.Millisecond
)

// View receives what is under a prefix. Calls come from one goroutine.
type View interface {
	// Snapshot replaces all.
	Snapshot(items []Item, at Revision)
	// Changed applies events in order.
	Changed(events []Event, at Revision)
	// Lost and Regained tell whether the service answers. since is when the last call that
	// failed found it away: it may have answered others since then.
	Lost(err error)
	Regained(since time.Time)
}

// Options of following a prefix.
type Options struct {
	// Wait is how long the next watch may stay silent. Each watch is a priced
	// call, and one that the service lost unseen is noticed only after the wait.
	WatchTimeout func() time.Duration
	// Gather is the pause after changes, so that many of them cost one call.
	BatchDelay func() time.Duration
	// Renew gives up a waiting watch and lists anew; while following is paused, it
	// reads what has changed.
	Resync <-chan struct{}
	// Paused says that another process tells of changes: nothing is watched. Nil:
	// never.
	Paused func() bool
	// Hurry reports whether the first watch after a pause is to answer at once, since others wait
	// to hear as of when all is known. Nil: never.
	PollAfterPause func() bool
	// Reached is called after each call that was answered, with a time as of which all
	// is known. Nil: nobody wants to know.
	OnSynced func(at time.Time)
	// Failed is called after each call that failed, with a time at which the service was
	// away for this process. Nil: nobody wants to know.
	OnFailure func(at time.Time)
	// Covered is the revision up to which the view knows all changes, which may come
	// from elsewhere meanwhile. Nil: what was read here.
	CoveredRevision func() Revision
	// Told waits, before the first list, whether others tell all that there is, up to the
	// revision Covered; nil: nobody does.
	AwaitInitialState func(ctx context.Context) bool
	// More waits, once the first page of a list shows that others follow, for whether others tell
	// all that there is as of that page's revision, or a later one; false: the pages are to be
	// read. Nil: they are read at once.
	AwaitRelayedList func(ctx context.Context, at Revision) bool
}

// Follow keeps a view up to date until ctx ends.
func Follow(ctx context.Context, store Store, prefix string, view View, options Options) {
	follower := &follower{store: store, prefix: prefix, view: view, options: options}
	follower.backoff = clock.Backoff{First: followPause, Longest: longestPause}
	for ctx.Err() == nil {
		if err := follower.step(ctx); err != nil && ctx.Err() == nil {
			follower.fail(ctx, err)
		}
	}
}

type follower struct {
	store   Store
	prefix  string
	view    View
	options Options
	at      Revision
	listed  bool
	// reading is a list that was begun.
	reading PartialList
	// asked says that others were waited for.
	asked bool
	lost  bool
	// hurries says that the next watch is to answer at once.
	hurries bool
	// began is when the first page of the list was sent for.
	began time.Time
	// sent is when the last call was sent, and away a time at which the service was away:
	// when the last call that failed was sent, or was refused.
	sent, away time.Time
	backoff    clock.Backoff
}

// step lists or watches once.
func (f *follower) step(ctx context.Context) error {
	if !f.listed && !f.toldAll(ctx) {
		return f.list(ctx)
	}
	if f.options.Paused != nil && f.options.Paused() {
		return f.pause(ctx)
	}
	if f.hurries { // an answer tells soon what the call before has missed
		return f.watchFor(ctx, catchUpWait)
	}
	return f.watchFor(ctx, f.options.WatchTimeout())
}

// pause waits until following goes on, or what has changed is to be read.
func (f *follower) pause(ctx context.Context) error {
	ticker := time.NewTicker(pauseLook)
	defer ticker.Stop()
	for f.options.Paused() {
		select {
		case <-f.options.Resync:
			return f.watchFor(ctx, catchUpWait)
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
	f.hurries = f.options.PollAfterPause != nil && f.options.PollAfterPause()
	return nil
}

// toldAll waits once, before the first list, whether others tell all that there is.
func (f *follower) toldAll(ctx context.Context) bool {
	if f.asked || f.options.AwaitInitialState == nil {
		return false
	}
	f.asked = true
	if f.options.AwaitInitialState(ctx) {
		f.listed, f.at = true, f.options.CoveredRevision()
	}
	return f.listed
}

// list reads a page of a list, the first or the next one, and takes the list with its last page.
func (f *follower) list(ctx context.Context) error {
	if f.reading.After != "" && f.options.AwaitRelayedList != nil && f.options.AwaitRelayedList(ctx, f.reading.At) {
		f.reading = PartialList{}
		f.listed, f.at = true, max(f.at, f.options.CoveredRevision())
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	f.sent = clock.Now()
	if f.reading.After == "" {
		f.began = f.sent
	}
	page, err := f.store.ListPage(bounded, f.prefix, f.reading.After)
	if err != nil {
		return err
	}
	f.regain()
	f.reading.Add(page)
	if f.reading.Done {
		f.take(f.reading)
	}
	return nil
}

// take takes a list that was read whole: all that changed since its first page was sent for is
// still to be read.
func (f *follower) take(list PartialList) {
	f.reading = PartialList{}
	f.at, f.listed = max(f.at, list.At), true
	f.view.Snapshot(list.Items, list.At)
	f.reached(f.began)
}

// reached tells that all is known as of a time.
func (f *follower) reached(at time.Time) {
	if f.options.OnSynced != nil {
		f.options.OnSynced(at)
	}
}

// watchFor waits for changes for some time.
func (f *follower) watchFor(ctx context.Context, wait time.Duration) error {
	if f.options.CoveredRevision != nil {
		f.at = max(f.at, f.options.CoveredRevision())
	}
	bounded, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	renewed := f.watchRenewal(bounded, cancel)
	f.sent = clock.Now()
	events, at, err := f.store.Watch(bounded, f.prefix, f.at, wait)
	switch {
	case errors.Is(err, ErrNoHistory), err != nil && renewed.Load():
		f.listed = false
		return nil
	case err != nil: // what a watch has lost is told by the next from the same revision
		f.hurries = true
		return err
	}
	f.hurries = false
	f.regain()
	f.at = max(f.at, at)
	answered := clock.Now()
	if len(events) > 0 {
		f.view.Changed(events, f.at)
	}
	f.reached(answered)
	if len(events) > 0 {
		clock.Sleep(ctx, f.options.BatchDelay())
	}
	return nil
}

// watchRenewal cancels the watch when it is to be renewed.
func (f *follower) watchRenewal(ctx context.Context, cancel context.CancelFunc) *atomic.Bool {
	renewed := &atomic.Bool{}
	if f.options.Resync == nil {
		return renewed
	}
	go func() {
		select {
		case <-f.options.Resync:
			renewed.Store(true)
			cancel()
		case <-ctx.Done():
		}
	}()
	return renewed
}

func (f *follower) regain() {
	f.backoff.Reset()
	if f.lost {
		f.lost = false
		f.view.Regained(f.away)
	}
}

func (f *follower) fail(ctx context.Context, err error) {
	f.away = f.sent
	if errors.Is(err, ErrRefused) {
		f.away = clock.Now()
	}
	if f.options.OnFailure != nil {
		f.options.OnFailure(f.away)
	}
	took, first := clock.Since(f.sent), !f.lost
	if first {
		f.lost = true
		f.view.Lost(err)
	}
	if first && took >= longestPause { // a silent watch was pause enough
		return
	}
	f.backoff.SleepRest(ctx, took)
}
