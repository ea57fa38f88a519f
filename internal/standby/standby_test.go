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

// countingOrders accepts all grants and counts them.
type countingOrders struct {
	grants atomic.Int32
}

func (c *countingOrders) Grant(context.Context, owner.Target, owner.Grant) owner.Reply {
	c.grants.Add(1)
	return owner.Reply{Outcome: owner.OutcomeDone}
}

func (c *countingOrders) Release(context.Context, owner.Target, owner.KeyRange, owner.Fence) owner.Reply {
	return owner.Reply{Outcome: owner.OutcomeInvalid}
}

// delegation permits a standby to renew the hold of one key range for some time after a stamp that it
// sent.
func delegation(stamp, left time.Duration) *peerlink.Delegation {
	holds := []owner.Hold{{Keys: owner.KeyRange{From: 0, To: 9}, Target: owner.Target{ID: "w", Address: "a:1"}, Fence: 7}}
	return &peerlink.Delegation{
		Stamp: stamp.Milliseconds(), RemainingMillis: left.Milliseconds(),
		Services: []peerlink.ServiceHolds{peerlink.EncodeHolds("s", 5, holds)},
	}
}

func TestStandbyRenewsWithinDelegation(t *testing.T) {
	for name, c := range map[string]struct {
		delegation *peerlink.Delegation
		then       func(s *Standby)
		least      int32
		most       int32
	}{
		"the leader is reachable":     {delegation: delegation(time.Second, 6*time.Second), then: func(*Standby) {}},
		"the leader is lost":          {delegation: delegation(time.Second, 6*time.Second), then: (*Standby).LeaderLost, least: 5, most: 8},
		"short delegation":            {delegation: delegation(time.Second, time.Second), then: (*Standby).LeaderLost, least: 1, most: 1},
		"received after its end":      {delegation: delegation(time.Millisecond, time.Second), then: (*Standby).LeaderLost},
		"not a standby":               {then: (*Standby).LeaderLost},
		"asked to stop":               {delegation: delegation(time.Second, 6*time.Second), then: func(s *Standby) { s.LeaderLost(); s.Revoke(4) }},
		"suspended beyond delegation": {delegation: delegation(time.Second, 6*time.Second), then: func(s *Standby) { s.LeaderLost(); clock.SimulateSuspension(7 * time.Second) }},
		"leader found again":          {delegation: delegation(time.Second, 6*time.Second), then: func(s *Standby) { s.LeaderLost(); s.HandleUpdate(3, nil) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer clock.SimulateSuspension(0)()
				log := decision.NewTo(io.Discard, "n")
				defer log.Close()
				orders := &countingOrders{}
				s := New(orders, owner.DefaultConfig(10*time.Second), log)
				ctx, stop := context.WithCancel(t.Context())
				go s.Run(ctx)
				time.Sleep(time.Second)
				s.HandleUpdate(3, c.delegation)
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

func TestStandbyReportsStampAndHoldVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := decision.NewTo(io.Discard, "n")
		defer log.Close()
		s := New(&countingOrders{}, owner.DefaultConfig(10*time.Second), log)
		var report peerlink.Report
		s.AddToReport(&report)
		assert.Assert(t, report.Empty(), "not a standby yet")
		time.Sleep(time.Second)
		s.HandleUpdate(3, delegation(time.Second, time.Second))
		s.AddToReport(&report)
		assert.Equal(t, report.Stamp, int64(1000))
		assert.Equal(t, report.HoldVersions["s"], uint64(5))
	})
}
