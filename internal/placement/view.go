package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/keyspace"
)

// cellView indexes a View for one plan. Loads change while the plan grows, so
// that each decision sees the ones before it.
type cellView struct {
	now         time.Duration
	state       cellstate.State
	assignments []cellstate.Assignment
	services    map[keyspace.ServiceName]*serviceView
	// names of the services, sorted.
	names   []keyspace.ServiceName
	servers map[bundle.ServerName]*serverNode
	weights map[keyspace.Slice]float64
}

// serviceView is one service with its servers and slices.
type serviceView struct {
	name   keyspace.ServiceName
	policy policy
	// nodes are its servers by name.
	nodes []*serverNode
	// assignments are its own, in the order of the state.
	assignments []cellstate.Assignment
	// usable are the servers that may be given slices of each partition.
	usable map[keyspace.PartitionName][]*serverNode
	// counts are the slices of each partition.
	counts map[keyspace.PartitionName]int
	// zoneSlices counts the slices owned in each zone.
	zoneSlices map[bundle.Zone]int
	// measured says that some slice has requests. Otherwise weights are widths,
	// which no noise is in.
	measured bool
	// mean is the weight of all slices divided by the servers that can serve.
	mean float64
}

// serverNode is one server with the load that it owns in the plan.
type serverNode struct {
	cellstate.Server
	live bool
	// load is the weight of the slices that it owns, in requests per second.
	load float64
	// slices counts the slices that it owns.
	slices int
	// coldness in 0..1 says how lately it has started.
	coldness float64
}

// usable reports whether the server can take a grant now.
func (n *serverNode) usable() bool { return n.live && !n.Draining }

func newCellView(view View, memories map[keyspace.Slice]*sliceMemory) *cellView {
	cell := &cellView{
		now:         view.Now,
		state:       view.State,
		assignments: view.State.Assignments,
		services:    map[keyspace.ServiceName]*serviceView{},
		servers:     map[bundle.ServerName]*serverNode{},
	}
	cell.addServices(view.State)
	cell.addServers(view.State)
	cell.addLiveness(view.Servers)
	cell.weights = weigh(cell.assignments, memories)
	for _, assignment := range cell.assignments {
		cell.addAssignment(assignment, memories[assignment.Slice])
	}
	cell.finish()
	return cell
}

func (c *cellView) addServices(state cellstate.State) {
	for _, team := range state.Teams {
		for _, service := range team.Bundle.Services {
			made := c.service(team.Bundle.ServiceName(service))
			made.policy = newPolicy(service.Placement)
		}
	}
}

// service returns the view of a service, and makes it if it is new.
func (c *cellView) service(name keyspace.ServiceName) *serviceView {
	if known := c.services[name]; known != nil {
		return known
	}
	made := &serviceView{
		name:       name,
		policy:     newPolicy(bundle.Placement{ChurnWeight: ledgerChurnWeight}),
		usable:     map[keyspace.PartitionName][]*serverNode{},
		counts:     map[keyspace.PartitionName]int{},
		zoneSlices: map[bundle.Zone]int{},
	}
	c.services[name] = made
	c.names = append(c.names, name)
	return made
}

func (c *cellView) addServers(state cellstate.State) {
	for name, server := range state.Servers {
		node := &serverNode{Server: server}
		c.servers[name] = node
		service := c.service(server.Service)
		service.nodes = append(service.nodes, node)
	}
}

// addLiveness marks the servers that can take a grant now. A server whose new
// incarnation is not in the state yet cannot: it is registered first.
func (c *cellView) addLiveness(views []grant.ServerView) {
	for _, view := range views {
		node := c.servers[view.Name]
		if node == nil || !view.Live || view.Incarnation == "" {
			continue
		}
		node.live = node.Incarnation == view.Incarnation
	}
}

// addAssignment adds an assignment to its service; memory is nil for a pool's.
func (c *cellView) addAssignment(assignment cellstate.Assignment, memory *sliceMemory) {
	service := c.service(assignment.Slice.Service)
	service.measured = service.measured || memory != nil && memory.rate > 0
	service.assignments = append(service.assignments, assignment)
	service.counts[assignment.Slice.Partition]++
	service.mean += c.weights[assignment.Slice]
	if owner := c.servers[assignment.Owner]; owner != nil {
		c.own(owner, assignment.Slice)
	}
}

// own adds a slice to a server's load.
func (c *cellView) own(node *serverNode, slice keyspace.Slice) {
	node.load += c.weights[slice]
	node.slices++
	c.service(slice.Service).zoneSlices[node.Zone]++
}

// disown takes a slice from a server's load.
func (c *cellView) disown(node *serverNode, slice keyspace.Slice) {
	node.load -= c.weights[slice]
	node.slices--
	c.service(slice.Service).zoneSlices[node.Zone]--
}

// finish sorts what came out of maps and makes the means.
func (c *cellView) finish() {
	slices.Sort(c.names)
	for _, service := range c.services {
		slices.SortFunc(service.nodes, func(a, b *serverNode) int { return cmp.Compare(a.Name, b.Name) })
		usable := 0
		for _, node := range service.nodes {
			if node.usable() {
				usable++
			}
		}
		service.mean /= float64(max(1, usable))
	}
}

// allowed reports whether the slice may be held where the server is.
func (c *cellView) allowed(assignment cellstate.Assignment, node *serverNode) bool {
	slice := assignment.Slice
	if node.Service != slice.Service {
		return false
	}
	if assignment.Shared {
		return string(node.Name) == string(slice.Service)+"/"+string(slice.Partition)
	}
	return c.state.AllowedZones(slice).Allows(node.Zone)
}

// candidates returns the servers that may be given the slice now, by name. They
// are the same for all slices of a partition.
func (c *cellView) candidates(assignment cellstate.Assignment) []*serverNode {
	service := c.service(assignment.Slice.Service)
	found, known := service.usable[assignment.Slice.Partition]
	if known {
		return found
	}
	for _, node := range service.nodes {
		if node.usable() && c.allowed(assignment, node) {
			found = append(found, node)
		}
	}
	service.usable[assignment.Slice.Partition] = found
	return found
}

// apparentLoad is a server's load as a place for another slice: a cold server
// looks more loaded than it is.
func (s *serviceView) apparentLoad(node *serverNode) float64 {
	return node.load + node.coldness*s.mean
}

// leastLoaded returns the candidate with the lowest apparent load, then in the zone that
// owns the fewest slices, then with the fewest slices, then the first name.
// There must be a candidate.
func (s *serviceView) leastLoaded(candidates []*serverNode) *serverNode {
	return slices.MinFunc(candidates, func(a, b *serverNode) int {
		return cmp.Or(
			cmp.Compare(s.apparentLoad(a), s.apparentLoad(b)),
			cmp.Compare(s.zoneSlices[a.Zone], s.zoneSlices[b.Zone]),
			cmp.Compare(a.slices, b.slices),
			cmp.Compare(a.Name, b.Name),
		)
	})
}
