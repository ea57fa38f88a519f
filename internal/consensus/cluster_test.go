package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/wire"
)

const tickPeriod = 10 * time.Millisecond

// replica is one process in a test: a node, its clock and its applied log.
type replica struct {
	node    *Node
	clock   clock.Instant
	applied []Entry // index i holds entry i+1; restored entries are empty
	paused  bool
	lost    bool
	stalled bool // Lower stands still
	seen    string
}

// cluster runs nodes in virtual time. A message takes one tick.
type cluster struct {
	at        time.Duration
	ids       []wire.Incarnation
	replicas  map[wire.Incarnation]*replica
	network   []Message
	held      []Message
	cut       map[wire.Incarnation]bool
	holding   map[wire.Incarnation]bool
	committed []Entry
	leaders   map[Term]wire.Incarnation
	violation error
	out       strings.Builder
}

func newCluster() *cluster {
	return &cluster{
		replicas: map[wire.Incarnation]*replica{},
		cut:      map[wire.Incarnation]bool{},
		holding:  map[wire.Incarnation]bool{},
		leaders:  map[Term]wire.Incarnation{},
	}
}

// start adds a process. Election times differ by the order of starting.
func (c *cluster) start(id wire.Incarnation, membership Membership) {
	c.ids = append(c.ids, id)
	share := float64(len(c.ids)) / 6
	config := Config{
		Cell: "cell", Generation: 1, Self: id, Membership: membership,
		Heartbeat: 100 * time.Millisecond, ElectionMin: 300 * time.Millisecond,
		ElectionMax: 450 * time.Millisecond, Lease: 250 * time.Millisecond,
		KeepEntries: 1,
		Random:      func() float64 { return share },
	}
	c.replicas[id] = &replica{node: NewNode(config, clock.Instant{})}
}

// advance lets every clock run, a tick at a time.
func (c *cluster) advance(d time.Duration) {
	for end := c.at + d; c.at < end; {
		c.at += tickPeriod
		c.deliver()
		for _, id := range c.ids {
			r := c.replicas[id]
			r.clock.Upper += tickPeriod
			if !r.stalled {
				r.clock.Lower += tickPeriod
			}
			if !r.paused && !r.lost {
				r.node.Tick(r.clock)
				c.collect(id)
			}
		}
		c.checkLeases()
	}
}

// deliver hands over what was sent before; a paused process gets it later.
func (c *cluster) deliver() {
	sent := c.network
	c.network = nil
	for _, message := range sent {
		r := c.replicas[message.To]
		switch {
		case r == nil || r.lost || c.cut[message.From] || c.cut[message.To]:
		case c.holding[message.From]:
			c.held = append(c.held, message)
		case r.paused:
			c.network = append(c.network, message)
		default:
			r.node.Step(r.clock, message)
			c.collect(message.To)
		}
	}
}

// collect takes a node's work and prints changes of its state.
func (c *cluster) collect(id wire.Incarnation) {
	r := c.replicas[id]
	ready := r.node.Ready()
	c.network = append(c.network, ready.Messages...)
	if ready.Restore != nil {
		r.applied = make([]Entry, ready.Restore.Index)
		c.printf("%s restores snapshot %d", id, ready.Restore.Index)
	}
	for _, entry := range ready.Committed {
		c.apply(id, r, entry)
	}
	c.checkLeader(id, r.node.Status())
}

func (c *cluster) apply(id wire.Incarnation, r *replica, entry Entry) {
	r.applied = append(r.applied, entry)
	if int(entry.Index) != len(r.applied) {
		c.violation = fmt.Errorf("%s applied %d in place of %d", id, entry.Index, len(r.applied))
	}
	if int(entry.Index) > len(c.committed) {
		c.committed = append(c.committed, entry)
	}
	first := c.committed[entry.Index-1]
	if first.Term != entry.Term || string(first.Command) != string(entry.Command) {
		c.violation = fmt.Errorf("%s committed another entry %d", id, entry.Index)
	}
	c.printf("%s applies %d %s %s%s", id, entry.Index, entry.Kind, entry.Command, describe(entry.Membership))
}

// checkLeader prints a change of role and checks that a term has one leader.
func (c *cluster) checkLeader(id wire.Incarnation, status Status) {
	r := c.replicas[id]
	view := fmt.Sprintf("%s in term %d", status.Role, status.Term)
	if view != r.seen {
		r.seen = view
		c.printf("%s is %s", id, view)
	}
	if status.Role != RoleLeader {
		return
	}
	if other := c.leaders[status.Term]; other != "" && other != id {
		c.violation = fmt.Errorf("%s and %s lead term %d", other, id, status.Term)
	}
	c.leaders[status.Term] = id
}

// checkLeases checks that at most one node holds the leadership lease.
func (c *cluster) checkLeases() {
	holders := c.leaseHolders()
	if len(holders) > 1 {
		c.violation = fmt.Errorf("%v hold the leadership lease at %s", holders, c.at)
	}
}

func (c *cluster) leaseHolders() []wire.Incarnation {
	var holders []wire.Incarnation
	for _, id := range c.ids {
		r := c.replicas[id]
		until, ok := r.node.LeaseUntil()
		if ok && !r.lost && !r.clock.HolderExpired(until) {
			holders = append(holders, id)
		}
	}
	return holders
}

func (c *cluster) printf(format string, arguments ...any) {
	fmt.Fprintf(&c.out, "  %5dms ", c.at.Milliseconds())
	fmt.Fprintf(&c.out, format+"\n", arguments...)
}

func describe(membership *Membership) string {
	if membership == nil {
		return ""
	}
	var names []string
	for _, member := range membership.Members {
		name := string(member.ID)
		if member.Learner {
			name += "(learner)"
		}
		names = append(names, name)
	}
	return strings.Join(names, " ")
}

// changed returns the leader's membership with one member replaced or added.
func (c *cluster) changed(leader, id wire.Incarnation, add *Member) Membership {
	next := c.replicas[leader].node.Status().Membership
	next.Members = slices.DeleteFunc(next.Members, func(m Member) bool { return m.ID == id })
	if add != nil {
		next.Members = append(next.Members, *add)
	}
	return next
}

func quoted(text string) json.RawMessage {
	encoded, _ := json.Marshal(text)
	return encoded
}
