package proxy

import (
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
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
	limits    BudgetLimits
	// seed makes the subsets of this process its own.
	seed maphash.Seed
}

func newFleet(zone string, directory *workers.Directory, limits BudgetLimits) *fleet {
	return &fleet{
		zone: zone, directory: directory, limits: limits, seed: maphash.MakeSeed(),
		byID: map[workers.ID]*backend{}, services: map[routing.ServiceName]*serviceState{},
	}
}

// get returns the backend of a worker.
func (f *fleet) get(worker workers.Worker) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.byID[worker.ID]
	if known == nil {
		known = newBackend(worker)
		f.byID[worker.ID] = known
	}
	known.mu.Lock()
	known.worker = worker
	known.mu.Unlock()
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

// prune closes resting connections and forgets workers that are gone.
func (f *fleet) prune(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, known := range f.byID {
		known.pool.prune(now)
		if _, announced := f.directory.Get(id); announced {
			continue
		}
		known.mu.Lock()
		idle := known.inFlight == 0
		known.mu.Unlock()
		if idle {
			known.pool.prune(now.Add(time.Hour))
			delete(f.byID, id)
		}
	}
}

// Constants of picking.
const (
	// remoteGain is the share of requests that must be answered in time beyond what a
	// worker of the own zone can do for another zone's to be taken: bytes between zones
	// have their price.
	remoteGain = 0.07
	// jitter keeps processes that know the same from picking the same worker.
	jitter = 0.12
	// fullCrowd is the number of requests at a worker, as a multiple of its
	// slots, above which no more are sent.
	fullCrowd = 3.5
)

// choice is a worker and how long a request sent to it now would take.
type choice struct {
	to       *backend
	estimate time.Duration
}

// sooner returns the choice that answers sooner.
func (c choice) sooner(other choice) choice {
	if c.to == nil || (other.to != nil && other.estimate < c.estimate) {
		return other
	}
	return c
}

// pick chooses a worker of a pool; none may be sent to now if it has no backend. nodes is
// how many processes there are.
func (f *fleet) pick(now time.Time, service *serviceState, name routing.ServiceName, target time.Duration, tried map[workers.ID]bool, nodes int) choice {
	list, version := f.directory.Of(name)
	usual := f.usual(list)
	preferred := f.preferred(service, list, version, nodes)
	var first, local, remote choice
	for _, worker := range list {
		if worker.State != workers.StateReady || tried[worker.ID] {
			continue
		}
		candidate := f.get(worker)
		if !candidate.usable(now) || candidate.full(now) || candidate.crowd(now) >= fullCrowd {
			continue
		}
		estimated := time.Duration(float64(candidate.estimate(now, usual)) * (1 + jitter*rand.Float64()))
		one := choice{to: candidate, estimate: estimated}
		switch {
		case worker.Zone != f.zone:
			remote = remote.sooner(one)
		case preferred[worker.ID]:
			first = first.sooner(one)
		default:
			local = local.sooner(one)
		}
	}
	if first.to == nil || !first.to.hasFreeSlot(now) {
		local = local.sooner(first)
	} else {
		local = first
	}
	switch {
	case local.to == nil:
		return remote
	case remote.to == nil || service.late(local.estimate, target)-service.late(remote.estimate, target) <= remoteGain:
		return local
	}
	return remote
}

// preferred returns the workers of the own zone that this process sends to first.
func (f *fleet) preferred(service *serviceState, list []workers.Worker, version uint64, nodes int) map[workers.ID]bool {
	zones := map[string]bool{}
	var ready []workers.ID
	for _, worker := range list {
		zones[worker.Zone] = true
		if worker.Zone == f.zone && worker.State == workers.StateReady {
			ready = append(ready, worker.ID)
		}
	}
	return service.subset.of(f.seed, ready, version, subsetSize(len(ready), nodes/max(1, len(zones))))
}

// usual is the mean time over the workers that were measured.
func (f *fleet) usual(list []workers.Worker) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	total, count := time.Duration(0), 0
	for _, worker := range list {
		known := f.byID[worker.ID]
		if known == nil {
			continue
		}
		if mean, measured := known.mean(usualTime); measured {
			total += mean
			count++
		}
	}
	if count == 0 {
		return usualTime
	}
	return total / time.Duration(count)
}
