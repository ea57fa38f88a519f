package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// standbyCase changes a standby whose delegation for one hold lasts 6 s.
type standbyCase struct {
	change  func(s *Standby, now time.Time)
	after   time.Duration
	renewed int
}

func TestStandbyRenewsOnlyDelegatedHolds(t *testing.T) {
	holds := []Hold{{Keys: KeyRange{0, KeyCount - 1}, Target: Target{ID: "w"}, Fence: 7}}
	respond := func(outcome Outcome) func(*Standby, time.Time) {
		return func(s *Standby, now time.Time) {
			s.LeaderLost()
			s.HandleOutcome(now, s.Due(now)[0], outcome)
		}
	}
	for name, c := range map[string]standbyCase{
		"the leader is reachable":       {change: func(*Standby, time.Time) {}},
		"the leader is lost":            {change: func(s *Standby, _ time.Time) { s.LeaderLost() }, renewed: 1},
		"the delegation has ended":      {change: func(s *Standby, _ time.Time) { s.LeaderLost() }, after: 6100 * time.Millisecond},
		"revoked by the next leader":    {change: func(s *Standby, _ time.Time) { s.LeaderLost(); s.Revoke(4) }},
		"revoked by an older leader":    {change: func(s *Standby, _ time.Time) { s.LeaderLost(); s.Revoke(3) }, renewed: 1},
		"the leader is reachable again": {change: func(s *Standby, _ time.Time) { s.LeaderLost(); s.LeaderFound() }},
		"holds from an older leader":    {change: func(s *Standby, now time.Time) { s.LeaderLost(); s.SetHolds(2, 9, nil, now) }, renewed: 1},
		"holds after revocation": {change: func(s *Standby, now time.Time) {
			s.LeaderLost()
			s.Revoke(4)
			s.SetHolds(3, 9, holds, now.Add(time.Minute))
		}},
		"renewed 100 ms ago":      {change: respond(OutcomeDone), after: 100 * time.Millisecond},
		"renewed a second ago":    {change: respond(OutcomeDone), after: time.Second, renewed: 1},
		"no reply":                {change: respond(OutcomeUnanswered), after: 200 * time.Millisecond, renewed: 1},
		"a higher fence was seen": {change: respond(OutcomeFenced), after: time.Second},
		"another worker replied":  {change: respond(OutcomeOtherWorker), after: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := NewStandby(DefaultConfig(10 * time.Second))
			s.SetHolds(3, 5, holds, now.Add(6*time.Second))
			c.change(s, now)
			due := s.Due(now.Add(c.after))
			assert.Equal(t, len(due), c.renewed)
			for _, renewal := range due {
				assert.Equal(t, renewal.Grant.Fence, Fence(7))
			}
		})
	}
}
