package router

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// Times of watching what operators and workers write.
const (
	// shortWait is how long a watch may stay silent at the leader, and at a
	// process that no leader tells of changes.
	shortWait = 1500 * time.Millisecond
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
	// lagging is since when the leader knows more; zero if it does not.
	lagging time.Time
	// asked is the last change of the leader's for which all was read anew.
	asked coord.Revision
}

func newFollowed() *followed {
	return &followed{renew: make(chan struct{}, 1)}
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

// known returns the newest change that was read.
func (f *followed) known() coord.Revision { return coord.Revision(f.newest.Load()) }

// coveredUpTo returns the revision up to which all changes were read.
func (f *followed) coveredUpTo() coord.Revision { return coord.Revision(f.covered.Load()) }

// misses reports whether the leader has read a change that this process has not.
func (f *followed) misses(leader coord.Revision) bool { return int64(leader) > f.covered.Load() }

// compare reads anew if the leader has known more for too long. It is called
// from one goroutine.
func (f *followed) compare(now time.Time, leader coord.Revision) {
	switch {
	case !f.misses(leader):
		f.lagging = time.Time{}
	case f.lagging.IsZero():
		f.lagging = now
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
	coord.Follow(ctx, r.adapter.Store, prefix, view, coord.Options{
		Wait:    func() time.Duration { return shortWait },
		Gather:  r.gather,
		Renew:   of.renew,
		Paused:  r.told.Load,
		Covered: of.coveredUpTo,
	})
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
	r.told.Store(!update.Deaf)
	r.standby.Heard(update.Term, update.Mandate)
	r.strongest.Store(math.Float64bits(update.Strongest))
	now := time.Now()
	if settle := update.Known.SettleMillis; settle > 0 {
		r.workers.Settle(now.Add(time.Duration(settle) * time.Millisecond))
	}
	if update.Entries != nil && !r.entriesView.relayed(*update.Entries) {
		r.entries.again()
	}
	if update.Config != nil {
		r.configTold(*update.Config)
	}
	r.entries.compare(now, update.Known.Workers)
	r.config.catchUp(now, update.Known.Config)
}
