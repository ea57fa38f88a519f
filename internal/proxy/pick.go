package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// Parameters of picking workers.
const (
	// estimateJitter is the largest relative increase of an estimate at random. It keeps processes
	// with the same information from picking the same worker.
	estimateJitter = 0.12
	// maxLoadRatio is the number of requests at a worker, as a multiple of its slots, from which
	// on no more are sent.
	maxLoadRatio = 3.5
	// meanLatencyInterval is how often the mean latency over a service's workers is recomputed.
	meanLatencyInterval = 200 * time.Millisecond
)

// choice is a worker with the estimated duration of a request sent to it now.
type choice struct {
	backend  *backend
	estimate time.Duration
	// hasFreeSlot reports that the request would probably not wait at the worker.
	hasFreeSlot bool
}

// faster returns the choice with the shorter estimate. A choice without a backend never wins over one
// with a backend.
func (c choice) faster(other choice) choice {
	if c.backend == nil || (other.backend != nil && other.estimate < c.estimate) {
		return other
	}
	return c
}

// member is a worker of a service that may receive new requests.
type member struct {
	id      workers.ID
	backend *backend
	region  topology.Region
	// distance is that from this process. preferred reports that the worker belongs to the subset
	// of the local zone that this process sends to first.
	distance  topology.Distance
	preferred bool
}

// memberCache caches a service's workers for picking. It is rebuilt only when the list of workers
// or the number of processes changes: picking one of 98 workers takes 11 µs with the cache and
// 27 µs if each worker is looked up (BenchmarkPick). That matters because waiting requests pick
// again every 5 ms, with a sixth of a core available.
type memberCache struct {
	list    []member
	version uint64
	nodes   int
	valid   bool
	// meanLatency is the mean over the workers with measurements, as of meanLatencyAt.
	meanLatency   time.Duration
	meanLatencyAt time.Time
}

// members returns a service's workers and their mean latency.
func (f *fleet) members(now time.Time, state *serviceState, name routing.ServiceName, nodes int) ([]member, time.Duration) {
	state.membersMu.Lock()
	defer state.membersMu.Unlock()
	m := &state.members
	announced, version := f.directory.Usable(name)
	if !m.valid || m.version != version || m.nodes != nodes {
		m.list, m.version, m.nodes, m.valid = f.buildMembers(state, announced, version, nodes), version, nodes, true
		m.meanLatencyAt = time.Time{}
	}
	if now.Sub(m.meanLatencyAt) >= meanLatencyInterval {
		m.meanLatency, m.meanLatencyAt = meanLatencyOf(m.list), now
	}
	return m.list, m.meanLatency
}

// buildMembers looks up the workers that this process considers for a service.
func (f *fleet) buildMembers(state *serviceState, announced []workers.Worker, version uint64, nodes int) []member {
	preferred := f.preferred(state, announced, version, nodes)
	considered := f.considered(announced, len(preferred))
	list := make([]member, 0, len(considered))
	for _, worker := range considered {
		list = append(list, member{
			id: worker.ID, backend: f.get(worker), region: f.regionOf(worker), distance: f.distance(worker.Zone),
			preferred: preferred[worker.ID],
		})
	}
	return list
}

// preferred returns the workers of the local zone that this process sends to first.
func (f *fleet) preferred(state *serviceState, list []workers.Worker, version uint64, nodes int) map[workers.ID]bool {
	zones := map[string]bool{}
	var sameZone []workers.ID
	for _, worker := range list {
		zones[worker.Zone] = true
		if worker.Zone == f.zone {
			sameZone = append(sameZone, worker.ID)
		}
	}
	return state.subset.choose(f.seed, sameZone, version, subsetSize(len(sameZone), nodes/max(1, len(zones))))
}

// meanLatencyOf returns the mean latency over the workers with measurements, or defaultLatency if
// there are none.
func meanLatencyOf(list []member) time.Duration {
	total, count := time.Duration(0), 0
	for _, one := range list {
		if mean, measured := one.backend.meanLatency(defaultLatency); measured {
			total += mean
			count++
		}
	}
	if count == 0 {
		return defaultLatency
	}
	return total / time.Duration(count)
}

// pick chooses a worker of a pool. The choice has no backend if no worker may be sent to now. nodes
// is the number of router processes.
func (f *fleet) pick(now time.Time, state *serviceState, service *routing.Service, required requirements, tried map[workers.ID]bool, nodes int) choice {
	for {
		picked := f.fastest(now, state, service, required, tried, nodes)
		if picked.backend == nil || picked.backend.admit(now, service.ColdRate, nodes) {
			return picked
		}
	}
}

// fastest returns the worker that should receive the request, by estimated latency and distance.
func (f *fleet) fastest(now time.Time, state *serviceState, service *routing.Service, required requirements, tried map[workers.ID]bool, nodes int) choice {
	list, meanLatency := f.members(now, state, service.Name, nodes)
	var preferred choice
	var byDistance bestByDistance
	for _, one := range list {
		if tried[one.id] || required.regionAllowed != nil && !required.regionAllowed(one.region) || f.isBlocked(now, one.backend) {
			continue
		}
		candidate, ok := one.backend.assess(now, meanLatency, service.ColdRate, nodes)
		if !ok || required.freeSlotOnly && !candidate.hasFreeSlot {
			continue
		}
		candidate.estimate = time.Duration(float64(candidate.estimate) * (1 + estimateJitter*rand.Float64()))
		if one.preferred {
			preferred = preferred.faster(candidate)
		} else {
			byDistance[one.distance] = byDistance[one.distance].faster(candidate)
		}
	}
	if preferred.backend == nil || !preferred.hasFreeSlot {
		preferred = byDistance[topology.SameZone].faster(preferred)
	}
	byDistance[topology.SameZone] = preferred
	lateShare := func(mean time.Duration) float64 { return state.lateShare(mean, required.target) }
	return f.crossing.choose(byDistance, required, lateShare, func() bool { return f.bulkLimiter.take(now, required.bytes, nodes) })
}
