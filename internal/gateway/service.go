package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/balance"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/retry"
	"github.com/shalefork/shalefork/internal/wire"
)

// service is what the gateway keeps of one service: its back ends, the queue
// of requests that wait for one, and the retry budget.
type service struct {
	began     time.Time
	metrics   *Metrics
	mu        sync.Mutex
	pool      *balance.Pool
	budget    *retry.Budget
	waiting   []*waiter
	occupancy balance.Occupancy
	// wake tells the prober that there is work; it holds one signal.
	wake chan struct{}
	// running tries of keyed requests, until their answer's headers come.
	running map[*running]struct{}
}

// services holds all services by name. A service that leaves the table and
// returns starts anew.
type services struct {
	zone    bundle.Zone
	began   time.Time
	metrics *Metrics
	mu      sync.RWMutex
	byName  map[keyspace.ServiceName]*service
	wake    chan struct{}
}

func newServices(zone bundle.Zone, metrics *Metrics) *services {
	return &services{
		zone:    zone,
		began:   time.Now(),
		metrics: metrics,
		byName:  map[keyspace.ServiceName]*service{},
		wake:    make(chan struct{}, 1),
	}
}

// awaitWork waits until requests wait or back ends are to be probed. It returns
// false once ctx has ended.
func (s *services) awaitWork(ctx context.Context) bool {
	for ctx.Err() == nil {
		if slices.ContainsFunc(s.all(), (*service).needsTick) {
			return true
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
		}
	}
	return false
}

// get returns the service, nil if the table lacks it.
func (s *services) get(name keyspace.ServiceName) *service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byName[name]
}

// all returns the services in no particular order.
func (s *services) all() []*service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]*service, 0, len(s.byName))
	for _, known := range s.byName {
		list = append(list, known)
	}
	return list
}

// update follows the table and lets waiting requests look at it.
func (s *services) update(held *view) {
	s.ensure(held)
	for name, route := range held.routes.byName {
		s.get(name).update(held, s.members(held, route))
	}
}

// ensure adds new services and forgets those that are gone.
func (s *services) ensure(held *view) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range held.routes.byName {
		if s.byName[name] == nil {
			s.byName[name] = s.newService()
		}
	}
	for name := range s.byName {
		if held.routes.byName[name] == nil {
			delete(s.byName, name)
		}
	}
}

func (s *services) newService() *service {
	return &service{
		began:   s.began,
		metrics: s.metrics,
		pool:    balance.NewPool(balance.DefaultConfig(s.zone)),
		budget:  retry.NewBudget(),
		wake:    s.wake,
		running: map[*running]struct{}{},
	}
}

// members lists the back ends of a service as the table describes them.
func (s *services) members(held *view, of *route) []balance.Member {
	list := make([]balance.Member, 0, len(of.service.Backends))
	team := bundle.Bundle{Team: of.team}
	for _, described := range of.service.Backends {
		name := team.ServerName(of.service, described)
		server, ok := held.table.Server(name)
		if !ok {
			continue
		}
		list = append(list, balance.Member{
			Name:        name,
			Zone:        server.Zone,
			Slots:       server.Slots,
			Connections: held.share(server.Connections),
			Reported:    server.Load,
			Draining:    server.Draining || described.Leaving,
		})
	}
	return list
}

func (s *service) update(held *view, members []balance.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Update(s.now(), members)
	s.cancelMoved(held)
	s.dispatch()
}

// now is the time for decisions of load, which need no bound.
func (s *service) now() time.Duration {
	return time.Since(s.began)
}

// firstTry fills the retry budget.
func (s *service) firstTry(ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.FirstTry(ratio)
}

// spend takes one retry from the budget.
func (s *service) spend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Spend()
}

// done gives a back end's slot back.
func (s *service) done(server bundle.ServerName, result balance.Result, latency, held time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Done(s.now(), server, result, latency)
	if result == balance.ResultAnswered {
		s.occupancy.Add(held)
	}
	s.dispatch()
	if s.pool.HasEjected() {
		s.signal()
	}
}

// needsTick reports whether the passing of time can change something.
func (s *service) needsTick() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting) > 0 || s.pool.HasEjected()
}

// signal wakes the prober up.
func (s *service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// target is where one try of a request goes.
type target struct {
	entry  wire.TableEntry
	server wire.TableServer
	// left is the time left when it was reserved; zero for no deadline.
	left time.Duration
}

// putBack gives a slot back that was not used.
func (s *service) putBack(server bundle.ServerName) {
	s.done(server, balance.ResultNeutral, 0, 0)
}

// draining notes that a back end says that it takes no new work.
func (s *service) answeredLoad(server bundle.ServerName, load int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Answered(s.now(), server, load)
}

func (s *service) draining(server bundle.ServerName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Draining(s.now(), server)
}
