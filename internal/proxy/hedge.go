package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// Parameters of hedging: a second copy of a repeatable request is sent if the first has not been
// answered after some time, since its worker may be slow or the answer may have been lost.
const (
	// hedgeFactor is the delay before the second copy as a multiple of the estimated latency.
	hedgeFactor = 3.0
	// hedgeMinShare and hedgeMaxShare bound that delay as fractions of the target latency.
	hedgeMinShare = 0.9
	hedgeMaxShare = 1.3
	// hedgeMaxLoad is the load ratio (requests per slot) of a worker above which it gets no second
	// copy: the lack of an answer is then explained by waiting.
	hedgeMaxLoad = 0.7
)

// copyResult is the result of sending one copy of a request.
type copyResult struct {
	backend *backend
	worker  workers.ID
	result  upstream.Result
	// panicked is the value with which the copy's goroutine panicked; nil if it did not.
	panicked any
}

// hedgedSend sends up to two copies of one request.
type hedgedSend struct {
	call     *call
	ctx      context.Context
	cancel   context.CancelFunc
	results  chan copyResult
	inFlight int
}

// launch starts sending one copy.
func (h *hedgedSend) launch(to *backend) {
	h.inFlight++
	c := h.call
	c.sends.begin()
	c.recordQuotaSend()
	until := c.deadline.Add(-answerMargin)
	go h.run(to, until)
}

// run sends one copy and reports its result. A panic is passed to the goroutine of the request's
// handler, where it aborts one connection. In this goroutine it would terminate the process, and
// the client would then retry the request at the next router.
func (h *hedgedSend) run(to *backend, until time.Time) {
	defer func() {
		if panicked := recover(); panicked != nil {
			h.results <- copyResult{backend: to, panicked: panicked}
		}
	}()
	worker, result := h.call.exchange(h.ctx, to, until)
	h.results <- copyResult{backend: to, worker: worker, result: result}
}

// sendHedged sends a repeatable request, and a second copy if the first is not answered within
// hedgeAfter. second returns the worker for the second copy, or nil if there is none.
func (c *call) sendHedged(first choice, second func() *backend) *upstream.Result {
	ctx, cancel := context.WithCancel(c.request.Context())
	h := &hedgedSend{call: c, ctx: ctx, cancel: cancel, results: make(chan copyResult, 2)}
	h.launch(first.backend)
	timer := time.NewTimer(c.hedgeAfter(first.estimate))
	defer timer.Stop()
	for {
		select {
		case finished := <-h.results:
			h.inFlight--
			if finished.panicked != nil {
				h.cancel()
				panic(finished.panicked)
			}
			c.recordResult(finished.worker, &finished.result)
			if h.inFlight == 0 || isDecisive(&finished.result) {
				return h.accept(finished)
			}
		case <-timer.C:
			if other := c.hedgeTarget(second); other != nil {
				h.launch(other)
			}
		}
	}
}

// isDecisive reports whether the result makes the other copy of the request superfluous. A worker's
// server error does not: the other copy may still succeed, and canceling it would interrupt work
// that is running.
func isDecisive(result *upstream.Result) bool {
	return result.Outcome == upstream.Answered && result.Status < http.StatusInternalServerError
}

// accept returns a copy's result and cancels the other copy: immediately, or after a streamed
// answer has been forwarded.
func (h *hedgedSend) accept(finished copyResult) *upstream.Result {
	if finished.result.Stream == nil {
		h.cancel()
	} else {
		h.call.cleanups.add(h.cancel)
	}
	return &finished.result
}

// hedgeAfter returns the delay before the second copy is sent: the service's configured one, or one
// derived from the estimated latency and the target.
func (c *call) hedgeAfter(estimated time.Duration) time.Duration {
	if c.service.HedgeAfter > 0 {
		return c.service.HedgeAfter
	}
	target := float64(c.route.Target)
	wait := hedgeFactor * float64(estimated)
	return time.Duration(min(max(wait, hedgeMinShare*target), hedgeMaxShare*target))
}

// hedgeTarget returns the worker to send the second copy to, or nil if none may be sent. It charges
// the retry budget.
func (c *call) hedgeTarget(second func() *backend) *backend {
	if !c.sends.maySend() || !c.mayRunOnSeveralWorkers() || c.standing() != quarantine.Unsuspected || c.timeLeft() <= answerMargin || c.request.Context().Err() != nil {
		return nil
	}
	to := second()
	now := clock.Now()
	if to == nil || to.loadRatio(now) > hedgeMaxLoad || !to.usable(now) {
		return nil
	}
	if !c.state.budget.spend(int(c.proxy.Nodes.Load()), now) {
		return nil
	}
	c.proxy.Log.Line(decision.KindResent).Str("id", c.message.ID).Str("worker", string(to.id())).
		Str("outcome", "hedged").Dur("after", clock.Since(c.began)).Msg("")
	return to
}
