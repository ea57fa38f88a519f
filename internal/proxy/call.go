package proxy

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/tenant"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// call is one client's request on its way.
type call struct {
	proxy   *Proxy
	writer  http.ResponseWriter
	request *http.Request
	message upstream.Message
	config  *routing.Config
	route   *routing.Route
	service *routing.Service
	// tenant whose API key the caller has shown; nil if there is none.
	tenant *routing.Tenant
	// former says who held the caller's key, where it was taken away.
	removedKey tenant.Former
	state      *serviceState
	key        int
	began      time.Time
	deadline   time.Time
	// counted is when the request was last counted against its tenant's limit; zero: never.
	quotaCountedAt time.Time
	// claim is what the request counts for where workers are short.
	claim claim
	// allowed grants each send before it leaves.
	sends sendTracker
	tried map[workers.ID]bool
	// named is the request's fingerprint; nil until it is asked for.
	fingerprintCache atomic.Pointer[quarantine.Fingerprint]
	// arrivedAs is how the request could be sent when it came, and closed counts the workers
	// that have closed its connection in mid-run.
	initialStanding   quarantine.Standing
	closedConnections atomic.Int32
	// last is what is known of the last send.
	lastResult *upstream.Result
	lastWorker workers.ID
	// holding is what the request holds of the memory for bodies.
	cleanups holding
	// unread says that the caller's body has not been read to its end.
	bodyUnread bool
	// detach lets the request go on when the process is about to end.
	detach func() bool
}

// prepare reads the request; false if it was answered.
func (c *call) prepare() bool {
	header := c.request.Header
	c.message = upstream.Message{
		Method: c.request.Method, URI: c.request.RequestURI, Host: c.request.Host,
		ID: header.Get(c.proxy.Headers.RequestID), Header: header,
		Guarded: c.message.Guarded, Tenant: c.message.Tenant,
	}
	c.deadline = c.began.Add(c.route.Timeout)
	if text := header.Get(c.proxy.Headers.DeadlineMillis); text != "" {
		millis, err := strconv.ParseFloat(text, 64)
		if err != nil || millis < 0 {
			c.refuse(http.StatusBadRequest, reasonMalformed, 0)
			return false
		}
		callerDeadline := c.began.Add(time.Duration(millis * float64(time.Millisecond)))
		if callerDeadline.Before(c.deadline) {
			c.deadline = callerDeadline
		}
	}
	c.message.Once = !c.route.Repeatable
	c.message.Room, c.message.Turns = c.proxy.Room, c.proxy.Turns
	c.message.Kept, c.message.Held = c.keepBack()
	if c.message.ID == "" {
		c.refuse(http.StatusBadRequest, reasonMalformed, 0)
		return false
	}
	return c.readBody()
}

// left is the time until the deadline.
func (c *call) timeLeft() time.Duration { return clock.Until(c.deadline) }

// repeatable reports whether the request may be sent after it may have run.
func (c *call) repeatable() bool { return c.route.Repeatable && c.message.Rest == nil }

// sendTo sends the request once and takes note of how it ended. The caller has asked
// whether a send is left.
func (c *call) sendTo(to *backend, until time.Time) *upstream.Result {
	c.sends.begin()
	c.countSend()
	worker, result := c.exchange(c.request.Context(), to, until)
	c.recordResult(worker, &result)
	return &result
}

// exchange sends the request once; it may run beside another copy.
func (c *call) exchange(ctx context.Context, to *backend, until time.Time) (workers.ID, upstream.Result) {
	p := c.proxy
	worker := to.info()
	mean, measured := to.meanLatency(defaultLatency)
	to.begin()
	result := upstream.Send(ctx, p.Headers, to.pool, &c.message, c.target(to, &worker), c.deadline, until)
	c.cleanups.add(result.Free)
	if streaming := result.Streaming(); streaming != nil {
		to.begin()
		go to.releaseAfter(streaming)
	}
	if to.finish(clock.Now(), &result) {
		p.Log.Line(decision.KindWorkerHealth).Str("worker", string(worker.ID)).Str("outcome", string(result.Outcome)).
			Str("id", c.message.ID).AnErr("error", result.Err).Msg("")
	}
	if c.service.Keyed && (result.Outcome == upstream.Answered || result.Outcome == upstream.Late) {
		p.Meter.CountResponse(worker.ID, result.Took)
	}
	if result.Outcome == upstream.Answered {
		c.weigh(&worker, &result)
		if measured {
			c.state.recordLatency(result.Took, mean)
		}
	}
	p.Metrics.sent(c.service.Name, result.Outcome)
	c.watchLimit(&worker, &result)
	c.recordNotice(to, &result)
	c.watchEnd(to, &result)
	c.cleared(&result)
	return worker.ID, result
}

// target describes the worker that a send is for.
func (c *call) target(to *backend, worker *workers.Worker) upstream.Target {
	return upstream.Target{ID: string(worker.ID), Admits: func() bool { return c.admits(to) }}
}

// note takes note of a send that has ended.
func (c *call) recordResult(worker workers.ID, result *upstream.Result) {
	c.lastResult, c.lastWorker = result, worker
	c.sends.finish(result.Outcome)
}

// finish ends the request if the last send decided it; false if another may be
// tried.
func (c *call) finish(result *upstream.Result) bool {
	switch result.Outcome {
	case upstream.Answered:
		if result.Status == http.StatusInternalServerError && c.mayResend() {
			return false
		}
		c.forwardAnswer(result)
		return true
	case upstream.Gone:
		c.abandon()
		return true
	case upstream.BodyCut:
		c.refuse(http.StatusBadGateway, reasonBody, 0)
		return true
	case upstream.Broken:
		if c.mayResend() {
			return false
		}
		c.refuse(http.StatusBadGateway, reasonBroken, 0)
		return true
	case upstream.Late:
		if c.mayResend() && c.timeLeft() > answerMargin {
			return false
		}
		c.refuse(http.StatusGatewayTimeout, reasonDeadline, 0)
		return true
	}
	if c.timeLeft() <= answerMargin {
		c.giveUp(reasonDeadline, 0)
		return true
	}
	if c.message.Spent() { // what is left of the body is no longer the whole of it
		c.giveUp(reasonRefused, 0)
		return true
	}
	return false
}

// abandon ends a request whose client has left, or that is under way when the process ends.
func (c *call) abandon() {
	if c.proxy.ending.Err() == nil {
		c.recordEnd(0, "client-gone")
		return
	}
	c.giveUp(reasonEnding, minRetryAfter)
}

// mayRepeat reports whether a request that may have run can be sent again.
func (c *call) mayResend() bool {
	return c.repeatable() && c.sends.maySend() && c.maySpread()
}

// giveUp ends a request that no worker answered: with a promise if it did not run.
func (c *call) giveUp(reason string, retryAfter time.Duration) {
	c.countLost(reason)
	c.giveUpWith(reason, max(retryAfter, minRetryAfter))
}

// giveUpForGood does the same and tells no time to come back.
func (c *call) giveUpWithoutRetry(reason string) { c.giveUpWith(reason, 0) }

func (c *call) giveUpWith(reason string, retryAfter time.Duration) {
	if c.sends.mayHaveRun() > 0 && !c.route.Repeatable {
		c.refuse(http.StatusBadGateway, reason, 0)
		return
	}
	c.refuse(http.StatusServiceUnavailable, reason, retryAfter)
}

// minRetryAfter is the shortest wait that a client is told.
const minRetryAfter = 50 * time.Millisecond

// returnSoon is when a client may come back whose request was turned away by the last worker that
// was asked: at once if that had slots to spare, since it may well take the next one, and a caller
// that waits misses its target for nothing; otherwise after the time for workers that are full.
func (c *call) retryAfterRejection(whenFull time.Duration) time.Duration {
	if c.lastResult != nil && c.lastResult.Outcome == upstream.NotRun && c.lastResult.Load.Idle(c.lastResult.Loaded) {
		return minRetryAfter
	}
	return whenFull
}
