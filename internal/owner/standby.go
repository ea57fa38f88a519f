package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Standby renews holds in place of a leader that it has lost. It renews them for the same owners
// under the same fences, so it never moves keys. It may do so until its delegation ends, which is
// no later than the leader itself could have renewed the holds. The next leader waits for that, or
// asks the standby to stop.
//
// Standby is pure: it is given the time and returns the renewals to send.
type Standby struct {
	config     Config
	term       Term
	until      time.Time
	leaderLost bool
	// version identifies the last holds that were set.
	version uint64
	holds   []*standbyHold
}

// standbyHold is a hold and the time of its next renewal.
type standbyHold struct {
	Hold
	nextRenewalAt time.Time
	inFlight      bool
}

// Renewal is a grant that a standby sends to the current holder again.
type Renewal struct {
	Target Target
	Grant  Grant
	sentAt time.Time
	hold   *standbyHold
}

// NewStandby returns a standby without a delegation.
func NewStandby(config Config) *Standby { return &Standby{config: config} }

// SetHolds sets the holds of the leader of a term, and the time until which they may be renewed.
// Calls for an older term are ignored.
func (s *Standby) SetHolds(term Term, version uint64, holds []Hold, until time.Time) {
	if term < s.term {
		return
	}
	s.term, s.version, s.until = term, version, until
	s.holds = make([]*standbyHold, 0, len(holds))
	for _, hold := range holds {
		s.holds = append(s.holds, &standbyHold{Hold: hold})
	}
}

// ExtendUntil extends the time until which the holds of a term may be renewed.
func (s *Standby) ExtendUntil(term Term, until time.Time) {
	if term == s.term {
		s.until = later(s.until, until)
	}
}

// HoldsVersion returns the version of the holds that were last set; zero if there are none.
func (s *Standby) HoldsVersion() uint64 { return s.version }

// ObserveIncarnation records the announced incarnation of a worker. Holds of other incarnations are
// no longer renewed.
func (s *Standby) ObserveIncarnation(incarnation workers.Incarnation) {
	s.holds = slices.DeleteFunc(s.holds, func(hold *standbyHold) bool {
		return hold.Target.ID == incarnation.ID && hold.Target.StartTime != incarnation.StartTime && hold.Target.StartTime != 0 && incarnation.StartTime != 0
	})
}

// LeaderLost starts renewals: the leader can't be reached.
func (s *Standby) LeaderLost() { s.leaderLost = true }

// LeaderFound stops renewals: a leader is reachable again.
func (s *Standby) LeaderFound() { s.leaderLost = false }

// Revoke permanently ends the delegations of all leaders before a term.
func (s *Standby) Revoke(term Term) {
	if term > s.term {
		s.term, s.version, s.until, s.holds = term, 0, time.Time{}, nil
	}
}

// Renewing reports whether the standby currently renews holds in place of a leader.
func (s *Standby) Renewing(now time.Time) bool {
	return s.leaderLost && len(s.holds) > 0 && !now.After(s.until)
}

// Due returns the renewals to send now.
func (s *Standby) Due(now time.Time) []Renewal {
	if !s.Renewing(now) {
		return nil
	}
	var due []Renewal
	for _, hold := range s.holds {
		if hold.inFlight || now.Before(hold.nextRenewalAt) {
			continue
		}
		hold.inFlight = true
		due = append(due, Renewal{
			Target: hold.Target, Grant: Grant{Keys: hold.Keys, Fence: hold.Fence, Hold: s.config.Hold}, sentAt: now, hold: hold,
		})
	}
	return due
}

// HandleOutcome processes the result of a renewal. The hold is dropped if the worker has seen a
// higher fence, has ended, or rejected the renewal as invalid.
func (s *Standby) HandleOutcome(now time.Time, renewal Renewal, outcome Outcome) {
	hold := renewal.hold
	hold.inFlight = false
	switch outcome {
	case OutcomeDone:
		hold.nextRenewalAt = renewal.sentAt.Add(s.config.RenewInterval)
	case OutcomeFenced, OutcomeOtherWorker, OutcomeInvalid:
		s.holds = slices.DeleteFunc(s.holds, func(held *standbyHold) bool { return held == hold })
	default:
		hold.nextRenewalAt = now.Add(s.config.RetryDelay)
	}
}
