package proxy

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// Times of requests to pools.
const (
	// queuePause is the pause between looks for a worker.
	queuePause = 5 * time.Millisecond
	// queueShare is the share of the target for which a request waits for one.
	queueShare = 0.22
)

// servePooled sends the request to a worker of a pool.
func (c *call) servePooled() {
	for {
		picked := c.await()
		if picked.to == nil {
			return
		}
		if c.quarantined() {
			return
		}
		if !c.spend() {
			c.giveUp(reasonBudget, c.returnSoon(100*time.Millisecond))
			return
		}
		got := c.sendPooled(picked)
		if c.finish(got) {
			return
		}
		c.tried[c.lastTo] = true
		if !c.allowed.left() {
			c.giveUp(reasonRefused, c.returnSoon(100*time.Millisecond))
			return
		}
		c.tellAgain(got)
	}
}

// sendPooled sends the request, and where it may be repeated a second copy to
// another worker if the first stays silent.
func (c *call) sendPooled(picked choice) *upstream.Result {
	if !c.repeatable() || c.allowed.mayHaveRun() > 0 || !c.maySpread() {
		return c.sendTo(picked.to, c.deadline.Add(-answerMargin))
	}
	return c.sendHedged(picked, func() *backend {
		asks := c.need()
		asks.stay = asks.bulk // the link between regions must not carry a large body twice
		asks.spare = true
		return c.pick(clock.Now(), asks, map[workers.ID]bool{picked.to.id(): true}).to
	})
}

// pick chooses a worker that was not tried, and that may get one more request now.
func (c *call) pick(now time.Time, asks need, tried map[workers.ID]bool) choice {
	for {
		picked := c.proxy.fleet.pick(now, c.state, c.service, asks, tried, int(c.proxy.Nodes.Load()))
		if picked.to == nil {
			return picked
		}
		if asks.spare && c.proxy.isLimited(picked.to) {
			tried[picked.to.id()] = true
			continue
		}
		if _, ok := c.permitted(picked.to, 0); ok {
			return picked
		}
		now = clock.Now()
	}
}

// await picks a worker, and waits a moment for one. It returns none after it has
// answered the request.
func (c *call) await() choice {
	patient := c.began.Add(time.Duration(queueShare * float64(c.route.Target)))
	for {
		now := clock.Now()
		if picked := c.pick(now, c.need(), c.tried); picked.to != nil {
			if picked.estimate < c.left() || c.allowed.sends() > 0 || picked.to.estimateAged(now, usualTime) < c.left() {
				return picked
			}
			c.giveUp(reasonBusy, 100*time.Millisecond)
			return choice{}
		}
		if len(c.tried) > 0 && c.forget() {
			continue
		}
		if until, reason := c.allKeptAway(now); reason != "" && until.After(patient) {
			c.giveUp(reason, c.returnWhenNotKept(reason, until.Sub(now)))
			return choice{}
		}
		if c.nowhere() {
			c.giveUp(reasonRegion, regionReturn)
			return choice{}
		}
		if now.After(patient) || c.left() <= answerMargin {
			c.giveUp(c.noWorker(), 100*time.Millisecond)
			return choice{}
		}
		if !c.queue() {
			return choice{}
		}
	}
}

// queue waits a moment among the service's other waiting requests; false if the
// request has ended.
func (c *call) queue() bool {
	if c.claim.yields && c.state.crowded(c.service.Queue) {
		c.giveUp(reasonShare, c.returnAfter())
		return false
	}
	if !c.state.enter(c.service.Queue) {
		c.giveUp(reasonQueue, 100*time.Millisecond)
		return false
	}
	defer c.state.leave()
	return c.pause(queuePause)
}

// forget lets workers be tried again that did not run the request, once all
// others were tried.
func (c *call) forget() bool {
	if len(c.tried) < c.usable() {
		return false
	}
	clear(c.tried)
	return true
}

func (c *call) noWorker() string {
	switch {
	case c.usable() == 0:
		return reasonNoWorker
	case c.claim.yields:
		return reasonShare
	}
	return reasonBusy
}
