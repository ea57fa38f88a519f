package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Standby renews holds in place of a leader that it has lost: the same owners under
// the same fences, so no key ever moves by it. It may do so until its leave ends,
// which is no later than the leader itself could have renewed them; the next leader
// outwaits that, or asks the standby to stop.
//
// It is pure: it is told the time and says which orders to send.
type Standby struct {
	config Config
	term   Term
	until  time.Time
	lost   bool
	// version of the holds that were last told, and the holds.
	version uint64
	holds   []*standbyHold
}

// standbyHold is one hold with the time of its next renewal.
type standbyHold struct {
	Hold
	next time.Time
	busy bool
}

// Renewal is a grant that a standby sends again.
type Renewal struct {
	Target Target
	Grant  Grant
	sentAt time.Time
	hold   *standbyHold
}

// NewStandby returns a standby without a leave.
func NewStandby(config Config) *Standby { return &Standby{config: config} }

// Tell sets the holds that a leader of a term has given, and until when they may be
// renewed. What an older leader says is passed over.
func (s *Standby) SetHolds(term Term, version uint64, holds []Hold, until time.Time) {
	if term < s.term {
		return
	}
	s.term, s.version, s.until = term, version, until
	s.holds = make([]*standbyHold, 0, len(holds))
	for _, one := range holds {
		s.holds = append(s.holds, &standbyHold{Hold: one})
	}
}

// Extend sets until when the holds of a term may be renewed.
func (s *Standby) ExtendUntil(term Term, until time.Time) {
	if term == s.term {
		s.until = later(s.until, until)
	}
}

// Version returns which holds were last told; zero if there are none.
func (s *Standby) HoldsVersion() uint64 { return s.version }

// Began tells which life of a worker is announced. What another life held is not renewed.
func (s *Standby) ObserveIncarnation(life workers.Incarnation) {
	s.holds = slices.DeleteFunc(s.holds, func(one *standbyHold) bool {
		return one.Target.ID == life.ID && one.Target.Incarnation != life.StartTime && one.Target.Incarnation != 0 && life.StartTime != 0
	})
}

// Lost begins to renew: the leader is no longer heard.
func (s *Standby) LeaderLost() { s.lost = true }

// Found ends that: a leader is heard.
func (s *Standby) LeaderFound() { s.lost = false }

// Stop ends the leave of all leaders before a term, for good.
func (s *Standby) Revoke(term Term) {
	if term > s.term {
		s.term, s.version, s.until, s.holds = term, 0, time.Time{}, nil
	}
}

// Renewing reports whether the standby stands in for a leader.
func (s *Standby) Renewing(now time.Time) bool {
	return s.lost && len(s.holds) > 0 && !now.After(s.until)
}

// Due returns the renewals to send now.
func (s *Standby) Due(now time.Time) []Renewal {
	if !s.Renewing(now) {
		return nil
	}
	var due []Renewal
	for _, one := range s.holds {
		if one.busy || now.Before(one.next) {
			continue
		}
		one.busy = true
		due = append(due, Renewal{
			Target: one.Target, Grant: Grant{Keys: one.Keys, Fence: one.Fence, Hold: s.config.Hold}, sentAt: now, hold: one,
		})
	}
	return due
}

// Answered takes the end of a renewal. A worker that has seen a higher fence, or has
// ended, is not asked again.
func (s *Standby) HandleOutcome(now time.Time, renewal Renewal, outcome Outcome) {
	one := renewal.hold
	one.busy = false
	switch outcome {
	case OutcomeDone:
		one.next = renewal.sentAt.Add(s.config.RenewInterval)
	case OutcomeFenced, OutcomeOtherWorker, OutcomeInvalid:
		s.holds = slices.DeleteFunc(s.holds, func(held *standbyHold) bool { return held == one })
	default:
		one.next = now.Add(s.config.RetryDelay)
	}
}
