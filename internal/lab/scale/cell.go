package scale

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/lab/simulation"
)

// Shape is the size of one cell and of the fleet around it, and what is tried in
// place of today's mechanisms. A machine carries a gateway, a controller and a
// server; the first machines carry the keyed servers, the next those of a pool.
type Shape struct {
	Keyed int `json:"keyed"`
	Pool  int `json:"pool"`
	// Machines have a controller each, Gateways of them a gateway.
	Machines int `json:"machines"`
	Gateways int `json:"gateways"`
	Slices   int `json:"slices"`
	// Fleet is the number of machines of all cells: the machine list's length.
	Fleet int `json:"fleet"`
	// FleetChanges is how often a day a configuration changes somewhere.
	FleetChanges float64 `json:"fleet_changes"`
	// RequestRate is what one machine's gateway takes, a second.
	RequestRate float64 `json:"request_rate"`
	// ReportEvery is the time between whole load reports; zero means with every
	// renewal.
	ReportEvery time.Duration `json:"report_every_ns"`
	// RenewEvery is the period of keyed servers' renewals, GrantTime how long
	// their grants last.
	RenewEvery time.Duration `json:"renew_every_ns"`
	GrantTime  time.Duration `json:"grant_ns"`
	// LedgerGateways is how many gateways register as servers of the ledger.
	LedgerGateways int `json:"ledger_gateways"`
	// Still forbids moves for balance.
	Still bool `json:"still,omitempty"`
}

// defaultShape is a cell of today's size in a fleet of the size in docs/CAPACITY.md.
func defaultShape() Shape {
	return Shape{
		Keyed: 14, Pool: 20, Machines: 34, Gateways: 34, LedgerGateways: 34, Slices: 56,
		Fleet: targetNodes, FleetChanges: targetChanges, RequestRate: targetRequests / targetNodes,
		ReportEvery: reportEvery, RenewEvery: renewEvery, GrantTime: grantTime,
	}
}

// withMachines returns the shape with as many machines, each with a gateway.
func (s Shape) withMachines(count int) Shape {
	s.Machines, s.Gateways, s.LedgerGateways = count, count, count
	return s
}

// The size that the users expect within two years.
const (
	targetNodes    = 5800
	targetRequests = 59e6
	targetChanges  = 14000
	targetKeys     = 4e9
)

// voterCount is the size of a control group.
const voterCount = 3

// cell is one cell of simulated processes on one scheduler.
type cell struct {
	*simulation.Scheduler
	shape    Shape
	overhead Overhead
	random   *rand.Rand
	name     bundle.CellName
	bundle   bundle.Bundle
	rates    *rates

	replicas []*replica
	standbys []*standby
	gateways []*gateway
	servers  []*server
	// byName finds servers and gateways by the name of the server.
	byName   map[bundle.ServerName]holderNode
	platform *node
	machines []byte
	// source is the leader if all standbys follow it first, or a follower.
	source *replica
	// loadBytes and loadReports size the load reports that were sampled.
	loadBytes, loadReports int
}

// zones of a cell.
var zones = []bundle.Zone{"zone-a", "zone-b", "zone-c"}

func newCell(shape Shape, overhead Overhead, number int, seed uint64) *cell {
	c := &cell{
		Scheduler: simulation.NewScheduler(),
		shape:     shape,
		overhead:  overhead,
		random:    simulation.Random(seed, fmt.Sprintf("cell-%d", number)),
		name:      bundle.CellName(fmt.Sprintf("cell-%03d", number)),
		byName:    map[bundle.ServerName]holderNode{},
	}
	c.rates = newRates(c.random)
	c.bundle = c.makeBundle(1)
	c.platform = c.newNode("platform", 0, 0)
	c.machines = encode(makeMachines(shape.Fleet))
	c.addServers()
	c.addControllers()
	c.addGateways()
	return c
}

// Ports of the processes of one machine.
const (
	serverPort     = 7000
	controllerPort = 7001
	gatewayPort    = 7002
)

func (c *cell) newNode(kind string, machine, port int) *node {
	return &node{
		cell:    c,
		machine: machine,
		name:    fmt.Sprintf("%s-%03d", kind, machine),
		address: fmt.Sprintf("%s:%d", machineAddress(machine), port),
		zone:    zones[machine%len(zones)],
		alive:   true,
	}
}

func machineAddress(machine int) string {
	return fmt.Sprintf("10.20.%d.%d", machine/250, machine%250+1)
}

func (c *cell) addServers() {
	for machine := range c.shape.Keyed + c.shape.Pool {
		c.addServer(machine, machine < c.shape.Keyed)
	}
}

func (c *cell) addControllers() {
	for machine := range c.shape.Machines {
		if machine < voterCount {
			c.replicas = append(c.replicas, newReplica(c.newNode("controller", machine, controllerPort)))
		} else {
			c.standbys = append(c.standbys, newStandby(c.newNode("controller", machine, controllerPort)))
		}
	}
	for _, each := range c.replicas {
		each.join(c.initialMembership())
	}
}

func (c *cell) addGateways() {
	for machine := range c.shape.Gateways {
		c.addGateway(machine)
	}
}

// start elects a leader, opens the table streams and makes the bundle be
// adopted. The leader is the named source of streams only if wanted. It fails if
// no leader is elected.
func (c *cell) start(sourceLeads bool) error {
	for _, each := range c.replicas {
		each.startTicks()
	}
	c.Run(c.Now() + electionWait)
	leader := c.leader()
	if leader == nil {
		return Error.New("%s elected no leader", c.name)
	}
	for _, each := range c.replicas {
		if (each == leader) == sourceLeads {
			c.source = each
		}
	}
	c.openStreams()
	for _, each := range c.gateways {
		each.start()
	}
	c.startPlatformWork()
	leader.adopt(c.bundle)
	return nil
}

// electionWait is ample for the first election.
const electionWait = 2 * time.Second

// leader returns the replica that leads, nil for none.
func (c *cell) leader() *replica {
	for _, each := range c.replicas {
		if each.alive && each.leadership != nil {
			return each
		}
	}
	return nil
}

func (c *cell) allNodes() []*node {
	var all []*node
	for _, each := range c.replicas {
		all = append(all, each.node)
	}
	for _, each := range c.standbys {
		all = append(all, each.node)
	}
	for _, each := range c.gateways {
		all = append(all, each.node)
	}
	for _, each := range c.servers {
		all = append(all, each.node)
	}
	return all
}

// resetAccounts begins a window.
func (c *cell) resetAccounts() {
	for _, each := range append(c.allNodes(), c.platform) {
		each.account = account{}
	}
}

// state is the committed state as the leader has it.
func (c *cell) state() cellstate.State {
	if leader := c.leader(); leader != nil {
		return leader.state
	}
	return c.replicas[0].state
}
