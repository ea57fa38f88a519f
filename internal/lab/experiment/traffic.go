package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/simulation"
)

// key is one key of the keyed service.
type key struct {
	index int
	hash  keyspace.Hash
}

// popularity gives each key its share of the traffic, and changes it.
type popularity struct {
	settings Popularity
	random   *rand.Rand
	zipf     *simulation.Zipf
	keys     []key
	// byRank is the key of each rank, rankOf the rank of each key.
	byRank []int
	rankOf []int
	// hot is the key that has hotShare of the traffic, beside its rank's.
	hot      int
	hotShare float64
}

func newPopularity(settings Popularity, random *rand.Rand) *popularity {
	made := &popularity{
		settings: settings,
		random:   random,
		zipf:     simulation.NewZipf(settings.Keys, settings.Skew),
		byRank:   random.Perm(settings.Keys),
		rankOf:   make([]int, settings.Keys),
	}
	for index := range settings.Keys {
		name := fmt.Sprintf("key-%05d", index)
		made.keys = append(made.keys, key{index: index, hash: keyspace.HashKey(name)})
	}
	for rank, index := range made.byRank {
		made.rankOf[index] = rank
	}
	return made
}

// draw returns the key of one request.
func (p *popularity) draw() key {
	if p.hotShare > 0 && p.random.Float64() < p.hotShare {
		return p.keys[p.hot]
	}
	return p.keys[p.byRank[p.zipf.Draw(p.random)]]
}

// share is a key's true share of the traffic.
func (p *popularity) share(index int) float64 {
	share := (1 - p.hotShare) * p.zipf.Share(p.rankOf[index])
	if index == p.hot {
		share += p.hotShare
	}
	return share
}

// shift swaps the ranks of some keys with those of others.
func (p *popularity) shift() {
	swaps := int(p.settings.ShiftShare * float64(len(p.keys)) / 2)
	for range swaps {
		a, b := p.random.IntN(len(p.keys)), p.random.IntN(len(p.keys))
		p.byRank[a], p.byRank[b] = p.byRank[b], p.byRank[a]
		p.rankOf[p.byRank[a]] = a
		p.rankOf[p.byRank[b]] = b
	}
}

// startTraffic starts the callers of every workload.
func (w *world) startTraffic() {
	if every := w.scenario.Popularity.ShiftEvery.Std(); every > 0 {
		w.Every(every, w.popularity.shift)
	}
	for i, described := range w.deployment.workloads {
		callers := &callers{
			world:    w,
			workload: described,
			service:  w.bundle.Services[i],
			random:   simulation.Random(w.seed, "callers of "+described.name),
			highest:  w.highestLevel(),
		}
		callers.next()
	}
}

func (w *world) highestLevel() float64 {
	highest := 0.0
	for _, point := range w.scenario.Load {
		highest = max(highest, point.Level)
	}
	return highest
}

// callers make the requests of one workload: a Poisson process whose rate
// follows the scenario, drawn by thinning one of the highest rate.
type callers struct {
	world    *world
	workload workload
	service  bundle.Service
	random   *rand.Rand
	highest  float64
}

func (c *callers) next() {
	rate := c.workload.rate() * c.highest
	if rate <= 0 {
		return
	}
	wait := time.Duration(c.random.ExpFloat64() / rate * float64(time.Second))
	c.world.After(wait, func() {
		if c.random.Float64() < c.world.scenario.level(c.world.Now())/c.highest {
			c.request()
		}
		c.next()
	})
}

// request draws a request whole, so that the same is asked in every variant,
// and gives it to a gateway that lives.
func (c *callers) request() {
	asked := &call{
		service:     c.workload.name,
		keyed:       c.workload.kind == bundle.KindKeyed,
		work:        c.random.ExpFloat64(),
		started:     c.world.Now(),
		deadline:    c.workload.limits.Deadline.Std(),
		hedgeAfter:  c.service.Limits.HedgeAfter.Std(),
		repeatable:  c.workload.repeatable,
		serviceName: c.world.serviceName(c.workload),
	}
	if asked.keyed {
		asked.key = c.world.popularity.draw()
	}
	chosen := c.world.gateways[c.random.IntN(len(c.world.gateways))]
	for _, other := range c.world.gateways {
		if chosen.alive {
			break
		}
		chosen = other
	}
	c.world.measures.asked(asked)
	chosen.begin(asked)
}
