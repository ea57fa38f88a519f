// Package standby runs a process's part as a standby of the leader: it keeps what the
// leader says is held, and renews it when the leader is lost, so that keys stay served
// while the key-value service is away too and nobody else can lead.
//
// What may be renewed and until when is decided by owner.Standby; the next leader
// learns from the key-value service which processes are standbys and asks them to stop.
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
	// tick is the pause between looks for renewals that are due.
	tick = 50 * time.Millisecond
	// renewalTimeout bounds one renewal.
	renewalTimeout = 600 * time.Millisecond
	// patience is how long a leader is lost until its holds are renewed: another may
	// lead at once.
	patience = 400 * time.Millisecond
)

// Standby is safe for concurrent use.
type Standby struct {
	Orders owner.OrderSender
	Times  owner.Config
	Log    *decision.Log
	// Workers are the announced workers; nil: their lives are not known.
	Workers *workers.Directory

	began time.Time
	mu    sync.Mutex
	// appointed says that the leader wants stamps.
	appointed bool
	lost      bool
	lostAt    time.Time
	// stopped is the term before which all leaves have ended.
	stopped  owner.Term
	services map[routing.ServiceName]*owner.Standby
	renewing bool
}

// New returns a standby of no leader yet.
func New(orders owner.OrderSender, times owner.Config, log *decision.Log) *Standby {
	return &Standby{
		Orders: orders, Times: times, Log: log, began: clock.Now(), services: map[routing.ServiceName]*owner.Standby{},
	}
}

// Heard takes what the leader of a term says; mandate is nil for all but standbys.
func (s *Standby) HandleUpdate(term owner.Term, mandate *peerlink.Delegation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appointed = mandate != nil
	s.stop(term)
	s.setLost(false)
	if mandate == nil || mandate.Stamp == 0 {
		return
	}
	left := time.Duration(mandate.Stamp+mandate.RemainingMillis) * time.Millisecond
	until := s.began.Add(left)
	for _, told := range mandate.Services {
		holds, ok := told.Holds()
		if !ok {
			continue
		}
		s.of(told.Service).SetHolds(term, told.Version, holds, until)
	}
	for _, service := range s.services {
		service.ExtendUntil(term, until)
	}
}

// of returns the standby of a service. The caller holds mu.
func (s *Standby) of(service routing.ServiceName) *owner.Standby {
	known := s.services[service]
	if known == nil {
		known = owner.NewStandby(s.Times)
		known.Revoke(s.stopped)
		s.services[service] = known
	}
	return known
}

// Lost tells that the leader is no longer heard.
func (s *Standby) LeaderLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appointed = false
	s.setLost(true)
}

// setLost is called with mu held.
func (s *Standby) setLost(lost bool) {
	if lost && !s.lost {
		s.lostAt = clock.Now()
	}
	s.lost = lost
	for _, service := range s.services {
		if lost {
			service.LeaderLost()
		} else {
			service.LeaderFound()
		}
	}
}

// Stop ends all that leaders before a term allowed, for good.
func (s *Standby) Revoke(term owner.Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop(term)
}

func (s *Standby) stop(term owner.Term) {
	s.stopped = max(s.stopped, term)
	for _, service := range s.services {
		service.Revoke(term)
	}
}

// Tell adds to a report what the leader of a standby needs.
func (s *Standby) AddToReport(report *peerlink.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.appointed {
		return
	}
	report.Stamp = max(1, clock.Since(s.began).Milliseconds())
	report.HoldVersions = map[routing.ServiceName]uint64{}
	for name, service := range s.services {
		report.HoldVersions[name] = service.HoldsVersion()
	}
}

// Run renews what is due until ctx ends.
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
	if (!s.lost && !s.renewing) || (s.lost && now.Sub(s.lostAt) < patience) {
		return
	}
	renewing := false
	for name, service := range s.services {
		s.tellLives(name, service)
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

// tellLives drops the holds of workers that have started again. The caller holds mu.
func (s *Standby) tellLives(name routing.ServiceName, service *owner.Standby) {
	if s.Workers == nil {
		return
	}
	list, _ := s.Workers.ByService(name)
	for _, one := range list {
		service.ObserveIncarnation(one.Incarnation())
	}
}

// send sends one renewal and takes its end.
func (s *Standby) send(ctx context.Context, service *owner.Standby, renewal owner.Renewal) {
	bounded, cancel := context.WithTimeout(ctx, renewalTimeout)
	defer cancel()
	reply := owner.Reply{Outcome: owner.OutcomeUnreachable}
	if clock.Refresh() == 0 { // else it was decided before the machine was suspended
		reply = s.Orders.Grant(bounded, renewal.Target, renewal.Grant)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	service.HandleOutcome(clock.Now(), renewal, reply.Outcome)
}
