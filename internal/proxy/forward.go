package proxy

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/forward"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/upstream"
)

// Headers of requests and answers between routers. They never reach callers or workers.
const (
	// callerHeader is the address of a forwarded request's caller.
	callerHeader = "Router-Caller"
	// tenantHeader is the tenant of a forwarded request's caller, as the router that forwards it has
	// identified it. API keys are not passed on between routers.
	tenantHeader = "Router-Tenant"
	// declinedHeader is set in the answer of a router that took no part in the request.
	declinedHeader = "Router-Declined"
)

const (
	// maxHelpers is the maximum number of routers to which one request is forwarded in turn, while it
	// has certainly not been taken by any.
	maxHelpers = 3
	// forwardShare is the fraction of the target latency after which a request that no router has taken
	// is offered to no further one.
	forwardShare = 0.5
	// forwardMargin is the part of the time before the deadline that is reserved for returning the
	// answer of another router.
	forwardMargin = 20 * time.Millisecond
	// cutOffRetryAfter is the Retry-After delay of a router that is cut off from the workers.
	cutOffRetryAfter = 200 * time.Millisecond
)

// Outcomes of forwarding a request, as metric labels.
const (
	forwardAnswered = "answered"
	forwardUntaken  = "not-taken"
	forwardFailed   = "failed"
	forwardReceived = "received"
)

// ServeForwarded serves requests that other routers forward. They are handled like those of this router's
// own callers, but are not forwarded again.
func (p *Proxy) ServeForwarded(writer http.ResponseWriter, request *http.Request) {
	p.Metrics.recordForward(forwardReceived)
	caller, _ := netip.ParseAddr(request.Header.Get(callerHeader)) // invalid if the caller's address is unknown
	tenant := routing.TenantName(request.Header.Get(tenantHeader))
	request.Header.Del(callerHeader)
	request.Header.Del(tenantHeader)
	p.serve(writer, request, origin{forwarded: true, caller: caller, tenant: tenant})
}

// origin is where a request came from.
type origin struct {
	// forwarded is set if another router has forwarded the request.
	forwarded bool
	// caller is the address of the caller; the zero address if it is unknown.
	caller netip.Addr
	// tenant is the one that the other router has identified; empty if it identified none.
	tenant routing.TenantName
}

// forwardWhileCutOff forwards the request if this process is cut off from the workers. It returns true if
// it has answered the request. Otherwise the request is handled here: a worker may be reached after all.
func (c *call) forwardWhileCutOff() bool {
	if !c.proxy.Reachability.CutOff(clock.Now()) {
		return false
	}
	if c.origin.forwarded {
		c.giveUp(reasonCutOff, cutOffRetryAfter)
		return true
	}
	return c.forward()
}

// declineForwarded marks the refusal of a request that another router has forwarded, so that it tries a
// third one: this router has no configuration, or an older one without the request's route.
func (c *call) declineForwarded() {
	if c.origin.forwarded {
		c.writer.Header().Set(declinedHeader, "1")
	}
}

// declineUnreachable is declineForwarded for a request that was sent to no worker because connections to the
// workers fail here as well.
func (c *call) declineUnreachable() {
	if c.sends.mayHaveArrived() == 0 && c.proxy.Reachability.Unreachable() {
		c.declineForwarded()
	}
}

// forwardUnsent forwards a request that no worker can have received, since connections to the workers
// fail. It returns true if it has answered the request. A request that counts against its tenant's limit
// is not forwarded, since it would count twice.
func (c *call) forwardUnsent() bool {
	if !c.proxy.Reachability.Unreachable() || c.origin.forwarded || c.forwarded || c.sends.mayHaveArrived() > 0 || !c.quotaCountedAt.IsZero() {
		return false
	}
	return c.forward()
}

// ForgiveFailures lets workers get requests at once that have failed while this process was cut off from
// all of them.
func (p *Proxy) ForgiveFailures() { p.fleet.forgiveFailures() }

// forward passes the whole request on to another router, which handles it like one of its own. It returns
// true if it has answered the request.
func (c *call) forward() bool {
	if c.proxy.Helpers == nil {
		return false
	}
	c.forwarded = true
	if !c.prepare() {
		return true
	}
	tried := map[string]bool{}
	limit := c.began.Add(time.Duration(forwardShare * float64(c.route.Target)))
	for range maxHelpers {
		if c.refuseLate() {
			return true
		}
		if len(tried) > 0 && clock.Now().After(limit) {
			return false
		}
		helper := c.proxy.Helpers.Take(clock.Now(), tried)
		if helper == nil {
			return false
		}
		tried[helper.Address] = true
		message := c.forwardedMessage()
		result := c.forwardTo(helper, message)
		if c.finishForwarded(result, message.BodyConsumed()) {
			return true
		}
	}
	return false
}

// forwardTo forwards the request to one router.
func (c *call) forwardTo(helper *forward.Helper, message *upstream.Message) *upstream.Result {
	c.sends.begin()
	result := upstream.Send(c.request.Context(), c.proxy.Headers, helper.Pool, message, upstream.Target{Admits: c.endsInTime}, c.deadline.Add(-forwardMargin), c.deadline.Add(-answerMargin))
	c.cleanups.add(result.Free)
	untaken := isUntaken(&result)
	if untaken {
		result.Outcome = upstream.NotSent
	}
	c.recordResult("", &result)
	answered := result.Status != 0 && !untaken
	c.proxy.Helpers.Return(clock.Now(), helper, answered || result.Outcome == upstream.ClientGone || result.Outcome == upstream.BodyTruncated)
	c.proxy.Metrics.recordForward(forwardOutcome(answered, untaken))
	return &result
}

// isUntaken reports whether the router certainly did not take the request: it was not reached, or declined.
func isUntaken(result *upstream.Result) bool {
	return result.Outcome == upstream.NotSent || result.Outcome == upstream.Withheld || result.Header.Get(declinedHeader) != ""
}

func forwardOutcome(answered, untaken bool) string {
	switch {
	case untaken:
		return forwardUntaken
	case answered:
		return forwardAnswered
	}
	return forwardFailed
}

// forwardedMessage returns the request as its caller sent it, with the caller's address, and its tenant in
// place of an API key that identified it.
func (c *call) forwardedMessage() *upstream.Message {
	header := c.message.Header.Clone()
	header.Del(callerHeader)
	header.Del(tenantHeader)
	if c.tenant != nil {
		header.Set(tenantHeader, string(c.tenant.Name))
	}
	if caller := c.callerAddress(); caller.IsValid() {
		header.Set(callerHeader, caller.String())
	}
	m := &c.message
	return &upstream.Message{
		Method: m.Method, URI: m.URI, Host: m.Host, ID: m.ID, Header: header, StripIdentity: m.StripIdentity,
		Body: m.Body, Rest: m.Rest, Interrupt: m.Interrupt, Length: m.Length,
		Budget: m.Budget, Shaper: m.Shaper, AnswerBufferSize: m.AnswerBufferSize, AnswerBufferTime: m.AnswerBufferTime,
	}
}

// finishForwarded answers the request by what came of forwarding it. It returns false if the router did
// not take it, so that another may.
func (c *call) finishForwarded(result *upstream.Result, bodyConsumed bool) bool {
	switch result.Outcome {
	case upstream.Answered:
		c.forwardAnswer(result)
	case upstream.ClientGone:
		c.abandon()
	case upstream.BodyTruncated:
		c.refuse(http.StatusBadGateway, reasonBody, 0)
	case upstream.TimedOut:
		c.refuse(http.StatusGatewayTimeout, reasonDeadline, 0)
	case upstream.Broken:
		c.refuse(http.StatusBadGateway, reasonAnswerLost, 0)
	default:
		switch {
		case c.timeLeft() <= answerMargin:
			c.giveUp(reasonDeadline, 0)
		case bodyConsumed:
			c.giveUp(reasonCutOff, cutOffRetryAfter)
		default:
			return false
		}
	}
	return true
}

// callerAddress returns the IP address of the request's caller; the zero address if it is unknown.
func (c *call) callerAddress() netip.Addr {
	if c.origin.forwarded {
		return c.origin.caller
	}
	return callerAddress(c.request.RemoteAddr)
}

// pruneHelpers closes unused connections to other routers.
func (p *Proxy) pruneHelpers(now time.Time) {
	if p.Helpers != nil {
		p.Helpers.Prune(now)
	}
}

// recordForward counts a request that was forwarded, by its outcome, or that another router forwarded.
func (m *Metrics) recordForward(outcome string) { m.forwards.WithLabelValues(outcome).Inc() }
