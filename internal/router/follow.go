package router

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// Times of watching what operators and workers write.
const (
	// defaultWatchTimeout is how long a watch may stay silent at the leader, and at a
	// process that no leader tells of changes.
	defaultWatchTimeout = 1500 * time.Millisecond
	// relayWatchTimeout is the same at a process that others follow: less than the age at which
	// they read for themselves.
	relayWatchTimeout = 700 * time.Millisecond
	// leaderBatchDelay and followerBatchDelay are the pauses after changes of workers, at the
	// leader and at the others; a worker that leaves may get requests for 2 s.
	leaderBatchDelay   = 150 * time.Millisecond
	followerBatchDelay = 700 * time.Millisecond
	// maxLag is for how long a process may know less than the leader says.
	maxLag = 900 * time.Millisecond
)

// followed is one followed prefix: what was read of it, and how to read it anew.
type prefixState struct {
	// newest is the newest change that was read, covered the revision up to which
	// all changes were.
	newest, covered atomic.Int64
	resync          chan struct{}
	// lagging is since when the leader knows a change, missed, that is not known here; zero if
	// there is none.
	laggingSince   time.Time
	missedRevision coord.Revision
	// reached is as of when all was read from the service, a number of clock.Nanos.
	syncedAt atomic.Int64
	// failed is when a call last found the service away, in the same form.
	failedAt atomic.Int64
	// asked is the last change of the leader's for which all was read anew.
	resyncedFor coord.Revision
}

// never is a number of clock.Nanos that lies before all times.
const distantPast = math.MinInt64 / 2

func newPrefixState() *prefixState {
	f := &prefixState{resync: make(chan struct{}, 1)}
	f.syncedAt.Store(distantPast)
	f.failedAt.Store(distantPast)
	return f
}

// read notes a change that was read.
func (f *prefixState) noteRead(revision coord.Revision) {
	storeMax(&f.newest, revision)
	storeMax(&f.covered, revision)
}

// cover notes that all changes up to a revision were read.
func (f *prefixState) noteCovered(at coord.Revision) { storeMax(&f.covered, at) }

func storeMax(value *atomic.Int64, to coord.Revision) {
	for {
		old := value.Load()
		if old >= int64(to) || value.CompareAndSwap(old, int64(to)) {
			return
		}
	}
}

// maxAttemptInterval is how far apart the calls of a process begin at most that does not reach the
// service: a watch that is not answered lasts longest.
const maxAttemptInterval = 2500 * time.Millisecond

// away reports whether this process looks for changes itself and does not reach the service.
func (f *prefixState) storeUnreachable(now time.Time) bool {
	failed := f.failedAt.Load()
	return failed > f.syncedAt.Load() && now.Sub(clock.OfNanos(failed)) < maxAttemptInterval
}

// known returns the newest change that was read.
func (f *prefixState) newestRevision() coord.Revision { return coord.Revision(f.newest.Load()) }

// coveredUpTo returns the revision up to which all changes were read.
func (f *prefixState) coveredRevision() coord.Revision { return coord.Revision(f.covered.Load()) }

// misses reports whether the leader has read a change that this process has not.
func (f *prefixState) isBehind(leader coord.Revision) bool { return int64(leader) > f.covered.Load() }

// compare reads anew if the leader has known more for too long. It is called
// from one goroutine.
//
// What counts is for how long one change is missed: where changes come without a pause there is
// always one that is on its way.
func (f *prefixState) resyncIfLagging(now time.Time, leader coord.Revision) {
	switch {
	case !f.isBehind(leader):
		f.laggingSince = time.Time{}
	case f.laggingSince.IsZero() || !f.isBehind(f.missedRevision):
		f.laggingSince, f.missedRevision = now, leader
	case now.Sub(f.laggingSince) > maxLag:
		f.laggingSince = time.Time{}
		f.requestResync()
	}
}

// catchUp reads anew at once what the leader knows and this process does not.
func (f *prefixState) resyncIfBehind(now time.Time, leader coord.Revision) {
	if f.isBehind(leader) && leader > f.resyncedFor {
		f.resyncedFor = leader
		f.requestResync()
		return
	}
	f.resyncIfLagging(now, leader)
}

// again gives up the waiting watch.
func (f *prefixState) requestResync() {
	select {
	case f.resync <- struct{}{}:
	default:
	}
}

// follow keeps a view of a prefix, by watches unless the leader tells of changes.
func (r *Router) followPrefix(ctx context.Context, prefix string, view coord.View, state *prefixState) {
	options := coord.Options{
		Wait:    r.watchTimeout,
		Gather:  r.batchDelay,
		Renew:   state.resync,
		Paused:  r.updates.live,
		Hurry:   func() bool { return r.hub.Followers() > 0 },
		Covered: state.coveredRevision,
		Reached: func(at time.Time) { r.noteStoreSynced(state, at) },
		Failed:  func(at time.Time) { state.failedAt.Store(clock.Nanos(at)) },
	}
	if len(r.settings.Operators) == 0 { // nobody tells bundles
		options.Told = func(ctx context.Context) bool {
			return r.awaitUpdate(ctx, func() bool { return state.coveredRevision() > 0 })
		}
		options.More = func(ctx context.Context, at coord.Revision) bool {
			return r.awaitRelayedList(ctx, state, at)
		}
	}
	coord.Follow(ctx, r.adapter.Store, prefix, view, options)
}

// Times for which a process that starts waits to be told what it would else read from the
// store: five calls a process, which counts where half of hundreds are started at once.
const (
	// firstStartTimeout is for the first start of all, long before requests come: the first leader
	// is elected within it.
	firstStartTimeout = 2500 * time.Millisecond
	// startTimeout is for a leader that the store names: it answers within some tens of
	// milliseconds, or is cut off.
	startTimeout = 400 * time.Millisecond
	// listTimeout is for an election, and for its winner to read the list, with some thousands
	// of workers: the lease of a leader before lasts 1.5 s of it.
	listTimeout = 4 * time.Second
	// relistTimeout is the same for a process that has an older list.
	relistTimeout = 400 * time.Millisecond
	pollInterval  = 10 * time.Millisecond
)

// awaitTold waits until something was told; false if there is no leader that tells it, or none
// does in time. A leader that is heard tells it: where many start at once, each in its turn.
func (r *Router) awaitUpdate(ctx context.Context, received func() bool) bool {
	timeout := startTimeout
	if r.settings.FirstStart {
		timeout = firstStartTimeout
	}
	return r.awaitReceived(ctx, timeout, received, r.noLeader.closed)
}

// awaitList waits, where a list has several pages, until a leader tells it; false if the pages
// are to be read from the service. A process that leads reads them at once; if each of many did
// that which start together, the service's link would carry the list so many times.
func (r *Router) awaitRelayedList(ctx context.Context, state *prefixState, at coord.Revision) bool {
	received := func() bool { return state.coveredRevision() >= at }
	timeout := r.listTimeoutFor(state)
	if state.coveredRevision() > 0 {
		// The leader may be heard all the while and leave this process to read what it lacks.
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

// listPatienceOf is how long this process waits for others to tell a long list. One that has an
// older list must not fall behind: workers that left would get its requests; and one that others
// follow reads at once, for all of them.
func (r *Router) listTimeoutFor(state *prefixState) time.Duration {
	switch {
	case state.coveredRevision() == 0:
		return listTimeout
	case r.hub.Followers() > 0:
		return 0
	}
	return relistTimeout
}

// awaitWhile waits until something was told, or has not been for as long as patience since a
// leader was heard last, or until nobody is to be waited for.
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

// watchWait is how long a watch may stay silent. Processes that follow a relay without a
// leader know as much as its last answer says.
func (r *Router) watchTimeout() time.Duration {
	if r.hub.Followers() > 0 {
		return relayWatchTimeout
	}
	return defaultWatchTimeout
}

// storeReached notes an answer of the service; the relay's word is as old as the older
// one of what it follows.
func (r *Router) noteStoreSynced(state *prefixState, at time.Time) {
	state.syncedAt.Store(clock.Nanos(at))
	r.hub.MarkStoreRead(r.storeSyncedAt())
}

// readUpTo returns as of when this process has itself read all from the service.
func (r *Router) storeSyncedAt() time.Time {
	if len(r.settings.Operators) > 0 { // bundles name workers too
		return clock.OfNanos(r.config.syncedAt.Load())
	}
	return clock.OfNanos(min(r.entries.syncedAt.Load(), r.config.syncedAt.Load()))
}

// knewAll returns as of when all of a prefix was known here: read from the service, or told.
func (r *Router) completeAsOf(state *prefixState) time.Time {
	return clock.OfNanos(max(state.syncedAt.Load(), r.updates.currentAsOf()))
}

// learnedByWatch returns since when the changes of a prefix that a watch brings now may stand.
// The first ones after a failure, or after a time in which others told of them, may be as old
// as what was known last; else they have waited for as long as changes are gathered at most.
func (r *Router) earliestWatchChange(state *prefixState) time.Time {
	syncedAt := state.syncedAt.Load()
	if state.failedAt.Load() > syncedAt || r.updates.currentAsOf() > syncedAt {
		return r.completeAsOf(state)
	}
	return clock.Now().Add(-r.batchDelay())
}

// gather is short at the process that moves keys.
func (r *Router) batchDelay() time.Duration {
	if r.hub.Leading() {
		return leaderBatchDelay
	}
	return followerBatchDelay
}

// heard takes what the leader says of changes.
func (r *Router) handleUpdate(update peerlink.Update) {
	r.updates.received(clock.Now(), update.Age(), !update.StoreUnreachable && !update.Stale())
	if !update.Leaderless {
		r.standby.Heard(update.Term, update.Delegation)
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
	for _, news := range []*peerlink.EntryChanges{update.Page, update.Entries} {
		if news != nil && !r.entriesView.applyRelayed(*news) {
			r.entries.requestResync()
		}
	}
	if update.Config != nil {
		r.handleConfigChanges(*update.Config)
	}
	if update.Leading || update.Relayed { // after what it tells: else followers would miss what they hear of
		r.hub.RelayUpdate(update)
	}
	r.limits.handleUpdate(update.Limits)
	r.leaving.handleUpdate(update.Leaving)
	r.handleSuspects(update)
	r.quotas.handleGrants(update.Quota)
	if r.entries.coveredRevision() > 0 { // else the list is still to be told or read
		r.entries.resyncIfLagging(now, update.ReadState.Workers)
	}
	r.config.resyncIfBehind(now, update.ReadState.Config)
	r.noteConfigCurrent(now, update)
	r.peers.Add(update.Peers...)
}
