package proxy

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// fleet holds the backends by worker. Workers that are no longer announced are
// forgotten once nothing is under way at them.
type fleet struct {
	zone      string
	directory *workers.Directory
	mu        sync.Mutex
	byID      map[workers.ID]*backend
	services  map[routing.ServiceName]*serviceState
	// means are those of what each service's workers tell.
	loadMeans map[routing.ServiceName]*reportedMeans
	limits    BudgetLimits
	// ended is called with what is known of a worker that has started again, outside of mu.
	onIncarnationEnd func(*backend)
	// keptAway reports whether a worker gets no more for now, by what it says of itself.
	isBlocked func(now time.Time, to *backend) bool
	// seed makes the subsets of this process its own.
	seed maphash.Seed
	// places are the zones' regions, and policy says what a request must gain to leave them.
	topology    topology.Map
	crossing    crossingPolicy
	sizes       *sizes
	bulkLimiter bulkLimiter
}

func newFleet(zone string, directory *workers.Directory, limits BudgetLimits) *fleet {
	return &fleet{
		zone: zone, directory: directory, limits: limits, seed: maphash.MakeSeed(), crossing: singleRegionPolicy, sizes: newSizes(),
		byID: map[workers.ID]*backend{}, services: map[routing.ServiceName]*serviceState{},
		loadMeans: map[routing.ServiceName]*reportedMeans{},
		isBlocked: func(time.Time, *backend) bool { return false },
	}
}

// get returns the backend of a worker. Another life of it is another worker to this process: it
// is cold and empty, has no connections, and has failed nothing yet.
func (f *fleet) get(worker workers.Worker) *backend {
	known, before := f.getOrReplace(worker)
	if before != nil {
		before.pool.DropIdle()
		if f.onIncarnationEnd != nil {
			f.onIncarnationEnd(before)
		}
	}
	return known
}

// take returns the backend of a worker, and that of the life before if it has just ended.
func (f *fleet) getOrReplace(worker workers.Worker) (known, before *backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known = f.byID[worker.ID]
	if known != nil && known.isOtherIncarnation(worker) {
		known, before = nil, known
	}
	if known == nil {
		known = newBackend(worker, f.meansOf(worker.Service))
		f.byID[worker.ID] = known
	}
	known.update(worker)
	return known, before
}

// meansOf returns the means of what a service's workers tell. The caller holds mu.
func (f *fleet) meansOf(service routing.ServiceName) *reportedMeans {
	known := f.loadMeans[service]
	if known == nil {
		known = &reportedMeans{}
		f.loadMeans[service] = known
	}
	return known
}

// service returns what this process keeps of a service, over all configurations.
func (f *fleet) service(of *routing.Service) *serviceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.services[of.Name]
	if known == nil {
		known = &serviceState{budget: newBudget(f.limits)}
		f.services[of.Name] = known
	}
	known.budget.setLimits(f.limitsOf(of))
	return known
}

// limitsOf returns the limits of a service's second sends.
func (f *fleet) limitsOf(of *routing.Service) BudgetLimits {
	limits := f.limits
	if of.RetryRatio > 0 {
		limits.Ratio = of.RetryRatio
	}
	return limits
}

// setLimits takes effect with each service's next request.
func (f *fleet) setLimits(limits BudgetLimits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits = limits
}

// dropIdle closes all resting connections.
func (f *fleet) dropIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, known := range f.byID {
		known.pool.DropIdle()
	}
}

// prune closes resting connections and forgets workers that are gone.
func (f *fleet) prune(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, known := range f.byID {
		known.pool.Prune(now)
		if _, announced := f.directory.Get(id); announced {
			continue
		}
		known.mu.Lock()
		idle := known.inFlight == 0
		known.mu.Unlock()
		if idle {
			known.pool.Prune(now.Add(time.Hour))
			delete(f.byID, id)
		}
	}
}
