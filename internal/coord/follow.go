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
	// retryDelay is the wait after a failed call, and maxRetryDelay after many.
	retryDelay    = 250 * time.Millisecond
	maxRetryDelay = time.Second
	// pageTimeout bounds one page of a list. A list has as many as it needs: what bounded it
	// as a whole would begin a long one on a slow link again and again.
	pageTimeout = 1500 * time.Millisecond
	// catchUpTimeout is how long a watch may stay silent that reads what has changed.
	catchUpTimeout = 20 * time.Millisecond
	// pausePollInterval is the pause between looks whether following is paused still.
	pausePollInterval = 50 * time.Millisecond
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
	follower.backoff = clock.Backoff{First: retryDelay, Longest: maxRetryDelay}
	for ctx.Err() == nil {
		if err := follower.step(ctx); err != nil && ctx.Err() == nil {
			follower.handleFailure(ctx, err)
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
	partial PartialList
	// asked says that others were waited for.
	awaited     bool
	unavailable bool
	// hurries says that the next watch is to answer at once.
	pollNext bool
	// began is when the first page of the list was sent for.
	listSentAt time.Time
	// sent is when the last call was sent, and away a time at which the service was away:
	// when the last call that failed was sent, or was refused.
	sentAt, unavailableAt time.Time
	backoff               clock.Backoff
}

// step lists or watches once.
func (f *follower) step(ctx context.Context) error {
	if !f.listed && !f.receiveInitialState(ctx) {
		return f.list(ctx)
	}
	if f.options.Paused != nil && f.options.Paused() {
		return f.waitWhilePaused(ctx)
	}
	if f.pollNext { // an answer tells soon what the call before has missed
		return f.watch(ctx, catchUpTimeout)
	}
	return f.watch(ctx, f.options.WatchTimeout())
}

// pause waits until following goes on, or what has changed is to be read.
func (f *follower) waitWhilePaused(ctx context.Context) error {
	ticker := time.NewTicker(pausePollInterval)
	defer ticker.Stop()
	for f.options.Paused() {
		select {
		case <-f.options.Resync:
			return f.watch(ctx, catchUpTimeout)
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
	f.pollNext = f.options.PollAfterPause != nil && f.options.PollAfterPause()
	return nil
}

// toldAll waits once, before the first list, whether others tell all that there is.
func (f *follower) receiveInitialState(ctx context.Context) bool {
	if f.awaited || f.options.AwaitInitialState == nil {
		return false
	}
	f.awaited = true
	if f.options.AwaitInitialState(ctx) {
		f.listed, f.at = true, f.options.CoveredRevision()
	}
	return f.listed
}

// list reads a page of a list, the first or the next one, and takes the list with its last page.
func (f *follower) list(ctx context.Context) error {
	if f.partial.After != "" && f.options.AwaitRelayedList != nil && f.options.AwaitRelayedList(ctx, f.partial.At) {
		f.partial = PartialList{}
		f.listed, f.at = true, max(f.at, f.options.CoveredRevision())
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	f.sentAt = clock.Now()
	if f.partial.After == "" {
		f.listSentAt = f.sentAt
	}
	page, err := f.store.ListPage(bounded, f.prefix, f.partial.After)
	if err != nil {
		return err
	}
	f.markAvailable()
	f.partial.Add(page)
	if f.partial.Done {
		f.finishList(f.partial)
	}
	return nil
}

// take takes a list that was read whole: all that changed since its first page was sent for is
// still to be read.
func (f *follower) finishList(list PartialList) {
	f.partial = PartialList{}
	f.at, f.listed = max(f.at, list.At), true
	f.view.Snapshot(list.Items, list.At)
	f.reportSynced(f.listSentAt)
}

// reached tells that all is known as of a time.
func (f *follower) reportSynced(at time.Time) {
	if f.options.OnSynced != nil {
		f.options.OnSynced(at)
	}
}

// watchFor waits for changes for some time.
func (f *follower) watch(ctx context.Context, wait time.Duration) error {
	if f.options.CoveredRevision != nil {
		f.at = max(f.at, f.options.CoveredRevision())
	}
	bounded, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	resyncRequested := f.cancelOnResync(bounded, cancel)
	f.sentAt = clock.Now()
	events, at, err := f.store.Watch(bounded, f.prefix, f.at, wait)
	switch {
	case errors.Is(err, ErrNoHistory), err != nil && resyncRequested.Load():
		f.listed = false
		return nil
	case err != nil: // what a watch has lost is told by the next from the same revision
		f.pollNext = true
		return err
	}
	f.pollNext = false
	f.markAvailable()
	f.at = max(f.at, at)
	returnedAt := clock.Now()
	if len(events) > 0 {
		f.view.Changed(events, f.at)
	}
	f.reportSynced(returnedAt)
	if len(events) > 0 {
		clock.Sleep(ctx, f.options.BatchDelay())
	}
	return nil
}

// watchRenewal cancels the watch when it is to be renewed.
func (f *follower) cancelOnResync(ctx context.Context, cancel context.CancelFunc) *atomic.Bool {
	requested := &atomic.Bool{}
	if f.options.Resync == nil {
		return requested
	}
	go func() {
		select {
		case <-f.options.Resync:
			requested.Store(true)
			cancel()
		case <-ctx.Done():
		}
	}()
	return requested
}

func (f *follower) markAvailable() {
	f.backoff.Reset()
	if f.unavailable {
		f.unavailable = false
		f.view.Regained(f.unavailableAt)
	}
}

func (f *follower) handleFailure(ctx context.Context, err error) {
	f.unavailableAt = f.sentAt
	if errors.Is(err, ErrRefused) {
		f.unavailableAt = clock.Now()
	}
	if f.options.OnFailure != nil {
		f.options.OnFailure(f.unavailableAt)
	}
	took, first := clock.Since(f.sentAt), !f.unavailable
	if first {
		f.unavailable = true
		f.view.Lost(err)
	}
	if first && took >= maxRetryDelay { // a silent watch was pause enough
		return
	}
	f.backoff.SleepRest(ctx, took)
}
