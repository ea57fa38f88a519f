package experiment

import (
	"time"

	"github.com/shalefork/shalefork/internal/balance"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/retry"
	"github.com/shalefork/shalefork/internal/table"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	// gatewayTick is how often waiting requests look again by themselves.
	gatewayTick = 10 * time.Millisecond
	// probeTimeout ends a probe that gets no answer.
	probeTimeout = 500 * time.Millisecond
	// brokenAfter is when a connection to a machine that is gone counts as
	// broken, for requests without a deadline.
	brokenAfter = 15 * time.Second
)

// gateway stands for one gateway process; it follows internal/gateway with
// events in place of goroutines, and uses its pure packages.
type gateway struct {
	world    *world
	zone     bundle.Zone
	alive    bool
	table    *table.Table
	services map[string]*service
	order    []*service
	// idle counts the open connections to each server that are not in use.
	idle map[bundle.ServerName]int
	ring *ring // nil unless hashing is static
}

// service is what a gateway keeps of one service.
type service struct {
	gateway  *gateway
	name     keyspace.ServiceName
	workload workload
	bundle   bundle.Service
	pool     *balance.Pool
	budget   *retry.Budget
	waiting  []*call
	// lost says that the process is gone; its calls end by their deadlines.
	lost      bool
	occupancy balance.Occupancy
	// next is where round robin goes on.
	next int
}

func newGateway(w *world, zone bundle.Zone) *gateway {
	made := &gateway{world: w, zone: zone}
	made.reset()
	return made
}

// reset makes the gateway a process that has just started.
func (g *gateway) reset() {
	g.alive = true
	g.table = table.New(g.world.deployment.cell)
	g.services = map[string]*service{}
	g.order = nil
	g.idle = map[bundle.ServerName]int{}
	for i, described := range g.world.deployment.workloads {
		made := &service{
			gateway:  g,
			name:     g.world.serviceName(described),
			workload: described,
			bundle:   g.world.bundle.Services[i],
			pool:     balance.NewPool(g.poolConfig()),
			budget:   retry.NewBudget(),
		}
		g.services[described.name] = made
		g.order = append(g.order, made)
	}
	if !g.world.variant.mechanisms.fenced {
		g.ring = newRing(g)
	}
}

func (g *gateway) poolConfig() balance.Config {
	config := balance.DefaultConfig(g.zone)
	if !g.world.variant.mechanisms.slowStart {
		config.SlowStart = 0
	}
	return config
}

func (g *gateway) start() {
	g.world.Every(gatewayTick, func() {
		if !g.alive {
			return
		}
		for _, each := range g.order {
			each.probe()
			each.dispatch()
		}
	})
	if g.ring != nil {
		g.ring.start()
	}
}

// lose takes the gateway's machine away with all calls that it has.
func (g *gateway) lose() {
	g.alive = false
	for _, each := range g.order {
		each.lost = true
		each.waiting = nil
	}
}

// apply takes an update of the table; it returns false if a snapshot is needed.
func (g *gateway) apply(update wire.TableUpdate) bool {
	next, outcome := g.table.Apply(update)
	if outcome == table.OutcomeGap {
		return false
	}
	g.table = next
	for _, each := range g.order {
		each.pool.Update(g.world.Now(), g.members(each))
		each.dispatch()
	}
	return true
}

// members lists the back ends of a service as the table describes them.
func (g *gateway) members(of *service) []balance.Member {
	var list []balance.Member
	for _, backend := range of.bundle.Backends {
		name := g.world.bundle.ServerName(of.bundle, backend)
		server, known := g.table.Server(name)
		if !known {
			continue
		}
		list = append(list, balance.Member{
			Name:        name,
			Zone:        server.Zone,
			Slots:       server.Slots,
			Connections: max(1, server.Connections/len(g.world.gateways)),
			Reported:    server.Load,
			Draining:    server.Draining,
		})
	}
	return list
}

// probe starts the probe that is due, if any.
func (s *service) probe() {
	name, due := s.pool.NextProbe(s.now())
	if !due {
		return
	}
	g := s.gateway
	target := g.world.byName[name]
	wait := probeTimeout
	if target.alive {
		wait = probeCost + 2*g.world.deployment.delay(g.zone, target.zone)
	}
	g.world.After(wait, func() {
		s.pool.Probed(s.now(), name, target.alive)
		s.dispatch()
	})
}

func (s *service) now() time.Duration {
	return s.gateway.world.Now()
}
