package router

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/proxy"
	"github.com/shalefork/shalefork/internal/quarantine"
)

// suspectPermits lets one attempt of each suspected request run at a time, over all routers. While no
// leader answers, each router lets one run. It implements proxy.SuspectPermits.
type suspectPermits struct {
	r *Router

	mu sync.Mutex
	// own are the attempts of this process, and all those of all processes while it leads.
	own, all *quarantine.Gate
	outcomes *prometheus.CounterVec
}

func newSuspectPermits(r *Router) *suspectPermits {
	return &suspectPermits{
		r: r, own: quarantine.NewGate(), all: quarantine.NewGate(),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_suspect_permits_total",
			Help: "Requests for permits to send suspected requests, by outcome: granted, refused, or unanswered by the leader.",
		}, []string{"outcome"}),
	}
}

// Acquire implements proxy.SuspectPermits.
func (p *suspectPermits) Acquire(request quarantine.Fingerprint, holder string, run time.Duration) proxy.SuspectPermit {
	p.mu.Lock()
	wait, granted := p.own.Acquire(clock.Now(), request, holder, run)
	p.mu.Unlock()
	if !granted {
		p.outcomes.WithLabelValues(permitRefused).Inc()
		return proxy.SuspectPermit{Wait: wait}
	}
	permit := p.ask(peerlink.SuspectPermitRequest{Request: request, Holder: holder, RunMillis: run.Milliseconds()})
	outcome := permitGranted
	switch {
	case permit == nil:
		outcome, permit = permitUnanswered, &peerlink.SuspectPermit{Granted: true}
	case !permit.Granted:
		outcome = permitRefused
		p.release(p.own, request, holder, 0)
	}
	p.outcomes.WithLabelValues(outcome).Inc()
	return proxy.SuspectPermit{
		Granted: permit.Granted, Quarantined: permit.Quarantined, Wait: time.Duration(permit.WaitMillis) * time.Millisecond,
	}
}

// Release implements proxy.SuspectPermits.
func (p *suspectPermits) Release(request quarantine.Fingerprint, holder string, after time.Duration) {
	p.release(p.own, request, holder, after)
	go p.ask(peerlink.SuspectPermitRequest{Request: request, Holder: holder, Ended: true, AfterMillis: after.Milliseconds()})
}

func (p *suspectPermits) release(gate *quarantine.Gate, request quarantine.Fingerprint, holder string, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	gate.Release(clock.Now(), request, holder, after)
}

// ask sends a request to the leader, which may be this process; nil if no leader answers in time.
func (p *suspectPermits) ask(request peerlink.SuspectPermitRequest) *peerlink.SuspectPermit {
	request.Holder = p.r.process + "/" + request.Holder
	if permit := p.answer(request); permit != nil {
		return permit
	}
	leader := p.r.hub.FollowedLeader()
	if leader == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	if permit, ok := peerlink.QuerySuspectPermit(ctx, leader, request); ok {
		return &permit
	}
	return nil
}

// answer answers a request as the leader; nil if this process does not lead.
func (p *suspectPermits) answer(request peerlink.SuspectPermitRequest) *peerlink.SuspectPermit {
	if !p.r.hub.Leading() {
		return nil
	}
	if request.Ended {
		p.release(p.all, request.Request, request.Holder, time.Duration(request.AfterMillis)*time.Millisecond)
		return &peerlink.SuspectPermit{}
	}
	switch suspects := p.r.proxy.Suspects; {
	case suspects.Standing(quarantine.CallerRequest{Request: request.Request}) == quarantine.Quarantined:
		return &peerlink.SuspectPermit{Quarantined: true}
	case suspects.Cleared(request.Request): // the asking process does not know yet
		return &peerlink.SuspectPermit{Granted: true}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	wait, granted := p.all.Acquire(clock.Now(), request.Request, request.Holder, time.Duration(request.RunMillis)*time.Millisecond)
	return &peerlink.SuspectPermit{Granted: granted, WaitMillis: (wait + time.Millisecond - 1).Milliseconds()}
}
