package placement

import (
	"cmp"
	"slices"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// LedgerService holds the idempotency records. Its servers are the gateways,
// no bundle lists it, and its slices may be held in any zone.
const LedgerService keyspace.ServiceName = "system/ledger"

// cellView indexes a View for one plan. It is changed while the plan grows, so
// that each decision sees the ones before it.
type cellView struct {
	assignments []cellstate.Assignment
	services    map[keyspace.ServiceName]bundle.Service
	// servers by name, and by service in the order of their names.
	servers   map[bundle.ServerName]*serverNode
	byService map[keyspace.ServiceName][]*serverNode
}

// serverNode is one server with the load that it owns in the plan.
type serverNode struct {
	cellstate.Server
	live        bool
	incarnation wire.Incarnation
	// rate is the requests per second of the slices that it owns.
	rate float64
	// width is the share of the hashes that it owns, summed over partitions.
	width float64
	// slices counts the slices that it owns.
	slices int
}

func newCellView(view View) *cellView {
	cell := &cellView{
		assignments: view.State.Assignments,
		services:    indexServices(view.State),
		servers:     map[bundle.ServerName]*serverNode{},
		byService:   map[keyspace.ServiceName][]*serverNode{},
	}
	cell.addServers(view.State)
	cell.addLiveness(view.Servers)
	rates := reportedRates(view.Servers)
	for _, assignment := range cell.assignments {
		if owner := cell.servers[assignment.Owner]; owner != nil {
			owner.add(assignment.Slice, rates[assignment.Slice])
		}
	}
	return cell
}

func indexServices(state cellstate.State) map[keyspace.ServiceName]bundle.Service {
	services := map[keyspace.ServiceName]bundle.Service{}
	for _, team := range state.Teams {
		for _, service := range team.Bundle.Services {
			services[team.Bundle.ServiceName(service)] = service
		}
	}
	return services
}

func (c *cellView) addServers(state cellstate.State) {
	for name, server := range state.Servers {
		node := &serverNode{Server: server}
		c.servers[name] = node
		c.byService[server.Service] = append(c.byService[server.Service], node)
	}
	for _, nodes := range c.byService {
		slices.SortFunc(nodes, func(a, b *serverNode) int { return cmp.Compare(a.Name, b.Name) })
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
		if node.Incarnation != "" && node.Incarnation != view.Incarnation {
			continue
		}
		node.live = true
		node.incarnation = view.Incarnation
	}
}

func reportedRates(views []grant.ServerView) map[keyspace.Slice]float64 {
	rates := map[keyspace.Slice]float64{}
	for _, view := range views {
		for _, load := range view.Load.Slices {
			rates[load.Slice] = max(0, load.Rate)
		}
	}
	return rates
}

func (n *serverNode) add(slice keyspace.Slice, rate float64) {
	n.rate += rate
	n.width += slice.Range.Width()
	n.slices++
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
	if slice.Service == LedgerService {
		return true
	}
	return slices.Contains(c.zones(slice), node.Zone)
}

// zones returns the zones that the bundle allows for a slice, none for a slice
// that no bundle lists.
func (c *cellView) zones(slice keyspace.Slice) []bundle.Zone {
	for _, partition := range c.services[slice.Service].Partitions {
		if partition.Name == slice.Partition {
			return partition.Zones
		}
	}
	return nil
}

// candidates returns the servers that may be given the slice now, by name.
func (c *cellView) candidates(assignment cellstate.Assignment) []*serverNode {
	var found []*serverNode
	for _, node := range c.byService[assignment.Slice.Service] {
		if node.live && !node.Draining && c.allowed(assignment, node) {
			found = append(found, node)
		}
	}
	return found
}
