package scale

import (
	"time"
)

// Role is what a process does in its cell.
type Role string

// Roles, in the order of the report.
const (
	RoleLeader   Role = "control leader"
	RoleFollower Role = "control follower"
	// RoleSource is the follower that is the named source of table streams.
	RoleSource  Role = "control follower with table streams"
	RoleStandby Role = "standby"
	RoleGateway Role = "gateway (control part)"
	RoleKeyed   Role = "keyed server's holder"
	RolePool    Role = "pool server's holder"
	// RolePlatform is the platform's service, as one cell calls it.
	RolePlatform Role = "platform's service, per cell"
)

var roleOrder = []Role{
	RoleLeader, RoleFollower, RoleSource, RoleStandby, RoleGateway, RoleKeyed, RolePool, RolePlatform,
}

// Cost is what one process of a role spends, per second.
type Cost struct {
	Role      Role `json:"role"`
	Processes int  `json:"processes"`
	// Messages, sent and received.
	Messages float64 `json:"messages_per_second"`
	// Sent and Received are bytes a second, HTTP headers included.
	Sent     float64 `json:"sent_bytes_per_second"`
	Received float64 `json:"received_bytes_per_second"`
	// Core is the share of a core for decisions, encoding and decoding.
	Core float64 `json:"core"`
	// CoreWithHTTP adds the measured processor time of HTTP and the kernel.
	CoreWithHTTP float64 `json:"core_with_http"`
	// Parts are bytes a second, sent and received, by component.
	Parts map[string]float64 `json:"parts_bytes_per_second"`
}

// Bytes a second, sent and received.
func (c Cost) Bytes() float64 { return c.Sent + c.Received }

// roles returns the processes of each role of a cell.
func (c *cell) roles() map[Role][]*node {
	found := map[Role][]*node{RolePlatform: {c.platform}}
	for _, each := range c.replicas {
		role := RoleFollower
		switch {
		case each.leadership != nil:
			role = RoleLeader
		case each == c.source:
			role = RoleSource
		}
		found[role] = append(found[role], each.node)
	}
	for _, each := range c.standbys {
		found[RoleStandby] = append(found[RoleStandby], each.node)
	}
	for _, each := range c.gateways {
		found[RoleGateway] = append(found[RoleGateway], each.node)
	}
	for _, each := range c.servers {
		role := RolePool
		if each.keyed {
			role = RoleKeyed
		}
		found[role] = append(found[role], each.node)
	}
	return found
}

// tally sums up usage by role over cells.
type tally struct {
	usage     map[Role][componentCount]Usage
	processes map[Role]int
}

func newTally() *tally {
	return &tally{usage: map[Role][componentCount]Usage{}, processes: map[Role]int{}}
}

// add counts a cell that has just run a window.
func (t *tally) add(c *cell) {
	for role, nodes := range c.roles() {
		parts := t.usage[role]
		for _, each := range nodes {
			for i := range parts {
				parts[i] = parts[i].plus(each.parts[i])
			}
		}
		t.usage[role] = parts
		t.processes[role] += len(nodes)
	}
}

// costs divides by time and processes. Roles without a process are left out.
func (t *tally) costs(window time.Duration, overhead Overhead) []Cost {
	var costs []Cost
	for _, role := range roleOrder {
		if count := t.processes[role]; count > 0 {
			costs = append(costs, costOf(role, count, t.usage[role], window, overhead))
		}
	}
	return costs
}

func costOf(role Role, count int, parts [componentCount]Usage, window time.Duration, overhead Overhead) Cost {
	per := window.Seconds() * float64(count)
	cost := Cost{Role: role, Processes: count, Parts: map[string]float64{}}
	var sum Usage
	for i, part := range parts {
		sum = sum.plus(part)
		cost.Parts[componentNames[i]] = (part.SentBytes + part.ReceivedBytes) / per
	}
	cost.Messages = (sum.Sent + sum.Received) / per
	cost.Sent = sum.SentBytes / per
	cost.Received = sum.ReceivedBytes / per
	cost.Core = sum.CPU.Seconds() / per
	// Two messages make one side of an exchange.
	cost.CoreWithHTTP = cost.Core + cost.Messages/2*overhead.SideCPU.Seconds()
	return cost
}

// find returns the cost of a role, zero if there is none.
func find(costs []Cost, role Role) Cost {
	for _, each := range costs {
		if each.Role == role {
			return each
		}
	}
	return Cost{Role: role}
}
