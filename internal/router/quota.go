package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/quota"
	"github.com/shalefork/shalefork/internal/routing"
)

const (
	// quotaTick is the pause between looks of a leader at what time brings to quotas, and
	// quotaPause the least between answers to routers, which are gathered.
	quotaTick  = 100 * time.Millisecond
	quotaPause = 20 * time.Millisecond
	// mostRelayed is how many messages about quotas wait at a relay at most. Routers whose
	// message is dropped tell all anew.
	mostRelayed = 4096
)

// quotas keeps tenants within their limits: this router's units, and while it leads the books
// of all. It implements proxy.Quota.
type quotas struct {
	r      *Router
	holder *quota.Holder
	node   string
	life   int64
	bound  quota.Bound
	// suspended is for how long the machine was known to have been suspended.
	suspended atomic.Int64
	// wake gets a token when routers have told something.
	wake chan struct{}

	mu sync.Mutex
	// coordinator is nil while this process does not lead.
	coordinator *quota.Coordinator
	// relayed waits to be passed on to the leader.
	relayed []quota.Told
	// used is the configuration whose tenants were taken.
	used *routing.Config
}

func newQuotas(r *Router) *quotas {
	limits := r.settings.Quota
	q := &quotas{
		r: r, node: r.settings.Node, life: clock.Now().UnixMilli(), wake: make(chan struct{}, 1),
		bound: quota.Bound{Window: limits.Window.Std(), Overshoot: limits.Overshoot, Slack: limits.Slack},
	}
	q.holder = quota.NewHolder(clock.Now(), q.node, q.life, q.bound)
	q.suspended.Store(int64(clock.Suspended()))
	return q
}

// Take implements proxy.Quota.
func (q *quotas) Take(now time.Time, tenant *routing.Tenant) (bool, time.Duration) {
	q.noticeSuspension()
	return q.holder.Take(now, tenant)
}

// Sent implements proxy.Quota.
func (q *quotas) Sent(granted, now time.Time, tenant *routing.Tenant) {
	q.holder.Sent(granted, now, tenant)
}

// Return implements proxy.Quota.
func (q *quotas) Return(granted time.Time, tenant *routing.Tenant) {
	q.holder.Return(granted, tenant)
}

// noticeSuspension lets units rest anew once the clock has gone on for a suspension.
func (q *quotas) noticeSuspension() {
	known, found := q.suspended.Load(), int64(clock.Suspended())
	if found > known && q.suspended.CompareAndSwap(known, found) {
		q.holder.Woke(clock.Now())
	}
}

// tell returns what the leader is to know of this router, and of those that follow it.
func (q *quotas) tell() []quota.Told {
	q.noticeSuspension()
	q.mu.Lock()
	defer q.mu.Unlock()
	told := q.relayed
	q.relayed = nil
	if own := q.own(); own != nil {
		told = append(told, *own)
	}
	return told
}

// own returns what this router tells. The caller holds mu.
func (q *quotas) own() *quota.Told {
	if config := q.r.proxy.Config(); config != nil && config != q.used {
		q.used = config
		q.holder.Use(config.Tenants)
	}
	return q.holder.Tell(clock.Now())
}

// report is what is told between reports.
func (q *quotas) report() peerlink.Report { return peerlink.Report{Quota: q.tell()} }

// heard takes what linked routers tell: a leader books it, a relay passes it on.
func (q *quotas) heard(told []quota.Told) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.coordinator == nil {
		if len(q.relayed)+len(told) <= mostRelayed {
			q.relayed = append(q.relayed, told...)
		}
		q.holder.Hurry()
		return
	}
	now := clock.Now()
	for _, one := range told {
		q.coordinator.Hear(now, one)
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// granted takes what a leader says to this router, and passes on what is for others.
func (q *quotas) granted(grants []quota.Grant) {
	var others []quota.Grant
	for _, grant := range grants {
		if grant.Node == q.node {
			q.holder.Granted(grant)
		} else {
			others = append(others, grant)
		}
	}
	if len(others) > 0 {
		q.r.hub.TellQuota(others)
	}
}

// coordinate keeps the books while this process leads.
func (q *quotas) coordinate(ctx context.Context, tenure *election.Tenure) {
	clock.Refresh()
	term := tenure.Leader.Term
	coordinator := quota.NewCoordinator(clock.Now(), term, term == 1, q.bound)
	q.lead(coordinator)
	defer q.lead(nil)
	ticker := time.NewTicker(quotaTick)
	defer ticker.Stop()
	for {
		if config := q.r.proxy.Config(); config != nil && (len(config.Tenants) > 0 || coordinator.Tenants() > 0) {
			q.granted(q.step(config, coordinator, tenure.Until()))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-q.wake:
			clock.Sleep(ctx, quotaPause)
		}
	}
}

// lead begins to keep the books, or ends it.
func (q *quotas) lead(coordinator *quota.Coordinator) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.coordinator, q.relayed = coordinator, nil
}

// step does what is due, and returns what routers are to be told.
func (q *quotas) step(config *routing.Config, coordinator *quota.Coordinator, authority time.Time) []quota.Grant {
	clock.Refresh()
	q.noticeSuspension()
	nodes := q.r.hub.Nodes()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	coordinator.Use(now, config.Tenants)
	if own := q.own(); own != nil {
		coordinator.Hear(now, *own)
	}
	return coordinator.Tick(now, now.Before(authority), nodes)
}
