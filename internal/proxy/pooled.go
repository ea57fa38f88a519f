package proxy

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// Waiting times of requests to pools.
const (
	// queuePollInterval is the interval at which a waiting request tries to pick a worker again.
	queuePollInterval = 5 * time.Millisecond
	// queueWaitShare is the fraction of the target latency for which a request waits for a worker.
	queueWaitShare = 0.22
)

// servePooled sends the request to a worker of the service's pool.
func (c *call) servePooled() {
	for {
		picked := c.awaitWorker()
		if picked.backend == nil {
			return
		}
		if !c.admitByStanding() {
			return
		}
		if !c.spendRetryBudget() {
			c.giveUp(reasonBudget, c.retryAfterRejection(100*time.Millisecond))
			return
		}
		result := c.sendPooled(picked)
		if c.finish(result) || c.forwardUnsent() {
			return
		}
		if result.Outcome == upstream.NotSent && c.proxy.Reachability.Unreachable() {
			c.giveUp(reasonCutOff, cutOffRetryAfter)
			return
		}
		c.tried[c.lastWorker] = true
		if !c.sends.maySend() {
			c.giveUp(reasonRefused, c.retryAfterRejection(100*time.Millisecond))
			return
		}
		c.logResend(result)
	}
}

// sendPooled sends the request to the picked worker. If the request is repeatable, can't have run yet
// and may run on several workers, it is hedged: a second copy goes to another worker if the first does
// not answer.
func (c *call) sendPooled(picked choice) *upstream.Result {
	if !c.repeatable() || c.sends.mayHaveRun() > 0 || !c.mayRunOnSeveralWorkers() {
		return c.sendTo(picked.backend, c.deadline.Add(-answerMargin))
	}
	return c.sendHedged(picked, func() *backend {
		required := c.requirements()
		required.sameRegionOnly = required.bulk // the link between regions must not carry a large body twice
		required.forHedge = true
		return c.pick(clock.Now(), required, map[workers.ID]bool{picked.backend.id(): true}).backend
	})
}

// pick chooses a worker that has not been tried and may get one more request now.
func (c *call) pick(now time.Time, required requirements, tried map[workers.ID]bool) choice {
	for {
		picked := c.proxy.fleet.pick(now, c.state, c.service, required, tried, int(c.proxy.Nodes.Load()))
		if picked.backend == nil {
			return picked
		}
		if required.forHedge && c.proxy.isLimited(picked.backend) {
			tried[picked.backend.id()] = true
			continue
		}
		if _, ok := c.acquirePermit(picked.backend, 0); ok {
			return picked
		}
		now = clock.Now()
	}
}

// awaitWorker picks a worker, and waits up to queueWaitShare of the target for one. It returns an
// empty choice if it has already answered the request.
func (c *call) awaitWorker() choice {
	waitLimit := c.began.Add(time.Duration(queueWaitShare * float64(c.route.Target)))
	for {
		if c.refuseLate() {
			return choice{}
		}
		now := clock.Now()
		if picked := c.pick(now, c.requirements(), c.tried); picked.backend != nil {
			if picked.estimate < c.timeLeft() || c.sends.mayHaveArrived() > 0 || picked.backend.estimateDecayed(now, defaultLatency) < c.timeLeft() {
				return picked
			}
			c.giveUp(reasonBusy, 100*time.Millisecond)
			return choice{}
		}
		if len(c.tried) > 0 && c.resetTried() {
			continue
		}
		if until, reason := c.allBlocked(now); reason != "" && until.After(waitLimit) {
			c.giveUp(reason, c.blockedRetryAfter(reason, until.Sub(now)))
			return choice{}
		}
		if c.proxy.Reachability.Unreachable() {
			if !c.forwardUnsent() {
				c.giveUp(reasonCutOff, cutOffRetryAfter)
			}
			return choice{}
		}
		if c.noWorkerInAllowedRegions() {
			c.giveUp(reasonRegion, regionRetryAfter)
			return choice{}
		}
		if now.After(waitLimit) || c.timeLeft() <= answerMargin {
			c.giveUp(c.noWorkerReason(), 100*time.Millisecond)
			return choice{}
		}
		if !c.waitInQueue() {
			return choice{}
		}
	}
}

// waitInQueue waits for queuePollInterval as one of the service's waiting requests. It returns false
// if it has already ended the request.
func (c *call) waitInQueue() bool {
	if c.claim.yields && c.state.halfFull(c.service.Queue) {
		c.giveUp(reasonOverShare, c.jitteredRetryAfter())
		return false
	}
	if !c.state.enqueue(c.service.Queue) {
		c.giveUp(reasonQueue, 100*time.Millisecond)
		return false
	}
	defer c.state.dequeue()
	return c.pause(queuePollInterval)
}

// resetTried makes all workers eligible again once each usable one has been tried. It returns false
// if some have not been tried.
func (c *call) resetTried() bool {
	if len(c.tried) < c.usableWorkerCount() {
		return false
	}
	clear(c.tried)
	return true
}

// noWorkerReason returns the reason for which no worker could be picked.
func (c *call) noWorkerReason() string {
	switch {
	case c.usableWorkerCount() == 0:
		return reasonNoWorker
	case c.claim.yields:
		return reasonOverShare
	}
	return reasonBusy
}
