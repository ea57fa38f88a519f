package proxy

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// fleet holds the backends by worker. The state of workers that are no longer announced is removed
// once no request is in flight to them.
type fleet struct {
	zone      string
	directory *workers.Directory
	mu        sync.Mutex
	byID      map[workers.ID]*backend
	services  map[routing.ServiceName]*serviceState
	// loadMeans are the averages of the loads that each service's workers report.
	loadMeans map[routing.ServiceName]*reportedMeans
	limits    BudgetLimits
	// onIncarnationEnd is called, without holding mu, with the previous backend of a worker that
	// has restarted.
	onIncarnationEnd func(*backend)
	// isBlocked reports whether a worker gets no requests for now because of its rate limit or a
	// backoff.
	isBlocked func(now time.Time, to *backend) bool
	// seed makes the worker subsets of this process differ from those of others.
	seed maphash.Seed
	// topology assigns zones to regions, and crossing defines the gain required to leave a zone or
	// region.
	topology    topology.Map
	crossing    crossingPolicy
	sizes       *sizes
	bulkLimiter bulkLimiter
	// dial opens connections to workers; nil opens them directly.
	dial upstream.DialFunc
}

func newFleet(zone string, directory *workers.Directory, limits BudgetLimits) *fleet {
	return &fleet{
		zone: zone, directory: directory, limits: limits, seed: maphash.MakeSeed(), crossing: singleRegionPolicy, sizes: newSizes(),
		byID: map[workers.ID]*backend{}, services: map[routing.ServiceName]*serviceState{},
		loadMeans: map[routing.ServiceName]*reportedMeans{},
		isBlocked: func(time.Time, *backend) bool { return false },
	}
}

// get returns the backend of a worker. Another incarnation of the worker gets a new backend, since
// it is cold and idle, has no connections, and has not failed yet.
func (f *fleet) get(worker workers.Worker) *backend {
	current, previous := f.getOrReplace(worker)
	if previous != nil {
		previous.pool.DropIdle()
		if f.onIncarnationEnd != nil {
			f.onIncarnationEnd(previous)
		}
	}
	return current
}

// getOrReplace returns the backend of a worker, and that of its previous incarnation if that has
// just ended.
func (f *fleet) getOrReplace(worker workers.Worker) (current, previous *backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current = f.byID[worker.ID]
	if current != nil && current.isOtherIncarnation(worker) {
		current, previous = nil, current
	}
	if current == nil {
		current = newBackend(worker, f.meansOf(worker.Service), f.dial)
		f.byID[worker.ID] = current
	}
	current.update(worker)
	return current, previous
}

// meansOf returns the averages of the loads that a service's workers report. The caller holds mu.
func (f *fleet) meansOf(service routing.ServiceName) *reportedMeans {
	means := f.loadMeans[service]
	if means == nil {
		means = &reportedMeans{}
		f.loadMeans[service] = means
	}
	return means
}

// service returns this process's state of a service, which is kept across configurations.
func (f *fleet) service(service *routing.Service) *serviceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.services[service.Name]
	if state == nil {
		state = &serviceState{budget: newBudget(f.limits)}
		f.services[service.Name] = state
	}
	state.budget.setLimits(f.limitsOf(service))
	return state
}

// limitsOf returns the limits of a service's retry budget.
func (f *fleet) limitsOf(service *routing.Service) BudgetLimits {
	limits := f.limits
	if service.RetryRatio > 0 {
		limits.Ratio = service.RetryRatio
	}
	return limits
}

// setLimits changes the default limits. It takes effect with each service's next request.
func (f *fleet) setLimits(limits BudgetLimits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits = limits
}

// dropIdle closes all idle connections.
func (f *fleet) dropIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.byID {
		b.pool.DropIdle()
	}
}

// forgiveFailures ends the cooldowns of all workers after failures.
func (f *fleet) forgiveFailures() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.byID {
		b.forgiveFailures()
	}
}

// prune closes expired idle connections and removes the state of workers that have been removed.
func (f *fleet) prune(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, b := range f.byID {
		b.pool.Prune(now)
		if _, announced := f.directory.Get(id); announced {
			continue
		}
		b.mu.Lock()
		idle := b.inFlight == 0
		b.mu.Unlock()
		if idle {
			b.pool.Prune(now.Add(time.Hour))
			delete(f.byID, id)
		}
	}
}
