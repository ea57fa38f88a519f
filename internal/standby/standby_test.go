package standby

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// counting does all orders and counts the grants.
type counting struct {
	grants atomic.Int32
}

func (c *counting) Grant(context.Context, owner.Target, owner.Grant) owner.Reply {
	c.grants.Add(1)
	return owner.Reply{Outcome: owner.OutcomeDone}
}

func (c *counting) Release(context.Context, owner.Target, owner.KeyRange, owner.Fence) owner.Reply {
	return owner.Reply{Outcome: owner.OutcomeInvalid}
}

// leave lets the standby renew one run of keys for some time after a stamp of its own.
func leave(stamp, left time.Duration) *peerlink.Delegation {
	holds := []owner.Hold{{Keys: owner.KeyRange{From: 0, To: 9}, Target: owner.Target{ID: "w", Address: "a:1"}, Fence: 7}}
	return &peerlink.Delegation{
		Stamp: stamp.Milliseconds(), RemainingMillis: left.Milliseconds(),
		Services: []peerlink.ServiceHolds{peerlink.EncodeHolds("s", 5, holds)},
	}
}

func TestAStandbyRenewsWithinItsLeave(t *testing.T) {
	for name, c := range map[string]struct {
		mandate *peerlink.Delegation
		then    func(s *Standby)
		least   int32
		most    int32
	}{
		"the leader is heard":        {mandate: leave(time.Second, 6*time.Second), then: func(*Standby) {}},
		"the leader is lost":         {mandate: leave(time.Second, 6*time.Second), then: (*Standby).LeaderLost, least: 5, most: 8},
		"little is left":             {mandate: leave(time.Second, time.Second), then: (*Standby).LeaderLost, least: 1, most: 1},
		"told long after its stamp":  {mandate: leave(time.Millisecond, time.Second), then: (*Standby).LeaderLost},
		"no standby":                 {then: (*Standby).LeaderLost},
		"asked to stop":              {mandate: leave(time.Second, 6*time.Second), then: func(s *Standby) { s.LeaderLost(); s.Revoke(4) }},
		"suspended beyond its leave": {mandate: leave(time.Second, 6*time.Second), then: func(s *Standby) { s.LeaderLost(); clock.Suspend(7 * time.Second) }},
		"found again":                {mandate: leave(time.Second, 6*time.Second), then: func(s *Standby) { s.LeaderLost(); s.HandleUpdate(3, nil) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer clock.Suspend(0)()
				log := decision.NewTo(io.Discard, "n")
				defer log.Close()
				orders := &counting{}
				s := New(orders, owner.DefaultConfig(10*time.Second), log)
				ctx, stop := context.WithCancel(t.Context())
				go s.Run(ctx)
				time.Sleep(time.Second)
				s.HandleUpdate(3, c.mandate)
				c.then(s)
				time.Sleep(15 * time.Second)
				stop()
				synctest.Wait()
				got := orders.grants.Load()
				assert.Assert(t, got >= c.least && got <= c.most, "%d renewals", got)
			})
		})
	}
}

func TestAStandbyAnswersWithItsTimeAndWhatItKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := decision.NewTo(io.Discard, "n")
		defer log.Close()
		s := New(&counting{}, owner.DefaultConfig(10*time.Second), log)
		var report peerlink.Report
		s.AddToReport(&report)
		assert.Assert(t, report.Empty(), "it is no standby")
		time.Sleep(time.Second)
		s.HandleUpdate(3, leave(time.Second, time.Second))
		s.AddToReport(&report)
		assert.Equal(t, report.Stamp, int64(1000))
		assert.Equal(t, report.HoldVersions["s"], uint64(5))
	})
}
