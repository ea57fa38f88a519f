package router

import (
	"context"
	"slices"
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
	// known is what earlier leaders have reported of when the holds before their terms end.
	known owner.HoldEnds
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

// holdEnds returns when the given holds have ended, which earlier leaders granted.
func (p *pastRenewers) holdEnds(ctx context.Context, list []owner.InheritedHold) map[owner.InheritedHold]time.Time {
	answers := p.ask(ctx, holders(list))
	ends := make(map[owner.InheritedHold]time.Time, len(list))
	for _, hold := range list {
		end := p.expiry
		for index, renewer := range p.list {
			if bound := p.holdEnd(renewer, answers[index], hold); index == 0 || bound.After(end) {
				end = bound
			}
		}
		ends[hold] = earlier(end, p.knownEnd(hold.Term))
	}
	return ends
}

// holders returns the workers that have the given holds.
func holders(list []owner.InheritedHold) []workers.ID {
	var ids []workers.ID
	for _, hold := range list {
		if !slices.Contains(ids, hold.Worker) {
			ids = append(ids, hold.Worker)
		}
	}
	return ids
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
				p.learnEnds(known.HoldEnds(answers[index].receivedAt))
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

// learnEnds records when holds have ended that leaders before this one granted.
func (p *pastRenewers) learnEnds(ends []owner.HoldEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, end := range ends {
		if end.Term <= p.term {
			p.known.Add(end.Term, end.At)
		}
	}
}

// knownEnd returns when all holds have ended that leaders up to a term granted, as far as earlier leaders
// have reported it; otherwise expiry.
func (p *pastRenewers) knownEnd(upTo owner.Term) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if end, known := p.known.Before(upTo + 1); known {
		return earlier(p.expiry, end)
	}
	return p.expiry
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
	if renewer.Term > 0 {
		return p.knownEnd(renewer.Term)
	}
	return p.expiry
}

// holdEnd returns when a hold has ended as far as one process has renewed it. A process that has only
// renewed holds of later terms has not renewed it: the leaders of these terms knew that the keys had
// moved. Without this, each leader that was killed made such keys wait for 3.9 s or more.
func (p *pastRenewers) holdEnd(renewer election.Renewer, answer renewerAnswer, hold owner.InheritedHold) time.Time {
	bound, worker := p.stopBound(renewer), hold.Worker
	switch {
	case renewer.Term == 0: // the list may lack processes whose renewals still last
		return bound
	case renewer.Since > hold.Term:
		return time.Time{}
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
	past.learnEnds(r.hub.HoldEnds())
	end, unresolved = past.stop(ctx)
	r.hub.AddHoldEnd(owner.HoldEnd{Term: term, At: end})
	r.keeper.QueryHoldEnds = func(ctx context.Context, list []owner.InheritedHold) map[owner.InheritedHold]time.Time {
		ends := past.holdEnds(ctx, list)
		r.hub.AddHoldEnd(owner.HoldEnd{Term: term, At: past.end()})
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
