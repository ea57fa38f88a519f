package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/balance"
	"github.com/shalefork/shalefork/internal/retry"
	"github.com/shalefork/shalefork/internal/wire"
)

// headerTrue is the value of a header that is a flag.
const headerTrue = "true"

// maxRefusalBody is the most read of a refusal's body, which is not passed on.
const maxRefusalBody = 4 << 10

// reply is the end of one try: an answer to pass on, or a failure.
type reply struct {
	response *http.Response // nil for a failure
	failure  retry.Attempt
	result   balance.Result
	server   wire.TableServer
	latency  time.Duration
	// finish gives the slot back and ends the try. It may be called twice.
	finish func()
}

// try follows the connections of one try.
type try struct {
	mu      sync.Mutex
	conns   []*trackedConn
	account account
	// once forbids a second connection after a write has begun on another.
	once bool
}

// gotConn is called by net/http before it writes to a connection.
func (t *try) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		panic("connection was not opened by the gateway")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	conn.begin(&t.account)
	if t.once && t.account.begun.Load() {
		conn.seal(&t.account) // net/http tries again by itself; its write must fail
		return
	}
	t.conns = append(t.conns, conn)
}

// seal closes the try's connections and reports whether any byte may have left.
func (t *try) seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.conns {
		conn.seal(&t.account)
	}
	return t.account.begun.Load()
}

// send makes one try at a reserved target.
func (g *Gateway) send(ctx context.Context, c *call, to target, id wire.RequestID) *reply {
	began := time.Now()
	ended := &reply{server: to.server}
	ended.finish = sync.OnceFunc(func() {
		if ended.response != nil {
			_ = ended.response.Body.Close()
		}
		c.service.done(to.server.Name, ended.result, ended.latency, time.Since(began))
		g.metrics.Attempts.WithLabelValues(string(ended.result)).Inc()
	})
	through := g.backends.get(to.server.Name)
	if through == nil {
		ended.fail(balance.ResultNeutral, retry.Attempt{Reason: wire.ReasonNoBackend})
		return ended
	}
	followed := &try{once: !c.repeatable()}
	trace := &httptrace.ClientTrace{GotConn: followed.gotConn}
	trying, answered := c.service.begin(ctx, c, to)
	request := g.outgoing(httptrace.WithClientTrace(trying, trace), c, to, id)
	response, err := through.transport.RoundTrip(request)
	answered()
	ended.latency = time.Since(began)
	if err != nil {
		ended.fail(failedResult(trying, c, err), retry.Attempt{
			BytesSent: followed.seal(),
			Reason:    failedReason(trying, err),
		})
		return ended
	}
	if load, err := strconv.Atoi(response.Header.Get(wire.HeaderLoad)); err == nil && load >= 0 {
		c.service.answeredLoad(to.server.Name, load)
	}
	if response.Header.Get(wire.HeaderDraining) == headerTrue {
		c.service.draining(to.server.Name)
	}
	g.judge(ended, followed, response, id)
	return ended
}

// fail ends the try without an answer to pass on.
func (r *reply) fail(result balance.Result, failure retry.Attempt) {
	r.result = result
	r.failure = failure
	r.finish()
}

// judge checks that the answer is the one to this try.
func (g *Gateway) judge(ended *reply, followed *try, response *http.Response, id wire.RequestID) {
	if response.Header.Get(wire.HeaderRequestID) != string(id) {
		followed.seal() // whatever else comes on it belongs to others
		_ = response.Body.Close()
		g.metrics.Mismatched.Inc()
		ended.fail(mismatchResult(response), retry.Attempt{
			BytesSent: true,
			Reason:    wire.ReasonMismatchedReply,
		})
		return
	}
	if !hasKnownEnd(response) {
		followed.seal()
		_ = response.Body.Close()
		ended.fail(balance.ResultServerError, retry.Attempt{BytesSent: true, Reason: wire.ReasonAnswerLost})
		return
	}
	switch outcome := wire.Outcome(response.Header.Get(wire.HeaderOutcome)); outcome {
	case wire.OutcomeNotRun, wire.OutcomeUnknown:
		g.judgeRefusal(ended, response, outcome)
	default:
		ended.response = response
		ended.result = answeredResult(response.StatusCode)
	}
}

// hasKnownEnd reports whether it can be seen where the answer ends. One that
// lasts until the connection closes looks the same when it was cut; one that is
// no final answer, as after a change of protocol, has no end.
func hasKnownEnd(response *http.Response) bool {
	if response.StatusCode < http.StatusOK {
		return false
	}
	return response.ContentLength >= 0 || response.Body == http.NoBody || len(response.TransferEncoding) > 0
}

// judgeRefusal takes a server's own word on what it did not run.
func (g *Gateway) judgeRefusal(ended *reply, response *http.Response, outcome wire.Outcome) {
	reason := knownReason(response.Header.Get(wire.HeaderReason), outcome)
	ended.latency = 0                                          // a refusal is quick whatever the load
	_, _ = io.CopyN(io.Discard, response.Body, maxRefusalBody) // keeps the connection
	ended.response = response
	ended.fail(refusedResult(reason), retry.Attempt{
		BytesSent:    true,
		ServerNotRun: outcome == wire.OutcomeNotRun,
		Reason:       reason,
	})
	ended.response = nil
}

// mismatchResult tells an answer to somebody else from one without an id by
// which HTTP itself refuses the request, as for its length: a caller can bring
// that about at any server.
func mismatchResult(response *http.Response) balance.Result {
	class := response.StatusCode / 100
	if response.Header.Get(wire.HeaderRequestID) == "" && class == http.StatusBadRequest/100 {
		return balance.ResultServerError
	}
	return balance.ResultUnreachable
}

func answeredResult(status int) balance.Result {
	if status >= http.StatusInternalServerError {
		return balance.ResultServerError
	}
	return balance.ResultAnswered
}

func refusedResult(reason wire.Reason) balance.Result {
	if reason == wire.ReasonOverloaded || reason == wire.ReasonDraining {
		return balance.ResultRefused
	}
	return balance.ResultNeutral
}

// knownReason keeps unknown words of servers out of metrics and answers.
func knownReason(text string, outcome wire.Outcome) wire.Reason {
	switch reason := wire.Reason(text); reason {
	case wire.ReasonNoGrant, wire.ReasonExpired, wire.ReasonWrongFence, wire.ReasonWrongBundle,
		wire.ReasonReleasing, wire.ReasonOverloaded, wire.ReasonDraining, wire.ReasonDeadline,
		wire.ReasonMalformed:
		return reason
	}
	if outcome == wire.OutcomeUnknown {
		return wire.ReasonAnswerLost
	}
	return wire.ReasonNoBackend
}

// failedResult tells a back end's failure from a caller that went away, or that
// gave it no time.
func failedResult(ctx context.Context, c *call, err error) balance.Result {
	if errors.Is(err, errBodyBroken) || errors.Is(err, errBodyTooLarge) || errors.Is(err, errDialBudget) {
		return balance.ResultNeutral
	}
	switch {
	case ctx.Err() == nil:
		return balance.ResultUnreachable
	case errors.Is(context.Cause(ctx), errDeadline) && c.cutShort():
		return balance.ResultNeutral
	case errors.Is(context.Cause(ctx), errDeadline), errors.Is(context.Cause(ctx), errMoved):
		return balance.ResultTimeout
	default:
		return balance.ResultNeutral
	}
}

func failedReason(ctx context.Context, err error) wire.Reason {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return wire.ReasonTooLarge
	case errors.Is(context.Cause(ctx), errDeadline):
		return wire.ReasonDeadline
	default:
		return wire.ReasonAnswerLost
	}
}
