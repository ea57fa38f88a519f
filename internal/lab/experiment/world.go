package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/simulation"
)

// run names one simulation.
type run struct {
	scenario Scenario
	variant  variant
	seed     uint64
}

// world is one deployment under simulation.
type world struct {
	run
	*simulation.Scheduler
	deployment deployment
	bundle     bundle.Bundle
	// popularity of the keys of the keyed service.
	popularity *popularity
	servers    []*server
	byName     map[bundle.ServerName]*server
	gateways   []*gateway
	control    *control
	measures   *measures
	// choices and times are streams of random numbers for the routing and for
	// the servers. Traffic has its own, so that every variant sees the same.
	choices *rand.Rand
	times   *rand.Rand
	// platformDown says that the platform's service does not answer.
	platformDown bool
	version      bundle.Version
}

// simulate plays one run and returns its measures.
func simulate(r run) Measures {
	w := newWorld(r)
	w.control.start()
	for _, each := range w.gateways {
		each.start()
	}
	w.startTraffic()
	w.planEvents()
	w.Run(r.scenario.Duration.Std())
	return w.measures.result()
}

func newWorld(r run) *world {
	w := &world{
		run:        r,
		Scheduler:  simulation.NewScheduler(),
		deployment: deployments[r.scenario.Deployment],
		byName:     map[bundle.ServerName]*server{},
		choices:    simulation.Random(r.seed, "choices"),
		times:      simulation.Random(r.seed, "times"),
		version:    1,
	}
	w.deployment.workloads = slices.Clone(w.deployment.workloads)
	if r.scenario.Slices > 0 {
		w.deployment.workloads[0].placement.Slices = r.scenario.Slices
	}
	w.bundle = w.deployment.bundle(w.version, r.variant.mechanisms)
	w.popularity = newPopularity(r.scenario.Popularity, simulation.Random(r.seed, "popularity"))
	w.measures = newMeasures(w)
	w.addServers()
	for _, zone := range w.deployment.zones {
		w.gateways = append(w.gateways, newGateway(w, zone))
	}
	w.control = newControl(w)
	return w
}

func (w *world) addServers() {
	for i, service := range w.bundle.Services {
		for _, backend := range service.Backends {
			made := newServer(w, w.deployment.workloads[i], w.bundle.ServerName(service, backend), backend)
			w.servers = append(w.servers, made)
			w.byName[made.name] = made
		}
	}
}

// serviceName returns the scoped name of a workload's service.
func (w *world) serviceName(described workload) keyspace.ServiceName {
	return keyspace.ServiceName(string(w.deployment.team) + "/" + described.name)
}

// server finds a server by its short name.
func (w *world) server(short string) *server {
	for _, candidate := range w.servers {
		if candidate.short == short {
			return candidate
		}
	}
	panic("the scenario was checked to name only servers that exist")
}

// instant is the emulated time as a process reads it. All clocks agree here;
// the safety of clocks that do not is the business of other tests.
func (w *world) instant() clock.Instant {
	return clock.Exact(w.Now())
}

// after runs an event of the given zone's link to another after its delay.
func (w *world) send(from, to bundle.Zone, extra time.Duration, arrive func()) {
	w.After(w.deployment.delay(from, to)+extra, arrive)
}
