package scale

import (
	"context"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/table"
	"github.com/shalefork/shalefork/internal/wire"
)

// lossKind is what is lost, and how the others notice.
type lossKind struct {
	name string
	// owner and leader say whose processes are lost.
	owner, leader bool
	// silent: the whole machine goes, so that no connection is refused.
	silent bool
	// sourceLeads: the leader streams the tables to all standbys.
	sourceLeads bool
	// zone: every machine of the leader's zone goes.
	zone bool
	// inEveryTiming: it is played under the other timings too.
	inEveryTiming bool
}

var lossKinds = []lossKind{
	{name: "an owner's process", owner: true, inEveryTiming: true},
	{name: "an owner's machine", owner: true, silent: true},
	{name: "the leader's process", leader: true, inEveryTiming: true},
	{name: "the leader's process, source of the tables", leader: true, sourceLeads: true},
	{name: "the leader's machine with an owner", owner: true, leader: true, silent: true, inEveryTiming: true},
	{name: "the same, source of the tables", owner: true, leader: true, silent: true, sourceLeads: true},
	{name: "the leader's zone", owner: true, leader: true, silent: true, zone: true},
}

// timing is a pair of times that are weighed against each other: bytes against
// the time to serve again.
type timing struct {
	renewEvery, grant time.Duration
}

// timings are today's and two others.
var timings = []timing{
	{renewEvery, grantTime},
	{renewEvery / 2, grantTime},
	{renewEvery * 3 / 2, grantTime * 3 / 2},
}

// Loss is how long keys were not served after a loss, over several seeds.
type Loss struct {
	Lost string `json:"lost"`
	Runs int    `json:"runs"`
	// RenewEvery and GrantTime of keyed servers.
	RenewEvery time.Duration `json:"renew_every_ns"`
	GrantTime  time.Duration `json:"grant_ns"`
	// FirstGateway, MedianGateway and LastGateway are the times until a gateway
	// can reach an owner that admits, for the slice that takes longest there.
	FirstGateway  Spread `json:"first_gateway"`
	MedianGateway Spread `json:"median_gateway"`
	LastGateway   Spread `json:"last_gateway"`
}

// Spread of a time over several seeds.
type Spread struct {
	Median  time.Duration `json:"median_ns"`
	Longest time.Duration `json:"longest_ns"`
}

func spreadOf(times []time.Duration) Spread {
	sorted := slices.Sorted(slices.Values(times))
	return Spread{Median: sorted[len(sorted)/2], Longest: sorted[len(sorted)-1]}
}

const (
	lossSeeds = 8
	// probeEvery is the resolution of the times.
	probeEvery = 5 * time.Millisecond
	// lossWindow is watched after each loss.
	lossWindow = 5 * time.Second
)

// lossCase is one kind of loss under one timing.
type lossCase struct {
	kind   lossKind
	timing timing
}

func lossCases() []lossCase {
	var cases []lossCase
	for i, timing := range timings {
		for _, kind := range lossKinds {
			if i == 0 || kind.inEveryTiming {
				cases = append(cases, lossCase{kind, timing})
			}
		}
	}
	return cases
}

func (l lossCase) shape() Shape {
	shape := ownCell()
	shape.RenewEvery, shape.GrantTime = l.timing.renewEvery, l.timing.grant
	return shape
}

func runLosses(ctx context.Context, overhead Overhead, seed uint64) ([]Loss, error) {
	cases := lossCases()
	runs, err := runTogether(ctx, len(cases)*lossSeeds, func(number int) (darkness, error) {
		each := cases[number/lossSeeds]
		return runLoss(each.kind, each.shape(), overhead, seed+uint64(number%lossSeeds))
	})
	if err != nil {
		return nil, err
	}
	var losses []Loss
	for i, each := range cases {
		losses = append(losses, lossOf(each, runs[i*lossSeeds:(i+1)*lossSeeds]))
	}
	return losses, nil
}

func lossOf(lost lossCase, runs []darkness) Loss {
	var first, median, last []time.Duration
	for _, each := range runs {
		sorted := slices.Sorted(slices.Values(each.byGateway))
		first = append(first, sorted[0])
		median = append(median, sorted[len(sorted)/2])
		last = append(last, sorted[len(sorted)-1])
	}
	return Loss{
		Lost: lost.kind.name, Runs: len(runs),
		RenewEvery: lost.timing.renewEvery, GrantTime: lost.timing.grant,
		FirstGateway: spreadOf(first), MedianGateway: spreadOf(median), LastGateway: spreadOf(last),
	}
}

// darkness is the time from the loss to the last probe that failed, for each
// gateway that is left.
type darkness struct {
	byGateway []time.Duration
}

func runLoss(kind lossKind, shape Shape, overhead Overhead, seed uint64) (darkness, error) {
	shape.Still = true
	c := newCell(shape, overhead, 0, seed)
	if err := c.start(kind.sourceLeads); err != nil {
		return darkness{}, err
	}
	// Losses come at any phase of the periods.
	c.Run(c.Now() + settleTime + time.Duration(c.random.Int64N(int64(time.Second))))
	probed := c.probes()
	if failing := c.failing(probed); failing > 0 {
		return darkness{}, Error.New("%d probes fail before the loss", failing)
	}
	c.lose(kind)
	lost := c.Now()
	dark := map[*gateway]time.Duration{}
	for c.Now() < lost+lossWindow {
		c.Run(c.Now() + probeEvery)
		c.noteDark(dark, probed, c.Now()-lost)
	}
	var result darkness
	for _, each := range c.gateways {
		if each.alive {
			result.byGateway = append(result.byGateway, dark[each])
		}
	}
	return result, nil
}

// noteDark notes the gateways at which some slice is not served now. Tables of
// one version are the same.
func (c *cell) noteDark(dark map[*gateway]time.Duration, probed []wire.TableEntry, since time.Duration) {
	served := map[wire.TableVersion]bool{}
	for _, each := range c.gateways {
		version := each.routes.Version()
		if _, known := served[version]; !known {
			served[version] = c.serves(each, probed)
		}
		if each.alive && !served[version] {
			dark[each] = since
		}
	}
}

// lose ends the processes of a kind of loss. An owner that is not on the
// leader's machine is the last keyed server.
func (c *cell) lose(kind lossKind) {
	leader := c.leader()
	lost := c.servers[c.shape.Keyed-1].node
	if kind.leader && kind.owner {
		lost = c.servers[leader.machine].node
	}
	for _, each := range c.allNodes() {
		sameMachine := kind.silent && each.machine == lost.machine
		sameZone := kind.zone && each.zone == leader.zone
		if sameMachine || sameZone || (kind.owner && each == lost) || (kind.leader && each == leader.node) {
			each.alive = false
			each.silent = kind.silent
		}
	}
}

// probes are the slices of the keyed service.
func (c *cell) probes() []wire.TableEntry {
	var entries []wire.TableEntry
	for _, each := range c.state().TableEntries() {
		if !each.Shared && each.Slice.Service != ledger.Service {
			entries = append(entries, each)
		}
	}
	return entries
}

func (c *cell) failing(probed []wire.TableEntry) int {
	count := 0
	for _, each := range c.gateways {
		if !c.serves(each, probed) {
			count++
		}
	}
	return count
}

// serves reports whether the gateway's table names, for every slice, a server
// that admits a request now.
func (c *cell) serves(through *gateway, probed []wire.TableEntry) bool {
	for _, each := range probed {
		if !c.reaches(through.routes, each) {
			return false
		}
	}
	return true
}

func (c *cell) reaches(routes *table.Table, probed wire.TableEntry) bool {
	entry, found := routes.Lookup(probed.Slice.Service, probed.Slice.Partition, probed.Slice.Range.First)
	if !found {
		return false
	}
	owner, known := c.byName[entry.Server]
	return known && owner.admits(entry)
}
