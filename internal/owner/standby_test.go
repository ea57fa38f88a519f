package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// standbyCase changes a standby that has a leave of 6 s for one hold.
type standbyCase struct {
	change  func(s *Standby, now time.Time)
	after   time.Duration
	renewed int
}

func TestStandbyRenewsOnlyWhatItMay(t *testing.T) {
	holds := []Hold{{Keys: KeyRange{0, KeyCount - 1}, Target: Target{ID: "w"}, Fence: 7}}
	answer := func(outcome Outcome) func(*Standby, time.Time) {
		return func(s *Standby, now time.Time) {
			s.LeaderLost()
			s.HandleOutcome(now, s.Due(now)[0], outcome)
		}
	}
	for name, c := range map[string]standbyCase{
		"the leader is heard":       {change: func(*Standby, time.Time) {}},
		"the leader is lost":        {change: func(s *Standby, _ time.Time) { s.LeaderLost() }, renewed: 1},
		"the leave has ended":       {change: func(s *Standby, _ time.Time) { s.LeaderLost() }, after: 6100 * time.Millisecond},
		"a next leader asked":       {change: func(s *Standby, _ time.Time) { s.LeaderLost(); s.Revoke(4) }},
		"an older leader asked":     {change: func(s *Standby, _ time.Time) { s.LeaderLost(); s.Revoke(3) }, renewed: 1},
		"the leader is found again": {change: func(s *Standby, _ time.Time) { s.LeaderLost(); s.LeaderFound() }},
		"an older leader told":      {change: func(s *Standby, now time.Time) { s.LeaderLost(); s.SetHolds(2, 9, nil, now) }, renewed: 1},
		"told again after it was asked": {change: func(s *Standby, now time.Time) {
			s.LeaderLost()
			s.Revoke(4)
			s.SetHolds(3, 9, holds, now.Add(time.Minute))
		}},
		"renewed a moment ago":    {change: answer(OutcomeDone), after: 100 * time.Millisecond},
		"renewed a while ago":     {change: answer(OutcomeDone), after: time.Second, renewed: 1},
		"no answer":               {change: answer(OutcomeUnanswered), after: 200 * time.Millisecond, renewed: 1},
		"a higher fence was seen": {change: answer(OutcomeFenced), after: time.Second},
		"another worker answered": {change: answer(OutcomeOtherWorker), after: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := NewStandby(DefaultConfig(10 * time.Second))
			s.SetHolds(3, 5, holds, now.Add(6*time.Second))
			c.change(s, now)
			due := s.Due(now.Add(c.after))
			assert.Equal(t, len(due), c.renewed)
			for _, one := range due {
				assert.Equal(t, one.Grant.Fence, Fence(7))
			}
		})
	}
}
