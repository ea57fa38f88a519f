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

// call is the state of one client request while it is being handled.
type call struct {
	proxy   *Proxy
	writer  http.ResponseWriter
	request *http.Request
	message upstream.Message
	config  *routing.Config
	route   *routing.Route
	service *routing.Service
	// tenant is the one whose API key the caller presented; nil if there is none.
	tenant *routing.Tenant
	// removedKey describes the caller's API key if that has been removed from the configuration.
	removedKey tenant.RevokedKey
	state      *serviceState
	key        int
	began      time.Time
	deadline   time.Time
	// quotaCountedAt is when the request was last counted against its tenant's limit; zero if it
	// was not.
	quotaCountedAt time.Time
	// claim is the request's tenant, priority and weight for fair sharing of scarce workers.
	claim claim
	// sends permits and counts each send before it starts.
	sends sendTracker
	// tried contains workers that are not picked again, until all usable ones have been tried.
	tried map[workers.ID]bool
	// fingerprintCache is the request's fingerprint; nil until it is first computed.
	fingerprintCache atomic.Pointer[quarantine.Fingerprint]
	// initialStanding is the request's quarantine standing on arrival. closedConnections counts
	// the sends during which the worker closed the connection.
	initialStanding   quarantine.Standing
	closedConnections atomic.Int32
	// interrupted is set once a send was interrupted, so that its worker may have crashed.
	interrupted atomic.Bool
	// holdsSuspectPermit is set while no other attempt of this suspected request may run.
	holdsSuspectPermit bool
	// lastResult and lastWorker describe the most recently completed send.
	lastResult *upstream.Result
	lastWorker workers.ID
	// cleanups release the request's body memory and other resources when it ends.
	cleanups cleanupList
	// origin is where the request came from.
	origin origin
	// prepared is set once the headers were parsed and the body was read, and forwarded once the request
	// was offered to other routers.
	prepared, forwarded bool
	// bodyUnread reports that the caller's body has not been read to its end.
	bodyUnread bool
	// bodyInterrupted is set once the router itself has ended the caller's body. net/http then cancels the
	// request's context, as if the caller were gone.
	bodyInterrupted atomic.Bool
	// detach keeps the request from being canceled when the process shuts down.
	detach func() bool
}

// prepare parses the headers and reads the body. It returns false if it has already answered the
// request.
func (c *call) prepare() bool {
	if c.prepared {
		return c.checkBodyLength()
	}
	c.prepared = true
	header := c.request.Header
	c.message = upstream.Message{
		Method: c.request.Method, URI: c.request.RequestURI, Host: c.request.Host,
		ID: header.Get(c.proxy.Headers.RequestID), Header: header,
		StripIdentity: c.message.StripIdentity, Tenant: c.message.Tenant,
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
	c.message.AtMostOnce = !c.route.Repeatable
	c.message.Budget, c.message.Shaper = c.proxy.MemoryBudget, c.proxy.LinkShaper
	c.message.AnswerBufferSize, c.message.AnswerBufferTime = c.answerBuffering()
	if c.message.ID == "" {
		c.refuse(http.StatusBadRequest, reasonMalformed, 0)
		return false
	}
	c.bodyUnread = c.request.Body != nil && c.request.Body != http.NoBody
	return !c.refuseLate() && c.readBody()
}

// timeLeft returns the time until the deadline.
func (c *call) timeLeft() time.Duration { return clock.Until(c.deadline) }

// repeatable reports whether the request may be sent again although it may already have run.
func (c *call) repeatable() bool { return c.route.Repeatable && c.message.Rest == nil }

// sendTo sends the request once and records the result. The caller has checked that another send
// is permitted.
func (c *call) sendTo(to *backend, until time.Time) *upstream.Result {
	c.sends.begin()
	c.recordQuotaSend()
	worker, result := c.exchange(c.request.Context(), to, until)
	c.recordResult(worker, &result)
	return &result
}

// exchange sends the request once. It may run concurrently with another copy of the request.
func (c *call) exchange(ctx context.Context, to *backend, until time.Time) (workers.ID, upstream.Result) {
	p := c.proxy
	worker := to.info()
	mean, measured := to.meanLatency(defaultLatency)
	to.begin()
	began := clock.Now()
	p.Reachability.BeginSend(began)
	result := upstream.Send(ctx, p.Headers, to.pool, &c.message, c.target(to, &worker), c.deadline, until)
	othersAnswered := p.Reachability.HeardSince(began)
	p.Reachability.EndSend(clock.Now(), worker.ID, result.Status != 0, connectionFailed(&result, othersAnswered))
	c.cleanups.add(result.Free)
	if streaming := result.StreamDone(); streaming != nil {
		to.begin()
		go to.releaseAfter(streaming)
	}
	if to.finish(clock.Now(), &result) {
		p.Log.Line(decision.KindWorkerHealth).Str("worker", string(worker.ID)).Str("outcome", string(result.Outcome)).
			Str("id", c.message.ID).AnErr("error", result.Err).Msg("")
	}
	if c.service.Keyed {
		p.countResponse(worker.ID, &result, othersAnswered)
	}
	if result.Outcome == upstream.Answered {
		c.recordSize(&worker, &result)
		if measured {
			c.state.recordLatency(result.Took, mean)
		}
	}
	p.Metrics.recordSend(c.service.Name, &result)
	c.recordLimit(&worker, &result)
	c.recordNotice(to, &result)
	c.recordWorkerEnd(to, &result)
	c.clearSuspect(&result)
	return worker.ID, result
}

// countResponse counts a response of an owner of keys for the report to the leader, or its rejection of a
// request.
func (p *Proxy) countResponse(worker workers.ID, result *upstream.Result, othersAnswered bool) {
	switch {
	case result.Outcome == upstream.Answered, result.Outcome == upstream.TimedOut && othersAnswered:
		p.Meter.CountResponse(worker, result.Took)
	case result.Outcome == upstream.NotRun:
		p.Meter.CountRejection(worker)
	}
}

// connectionFailed reports whether a send may have ended without an answer for want of a path to the
// worker. A worker that stays silent while others answer is slow.
func connectionFailed(result *upstream.Result, othersAnswered bool) bool {
	switch result.Outcome {
	case upstream.NotSent, upstream.Broken:
		return result.Status == 0 && !result.LacksDescriptors()
	case upstream.TimedOut:
		return !othersAnswered
	}
	return false
}

// target describes the worker to send to.
func (c *call) target(to *backend, worker *workers.Worker) upstream.Target {
	return upstream.Target{ID: string(worker.ID), Admits: func() bool { return c.admits(to) }}
}

// recordResult records the result of a completed send.
func (c *call) recordResult(worker workers.ID, result *upstream.Result) {
	c.lastResult, c.lastWorker = result, worker
	c.sends.finish(result.Outcome)
}

// finish answers the request if the result of the send is final. It returns false if another send
// may be tried.
func (c *call) finish(result *upstream.Result) bool {
	switch result.Outcome {
	case upstream.Answered:
		if result.Status == http.StatusInternalServerError && c.mayResend() && c.endsInTime() {
			return false
		}
		c.forwardAnswer(result)
		return true
	case upstream.ClientGone:
		c.abandon()
		return true
	case upstream.BodyTruncated:
		c.refuse(http.StatusBadGateway, reasonBody, 0)
		return true
	case upstream.Broken:
		if c.mayResend() {
			return false
		}
		c.refuse(http.StatusBadGateway, reasonAnswerLost, 0)
		return true
	case upstream.TimedOut:
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
	if c.message.BodyConsumed() { // part of the streamed body was consumed, so that it can't be sent again
		c.giveUp(reasonRefused, 0)
		return true
	}
	return false
}

// abandon ends a request whose context was canceled: the client disconnected, or the process shuts
// down.
func (c *call) abandon() {
	if c.proxy.ending.Err() == nil {
		c.recordEnd(0, "client-gone")
		c.abortConnection() // net/http would send an empty response with status 200
	}
	c.giveUp(reasonEnding, minRetryAfter)
}

// mayResend reports whether a request that may have run can be sent again.
func (c *call) mayResend() bool {
	return c.repeatable() && c.sends.maySend() && c.mayRunOnSeveralWorkers()
}

// giveUp refuses a request that no worker answered. The status is 503 with a Retry-After header of
// at least minRetryAfter if the request did not run or is repeatable, and 502 otherwise. A request
// refused for lack of capacity is counted as unserved.
func (c *call) giveUp(reason string, retryAfter time.Duration) {
	c.recordUnserved(reason)
	c.giveUpWith(reason, max(retryAfter, minRetryAfter))
}

// giveUpWithoutRetry is like giveUp, but sends no Retry-After header and never counts the request as
// unserved.
func (c *call) giveUpWithoutRetry(reason string) { c.giveUpWith(reason, 0) }

func (c *call) giveUpWith(reason string, retryAfter time.Duration) {
	c.declineUnreachable()
	if c.sends.mayHaveRun() > 0 && !c.route.Repeatable {
		c.refuse(http.StatusBadGateway, reason, 0)
		return
	}
	c.refuse(http.StatusServiceUnavailable, reason, retryAfter)
}

// minRetryAfter is the shortest Retry-After delay that is sent to clients.
const minRetryAfter = 50 * time.Millisecond

// retryAfterRejection returns the Retry-After delay after the last worker rejected the request:
// minRetryAfter if that worker reported free slots, since it may well accept the next request and a
// longer wait would make the caller miss its target needlessly; otherwise whenFull.
func (c *call) retryAfterRejection(whenFull time.Duration) time.Duration {
	if c.lastResult != nil && c.lastResult.Outcome == upstream.NotRun && c.lastResult.Load.HasFreeSlot(c.lastResult.HasLoad) {
		return minRetryAfter
	}
	return whenFull
}
