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

// Waiting and retry times of keyed requests.
const (
	// movingKeyWaitShare is the fraction of the target latency for which a request waits while its
	// key is moving to another owner.
	movingKeyWaitShare = 0.8
	// missingOwnerWaitShare is the fraction for which it waits if there is no usable owner, or for
	// the owner's rate limit.
	missingOwnerWaitShare = 0.22
	// noOwnerRetryAfter is the Retry-After delay if the key has no usable owner, and
	// stuckKeyRetryAfter the one if the key also can't be moved for now.
	noOwnerRetryAfter  = 200 * time.Millisecond
	stuckKeyRetryAfter = time.Second
	// ownerRetryPause is the pause before the request is sent to its owner again.
	ownerRetryPause = 25 * time.Millisecond
)

// serveKeyed sends the request to the worker that owns its key.
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
		if !c.admitByStanding() {
			return
		}
		if !c.spendRetryBudget() {
			c.giveUp(reasonBudget, c.retryAfterRejection(100*time.Millisecond))
			return
		}
		result := c.sendTo(to, c.deadline.Add(-answerMargin))
		if c.finish(result) || c.forwardUnsent() {
			return
		}
		if result.Outcome == upstream.ConnectionRejected { // no other worker may run it, and the owner has no capacity
			c.giveUp(reasonBusy, c.jitteredRetryAfter())
			return
		}
		if !c.sends.maySend() {
			c.giveUp(reasonRefused, c.retryAfterRejection(150*time.Millisecond))
			return
		}
		if to.backoffLeft(clock.Now()) > 0 {
			continue // awaitOwner refuses the request unless its key has moved
		}
		c.logResend(result)
		if !c.pause(ownerRetryPause) {
			return
		}
	}
}

// readKey returns the number of the request's key at a service, or false if the request has no
// valid key.
func (c *call) readKey(service *routing.Service) (int, bool) {
	if service.Key != nil {
		return service.Key(c.request)
	}
	key, err := strconv.Atoi(c.request.Header.Get(c.proxy.Headers.Key))
	return key, err == nil && key >= 0 && key < owner.KeyCount
}

// awaitOwner waits for the worker that owns the key and returns it. It returns nil if it has already
// answered the request.
func (c *call) awaitOwner() *backend {
	for {
		if c.refuseLate() {
			return nil
		}
		changed := c.proxy.Table.Changed()
		to, reason := c.findOwner()
		if to != nil {
			return c.admitToOwner(to)
		}
		if reason == reasonRegion {
			c.giveUp(reason, regionRetryAfter)
			return nil
		}
		if reason == reasonOwnerDown && c.forwardUnsent() {
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

// ownerWaitShare returns the fraction of the target for which a request waits for a usable owner,
// given the reason why there is none. It is 0 if waiting can't help.
func (c *call) ownerWaitShare(reason string) float64 {
	switch {
	case reason == reasonMoving:
		return movingKeyWaitShare
	case c.cannotReassignKey(reason):
		return 0
	case reason == reasonOwnerDown && c.proxy.Reachability.Unreachable():
		return 0
	}
	return missingOwnerWaitShare
}

// cannotReassignKey reports whether the key has lost its owner and can't get another one for now.
func (c *call) cannotReassignKey(reason string) bool {
	return reason == reasonOwnerGone && c.proxy.KeyMovesBlocked != nil && c.proxy.KeyMovesBlocked()
}

// ownerRetryAfter returns the Retry-After delay of a request whose key has no usable owner. While
// the key can't be moved every router refuses the request, so the delay is longer.
func (c *call) ownerRetryAfter(reason string) time.Duration {
	if c.cannotReassignKey(reason) {
		return stuckKeyRetryAfter
	}
	return noOwnerRetryAfter
}

// findOwner returns the worker to which the key's requests may be sent now, or the reason why there
// is none.
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
	case c.regionBound() && !c.allowedIn(c.proxy.fleet.regionOf(to.info())):
		return nil, reasonRegion
	case c.proxy.fleet.directory.EvacuatedFor(to.info().Zone) > c.evacuationGrace():
		return nil, reasonEvacuated
	case !to.usableAsOwner(clock.Now()), to.isFailing() && c.proxy.Reachability.Unreachable():
		return nil, reasonOwnerDown
	}
	return to, ""
}

// ownerLookupInterval is the longest wait before the owner is looked up again. A table change ends
// the wait earlier.
const ownerLookupInterval = 20 * time.Millisecond

// awaitTableChange waits for a change of the key table, but no longer than wait or
// ownerLookupInterval. It returns false if it has already ended the request.
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

// If an owner rejects requests, the Retry-After delay is between these fractions of the target, so
// that clients do not all retry at the same time.
const (
	minRetryAfterShare = 0.25
	maxRetryAfterShare = 0.75
)

// admitToOwner returns the owner if the request may be sent to it now, after any wait that the
// owner's rate limit requires. It refuses the request and returns nil if the owner is in a backoff,
// could not answer in time, would probably reject the request, or gets no more for now.
func (c *call) admitToOwner(to *backend) *backend {
	now := clock.Now()
	if wait := to.backoffLeft(now); wait > 0 {
		c.giveUp(reasonBackoff, c.backoffRetryAfter(wait))
		return nil
	}
	if reason := c.refusalReason(now, to); reason != "" {
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
	wait, ok := c.acquirePermit(to, c.maxLimitWait())
	if !ok {
		c.giveUp(reasonLimited, limitRetryAfter(wait))
		return nil
	}
	if wait > 0 && !c.pause(wait) {
		return nil
	}
	return to
}

// maxLimitWait returns for how long a request may wait for the rate limit of its owner.
func (c *call) maxLimitWait() time.Duration {
	return min(time.Duration(missingOwnerWaitShare*float64(c.route.Target)), max(0, c.timeLeft()-answerMargin))
}

// jitteredRetryAfter returns a random Retry-After delay, as a fraction of the target, for a request
// that can't be accepted now.
func (c *call) jitteredRetryAfter() time.Duration {
	share := minRetryAfterShare + (maxRetryAfterShare-minRetryAfterShare)*rand.Float64()
	return time.Duration(share * float64(c.route.Target))
}

// ownerBackend returns the backend of the key's assigned worker, or nil if that worker must not
// receive requests.
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

// detectionShare is the fraction of the drain and evacuation periods that is reserved for late
// detection: a leader is considered lost only after 1.1 s of silence, and updates that it did not
// send are read after that.
const detectionShare = 0.5

// leavingGrace returns for how long a worker still gets requests for its keys after it is known to be
// draining or is no longer announced.
func (c *call) leavingGrace() time.Duration {
	return time.Duration((1 - detectionShare) * float64(c.proxy.DrainPeriod))
}

// evacuationGrace returns for how long owners in an evacuated zone still get requests after this
// process has learned of the evacuation. Their keys move to other workers during that time.
func (c *call) evacuationGrace() time.Duration {
	return time.Duration((1 - detectionShare) * float64(c.proxy.EvacuationPeriod))
}

// drainedFor returns for how long a worker has been draining.
func (c *call) drainedFor(id workers.ID) time.Duration {
	return c.proxy.fleet.directory.DrainingFor(id)
}

// pause waits, at most until the deadline. It returns false if the request was canceled meanwhile.
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
