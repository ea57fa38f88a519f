package router

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/workers"
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
	r.strongest.Store(math.Float64bits(update.Strongest))
	now := time.Now()
	if update.Entries != nil && !r.entriesView.relayed(*update.Entries) {
		r.entries.again()
	}
	r.entries.compare(now, update.Known.Workers)
	r.config.catchUp(now, update.Known.Config)
}

// configView follows the operators' configuration.
type configView struct {
	r *Router
}

// Snapshot implements coord.View.
func (v *configView) Snapshot(items []coord.Item, at coord.Revision) {
	v.r.config.cover(at)
	for _, item := range items {
		v.r.config.read(item.Revision)
	}
	v.read(items, at)
}

// Changed implements coord.View.
func (v *configView) Changed(events []coord.Event, at coord.Revision) {
	var items []coord.Item
	for index := len(events) - 1; index >= 0; index-- { // the newest first
		v.r.config.read(events[index].Revision)
		if !events[index].Deleted {
			items = append(items, events[index].Item)
		}
	}
	v.read(items, at)
}

func (v *configView) read(items []coord.Item, at coord.Revision) {
	defer v.r.hub.Wake()
	config, err := v.r.adapter.ReadConfig(items)
	if err != nil {
		v.r.log.Line(decision.KindConfigBad).Int64("revision", int64(at)).Err(err).Msg("the one before stays in force")
		return
	}
	if config == nil || !v.r.proxy.Use(config) {
		return
	}
	v.r.log.Line(decision.KindConfig).Uint64("version", uint64(config.Version)).Int("routes", config.Routes()).
		Int64("revision", int64(at)).Msg("in force")
}

// Lost implements coord.View.
func (v *configView) Lost(err error) {
	v.r.log.Line(decision.KindStoreLost).Str("for", "configuration").Err(err).Msg("")
}

// Regained implements coord.View.
func (v *configView) Regained() {
	v.r.log.Line(decision.KindStoreBack).Str("for", "configuration").Msg("")
}

// workersView follows the workers' entries, as the service or the leader tells them.
type workersView struct {
	r  *Router
	mu sync.Mutex
	// at is the revision up to which all entries were read.
	at coord.Revision
}

// Snapshot implements coord.View.
func (v *workersView) Snapshot(items []coord.Item, at coord.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at < v.at {
		return // the leader has told more meanwhile
	}
	v.at = at
	v.r.entries.cover(at)
	list := make([]workers.Worker, 0, len(items))
	for _, item := range items {
		v.r.entries.read(item.Revision)
		if worker, ok := v.r.adapter.ReadWorker(item); ok {
			list = append(list, worker)
		}
	}
	v.r.workers.Replace(list)
	v.r.hub.EntriesRead(at)
	v.r.log.Line(decision.KindWorker).Int("announced", len(list)).Int64("revision", int64(at)).Msg("list read")
}

// Changed implements coord.View.
func (v *workersView) Changed(events []coord.Event, at coord.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(v.read(events), at)
}

// relayed applies what the leader passes on; false if changes are missing.
func (v *workersView) relayed(news peerlink.Entries) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.at < news.From {
		return false
	}
	v.apply(news.Changes, news.To)
	return true
}

// revision returns up to which revision all entries were read.
func (v *workersView) revision() coord.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.at
}

// read turns events into changes of workers.
func (v *workersView) read(events []coord.Event) []peerlink.WorkerChange {
	changes := make([]peerlink.WorkerChange, 0, len(events))
	for _, event := range events {
		if event.Deleted {
			id := v.r.adapter.WorkerID(event.Key)
			changes = append(changes, peerlink.WorkerChange{Revision: event.Revision, ID: id, Gone: true})
			continue
		}
		if worker, ok := v.r.adapter.ReadWorker(event.Item); ok {
			changes = append(changes, peerlink.Changed(event.Revision, worker))
		}
	}
	return changes
}

// apply changes the list of workers by what is new. The caller holds mu.
func (v *workersView) apply(changes []peerlink.WorkerChange, at coord.Revision) {
	changes = slices.DeleteFunc(changes, func(one peerlink.WorkerChange) bool { return one.Revision <= v.at })
	v.at = max(v.at, at)
	v.r.entries.cover(at)
	v.r.hub.EntriesChanged(changes, at)
	last := map[workers.ID]peerlink.WorkerChange{}
	for _, change := range changes {
		v.r.entries.read(change.Revision)
		last[change.ID] = change
	}
	if len(last) == 0 {
		return
	}
	var changed []workers.Worker
	var gone []workers.ID
	for id, change := range last {
		if change.Gone {
			gone = append(gone, id)
			v.r.log.Line(decision.KindWorker).Str("worker", string(id)).Str("state", "gone").
				Int64("revision", int64(change.Revision)).Msg("")
			continue
		}
		worker := change.Worker()
		if before, known := v.r.workers.Get(id); !known || before.State != worker.State {
			v.r.log.Line(decision.KindWorker).Str("worker", string(id)).Str("state", string(worker.State)).
				Str("service", string(worker.Service)).Int64("revision", int64(change.Revision)).Msg("")
		}
		changed = append(changed, worker)
	}
	v.r.workers.Update(changed, gone)
}

// Lost implements coord.View.
func (v *workersView) Lost(err error) {
	v.r.log.Line(decision.KindStoreLost).Str("for", "workers").Err(err).Msg("")
}

// Regained implements coord.View.
func (v *workersView) Regained() {
	v.r.log.Line(decision.KindStoreBack).Str("for", "workers").Msg("")
}
