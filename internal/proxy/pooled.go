package proxy

import (
	"time"

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
		to, estimated := c.await()
		if to == nil {
			return
		}
		if !c.spend() {
			c.giveUp(reasonBudget, 100*time.Millisecond)
			return
		}
		got := c.sendPooled(to, estimated)
		if c.finish(got) {
			return
		}
		c.tried[c.lastTo] = true
		if c.sends >= maxSends || c.unsent >= maxUnsent {
			c.giveUp(reasonRefused, 100*time.Millisecond)
			return
		}
		c.tellAgain(got)
	}
}

// sendPooled sends the request, and where it may be repeated a second copy to
// another worker if the first stays silent.
func (c *call) sendPooled(to *backend, estimated float64) *result {
	if !c.repeatable() || c.runs > 0 {
		return c.sendTo(to, c.deadline.Add(-answerMargin))
	}
	return c.sendHedged(to, estimated, func() *backend {
		tried := map[workers.ID]bool{to.id(): true}
		other, _ := c.proxy.fleet.pick(time.Now(), c.service.Name, c.route.Target, tried)
		return other
	})
}

// await picks a worker, and waits a moment for one. It returns nil after it has
// answered the request.
func (c *call) await() (*backend, float64) {
	patient := c.began.Add(time.Duration(queueShare * float64(c.route.Target)))
	for {
		now := time.Now()
		to, estimated := c.proxy.fleet.pick(now, c.service.Name, c.route.Target, c.tried)
		if to != nil {
			if time.Duration(estimated*float64(time.Second)) < c.left() || c.sends > 0 {
				return to, estimated
			}
			c.giveUp(reasonBusy, 100*time.Millisecond)
			return nil, 0
		}
		if len(c.tried) > 0 && c.forget() {
			continue
		}
		if now.After(patient) || c.left() <= answerMargin {
			c.giveUp(c.noWorker(), 100*time.Millisecond)
			return nil, 0
		}
		if !c.queue() {
			return nil, 0
		}
	}
}

// queue waits a moment among the service's other waiting requests; false if the
// request has ended.
func (c *call) queue() bool {
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
	list, _ := c.proxy.fleet.directory.Of(c.service.Name)
	if len(c.tried) < len(list) {
		return false
	}
	clear(c.tried)
	return true
}

func (c *call) noWorker() string {
	if list, _ := c.proxy.fleet.directory.Of(c.service.Name); len(list) == 0 {
		return reasonNoWorker
	}
	return reasonBusy
}
