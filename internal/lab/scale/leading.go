package scale

import (
	"net"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/placement"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/wire"
)

// Times of leases; they are the product's defaults.
const (
	grantTime      = 600 * time.Millisecond
	renewEvery     = 200 * time.Millisecond
	poolGrantTime  = 3 * time.Second
	poolRenewEvery = time.Second
	driftMargin    = 10 * time.Millisecond
	planEvery      = 100 * time.Millisecond
	// renewTimeout is how long a renewal may take.
	renewTimeout = renewEvery
)

// leadership is the state of one term as leader.
type leadership struct {
	term     consensus.Term
	book     *grant.Book
	planner  *placement.Planner
	observed uint64
	inFlight map[string]bool
	lastPlan time.Duration
	servers  []grant.ServerView
	machines map[string]platform.MachineState
}

// lead does a leader's work after an event.
func (r *replica) lead() {
	if _, leading := r.consensus.LeaseUntil(); !leading {
		r.leadership = nil
		return
	}
	r.beginTerm()
	l := r.leadership
	if l.observed != r.state.Index {
		l.book.Observe(r.now(), r.state)
		l.observed = r.state.Index
	}
	r.renewAll()
	r.proposeAll(l.book.Proposals(r.now()))
	r.proposeAll(r.machineProposals())
	r.plan()
	r.saveCheckpoint()
}

func (r *replica) beginTerm() {
	status := r.consensus.Status()
	if r.leadership != nil && r.leadership.term == status.Term {
		return
	}
	elected, _ := r.consensus.Elected()
	config := grant.Config{
		Cell: r.cell.name, Leader: incarnationOf(r.node), Term: uint64(status.Term),
		Duration: r.cell.shape.GrantTime, PoolDuration: poolGrantTime,
		RenewEvery: r.cell.shape.RenewEvery, PoolRenewEvery: poolRenewEvery, DriftMargin: driftMargin,
	}
	r.leadership = &leadership{
		term:     status.Term,
		book:     grant.New(config, elected, r.state),
		planner:  placement.NewPlanner(),
		observed: r.state.Index,
		inFlight: map[string]bool{},
	}
	r.startTermWork(r.leadership)
}

func (r *replica) renewAll() {
	until, leading := r.consensus.LeaseUntil()
	if !leading {
		return
	}
	for _, renewal := range r.leadership.book.Due(r.now(), until) {
		r.renew(r.leadership, renewal)
	}
}

// renew sends one renewal and gives the answer to the book of the same term.
func (r *replica) renew(term *leadership, renewal grant.Renewal) {
	holder, known := r.cell.byName[renewal.Server]
	if !known {
		return
	}
	_, bare := holder.(*server)
	r.cell.exchange(call{
		part: partRenewal, from: r.node, to: holder.on(), body: encode(renewal.Request), bare: bare, timeout: renewTimeout,
		serve: holder.serveRenewal,
		done: func(answer []byte, answered bool) {
			r.take(partRenewal, func() { r.renewed(term, renewal, answer, answered) })
		},
	})
}

func (r *replica) renewed(term *leadership, renewal grant.Renewal, answer []byte, answered bool) {
	if r.leadership != term {
		return
	}
	if !answered {
		term.book.Failed(r.now(), renewal.Server)
		return
	}
	term.book.Answered(r.now(), renewal.Server, decode[wire.RenewResponse](answer))
}

func (r *replica) proposeAll(commands []cellstate.Command) {
	for _, command := range commands {
		r.propose(command)
	}
}

// machineProposals looks every server's machine up, as the controller does.
func (r *replica) machineProposals() []cellstate.Command {
	var commands []cellstate.Command
	for _, name := range r.state.ServerNames() {
		server := r.state.Servers[name]
		host, _, err := net.SplitHostPort(server.Address)
		if err == nil && r.leadership.machines[host] == platform.MachineLeaving && !server.MachineLeaving {
			drain := cellstate.DrainServer{Server: name, Draining: true, Machine: true}
			commands = append(commands, cellstate.Command{DrainServer: &drain})
		}
	}
	return commands
}

func (r *replica) plan() {
	l := r.leadership
	now := r.now()
	if len(l.inFlight) > 0 || now.Lower < l.lastPlan+planEvery {
		return
	}
	l.lastPlan = now.Lower
	l.servers = l.book.Servers(now)
	r.proposeAll(l.planner.Plan(placement.View{Now: now.Lower, State: r.state, Servers: l.servers}))
}

// adopt proposes a bundle.
func (r *replica) adopt(adopted bundle.Bundle) {
	r.take(partTick, func() {
		digest, err := bundle.Digest(adopted)
		if err != nil {
			panic(Error.Wrap(err))
		}
		r.propose(cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: adopted, Digest: digest}})
	})
}
