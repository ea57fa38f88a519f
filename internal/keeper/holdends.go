package keeper

import (
	"time"

	"github.com/shalefork/shalefork/internal/owner"
)

const (
	// holdEndsInterval is the interval of queries for the ends of holds. Workers that are alive have
	// released their keys before the first one.
	holdEndsInterval = 300 * time.Millisecond
	// maxQueriedHolds bounds the holds of one query.
	maxQueriedHolds = 256
)

// holdEndsResult is the result of a query for the ends of holds that earlier leaders granted.
type holdEndsResult struct {
	service *service
	ends    map[owner.InheritedHold]time.Time
}

func (r holdEndsResult) apply() {
	r.service.queryingHoldEnds = false
	for hold, end := range r.ends {
		r.service.ledger.LimitInheritedHolds(hold, end)
	}
}

// queryHoldEnds queries when the holds end that keys wait for, if an earlier leader granted them. Such
// workers have ended or can't be reached, or they would have released the keys.
func (t *tenureKeeper) queryHoldEnds(now time.Time, svc *service) {
	if t.QueryHoldEnds == nil || svc.queryingHoldEnds || now.Before(svc.nextHoldEnds) {
		return
	}
	svc.nextHoldEnds = now.Add(holdEndsInterval)
	holds := svc.ledger.InheritedHolds(now)
	if len(holds) == 0 {
		return
	}
	svc.queryingHoldEnds = true
	holds = holds[:min(len(holds), maxQueriedHolds)]
	query := t.QueryHoldEnds
	go func() {
		done := holdEndsResult{service: svc, ends: query(t.ctx, holds)}
		select {
		case t.holdEnds <- done:
		case <-t.ctx.Done():
		}
	}()
}
