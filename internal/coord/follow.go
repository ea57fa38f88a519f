package coord

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// Intervals and timeouts of following a prefix.
const (
	// watchSlack is how long after its timeout a watch without a response is given up.
	watchSlack = 500 * time.Millisecond
	// retryDelay is the delay after a failed call, maxRetryDelay the longest delay after repeated
	// failures.
	retryDelay    = 250 * time.Millisecond
	maxRetryDelay = time.Second
	// pageTimeout bounds the read of one page of a list. A timeout for the whole list would restart
	// a long list on a slow link again and again.
	pageTimeout = 1500 * time.Millisecond
	// catchUpTimeout is the timeout of a watch that only reads past changes.
	catchUpTimeout = 20 * time.Millisecond
	// pausePollInterval is the interval of checking whether following is still paused.
	pausePollInterval = 50 * time.Millisecond
)

// View receives the items under a prefix. Its methods are called by one goroutine.
type View interface {
	// Snapshot replaces all items.
	Snapshot(items []Item, at Revision)
	// Changed applies events in order.
	Changed(events []Event, at Revision)
	// Lost is called when the service becomes unavailable.
	Lost(err error)
	// Regained is called when the service is available again. since is a time at which the last failed
	// call found it unavailable; it may have answered other processes since then.
	Regained(since time.Time)
}

// Options are the options of Follow. Fields may be nil unless stated otherwise.
type Options struct {
	// WatchTimeout returns how long the next watch waits for changes. It is required. Each watch is a
	// billed call, and a watch that the service dropped without notice is detected only after the
	// timeout.
	WatchTimeout func() time.Duration
	// BatchDelay returns the delay after changes, during which further changes accumulate, so that
	// many cost one call. It is required.
	BatchDelay func() time.Duration
	// Resync cancels a pending watch and lists again. While following is paused, it reads the
	// changes since the last read.
	Resync <-chan struct{}
	// Paused reports whether following is paused because another process sends the changes. Nothing
	// is watched meanwhile. Nil means never.
	Paused func() bool
	// PollAfterPause reports whether the first watch after a pause must return at once, since other
	// processes wait for this one to report how current its data is. Nil means never.
	PollAfterPause func() bool
	// OnSynced is called after each watch that was answered and each completed list, with a time as
	// of which all changes are known. It may be nil.
	OnSynced func(at time.Time)
	// OnFailure is called after each call that failed, with a time at which the service was
	// unavailable to this process. It may be nil.
	OnFailure func(at time.Time)
	// CoveredRevision returns the revision up to which the view knows all changes, including those
	// received from other processes. If it is nil, only the changes read here count. It is required
	// with AwaitInitialState and AwaitRelayedList.
	CoveredRevision func() Revision
	// AwaitInitialState waits, before the first list, for other processes to send all items up to
	// CoveredRevision, and reports whether they did. Nil means that no process sends them.
	AwaitInitialState func(ctx context.Context) bool
	// AwaitRelayedList waits, after a first page that has further pages, for other processes to send
	// all items as of that page's revision or a later one. If it returns false, the other pages must
	// be read. Nil means that they are read at once.
	AwaitRelayedList func(ctx context.Context, at Revision) bool
}

// Follow keeps a view up to date with the items under a prefix until ctx ends.
func Follow(ctx context.Context, store Store, prefix string, view View, options Options) {
	follower := &follower{store: store, prefix: prefix, view: view, options: options}
	follower.backoff = clock.Backoff{Initial: retryDelay, Max: maxRetryDelay}
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
	// partial is a list that is being read.
	partial PartialList
	// awaited is true once AwaitInitialState was called.
	awaited     bool
	unavailable bool
	// pollNext is true if the next watch must return within catchUpTimeout.
	pollNext bool
	// listSentAt is when the request for the first page of the list was sent.
	listSentAt time.Time
	// sentAt is when the last call was sent. unavailableAt is a time at which the service was
	// unavailable: when the last failed call was sent, or when it was refused.
	sentAt, unavailableAt time.Time
	backoff               clock.Backoff
}

// step reads one page of a list, watches once, or waits while following is paused.
func (f *follower) step(ctx context.Context) error {
	if !f.listed && !f.receiveInitialState(ctx) {
		return f.list(ctx)
	}
	if f.options.Paused != nil && f.options.Paused() {
		return f.waitWhilePaused(ctx)
	}
	if f.pollNext { // a short watch returns soon what the previous call has missed
		return f.watch(ctx, catchUpTimeout)
	}
	return f.watch(ctx, f.options.WatchTimeout())
}

// waitWhilePaused waits until the pause ends, or until Resync is signalled and then reads the changes.
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

// receiveInitialState waits once, before the first list, for other processes to send all items. It
// reports whether they did.
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

// list reads the first or next page of a list, and passes the list to the view after the last page.
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

// finishList passes a complete list to the view. It is current only as of the request for its first
// page: later changes must still be read.
func (f *follower) finishList(list PartialList) {
	f.partial = PartialList{}
	f.at, f.listed = max(f.at, list.At), true
	f.view.Snapshot(list.Items, list.At)
	f.reportSynced(f.listSentAt)
}

// reportSynced reports that all changes are known as of a time.
func (f *follower) reportSynced(at time.Time) {
	if f.options.OnSynced != nil {
		f.options.OnSynced(at)
	}
}

// watch waits for changes for some time.
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
	case err != nil: // the next watch from the same revision returns the changes that this one missed
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

// cancelOnResync cancels a watch when Resync is signalled. The returned flag is then true.
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
	if first && took >= maxRetryDelay { // the watch that timed out was delay enough
		return
	}
	f.backoff.SleepAfter(ctx, took)
}
