package router

import (
	"context"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/grantlog"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/workers"
)

// pastRenewers are the processes that may have renewed holds under earlier leaders, as known to the
// leader of a term. It asks them to stop, and when they last sent grants.
type pastRenewers struct {
	list  []election.Renewer
	term  owner.Term
	times owner.Config
	// process is this process, and grants are those that it has sent itself.
	process string
	grants  *grantlog.Log
	// expiry is when all holds of earlier leaders end at the latest, whether or not their renewers stop.
	expiry time.Time

	mu sync.Mutex
	// stoppedAt is when a process was first known not to renew holds any more.
	stoppedAt map[string]time.Time
	// knownTerm is the last term of which an earlier leader has reported that the holds of the leaders
	// before it end by knownEnd.
	knownTerm owner.Term
	knownEnd  time.Time
}

// renewerAnswer is the answer of one process; nil if there is none.
type renewerAnswer struct {
	receivedAt time.Time
	status     *peerlink.LeadershipStatus
}

// stop asks the processes to stop. It returns when all holds of earlier leaders have ended, and the
// processes that may go on renewing them.
func (p *pastRenewers) stop(ctx context.Context) (end time.Time, unresolved []election.Renewer) {
	if len(p.list) == 0 {
		return p.expiry, nil
	}
	p.ask(ctx, nil)
	for _, renewer := range p.list {
		if _, stopped := p.stopped(renewer); !stopped {
			unresolved = append(unresolved, renewer)
		}
	}
	return p.end(), unresolved
}

// end returns when all holds of earlier leaders have ended.
func (p *pastRenewers) end() time.Time {
	if len(p.list) == 0 {
		return p.expiry
	}
	end := time.Time{}
	for _, renewer := range p.list {
		end = later(end, p.stopBound(renewer))
	}
	return end
}

// holdEnds returns when the holds of the given workers have ended that earlier leaders granted.
func (p *pastRenewers) holdEnds(ctx context.Context, list []workers.ID) map[workers.ID]time.Time {
	answers := p.ask(ctx, list)
	ends := make(map[workers.ID]time.Time, len(list))
	for _, worker := range list {
		end := p.expiry
		for index, renewer := range p.list {
			if bound := p.holdEnd(renewer, answers[index], worker); index == 0 || bound.After(end) {
				end = bound
			}
		}
		ends[worker] = end
	}
	return ends
}

// ask sends the query to all processes.
func (p *pastRenewers) ask(ctx context.Context, holders []workers.ID) []renewerAnswer {
	clock.Refresh() // ages are subtracted from the time of the answer, which must not lag behind
	bounded, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answers := make([]renewerAnswer, len(p.list))
	var requests sync.WaitGroup
	for index, renewer := range p.list {
		if renewer.Process == p.process {
			p.markStopped(renewer) // it leads now
			continue
		}
		requests.Go(func() {
			status, ok := peerlink.QueryLeadership(bounded, renewer.Address, p.term, holders...)
			if !ok || (status.Leading && status.Process == renewer.Process) {
				return
			}
			answers[index] = renewerAnswer{receivedAt: clock.Now(), status: &status}
			p.markStopped(renewer)
			if known := status.Renewals; known != nil {
				p.learnEnd(known.Term, answers[index].receivedAt.Add(time.Duration(known.HoldsLeftMillis)*time.Millisecond))
			}
		})
	}
	requests.Wait()
	return answers
}

func (p *pastRenewers) markStopped(renewer election.Renewer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.stoppedAt[renewer.Process]; !known {
		p.stoppedAt[renewer.Process] = clock.Now()
	}
}

// learnEnd records when the holds of all leaders before a term have ended.
func (p *pastRenewers) learnEnd(term owner.Term, end time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if term <= p.term && (term > p.knownTerm || (term == p.knownTerm && end.Before(p.knownEnd))) {
		p.knownTerm, p.knownEnd = term, end
	}
}

func (p *pastRenewers) stopped(renewer election.Renewer) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, stopped := p.stoppedAt[renewer.Process]
	return at, stopped
}

// stopBound returns when all holds that a process has renewed have ended, judged by when it is known to
// have stopped.
func (p *pastRenewers) stopBound(renewer election.Renewer) time.Time {
	if at, stopped := p.stopped(renewer); stopped {
		return earlier(p.expiry, p.times.HoldEnd(at))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if renewer.Term > 0 && renewer.Term < p.knownTerm {
		return earlier(p.expiry, p.knownEnd)
	}
	return p.expiry
}

// holdEnd returns when the hold of a worker has ended as far as one process has renewed it.
func (p *pastRenewers) holdEnd(renewer election.Renewer, answer renewerAnswer, worker workers.ID) time.Time {
	bound := p.stopBound(renewer)
	switch {
	case renewer.Term == 0: // the list may lack processes whose renewals still last
		return bound
	case renewer.Process == p.process:
		return earlier(bound, p.lastGrant(clock.Now(), p.grants.Ages(clock.Now(), []workers.ID{worker}), worker))
	case answer.status == nil || answer.status.Renewals == nil:
		return bound
	}
	renewals := answer.status.Renewals
	if answer.status.Process != renewer.Process { // it has ended before the one that answers began
		uptime := time.Duration(renewals.UptimeMillis) * time.Millisecond
		return earlier(bound, p.times.HoldEnd(answer.receivedAt.Add(-uptime)))
	}
	ages := map[workers.ID]time.Duration{}
	for id, millis := range renewals.GrantAgeMillis {
		ages[id] = time.Duration(millis) * time.Millisecond
	}
	return earlier(bound, p.lastGrant(answer.receivedAt, ages, worker))
}

// lastGrant returns when the hold has ended of a worker that a process has sent no grant for the given
// time. Without an age it has sent none for longer than any hold lasts.
func (p *pastRenewers) lastGrant(now time.Time, ages map[workers.ID]time.Duration, worker workers.ID) time.Time {
	age, granted := ages[worker]
	if !granted {
		return time.Time{}
	}
	return p.times.HoldEnd(now.Add(-age))
}

// stopPastRenewers asks all processes that may renew holds of earlier leaders to stop, and lets the
// keeper query when such holds have ended. It returns when all of them have ended, and the processes
// that may not have stopped.
func (r *Router) stopPastRenewers(ctx context.Context, tenure *election.Tenure) (end time.Time, unresolved []election.Renewer) {
	times, term := r.keeper.Times, tenure.Leader.Term
	past := &pastRenewers{
		list: tenure.PreviousRenewers, term: term, times: times, process: r.process, grants: r.grants,
		expiry:    refreshedNow().Add(times.RenewalGrace + times.MaxHold()),
		stoppedAt: map[string]time.Time{},
	}
	past.knownTerm, past.knownEnd = r.hub.HoldsEnd()
	end, unresolved = past.stop(ctx)
	r.hub.SetHoldsEnd(term, end)
	r.keeper.QueryHoldEnds = func(ctx context.Context, list []workers.ID) map[workers.ID]time.Time {
		ends := past.holdEnds(ctx, list)
		r.hub.SetHoldsEnd(term, past.end())
		return ends
	}
	return end, unresolved
}

// addresses returns the addresses of processes.
func addresses(list []election.Renewer) []string {
	var all []string
	for _, renewer := range list {
		all = append(all, renewer.Address)
	}
	return all
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
