package router

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// Timing of watches on the data that operators and workers write.
const (
	// defaultWatchTimeout is how long a watch may stay silent at the leader, and at a process that
	// receives no updates from a leader.
	defaultWatchTimeout = 1500 * time.Millisecond
	// relayWatchTimeout is the same for a process that has followers. It is shorter than the age at
	// which the followers read the service themselves.
	relayWatchTimeout = 700 * time.Millisecond
	// leaderBatchDelay and followerBatchDelay are the pauses after changes, in which further ones
	// accumulate, at the leader and at other processes. A worker that leaves may get requests for
	// 2 s.
	leaderBatchDelay   = 150 * time.Millisecond
	followerBatchDelay = 700 * time.Millisecond
	// maxLag is how long a process may miss a revision that the leader has read.
	maxLag = 900 * time.Millisecond
)

// prefixState is the state of one followed prefix: the revisions read so far, and a channel that
// requests a resync.
type prefixState struct {
	// newest is the revision of the newest change that was read; covered is the revision up to
	// which all changes were read.
	newest, covered atomic.Int64
	resync          chan struct{}
	// laggingSince is when this process first missed missedRevision, which the leader has read;
	// zero if it misses none.
	laggingSince   time.Time
	missedRevision coord.Revision
	// syncedAt is the time, in clock.Nanos, up to which everything was read from the service.
	syncedAt atomic.Int64
	// failedAt is the last time, in clock.Nanos, at which a call found the service unreachable.
	failedAt atomic.Int64
	// resyncedFor is the newest leader revision for which a resync was requested.
	resyncedFor coord.Revision
}

// distantPast is a value in clock.Nanos that precedes all times.
const distantPast = math.MinInt64 / 2

func newPrefixState() *prefixState {
	p := &prefixState{resync: make(chan struct{}, 1)}
	p.syncedAt.Store(distantPast)
	p.failedAt.Store(distantPast)
	return p
}

// noteRead records the revision of a change that was read.
func (p *prefixState) noteRead(revision coord.Revision) {
	storeMax(&p.newest, revision)
	storeMax(&p.covered, revision)
}

// noteListed records the revision of an item of a list. Pages that are read later may have items newer
// than the list's revision; other changes up to theirs may be missing and must still be read.
func (p *prefixState) noteListed(item, list coord.Revision) { p.noteRead(min(item, list)) }

// noteCovered records that all changes up to a revision were read.
func (p *prefixState) noteCovered(at coord.Revision) { storeMax(&p.covered, at) }

func storeMax(value *atomic.Int64, to coord.Revision) {
	for {
		old := value.Load()
		if old >= int64(to) || value.CompareAndSwap(old, int64(to)) {
			return
		}
	}
}

// maxAttemptInterval is the longest time between the starts of two calls of a process that can't
// reach the service. An unanswered watch takes longest.
const maxAttemptInterval = 2500 * time.Millisecond

// storeUnreachable reports whether this process reads the service itself and can't reach it.
func (p *prefixState) storeUnreachable(now time.Time) bool {
	failed := p.failedAt.Load()
	return failed > p.syncedAt.Load() && now.Sub(clock.FromNanos(failed)) < maxAttemptInterval
}

// newestRevision returns the revision of the newest change that was read.
func (p *prefixState) newestRevision() coord.Revision { return coord.Revision(p.newest.Load()) }

// coveredRevision returns the revision up to which all changes were read.
func (p *prefixState) coveredRevision() coord.Revision { return coord.Revision(p.covered.Load()) }

// isBehind reports whether the leader has read a change that this process has not.
func (p *prefixState) isBehind(leader coord.Revision) bool { return int64(leader) > p.covered.Load() }

// resyncIfLagging requests a resync if one revision of the leader has been missing for longer than
// maxLag. It must be called from a single goroutine.
//
// The time is measured for one missing revision: under a continuous stream of changes there is
// always one in transit.
func (p *prefixState) resyncIfLagging(now time.Time, leader coord.Revision) {
	switch {
	case !p.isBehind(leader):
		p.laggingSince = time.Time{}
	case p.laggingSince.IsZero() || !p.isBehind(p.missedRevision):
		p.laggingSince, p.missedRevision = now, leader
	case now.Sub(p.laggingSince) > maxLag:
		p.laggingSince = time.Time{}
		p.requestResync()
	}
}

// resyncIfBehind requests a resync at once, the first time that the leader's revision is found
// missing here; later calls for the same revision wait for maxLag.
func (p *prefixState) resyncIfBehind(now time.Time, leader coord.Revision) {
	if p.isBehind(leader) && leader > p.resyncedFor {
		p.resyncedFor = leader
		p.requestResync()
		return
	}
	p.resyncIfLagging(now, leader)
}

// requestResync cancels the pending watch, so that the prefix is read again.
func (p *prefixState) requestResync() {
	select {
	case p.resync <- struct{}{}:
	default:
	}
}

// followPrefix keeps a view of a prefix up to date: by watches, unless updates from the leader are
// received.
func (r *Router) followPrefix(ctx context.Context, prefix string, view coord.View, state *prefixState) {
	options := coord.Options{
		WatchTimeout:    r.watchTimeout,
		BatchDelay:      r.batchDelay,
		Resync:          state.resync,
		Paused:          r.updates.live,
		PollAfterPause:  func() bool { return r.hub.Followers() > 0 },
		CoveredRevision: state.coveredRevision,
		OnSynced:        func(at time.Time) { r.noteStoreSynced(state, at) },
		OnFailure:       func(at time.Time) { state.failedAt.Store(clock.Nanos(at)) },
	}
	if len(r.settings.Operators) == 0 { // bundles are not relayed by the leader
		options.AwaitInitialState = func(ctx context.Context) bool {
			return r.awaitUpdate(ctx, func() bool { return state.coveredRevision() > 0 })
		}
		options.AwaitRelayedList = func(ctx context.Context, at coord.Revision) bool {
			return r.awaitRelayedList(ctx, state, at)
		}
	}
	coord.Follow(ctx, r.adapter.Store, prefix, view, options)
}

// Timeouts of a starting process that waits for a leader to send what it would otherwise read from
// the store. Reading takes five calls per process, which adds up when half of several hundred
// processes start at once.
const (
	// firstStartTimeout applies to the first start of the whole system, long before requests
	// arrive. The first leader is elected within it.
	firstStartTimeout = 2500 * time.Millisecond
	// startTimeout applies to a leader that the store names: it answers within tens of
	// milliseconds, or is unreachable.
	startTimeout = 400 * time.Millisecond
	// listTimeout covers an election and the time in which its winner reads the list of some
	// thousand workers. The lease of the previous leader takes 1.5 s of it.
	listTimeout = 4 * time.Second
	// relistTimeout is the same for a process that has an older list.
	relistTimeout = 400 * time.Millisecond
	pollInterval  = 10 * time.Millisecond
)

// awaitUpdate waits until the data is received. It returns false if there is no leader, or if it
// does not send the data in time. While updates from a leader arrive, the wait goes on: when many
// processes start at once, the leader serves one after the other.
func (r *Router) awaitUpdate(ctx context.Context, received func() bool) bool {
	timeout := startTimeout
	if r.settings.FirstStart {
		timeout = firstStartTimeout
	}
	return r.awaitReceived(ctx, timeout, received, r.noLeader.closed)
}

// awaitRelayedList waits for the leader to send a list that has several pages. It returns false if
// this process must read the pages from the service. A leader reads them at once. If each of many
// processes that start together did so, the list would cross the service's link once per process.
func (r *Router) awaitRelayedList(ctx context.Context, state *prefixState, at coord.Revision) bool {
	if state == r.config && r.proxy.Config() == nil && r.noLeader.isClosed() {
		return false // it follows no leader before it has a configuration
	}
	knewList := state.coveredRevision() > 0
	received := func() bool {
		covered := state.coveredRevision()
		// The first list may be older than the page: changes since then are sent, or read as such.
		return covered >= at || (!knewList && covered > 0)
	}
	timeout := r.listTimeoutFor(state)
	if knewList {
		// The leader may keep sending updates and still leave this process to read what it misses.
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = bounded
	}
	r.largeList.Store(true)
	r.listSizeKnown.close()
	leading := make(chan struct{})
	done := make(chan struct{})
	defer close(done)
	go func() {
		defer close(leading)
		for !r.hub.Leading() {
			select {
			case <-done:
				return
			case <-time.After(pollInterval):
			}
		}
	}()
	return r.awaitReceived(ctx, timeout, received, leading)
}

// listTimeoutFor returns how long this process waits for others to send a long list. A process with
// an older list must not fall behind, since it would send requests to workers that have left. A
// process with followers reads the list at once, for all of them.
func (r *Router) listTimeoutFor(state *prefixState) time.Duration {
	switch {
	case state.coveredRevision() == 0:
		return listTimeout
	case r.hub.Followers() > 0:
		return 0
	}
	return relistTimeout
}

// awaitReceived waits until received reports true. It gives up when ctx ends, when giveUp is
// closed, or after the timeout, which restarts while updates from a leader arrive.
func (r *Router) awaitReceived(ctx context.Context, timeout time.Duration, received func() bool, giveUp <-chan struct{}) bool {
	deadline := clock.Now().Add(timeout)
	for !received() {
		select {
		case <-ctx.Done():
			return received()
		case <-giveUp:
			return received()
		case <-time.After(pollInterval):
		}
		now := clock.Now()
		if r.updates.liveAt(now) {
			deadline = now.Add(timeout)
		}
		if !now.Before(deadline) {
			return received()
		}
	}
	return true
}

// watchTimeout returns how long a watch may stay silent. Followers of a relay that has no leader
// know only as much as the relay's last answer.
func (r *Router) watchTimeout() time.Duration {
	if r.hub.Followers() > 0 {
		return relayWatchTimeout
	}
	return defaultWatchTimeout
}

// noteStoreSynced records an answer of the service. A relay's updates are as old as the older one
// of its followed prefixes.
func (r *Router) noteStoreSynced(state *prefixState, at time.Time) {
	state.syncedAt.Store(clock.Nanos(at))
	r.hub.MarkStoreRead(r.storeSyncedAt())
}

// storeSyncedAt returns the time up to which this process has itself read everything from the
// service.
func (r *Router) storeSyncedAt() time.Time {
	if len(r.settings.Operators) > 0 { // bundles define the workers too
		return clock.FromNanos(r.config.syncedAt.Load())
	}
	return clock.FromNanos(min(r.entries.syncedAt.Load(), r.config.syncedAt.Load()))
}

// completeAsOf returns the time up to which this process knew everything under a prefix, read from
// the service or received in updates.
func (r *Router) completeAsOf(state *prefixState) time.Time {
	return clock.FromNanos(max(state.syncedAt.Load(), r.updates.currentAsOf()))
}

// earliestWatchChange returns the earliest time at which changes that a watch returns now may have
// been made. The first ones after a failure, or after a period of relayed updates, may be as old as
// the last time at which everything was known. Others are at most one batch delay old.
func (r *Router) earliestWatchChange(state *prefixState) time.Time {
	syncedAt := state.syncedAt.Load()
	if state.failedAt.Load() > syncedAt || r.updates.currentAsOf() > syncedAt {
		return r.completeAsOf(state)
	}
	return clock.Now().Add(-r.batchDelay())
}

// batchDelay returns how long changes are collected before the next watch. It is shorter at the
// leader, which moves keys.
func (r *Router) batchDelay() time.Duration {
	if r.hub.Leading() {
		return leaderBatchDelay
	}
	return followerBatchDelay
}

// handleUpdate applies an update from the leader or a relay.
func (r *Router) handleUpdate(update peerlink.Update) {
	r.updates.received(clock.Now(), update.Age(), !update.StoreUnreachable && !update.Stale())
	if !update.Leaderless {
		r.standby.HandleUpdate(update.Term, update.Delegation)
	}
	if update.HoldsLeftMillis > 0 {
		r.hub.AddHoldEnd(owner.HoldEnd{Term: update.Term, At: clock.Now().Add(time.Duration(update.HoldsLeftMillis) * time.Millisecond)})
	}
	r.leaderStoreUnreachable.Store(update.StoreUnreachable)
	r.strongest.Store(math.Float64bits(update.Strongest))
	now := clock.Now()
	if settle := update.ReadState.SettleMillis; settle > 0 {
		r.settleWithLeader(now, time.Duration(settle)*time.Millisecond)
	}
	if update.ReadState.Settled && !update.StoreUnreachable && !update.Stale() {
		r.workers.EndSettling()
	}
	for _, entries := range []*peerlink.EntryChanges{update.Page, update.Entries} {
		if entries != nil && !r.entriesView.applyRelayed(*entries) {
			r.entries.requestResync()
		}
	}
	if update.Config != nil {
		r.handleConfigChanges(*update.Config)
	}
	// An update is relayed after it is applied here. Followers would otherwise miss the changes
	// that it announces.
	if update.Leading || update.Relayed {
		r.hub.RelayUpdate(update)
	}
	r.handleHelpers(update.Helpers)
	r.limits.handleUpdate(update.Limits)
	r.leaving.handleUpdate(update.Leaving)
	r.handleSuspects(update)
	r.quotas.handleGrants(update.Quota)
	if r.entries.coveredRevision() > 0 { // before that, the list is still to be received or read
		r.entries.resyncIfLagging(now, update.ReadState.Workers)
	}
	r.config.resyncIfBehind(now, update.ReadState.Config)
	r.noteConfigCurrent(now, update)
	r.peers.Add(update.Peers...)
}
