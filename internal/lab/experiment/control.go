package experiment

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/lab/simulation"
	"github.com/shalefork/shalefork/internal/placement"
	"github.com/shalefork/shalefork/internal/wire"
)

// Times of the control group; they are the product's defaults.
const (
	grantTime        = 600 * time.Millisecond
	renewEvery       = 200 * time.Millisecond
	poolGrantTime    = 3 * time.Second
	poolRenewEvery   = time.Second
	driftMargin      = 10 * time.Millisecond
	leadershipLease  = 250 * time.Millisecond
	heartbeat        = 100 * time.Millisecond
	electionShortest = 240 * time.Millisecond
	electionLongest  = 320 * time.Millisecond
	controlTick      = 25 * time.Millisecond
	planEvery        = 100 * time.Millisecond
	// loadsEvery is how often gateways hear of the servers' loads.
	loadsEvery = time.Second
	// commitCost is the work of a commit beside its round trip.
	commitCost = 500 * time.Microsecond
)

// control stands for the control group: one leader at a time with the real
// lease book and planner. Consensus is its delays only.
type control struct {
	world  *world
	random *rand.Rand
	state  cellstate.State
	index  uint64
	term   uint64
	// zone of the leader; leading is false during an election.
	zone     bundle.Zone
	leading  bool
	book     *grant.Book
	planner  *placement.Planner
	observed uint64
	inFlight map[string]bool
	lastPlan time.Duration
	// published is what the gateways have been told, by their order.
	published []cellstate.TableView
	loads     cellstate.Loads
	traffic   controlTraffic
}

func newControl(w *world) *control {
	return &control{
		world:     w,
		random:    simulation.Random(w.seed, "elections"),
		state:     cellstate.New(w.deployment.cell, 1),
		zone:      w.deployment.zones[0],
		published: make([]cellstate.TableView, len(w.gateways)),
		loads:     cellstate.Loads{},
	}
}

// start elects the first leader and adopts the bundle. Without the system
// there is nothing to do.
func (c *control) start() {
	if !c.world.variant.mechanisms.fenced {
		return
	}
	c.elect()
	c.propose([]cellstate.Command{c.adoption()})
	c.world.Every(controlTick, c.lead)
	c.world.Every(loadsEvery, c.publishLoads)
	c.world.Every(heartbeat, c.countHeartbeats)
}

func (c *control) adoption() cellstate.Command {
	return cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: c.world.bundle}}
}

// loseLeader ends the term; what was proposed and not committed is lost.
func (c *control) loseLeader() {
	c.leading = false
	c.term++
	spread := float64(electionLongest - electionShortest)
	election := electionShortest + time.Duration(c.random.Float64()*spread)
	c.world.After(election+2*c.roundTrip(), c.elect)
}

// elect begins a term with an empty book, in the next zone that has a gateway.
func (c *control) elect() {
	c.term++
	c.leading = true
	for _, each := range c.world.gateways {
		if each.alive && each.zone != c.zone {
			c.zone = each.zone
			break
		}
	}
	config := grant.Config{
		Cell:           c.world.deployment.cell,
		Leader:         "leader",
		Term:           c.term,
		Duration:       grantTime,
		PoolDuration:   poolGrantTime,
		RenewEvery:     renewEvery,
		PoolRenewEvery: poolRenewEvery,
		DriftMargin:    driftMargin,
	}
	c.book = grant.New(config, c.world.instant(), c.state)
	c.planner = placement.NewPlanner()
	c.inFlight = map[string]bool{}
	c.observed = c.state.Index
}

func (c *control) roundTrip() time.Duration {
	return 2 * c.world.deployment.between
}

// lead does a leader's work after an event, in the controller's order.
func (c *control) lead() {
	if !c.leading {
		return
	}
	if c.observed != c.state.Index {
		c.book.Observe(c.world.instant(), c.state)
		c.observed = c.state.Index
	}
	now := c.world.instant()
	for _, renewal := range c.book.Due(now, now.Upper+leadershipLease) {
		c.renew(renewal)
	}
	c.propose(c.book.Proposals(now))
	if len(c.inFlight) == 0 && now.Lower >= c.lastPlan+planEvery {
		c.lastPlan = now.Lower
		view := placement.View{Now: now.Lower, State: c.state, Servers: c.book.Servers(now)}
		c.propose(c.planner.Plan(view))
	}
}

// renew sends a renewal and takes its answer, unless the term is over by then.
func (c *control) renew(renewal grant.Renewal) {
	target := c.world.byName[renewal.Server]
	term, zone := c.term, c.zone
	c.world.send(zone, target.zone, 0, func() {
		if !target.alive {
			return
		}
		response := target.renew(renewal.Request)
		c.traffic.exchange(renewal.Request, response)
		c.world.send(target.zone, zone, 0, func() {
			if c.term == term && c.leading {
				c.answered(renewal, response)
			}
		})
	})
}

// answered leads at once only after an answer that can change something, and
// otherwise leaves it to the next tick.
func (c *control) answered(renewal grant.Renewal, response wire.RenewResponse) {
	c.book.Answered(c.world.instant(), renewal.Server, response)
	if len(response.Released) > 0 || response.Held != nil || response.Set != renewal.Request.Set {
		c.lead()
	}
}

// propose commits commands after one round trip, each once at a time.
func (c *control) propose(commands []cellstate.Command) {
	var fresh []cellstate.Command
	var encodings []string
	for _, command := range commands {
		encoded, err := json.Marshal(command)
		if err != nil {
			panic(Error.Wrap(err))
		}
		if !c.inFlight[string(encoded)] {
			c.inFlight[string(encoded)] = true
			fresh = append(fresh, command)
			encodings = append(encodings, string(encoded))
		}
	}
	if len(fresh) == 0 {
		return
	}
	term := c.term
	c.world.After(c.roundTrip()+commitCost, func() {
		if c.term == term {
			c.commit(fresh, encodings)
		}
	})
}

func (c *control) commit(commands []cellstate.Command, encodings []string) {
	for i, command := range commands {
		c.index++
		var rejection cellstate.Rejection
		c.state, rejection = cellstate.Apply(c.state, c.index, command)
		delete(c.inFlight, encodings[i])
		c.traffic.commit(encodings[i])
		if rejection == cellstate.Applied && command.Assign != nil {
			c.world.measures.assigned(*command.Assign)
		}
	}
	c.publish()
	c.lead()
}

// publishLoads tells the gateways what the servers last reported.
func (c *control) publishLoads() {
	if !c.leading {
		return
	}
	next := cellstate.Loads{}
	for _, view := range c.book.Servers(c.world.instant()) {
		next[view.Name] = view.Load.InFlight + view.Load.Queued
	}
	c.loads = next
	c.publish()
}

// publish sends each gateway what changed since the last time.
func (c *control) publish() {
	view := cellstate.TableView{State: c.state, Loads: c.loads}
	for i, each := range c.world.gateways {
		if !each.alive {
			continue
		}
		update := cellstate.Delta(c.published[i], view)
		if c.published[i].State.Index == 0 {
			update = view.Snapshot()
		} else if cellstate.Empty(update) {
			continue
		}
		c.published[i] = view
		c.traffic.table(i, update)
		c.deliver(each, update)
	}
}

// deliver passes an update on; lines of one stream arrive in order, because
// all take the same time.
func (c *control) deliver(to *gateway, update wire.TableUpdate) {
	c.world.send(c.zone, to.zone, 0, func() {
		if to.alive && !to.apply(update) {
			panic("a gateway missed an update of its table")
		}
	})
}

// forget makes the next update to a gateway a snapshot.
func (c *control) forget(gatewayIndex int) {
	c.published[gatewayIndex] = cellstate.TableView{}
}
