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
	jitter = 0.12
	// fullCrowd is the number of requests at a worker, as a multiple of its
	// slots, above which no more are sent.
	fullCrowd = 3.5
	// usualEvery is the pause between averages over a service's workers.
	usualEvery = 200 * time.Millisecond
)

// choice is a worker and how long a request sent to it now would take.
type choice struct {
	to       *backend
	estimate time.Duration
	// free says that the request would probably not wait there.
	free bool
}

// sooner returns the choice that answers sooner.
func (c choice) sooner(other choice) choice {
	if c.to == nil || (other.to != nil && other.estimate < c.estimate) {
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
type members struct {
	list    []member
	version uint64
	nodes   int
	known   bool
	// usual is the mean time over the workers that were measured, as of usualAt.
	usual   time.Duration
	usualAt time.Time
}

// membersOf returns a service's workers, and the mean time of work at them.
func (f *fleet) membersOf(now time.Time, service *serviceState, name routing.ServiceName, nodes int) ([]member, time.Duration) {
	service.membersMu.Lock()
	defer service.membersMu.Unlock()
	m := &service.members
	announced, version := f.directory.Usable(name)
	if !m.known || m.version != version || m.nodes != nodes {
		m.list, m.version, m.nodes, m.known = f.list(service, announced, version, nodes), version, nodes, true
		m.usualAt = time.Time{}
	}
	if now.Sub(m.usualAt) >= usualEvery {
		m.usual, m.usualAt = usualOf(m.list), now
	}
	return m.list, m.usual
}

// list looks workers up.
func (f *fleet) list(service *serviceState, announced []workers.Worker, version uint64, nodes int) []member {
	preferred := f.preferred(service, announced, version, nodes)
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
func (f *fleet) preferred(service *serviceState, list []workers.Worker, version uint64, nodes int) map[workers.ID]bool {
	zones := map[string]bool{}
	var near []workers.ID
	for _, worker := range list {
		zones[worker.Zone] = true
		if worker.Zone == f.zone {
			near = append(near, worker.ID)
		}
	}
	return service.subset.of(f.seed, near, version, subsetSize(len(near), nodes/max(1, len(zones))))
}

// usualOf is the mean time over the workers that were measured.
func usualOf(list []member) time.Duration {
	total, count := time.Duration(0), 0
	for _, one := range list {
		if mean, measured := one.backend.mean(usualTime); measured {
			total += mean
			count++
		}
	}
	if count == 0 {
		return usualTime
	}
	return total / time.Duration(count)
}

// pick chooses a worker of a pool; none may be sent to now if it has no backend. nodes is
// how many processes there are.
func (f *fleet) pick(now time.Time, service *serviceState, of *routing.Service, asks need, tried map[workers.ID]bool, nodes int) choice {
	for {
		picked := f.soonest(now, service, of, asks, tried, nodes)
		if picked.to == nil || picked.to.admit(now, of.ColdRate, nodes) {
			return picked
		}
	}
}

// soonest returns the worker that a request is best sent to.
func (f *fleet) soonest(now time.Time, service *serviceState, of *routing.Service, asks need, tried map[workers.ID]bool, nodes int) choice {
	list, usual := f.membersOf(now, service, of.Name, nodes)
	var first choice
	var by nearest
	for _, one := range list {
		if tried[one.id] || asks.serves != nil && !asks.serves(one.region) || f.keptAway(now, one.backend) {
			continue
		}
		candidate, ok := one.backend.assess(now, usual, of.ColdRate, nodes)
		if !ok || asks.free && !candidate.free {
			continue
		}
		candidate.estimate = time.Duration(float64(candidate.estimate) * (1 + jitter*rand.Float64()))
		if one.preferred {
			first = first.sooner(candidate)
		} else {
			by[one.distance] = by[one.distance].sooner(candidate)
		}
	}
	if first.to == nil || !first.free {
		first = by[topology.SameZone].sooner(first)
	}
	by[topology.SameZone] = first
	late := func(mean time.Duration) float64 { return service.late(mean, asks.target) }
	return f.policy.choose(by, asks, late, func() bool { return f.bulk.take(now, asks.bytes, nodes) })
}
