// Package standby implements a process's role as a standby of the leader: it stores the holds that
// the leader reports, and renews them when the leader is lost, so that keys stay served if the
// key-value service is unreachable too and no other process can lead.
//
// owner.Standby decides what may be renewed and until when. The next leader reads from the key-value
// service which processes are standbys and asks them to stop.
package standby

import (
	"context"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// tick is the interval between checks for renewals that are due.
	tick = 50 * time.Millisecond
	// renewalTimeout bounds one renewal.
	renewalTimeout = 600 * time.Millisecond
	// renewalDelay is the delay between the loss of the leader and the first renewal: another process
	// may become the leader at once.
	renewalDelay = 400 * time.Millisecond
)

// Standby renews the holds of all services for a lost leader. It is safe for concurrent use.
type Standby struct {
	Orders owner.OrderSender
	Times  owner.Config
	Log    *decision.Log
	// Workers are the announced workers. It is nil if their incarnations are not known.
	Workers *workers.Directory

	startedAt time.Time
	mu        sync.Mutex
	// appointed is true if the leader has appointed this process and needs stamps in its reports.
	appointed    bool
	leaderLost   bool
	leaderLostAt time.Time
	// revokedTerm is the term before which all delegations are revoked.
	revokedTerm owner.Term
	services    map[routing.ServiceName]*owner.Standby
	renewing    bool
}

// New returns a standby that has no leader yet.
func New(orders owner.OrderSender, times owner.Config, log *decision.Log) *Standby {
	return &Standby{
		Orders: orders, Times: times, Log: log, startedAt: clock.Now(), services: map[routing.ServiceName]*owner.Standby{},
	}
}

// HandleUpdate handles an update from the leader of a term: it stops renewals and revokes the
// delegations given by earlier leaders. delegation is nil unless this process is one of the leader's
// standbys.
func (s *Standby) HandleUpdate(term owner.Term, delegation *peerlink.Delegation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appointed = delegation != nil
	s.revoke(term)
	s.setLeaderLost(false)
	if delegation == nil || delegation.Stamp == 0 {
		return
	}
	left := time.Duration(delegation.Stamp+delegation.RemainingMillis) * time.Millisecond
	until := s.startedAt.Add(left)
	for _, serviceHolds := range delegation.Services {
		holds, ok := serviceHolds.Holds()
		if !ok {
			continue
		}
		s.forService(serviceHolds.Service).SetHolds(term, serviceHolds.Version, holds, until)
	}
	for _, service := range s.services {
		service.ExtendUntil(term, until)
	}
}

// forService returns the standby of a service. The caller holds mu.
func (s *Standby) forService(service routing.ServiceName) *owner.Standby {
	standby := s.services[service]
	if standby == nil {
		standby = owner.NewStandby(s.Times)
		standby.Revoke(s.revokedTerm)
		s.services[service] = standby
	}
	return standby
}

// LeaderLost records that no updates from the leader are received any more.
func (s *Standby) LeaderLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appointed = false
	s.setLeaderLost(true)
}

// setLeaderLost records whether the leader is lost. The caller holds mu.
func (s *Standby) setLeaderLost(lost bool) {
	if lost && !s.leaderLost {
		s.leaderLostAt = clock.Now()
	}
	s.leaderLost = lost
	for _, service := range s.services {
		if lost {
			service.LeaderLost()
		} else {
			service.LeaderFound()
		}
	}
}

// Revoke permanently revokes the delegations given by leaders before a term.
func (s *Standby) Revoke(term owner.Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoke(term)
}

func (s *Standby) revoke(term owner.Term) {
	s.revokedTerm = max(s.revokedTerm, term)
	for _, service := range s.services {
		service.Revoke(term)
	}
}

// AddToReport adds the stamp and the versions of known holds to a report, if this process is a
// standby.
func (s *Standby) AddToReport(report *peerlink.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.appointed {
		return
	}
	report.Stamp = max(1, clock.Since(s.startedAt).Milliseconds())
	report.HoldVersions = map[routing.ServiceName]uint64{}
	for name, service := range s.services {
		report.HoldVersions[name] = service.HoldsVersion()
	}
}

// Run sends due renewals until ctx ends.
func (s *Standby) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, tick)
		s.step(ctx, clock.Now())
	}
}

// step sends the renewals that are due.
func (s *Standby) step(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (!s.leaderLost && !s.renewing) || (s.leaderLost && now.Sub(s.leaderLostAt) < renewalDelay) {
		return
	}
	renewing := false
	for name, service := range s.services {
		s.observeIncarnations(name, service)
		renewing = renewing || service.Renewing(now)
		for _, renewal := range service.Due(now) {
			go s.send(ctx, service, renewal)
		}
	}
	if renewing != s.renewing {
		s.renewing = renewing
		s.Log.Line(decision.KindStandby).Bool("renewing", renewing).Msg("")
	}
}

// observeIncarnations drops the holds of workers that have restarted. The caller holds mu.
func (s *Standby) observeIncarnations(name routing.ServiceName, service *owner.Standby) {
	if s.Workers == nil {
		return
	}
	list, _ := s.Workers.ByService(name)
	for _, worker := range list {
		service.ObserveIncarnation(worker.Incarnation())
	}
}

// send sends one renewal and handles its outcome.
func (s *Standby) send(ctx context.Context, service *owner.Standby, renewal owner.Renewal) {
	bounded, cancel := context.WithTimeout(ctx, renewalTimeout)
	defer cancel()
	reply := owner.Reply{Outcome: owner.OutcomeUnreachable}
	if clock.Refresh() == 0 { // otherwise the renewal predates a suspension of the machine
		reply = s.Orders.Grant(bounded, renewal.Target, renewal.Grant)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	service.HandleOutcome(clock.Now(), renewal, reply.Outcome)
}
