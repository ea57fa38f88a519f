package fair

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// Load of the simulation: the tenants' demand is a little over half of the workers' capacity.
const (
	simWorkers       = 100
	simServiceTime   = 100 * time.Millisecond
	simQueueLength   = 250 // requests queued at all workers together
	simMaxWait       = 250 * time.Millisecond
	simDuration      = 40 * time.Second
	simFloodStart    = 20 * time.Second // start of the flood
	simFloodDetected = 25 * time.Second // by now routers have detected the flood
	ratePerWeight    = 37.5             // requests a second
)

// simWeights are the tenants' weights. The first tenant is the one that floods.
var simWeights = []float64{4, 4, 1, 1, 1, 1, 1, 1, 1, 1}

// simPolicy is a scheduling policy at one router.
type simPolicy interface {
	// arrived counts a request and reports whether it may only use a free worker.
	arrived(now time.Time, tenant int) bool
	unserved(now time.Time, tenant int)
	// next returns the index of the waiting request to serve first.
	next(waiting []*simRequest) int
}

type simRequest struct {
	tenant, router int
	arrivedAt      time.Duration
	yields, done   bool
}

// simEvent is a call of do at a time.
type simEvent struct {
	at time.Duration
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(one any)      { *e = append(*e, one.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// tenantResult sums up the requests of one tenant that arrived during the flood.
type tenantResult struct {
	requests, refused int
	totalLatency      time.Duration
}

func (r tenantResult) refusedShare() float64 { return float64(r.refused) / float64(r.requests) }

func (r tenantResult) meanLatency() time.Duration {
	return r.totalLatency / time.Duration(max(1, r.requests-r.refused))
}

func (r tenantResult) String() string {
	return fmt.Sprintf("requests %d, refused %.3f, mean latency %v", r.requests, r.refusedShare(), r.meanLatency().Round(time.Millisecond/10))
}

// simulation is a discrete-event simulation of a service that many routers share, with random
// arrivals.
type simulation struct {
	random      *rand.Rand
	events      simEvents
	now         time.Duration
	routers     []simPolicy
	waiting     [][]*simRequest
	queue       []*simRequest
	busyWorkers int
	rates       func(tenant int, now time.Duration) float64
	// early are the results until simFloodDetected, and later those from then on.
	early, later []tenantResult
}

// runSimulation simulates a load at a number of routers.
func runSimulation(seed uint64, routers int, fresh func(*rand.Rand) simPolicy, rates func(int, time.Duration) float64) (early, later []tenantResult) {
	p := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), rates: rates,
		early: make([]tenantResult, len(simWeights)), later: make([]tenantResult, len(simWeights)),
	}
	for range routers {
		p.routers = append(p.routers, fresh(p.random))
		p.waiting = append(p.waiting, nil)
	}
	for tenant := range simWeights {
		p.scheduleArrival(tenant)
	}
	for len(p.events) > 0 && p.now < simDuration {
		event := heap.Pop(&p.events).(simEvent)
		p.now = event.at
		event.do()
	}
	return p.early, p.later
}

func (p *simulation) after(wait time.Duration, do func()) {
	heap.Push(&p.events, simEvent{at: p.now + wait, do: do})
}

func (p *simulation) clock() time.Time { return time.Unix(1000, 0).Add(p.now) }

func (p *simulation) scheduleArrival(tenant int) {
	pause := time.Duration(p.random.ExpFloat64() / p.rates(tenant, p.now) * float64(time.Second))
	p.after(pause, func() {
		p.arrive(&simRequest{tenant: tenant, router: p.random.IntN(len(p.routers)), arrivedAt: p.now})
		p.scheduleArrival(tenant)
	})
}

// result returns the result that a request counts towards. Requests before the flood are discarded.
func (p *simulation) result(r *simRequest) *tenantResult {
	switch {
	case r.arrivedAt < simFloodStart:
		return &tenantResult{}
	case r.arrivedAt < simFloodDetected:
		return &p.early[r.tenant]
	}
	return &p.later[r.tenant]
}

func (p *simulation) arrive(r *simRequest) {
	p.result(r).requests++
	policy := p.routers[r.router]
	r.yields = policy.arrived(p.clock(), r.tenant)
	if len(p.waiting[r.router]) == 0 && p.tryStart(r) {
		return
	}
	p.waiting[r.router] = append(p.waiting[r.router], r)
	p.after(simMaxWait, func() {
		if !r.done {
			p.drop(r)
			p.refuse(r)
		}
	})
	p.serveWaiting()
}

// tryStart assigns a request to a worker; false if no worker can take it.
func (p *simulation) tryStart(r *simRequest) bool {
	switch {
	case p.busyWorkers < simWorkers:
		p.serve(r)
	case len(p.queue) < simQueueLength && !r.yields:
		p.queue = append(p.queue, r)
	default:
		return false
	}
	r.done = true
	return true
}

func (p *simulation) serve(r *simRequest) {
	p.busyWorkers++
	took := time.Duration((0.5 + p.random.Float64()) * float64(simServiceTime))
	p.after(took, func() {
		p.busyWorkers--
		p.result(r).totalLatency += p.now - r.arrivedAt
		if len(p.queue) > 0 {
			first := p.queue[0]
			p.queue = p.queue[1:]
			p.serve(first)
		}
		p.serveWaiting()
	})
}

// serveWaiting starts requests that wait at routers while there is capacity.
func (p *simulation) serveWaiting() {
	for _, router := range p.random.Perm(len(p.routers)) {
		for len(p.waiting[router]) > 0 {
			list := p.waiting[router]
			first := list[p.routers[router].next(list)]
			if !p.tryStart(first) && !p.tryStartAny(list) {
				break
			}
			p.removeDone(router)
		}
	}
}

// tryStartAny starts a request that waits behind one that may only use a free worker.
func (p *simulation) tryStartAny(list []*simRequest) bool {
	for _, one := range list {
		if !one.yields && p.tryStart(one) {
			return true
		}
	}
	return false
}

func (p *simulation) removeDone(router int) {
	var kept []*simRequest
	for _, one := range p.waiting[router] {
		if !one.done {
			kept = append(kept, one)
		}
	}
	p.waiting[router] = kept
}

func (p *simulation) drop(r *simRequest) {
	r.done = true
	p.removeDone(r.router)
}

func (p *simulation) refuse(r *simRequest) {
	p.routers[r.router].unserved(p.clock(), r.tenant)
	p.result(r).refused++
}
