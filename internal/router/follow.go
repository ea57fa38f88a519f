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
	// shortWait is how long a watch may stay silent at the leader, and at a
	// process that no leader tells of changes.
	shortWait = 1500 * time.Millisecond
	// relayWait is the same at a process that others follow: less than the age at which
	// they read for themselves.
	relayWait = 700 * time.Millisecond
	// shortGather and longGather are the pauses after changes of workers, at the
	// leader and at the others; a worker that leaves may get requests for 2 s.
	shortGather = 150 * time.Millisecond
	longGather  = 700 * time.Millisecond
	// lagAllowed is for how long a process may know less than the leader says.
	lagAllowed = 900 * time.Millisecond
)

// followed is one followed prefix: what was read of it, and how to read it anew.
type followed struct {
	// newest is the newest change that was read, covered the revision up to which
	// all changes were.
	newest, covered atomic.Int64
	renew           chan struct{}
	// lagging is since when the leader knows a change, missed, that is not known here; zero if
	// there is none.
	lagging time.Time
	missed  coord.Revision
	// reached is as of when all was read from the service, a number of clock.Nanos.
	reached atomic.Int64
	// failed is when a call last found the service away, in the same form.
	failed atomic.Int64
	// asked is the last change of the leader's for which all was read anew.
	asked coord.Revision
}

// never is a number of clock.Nanos that lies before all times.
const never = math.MinInt64 / 2

func newFollowed() *followed {
	f := &followed{renew: make(chan struct{}, 1)}
	f.reached.Store(never)
	f.failed.Store(never)
	return f
}

// read notes a change that was read.
func (f *followed) read(revision coord.Revision) {
	raise(&f.newest, revision)
	raise(&f.covered, revision)
}

// cover notes that all changes up to a revision were read.
func (f *followed) cover(at coord.Revision) { raise(&f.covered, at) }

func raise(value *atomic.Int64, to coord.Revision) {
	for {
		old := value.Load()
		if old >= int64(to) || value.CompareAndSwap(old, int64(to)) {
			return
		}
	}
}

// triesApart is how far apart the calls of a process begin at most that does not reach the
// service: a watch that is not answered lasts longest.
const triesApart = 2500 * time.Millisecond

// away reports whether this process looks for changes itself and does not reach the service.
func (f *followed) away(now time.Time) bool {
	failed := f.failed.Load()
	return failed > f.reached.Load() && now.Sub(clock.OfNanos(failed)) < triesApart
}

// known returns the newest change that was read.
func (f *followed) known() coord.Revision { return coord.Revision(f.newest.Load()) }

// coveredUpTo returns the revision up to which all changes were read.
func (f *followed) coveredUpTo() coord.Revision { return coord.Revision(f.covered.Load()) }

// misses reports whether the leader has read a change that this process has not.
func (f *followed) misses(leader coord.Revision) bool { return int64(leader) > f.covered.Load() }

// compare reads anew if the leader has known more for too long. It is called
// from one goroutine.
//
// What counts is for how long one change is missed: where changes come without a pause there is
// always one that is on its way.
func (f *followed) compare(now time.Time, leader coord.Revision) {
	switch {
	case !f.misses(leader):
		f.lagging = time.Time{}
	case f.lagging.IsZero() || !f.misses(f.missed):
		f.lagging, f.missed = now, leader
	case now.Sub(f.lagging) > lagAllowed:
		f.lagging = time.Time{}
		f.again()
	}
}

// catchUp reads anew at once what the leader knows and this process does not.
func (f *followed) catchUp(now time.Time, leader coord.Revision) {
	if f.misses(leader) && leader > f.asked {
		f.asked = leader
		f.again()
		return
	}
	f.compare(now, leader)
}

// again gives up the waiting watch.
func (f *followed) again() {
	select {
	case f.renew <- struct{}{}:
	default:
	}
}

// follow keeps a view of a prefix, by watches unless the leader tells of changes.
func (r *Router) follow(ctx context.Context, prefix string, view coord.View, of *followed) {
	options := coord.Options{
		Wait:    r.watchWait,
		Gather:  r.gather,
		Renew:   of.renew,
		Paused:  r.told.now,
		Hurry:   func() bool { return r.hub.Followers() > 0 },
		Covered: of.coveredUpTo,
		Reached: func(at time.Time) { r.storeReached(of, at) },
		Failed:  func(at time.Time) { of.failed.Store(clock.Nanos(at)) },
	}
	if len(r.settings.Operators) == 0 { // nobody tells bundles
		options.Told = func(ctx context.Context) bool {
			return r.awaitTold(ctx, func() bool { return of.coveredUpTo() > 0 })
		}
		options.More = func(ctx context.Context, at coord.Revision) bool {
			return r.awaitList(ctx, of, at)
		}
	}
	coord.Follow(ctx, r.adapter.Store, prefix, view, options)
}

// Times for which a process that starts waits to be told what it would else read from the
// store: five calls a process, which counts where half of hundreds are started at once.
const (
	// firstPatience is for the first start of all, long before requests come: the first leader
	// is elected within it.
	firstPatience = 2500 * time.Millisecond
	// startPatience is for a leader that the store names: it answers within some tens of
	// milliseconds, or is cut off.
	startPatience = 400 * time.Millisecond
	// listPatience is for an election, and for its winner to read the list, with some thousands
	// of workers: the lease of a leader before lasts 1.5 s of it.
	listPatience = 4 * time.Second
	// relistPatience is the same for a process that has an older list.
	relistPatience = 400 * time.Millisecond
	toldLook       = 10 * time.Millisecond
)

// awaitTold waits until something was told; false if there is no leader that tells it, or none
// does in time. A leader that is heard tells it: where many start at once, each in its turn.
func (r *Router) awaitTold(ctx context.Context, told func() bool) bool {
	patience := startPatience
	if r.settings.FirstStart {
		patience = firstPatience
	}
	return r.awaitWhile(ctx, patience, told, r.unled.closed)
}

// awaitList waits, where a list has several pages, until a leader tells it; false if the pages
// are to be read from the service. A process that leads reads them at once; if each of many did
// that which start together, the service's link would carry the list so many times.
func (r *Router) awaitList(ctx context.Context, of *followed, at coord.Revision) bool {
	told := func() bool { return of.coveredUpTo() >= at }
	patience := r.listPatienceOf(of)
	if of.coveredUpTo() > 0 {
		// The leader may be heard all the while and leave this process to read what it lacks.
		bounded, cancel := context.WithTimeout(ctx, patience)
		defer cancel()
		ctx = bounded
	}
	r.large.Store(true)
	r.sized.close()
	leads := make(chan struct{})
	done := make(chan struct{})
	defer close(done)
	go func() {
		defer close(leads)
		for !r.hub.Leading() {
			select {
			case <-done:
				return
			case <-time.After(toldLook):
			}
		}
	}()
	return r.awaitWhile(ctx, patience, told, leads)
}

// listPatienceOf is how long this process waits for others to tell a long list. One that has an
// older list must not fall behind: workers that left would get its requests; and one that others
// follow reads at once, for all of them.
func (r *Router) listPatienceOf(of *followed) time.Duration {
	switch {
	case of.coveredUpTo() == 0:
		return listPatience
	case r.hub.Followers() > 0:
		return 0
	}
	return relistPatience
}

// awaitWhile waits until something was told, or has not been for as long as patience since a
// leader was heard last, or until nobody is to be waited for.
func (r *Router) awaitWhile(ctx context.Context, patience time.Duration, told func() bool, over <-chan struct{}) bool {
	deadline := clock.Now().Add(patience)
	for !told() {
		select {
		case <-ctx.Done():
			return told()
		case <-over:
			return told()
		case <-time.After(toldLook):
		}
		now := clock.Now()
		if r.told.holds(now) {
			deadline = now.Add(patience)
		}
		if !now.Before(deadline) {
			return told()
		}
	}
	return true
}

// watchWait is how long a watch may stay silent. Processes that follow a relay without a
// leader know as much as its last answer says.
func (r *Router) watchWait() time.Duration {
	if r.hub.Followers() > 0 {
		return relayWait
	}
	return shortWait
}

// storeReached notes an answer of the service; the relay's word is as old as the older
// one of what it follows.
func (r *Router) storeReached(of *followed, at time.Time) {
	of.reached.Store(clock.Nanos(at))
	r.hub.MarkStoreRead(r.readUpTo())
}

// readUpTo returns as of when this process has itself read all from the service.
func (r *Router) readUpTo() time.Time {
	if len(r.settings.Operators) > 0 { // bundles name workers too
		return clock.OfNanos(r.config.reached.Load())
	}
	return clock.OfNanos(min(r.entries.reached.Load(), r.config.reached.Load()))
}

// knewAll returns as of when all of a prefix was known here: read from the service, or told.
func (r *Router) knewAll(of *followed) time.Time {
	return clock.OfNanos(max(of.reached.Load(), r.told.known()))
}

// learnedByWatch returns since when the changes of a prefix that a watch brings now may stand.
// The first ones after a failure, or after a time in which others told of them, may be as old
// as what was known last; else they have waited for as long as changes are gathered at most.
func (r *Router) learnedByWatch(of *followed) time.Time {
	reached := of.reached.Load()
	if of.failed.Load() > reached || r.told.known() > reached {
		return r.knewAll(of)
	}
	return clock.Now().Add(-r.gather())
}

// gather is short at the process that moves keys.
func (r *Router) gather() time.Duration {
	if r.hub.Leading() {
		return shortGather
	}
	return longGather
}

// heard takes what the leader says of changes.
func (r *Router) heard(update peerlink.Update) {
	r.told.heard(clock.Now(), update.Age(), !update.StoreUnreachable && !update.Stale())
	if !update.Leaderless {
		r.standby.Heard(update.Term, update.Mandate)
	}
	r.leaderDeaf.Store(update.StoreUnreachable)
	r.strongest.Store(math.Float64bits(update.Strongest))
	now := clock.Now()
	if settle := update.ReadState.SettleMillis; settle > 0 {
		r.settleAsTold(now, time.Duration(settle)*time.Millisecond)
	}
	if update.ReadState.Settled && !update.StoreUnreachable && !update.Stale() {
		r.workers.EndSettling()
	}
	for _, news := range []*peerlink.EntryChanges{update.Page, update.Entries} {
		if news != nil && !r.entriesView.relayed(*news) {
			r.entries.again()
		}
	}
	if update.Config != nil {
		r.configTold(*update.Config)
	}
	if update.Leading || update.Relayed { // after what it tells: else followers would miss what they hear of
		r.hub.RelayUpdate(update)
	}
	r.limits.told(update.Limits)
	r.leaving.told(update.Leaving)
	r.suspectsTold(update)
	r.quotas.granted(update.Quota)
	if r.entries.coveredUpTo() > 0 { // else the list is still to be told or read
		r.entries.compare(now, update.ReadState.Workers)
	}
	r.config.catchUp(now, update.ReadState.Config)
	r.noteConfigTold(now, update)
	r.peers.Add(update.Peers...)
}
