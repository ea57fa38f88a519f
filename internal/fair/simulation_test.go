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

// simEvent is a scheduled call of do.
type simEvent struct {
	at time.Duration
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(event any)    { *e = append(*e, event.(simEvent)) }
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
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), rates: rates,
		early: make([]tenantResult, len(simWeights)), later: make([]tenantResult, len(simWeights)),
	}
	for range routers {
		s.routers = append(s.routers, fresh(s.random))
		s.waiting = append(s.waiting, nil)
	}
	for tenant := range simWeights {
		s.scheduleArrival(tenant)
	}
	for len(s.events) > 0 && s.now < simDuration {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.do()
	}
	return s.early, s.later
}

func (s *simulation) after(wait time.Duration, do func()) {
	heap.Push(&s.events, simEvent{at: s.now + wait, do: do})
}

func (s *simulation) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *simulation) scheduleArrival(tenant int) {
	pause := time.Duration(s.random.ExpFloat64() / s.rates(tenant, s.now) * float64(time.Second))
	s.after(pause, func() {
		s.arrive(&simRequest{tenant: tenant, router: s.random.IntN(len(s.routers)), arrivedAt: s.now})
		s.scheduleArrival(tenant)
	})
}

// result returns the result that a request counts towards. Requests before the flood are discarded.
func (s *simulation) result(r *simRequest) *tenantResult {
	switch {
	case r.arrivedAt < simFloodStart:
		return &tenantResult{}
	case r.arrivedAt < simFloodDetected:
		return &s.early[r.tenant]
	}
	return &s.later[r.tenant]
}

func (s *simulation) arrive(r *simRequest) {
	s.result(r).requests++
	policy := s.routers[r.router]
	r.yields = policy.arrived(s.clock(), r.tenant)
	if len(s.waiting[r.router]) == 0 && s.tryStart(r) {
		return
	}
	s.waiting[r.router] = append(s.waiting[r.router], r)
	s.after(simMaxWait, func() {
		if !r.done {
			s.drop(r)
			s.refuse(r)
		}
	})
	s.serveWaiting()
}

// tryStart assigns a request to a worker; false if no worker can take it.
func (s *simulation) tryStart(r *simRequest) bool {
	switch {
	case s.busyWorkers < simWorkers:
		s.serve(r)
	case len(s.queue) < simQueueLength && !r.yields:
		s.queue = append(s.queue, r)
	default:
		return false
	}
	r.done = true
	return true
}

func (s *simulation) serve(r *simRequest) {
	s.busyWorkers++
	took := time.Duration((0.5 + s.random.Float64()) * float64(simServiceTime))
	s.after(took, func() {
		s.busyWorkers--
		s.result(r).totalLatency += s.now - r.arrivedAt
		if len(s.queue) > 0 {
			first := s.queue[0]
			s.queue = s.queue[1:]
			s.serve(first)
		}
		s.serveWaiting()
	})
}

// serveWaiting starts requests that wait at routers while there is capacity.
func (s *simulation) serveWaiting() {
	for _, router := range s.random.Perm(len(s.routers)) {
		for len(s.waiting[router]) > 0 {
			list := s.waiting[router]
			first := list[s.routers[router].next(list)]
			if !s.tryStart(first) && !s.tryStartAny(list) {
				break
			}
			s.removeDone(router)
		}
	}
}

// tryStartAny starts a request that waits behind one that may only use a free worker.
func (s *simulation) tryStartAny(list []*simRequest) bool {
	for _, request := range list {
		if !request.yields && s.tryStart(request) {
			return true
		}
	}
	return false
}

func (s *simulation) removeDone(router int) {
	var kept []*simRequest
	for _, request := range s.waiting[router] {
		if !request.done {
			kept = append(kept, request)
		}
	}
	s.waiting[router] = kept
}

func (s *simulation) drop(r *simRequest) {
	r.done = true
	s.removeDone(r.router)
}

func (s *simulation) refuse(r *simRequest) {
	s.routers[r.router].unserved(s.clock(), r.tenant)
	s.result(r).refused++
}
