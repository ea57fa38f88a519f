package proxy

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// Times of keyed requests.
const (
	// movingKeyWaitShare is the share of the target for which a request waits while its
	// key moves.
	movingKeyWaitShare = 0.8
	// missingOwnerWaitShare is the share for which it waits where no owner is known.
	missingOwnerWaitShare = 0.22
	// noOwnerRetryAfter is when a caller may come back that has found no owner, and stuckKeyRetryAfter when its key
	// can't move for now.
	noOwnerRetryAfter  = 200 * time.Millisecond
	stuckKeyRetryAfter = time.Second
	// ownerRetryPause is the pause before an owner that refused is asked again.
	ownerRetryPause = 25 * time.Millisecond
)

// serveKeyed sends the request to the worker that holds its key.
func (c *call) serveKeyed() {
	key, found := c.readKey(c.service)
	if !found {
		c.refuse(http.StatusBadRequest, reasonMalformed, 0)
		return
	}
	c.key = key
	c.proxy.Meter.CountRequest(c.service.Name, key)
	for {
		to := c.awaitOwner()
		if to == nil {
			return
		}
		if c.quarantined() {
			return
		}
		if !c.spendRetryBudget() {
			c.giveUp(reasonBudget, c.retryAfterRejection(100*time.Millisecond))
			return
		}
		result := c.sendTo(to, c.deadline.Add(-answerMargin))
		if c.finish(result) {
			return
		}
		if result.Outcome == upstream.TurnedAway { // no other may run it, and this one has no room
			c.giveUp(reasonBusy, c.jitteredRetryAfter())
			return
		}
		if !c.sends.maySend() {
			c.giveUp(reasonRefused, c.retryAfterRejection(150*time.Millisecond))
			return
		}
		if to.backoffLeft(clock.Now()) > 0 {
			continue // it is refused, unless its key has moved
		}
		c.logResend(result)
		if !c.pause(ownerRetryPause) {
			return
		}
	}
}

// readKey returns the number of the request's key at a service; false if it has none.
func (c *call) readKey(service *routing.Service) (int, bool) {
	if service.Key != nil {
		return service.Key(c.request)
	}
	key, err := strconv.Atoi(c.request.Header.Get(c.proxy.Headers.Key))
	return key, err == nil && key >= 0 && key < owner.KeyCount
}

// awaitOwner returns the worker that holds the key, nil after it has answered.
func (c *call) awaitOwner() *backend {
	for {
		changed := c.proxy.Table.Changed()
		to, reason := c.findOwner()
		if to != nil {
			return c.admitToOwner(to)
		}
		if reason == reasonRegion {
			c.giveUp(reason, regionReturn)
			return nil
		}
		share := c.ownerWaitShare(reason)
		limit := c.began.Add(time.Duration(share * float64(c.route.Target)))
		wait := min(clock.Until(limit), c.timeLeft()-answerMargin)
		if wait <= 0 {
			c.giveUp(reason, c.ownerRetryAfter(reason))
			return nil
		}
		if !c.awaitTableChange(changed, wait) {
			return nil
		}
	}
}

// ownerPatience is the share of the target for which a request waits for an owner, by why there is none:
// none where it would wait in vain.
func (c *call) ownerWaitShare(reason string) float64 {
	switch {
	case reason == reasonMoving:
		return movingKeyWaitShare
	case c.cannotReassignKey(reason):
		return 0
	}
	return missingOwnerWaitShare
}

// keyStays reports whether the key has lost its owner and can't get another one now.
func (c *call) cannotReassignKey(reason string) bool {
	return reason == reasonOwnerGone && c.proxy.KeysStay != nil && c.proxy.KeysStay()
}

// ownerReturn is when a caller may come back for whose key there is no owner. While the key can't move
// each router refuses it, and the later a caller tries the better.
func (c *call) ownerRetryAfter(reason string) time.Duration {
	if c.cannotReassignKey(reason) {
		return stuckKeyRetryAfter
	}
	return noOwnerRetryAfter
}

// findOwner returns the worker that may be sent the key's requests now, or why
// there is none.
func (c *call) findOwner() (*backend, string) {
	assigned, known := c.proxy.Table.Lookup(c.service.Name, c.key)
	switch {
	case !known:
		return nil, reasonNoOwner
	case assigned.Moving:
		return nil, reasonMoving
	}
	to := c.ownerBackend(assigned)
	switch {
	case to == nil:
		return nil, reasonOwnerGone
	case c.bound() && !c.servedIn(c.proxy.fleet.regionOf(to.info())):
		return nil, reasonRegion
	case c.proxy.fleet.directory.EvacuatedFor(to.info().Zone) > c.evacuationGrace():
		return nil, reasonEvacuated
	case !to.usableAsOwner(clock.Now()):
		return nil, reasonOwnerDown
	}
	return to, ""
}

// ownerLookupInterval is the longest wait before the owner is looked up again.
const ownerLookupInterval = 20 * time.Millisecond

// awaitTable waits for a change of owners; false if the request has ended.
func (c *call) awaitTableChange(changed <-chan struct{}, wait time.Duration) bool {
	if !c.state.enqueue(c.service.Queue) {
		c.giveUp(reasonQueue, 100*time.Millisecond)
		return false
	}
	defer c.state.dequeue()
	timer := time.NewTimer(min(wait, ownerLookupInterval))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-c.request.Context().Done():
		c.abandon()
		return false
	}
	return true
}

// Where an owner turns requests away, a client is told to come back after between these
// shares of the target, so that not all are back at once.
const (
	minRetryAfterShare = 0.25
	maxRetryAfterShare = 0.75
)

// unlessBusy refuses a request that the owner could not answer in time, or would
// probably turn away.
func (c *call) admitToOwner(to *backend) *backend {
	now := clock.Now()
	if wait := to.backoffLeft(now); wait > 0 {
		c.giveUp(reasonBackoff, c.backoffRetryAfter(wait))
		return nil
	}
	if reason := c.turnedBack(now, to); reason != "" {
		c.giveUp(reason, c.jitteredRetryAfter())
		return nil
	}
	estimated := to.estimateDecayed(now, defaultLatency)
	if estimated > c.timeLeft() {
		c.giveUp(reasonBusy, min(estimated-c.timeLeft(), 300*time.Millisecond))
		return nil
	}
	if !to.admit(now, c.service.ColdRate, int(c.proxy.Nodes.Load())) {
		c.giveUp(reasonCold, c.jitteredRetryAfter())
		return nil
	}
	wait, ok := c.permitted(to, c.maxLimitWait())
	if !ok {
		c.giveUp(reasonLimited, returnWhenLet(wait))
		return nil
	}
	if wait > 0 && !c.pause(wait) {
		return nil
	}
	return to
}

// limitPatience is for how long a request waits for its turn at an owner that names a limit.
func (c *call) maxLimitWait() time.Duration {
	return min(time.Duration(missingOwnerWaitShare*float64(c.route.Target)), max(0, c.timeLeft()-answerMargin))
}

// returnAfter is when a client may come back whose owner takes no more now.
func (c *call) jitteredRetryAfter() time.Duration {
	share := minRetryAfterShare + (maxRetryAfterShare-minRetryAfterShare)*rand.Float64()
	return time.Duration(share * float64(c.route.Target))
}

// holder returns the backend that the table names; nil if it must not get work.
func (c *call) ownerBackend(assigned owner.Owner) *backend {
	worker, announced := c.proxy.fleet.directory.Get(assigned.Worker)
	if !announced {
		if c.proxy.fleet.directory.GoneFor(assigned.Worker) > c.leavingGrace() {
			return nil
		}
		worker = workers.Worker{ID: assigned.Worker, Address: assigned.Address, Service: c.service.Name, Slots: 1, State: workers.StateReady}
	}
	if (!announced || worker.State == workers.StateDraining) && c.drainedFor(worker.ID) > c.leavingGrace() {
		return nil
	}
	return c.proxy.fleet.get(worker)
}

// detectionShare of the time for which a worker that leaves may get requests is kept for
// hearing of it late: a leader's silence counts for 1.1 s, and what it did not tell is
// read after that.
const detectionShare = 0.5

// leavingGrace is for how long a worker that leaves still gets requests for the keys
// that it holds, once this process has heard of it.
func (c *call) leavingGrace() time.Duration {
	return time.Duration((1 - detectionShare) * float64(c.proxy.Drain))
}

// evacuationGrace is for how long owners of keys in an evacuated zone still get requests,
// once this process has heard of it: their keys move meanwhile.
func (c *call) evacuationGrace() time.Duration {
	return time.Duration((1 - detectionShare) * float64(c.proxy.Evacuate))
}

// drainedFor returns how long a worker has been draining.
func (c *call) drainedFor(id workers.ID) time.Duration {
	return c.proxy.fleet.directory.DrainingFor(id)
}

// pause waits; false if the request ended meanwhile.
func (c *call) pause(wait time.Duration) bool {
	timer := time.NewTimer(min(wait, max(0, c.timeLeft())))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.request.Context().Done():
		c.abandon()
		return false
	}
}
