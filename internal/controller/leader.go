package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/placement"
)

// serverStatus is what the leader knows of a server.
type serverStatus = grant.ServerView

// leadership is the state of one term as leader. A new term starts afresh.
type leadership struct {
	term    consensus.Term
	book    *grant.Book
	planner *placement.Planner
	// observed is the state's index that the book has seen last.
	observed uint64
	// inFlight holds the commands proposed and not yet applied, by their JSON.
	inFlight map[string]consensus.Index
	lastPlan time.Duration
	servers  []serverStatus
	change   membershipChange
	rollouts rollouts
	machines machineList
	ledger   ledgerServers
	// cancel ends the goroutines that work for this term only.
	cancel context.CancelFunc
}

// lead does a leader's work after an event.
func (r *replica) lead() {
	if r.node == nil {
		return
	}
	if _, leading := r.node.LeaseUntil(); !leading {
		r.stopLeading()
		return
	}
	r.beginTerm()
	r.observe()
	r.renew()
	r.propose()
	r.replaceMembers()
	r.rollBundles()
	r.saveCheckpoint()
}

// beginTerm makes an empty book for a new term of this leader.
func (r *replica) beginTerm() {
	term := r.node.Status().Term
	if r.leadership != nil && r.leadership.term == term {
		return
	}
	r.stopLeading()
	elected, _ := r.node.Elected()
	ctx, cancel := context.WithCancel(r.ctx)
	r.leadership = &leadership{
		term:     term,
		book:     grant.New(r.bookConfig(term), elected, r.state),
		planner:  placement.NewPlanner(),
		observed: r.state.Index,
		inFlight: map[string]consensus.Index{},
		ledger:   ledgerServers{},
		rollouts: newRollouts(),
		cancel:   cancel,
	}
	r.startTermTasks(ctx, r.leadership)
	r.metrics.Elections.Inc()
	r.logger.Info().Uint32("generation", uint32(r.generation)).Uint64("term", uint64(term)).Msg("leading")
}

func (r *replica) bookConfig(term consensus.Term) grant.Config {
	return grant.Config{
		Cell:           r.settings.Cell,
		Leader:         r.self(),
		Term:           uint64(term),
		Duration:       r.times.grant,
		PoolDuration:   r.times.poolGrant,
		RenewEvery:     r.times.renew,
		PoolRenewEvery: r.times.poolRenew,
		DriftMargin:    r.times.driftMargin,
	}
}

// stopLeading forgets a term. Grants need no revocation: they end by
// themselves, and no renewal is sent without a leadership lease.
func (r *replica) stopLeading() {
	if r.leadership == nil {
		return
	}
	r.leadership.cancel()
	r.leadership = nil
	r.logger.Info().Uint32("generation", uint32(r.generation)).Msg("no longer leading")
}

// startTermTasks starts the goroutines that only a leader needs.
func (r *replica) startTermTasks(ctx context.Context, term *leadership) {
	r.background(func(context.Context) { r.watchHeads(ctx, term) })
	r.background(func(context.Context) { r.pollMachines(ctx, term) })
}

// postToTerm hands an event to the loop that counts only while the term lasts.
func (c *Controller) postToTerm(ctx context.Context, term *leadership, next event) bool {
	return c.post(ctx, func(r *replica) {
		if r.leadership == term {
			next(r)
		}
	})
}

// observe shows the committed state to the book.
func (r *replica) observe() {
	l := r.leadership
	if l.observed == r.state.Index {
		return
	}
	l.book.Observe(r.clock.Now(), r.state)
	l.observed = r.state.Index
}

// renew sends the renewals that are due. All answers that the book has seen
// came before this point, and the leadership lease is read after it: so no
// renewal extends a grant from a reading that is younger than the last proof
// of leadership.
func (r *replica) renew() {
	now := r.clock.Now()
	until, leading := r.node.LeaseUntil()
	if !leading {
		return
	}
	for _, renewal := range r.leadership.book.Due(now, until) {
		r.sendRenewal(r.leadership, renewal)
	}
}

// propose puts the commands that leases and placement call for into the log.
func (r *replica) propose() {
	l := r.leadership
	now := r.clock.Now()
	r.proposeAll(l.book.Proposals(now))
	r.proposeAll(r.machineProposals())
	r.proposeAll(r.ledgerProposals(now))
	r.plan(now)
}

// plan asks the planner when nothing is in flight, so that it always sees the
// effect of its last plan and never spends its budget twice for one move.
func (r *replica) plan(now clock.Instant) {
	l := r.leadership
	if len(l.inFlight) > 0 || now.Lower < l.lastPlan+planEvery {
		return
	}
	l.lastPlan = now.Lower
	l.servers = l.book.Servers(now)
	r.proposeAll(l.planner.Plan(placement.View{Now: now.Lower, State: r.state, Servers: l.servers}))
}

func (r *replica) proposeAll(commands []cellstate.Command) {
	for _, command := range commands {
		r.proposeOnce(command)
	}
}

// proposeOnce proposes a command unless the same one is in flight already. It
// returns the command's log index, or zero if it could not be proposed.
func (r *replica) proposeOnce(command cellstate.Command) consensus.Index {
	encoded, err := json.Marshal(command)
	if err != nil {
		panic(Error.Wrap(err))
	}
	l := r.leadership
	if index, pending := l.inFlight[string(encoded)]; pending {
		return index
	}
	index, outcome := r.node.Propose(r.clock.Now(), encoded)
	if outcome != consensus.ProposeAccepted {
		return 0
	}
	l.inFlight[string(encoded)] = index
	r.metrics.ProposalsSent.Inc()
	return index
}

// settled forgets a command that was applied.
func (l *leadership) settled(entry consensus.Entry, rejection cellstate.Rejection) {
	delete(l.inFlight, string(entry.Command))
	l.rollouts.settled(entry, rejection)
}
