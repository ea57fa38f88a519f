package fair

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// Load of the plays: tenants ask for a little over half of what the workers bear.
const (
	playWorkers  = 100
	playWork     = 100 * time.Millisecond
	playQueue    = 250 // requests that wait at all workers together
	playPatience = 250 * time.Millisecond
	playLength   = 40 * time.Second
	playFlood    = 20 * time.Second // from here on
	playSettled  = 25 * time.Second // from here on routers know of the flood
	perWeight    = 37.5             // requests a second
)

// playTenants are the tenants' weights; the first one floods.
var playTenants = []float64{4, 4, 1, 1, 1, 1, 1, 1, 1, 1}

// playPolicy is what a way to share does at one router.
type playPolicy interface {
	// arrived counts a request, and reports whether it takes a free worker only.
	arrived(now time.Time, tenant int) bool
	lost(now time.Time, tenant int)
	// next is which of the waiting requests goes first.
	next(waiting []*playRequest) int
}

type playRequest struct {
	tenant, router int
	came           time.Duration
	yields, ended  bool
}

// playEvent happens at a time.
type playEvent struct {
	at time.Duration
	do func()
}

type playEvents []playEvent

func (e playEvents) Len() int           { return len(e) }
func (e playEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e playEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *playEvents) Push(one any)      { *e = append(*e, one.(playEvent)) }
func (e *playEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// playResult is what the callers of one tenant got during the flood.
type playResult struct {
	asked, refused int
	took           time.Duration
}

func (r playResult) refusals() float64 { return float64(r.refused) / float64(r.asked) }

func (r playResult) mean() time.Duration { return r.took / time.Duration(max(1, r.asked-r.refused)) }

func (r playResult) String() string {
	return fmt.Sprintf("asked %d, refused %.3f, mean %v", r.asked, r.refusals(), r.mean().Round(time.Millisecond/10))
}

// play is a service that many routers share, with callers that come at random.
type play struct {
	random  *rand.Rand
	events  playEvents
	now     time.Duration
	routers []playPolicy
	waiting [][]*playRequest
	queue   []*playRequest
	busy    int
	rates   func(tenant int, now time.Duration) float64
	// early are the results of the flood's beginning, and later those from then on.
	early, later []playResult
}

// runPlay plays a load at many routers.
func runPlay(seed uint64, routers int, fresh func(*rand.Rand) playPolicy, rates func(int, time.Duration) float64) (early, later []playResult) {
	p := &play{
		random: rand.New(rand.NewPCG(seed, 1)), rates: rates,
		early: make([]playResult, len(playTenants)), later: make([]playResult, len(playTenants)),
	}
	for range routers {
		p.routers = append(p.routers, fresh(p.random))
		p.waiting = append(p.waiting, nil)
	}
	for tenant := range playTenants {
		p.arriveLater(tenant)
	}
	for len(p.events) > 0 && p.now < playLength {
		event := heap.Pop(&p.events).(playEvent)
		p.now = event.at
		event.do()
	}
	return p.early, p.later
}

func (p *play) after(wait time.Duration, do func()) {
	heap.Push(&p.events, playEvent{at: p.now + wait, do: do})
}

func (p *play) clock() time.Time { return time.Unix(1000, 0).Add(p.now) }

func (p *play) arriveLater(tenant int) {
	pause := time.Duration(p.random.ExpFloat64() / p.rates(tenant, p.now) * float64(time.Second))
	p.after(pause, func() {
		p.arrive(&playRequest{tenant: tenant, router: p.random.IntN(len(p.routers)), came: p.now})
		p.arriveLater(tenant)
	})
}

// result is where a request counts.
func (p *play) result(r *playRequest) *playResult {
	switch {
	case r.came < playFlood:
		return &playResult{}
	case r.came < playSettled:
		return &p.early[r.tenant]
	}
	return &p.later[r.tenant]
}

func (p *play) arrive(r *playRequest) {
	p.result(r).asked++
	policy := p.routers[r.router]
	r.yields = policy.arrived(p.clock(), r.tenant)
	if len(p.waiting[r.router]) == 0 && p.start(r) {
		return
	}
	p.waiting[r.router] = append(p.waiting[r.router], r)
	p.after(playPatience, func() {
		if !r.ended {
			p.drop(r)
			p.refuse(r)
		}
	})
	p.serveWaiting()
}

// start gives a request to a worker; false if none takes it.
func (p *play) start(r *playRequest) bool {
	switch {
	case p.busy < playWorkers:
		p.work(r)
	case len(p.queue) < playQueue && !r.yields:
		p.queue = append(p.queue, r)
	default:
		return false
	}
	r.ended = true
	return true
}

func (p *play) work(r *playRequest) {
	p.busy++
	took := time.Duration((0.5 + p.random.Float64()) * float64(playWork))
	p.after(took, func() {
		p.busy--
		p.result(r).took += p.now - r.came
		if len(p.queue) > 0 {
			first := p.queue[0]
			p.queue = p.queue[1:]
			p.work(first)
		}
		p.serveWaiting()
	})
}

// serveWaiting lets requests that wait at routers go on, as far as there is room.
func (p *play) serveWaiting() {
	for _, router := range p.random.Perm(len(p.routers)) {
		for len(p.waiting[router]) > 0 {
			list := p.waiting[router]
			first := list[p.routers[router].next(list)]
			if !p.start(first) && !p.startAny(list) {
				break
			}
			p.tidy(router)
		}
	}
}

// startAny starts a request behind one that waits for a free worker.
func (p *play) startAny(list []*playRequest) bool {
	for _, one := range list {
		if !one.yields && p.start(one) {
			return true
		}
	}
	return false
}

func (p *play) tidy(router int) {
	var kept []*playRequest
	for _, one := range p.waiting[router] {
		if !one.ended {
			kept = append(kept, one)
		}
	}
	p.waiting[router] = kept
}

func (p *play) drop(r *playRequest) {
	r.ended = true
	p.tidy(r.router)
}

func (p *play) refuse(r *playRequest) {
	p.routers[r.router].lost(p.clock(), r.tenant)
	p.result(r).refused++
}
