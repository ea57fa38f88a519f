package proxy

import (
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
}

func newFleet(zone string, directory *workers.Directory, limits BudgetLimits) *fleet {
	return &fleet{
		zone: zone, directory: directory, limits: limits,
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
	// localShare: a worker of the own zone is taken while its estimated time is
	// below this share of the route's target,
	localShare = 0.55
	// remoteGain: or while another zone's worker would not save this share.
	remoteGain = 0.3
	// jitter keeps processes that know the same from picking the same worker.
	jitter = 0.12
	// fullCrowd is the number of requests at a worker, as a multiple of its
	// slots, above which no more are sent.
	fullCrowd = 3.5
)

// pick chooses a worker of a pool; nil if none may be sent to now.
func (f *fleet) pick(now time.Time, service routing.ServiceName, target time.Duration, tried map[workers.ID]bool) (*backend, float64) {
	list, _ := f.directory.Of(service)
	usual := f.usual(list)
	var local, remote *backend
	localTime, remoteTime := 0.0, 0.0
	for _, worker := range list {
		if worker.State != workers.StateReady || tried[worker.ID] {
			continue
		}
		candidate := f.get(worker)
		if !candidate.usable(now) || candidate.full(now) || candidate.crowd(now) >= fullCrowd {
			continue
		}
		estimated := candidate.estimate(now, usual) * (1 + jitter*rand.Float64())
		if worker.Zone == f.zone {
			if local == nil || estimated < localTime {
				local, localTime = candidate, estimated
			}
		} else if remote == nil || estimated < remoteTime {
			remote, remoteTime = candidate, estimated
		}
	}
	aim := target.Seconds()
	switch {
	case local == nil:
		return remote, remoteTime
	case remote == nil || localTime <= localShare*aim || localTime <= remoteTime+remoteGain*aim:
		return local, localTime
	}
	return remote, remoteTime
}

// usual is the mean time over the workers that were measured.
func (f *fleet) usual(list []workers.Worker) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	total, count := 0.0, 0
	for _, worker := range list {
		known := f.byID[worker.ID]
		if known == nil {
			continue
		}
		known.mu.Lock()
		if known.measured {
			total += known.mean
			count++
		}
		known.mu.Unlock()
	}
	if count == 0 {
		return usualTime
	}
	return total / float64(count)
}
