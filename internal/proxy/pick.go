package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// Constants of picking.
const (
	// jitter keeps processes that know the same from picking the same worker.
	estimateJitter = 0.12
	// maxLoadRatio is the number of requests at a worker, as a multiple of its
	// slots, above which no more are sent.
	maxLoadRatio = 3.5
	// meanLatencyInterval is the pause between averages over a service's workers.
	meanLatencyInterval = 200 * time.Millisecond
)

// choice is a worker and how long a request sent to it now would take.
type choice struct {
	backend  *backend
	estimate time.Duration
	// free says that the request would probably not wait there.
	hasFreeSlot bool
}

// sooner returns the choice that answers sooner.
func (c choice) faster(other choice) choice {
	if c.backend == nil || (other.backend != nil && other.estimate < c.estimate) {
		return other
	}
	return c
}

// member is a worker of a service that new work may go to.
type member struct {
	id      workers.ID
	backend *backend
	region  topology.Region
	// distance from this process; preferred workers are those of the own zone that it sends
	// to first.
	distance  topology.Distance
	preferred bool
}

// members are a service's workers as picking needs them. They are made anew only when the
// list of workers or the number of processes changes: a pick among 98 workers took 27 µs
// when it looked each of them up, and 11 µs since (BenchmarkPick), which counts where
// requests that wait pick again every 5 ms on a sixth of a core.
type memberCache struct {
	list    []member
	version uint64
	nodes   int
	valid   bool
	// usual is the mean time over the workers that were measured, as of usualAt.
	meanLatency   time.Duration
	meanLatencyAt time.Time
}

// membersOf returns a service's workers, and the mean time of work at them.
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

// list looks workers up.
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

// preferred returns the workers of the own zone that this process sends to first.
func (f *fleet) preferred(state *serviceState, list []workers.Worker, version uint64, nodes int) map[workers.ID]bool {
	zones := map[string]bool{}
	var sameZone []workers.ID
	for _, worker := range list {
		zones[worker.Zone] = true
		if worker.Zone == f.zone {
			sameZone = append(sameZone, worker.ID)
		}
	}
	return state.subset.of(f.seed, sameZone, version, subsetSize(len(sameZone), nodes/max(1, len(zones))))
}

// meanLatencyOf is the mean time over the workers that were measured.
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

// pick chooses a worker of a pool; none may be sent to now if it has no backend. nodes is
// how many processes there are.
func (f *fleet) pick(now time.Time, state *serviceState, service *routing.Service, required need, tried map[workers.ID]bool, nodes int) choice {
	for {
		picked := f.fastest(now, state, service, required, tried, nodes)
		if picked.backend == nil || picked.backend.admit(now, service.ColdRate, nodes) {
			return picked
		}
	}
}

// soonest returns the worker that a request is best sent to.
func (f *fleet) fastest(now time.Time, state *serviceState, service *routing.Service, required need, tried map[workers.ID]bool, nodes int) choice {
	list, meanLatency := f.members(now, state, service.Name, nodes)
	var preferred choice
	var byDistance nearest
	for _, one := range list {
		if tried[one.id] || required.serves != nil && !required.serves(one.region) || f.keptAway(now, one.backend) {
			continue
		}
		candidate, ok := one.backend.assess(now, meanLatency, service.ColdRate, nodes)
		if !ok || required.free && !candidate.hasFreeSlot {
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
	return f.policy.choose(byDistance, required, lateShare, func() bool { return f.bulk.take(now, required.bytes, nodes) })
}
