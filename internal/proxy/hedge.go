package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// When a second copy of a repeatable request goes out while the first has no
// answer: its worker may be slow, or the answer may be lost.
const (
	// hedgeFactor times the estimated time must have passed,
	hedgeFactor = 3.0
	// but at least hedgeMinShare and no more than hedgeMaxShare of the target.
	hedgeMinShare = 0.9
	hedgeMaxShare = 1.3
	// hedgeMaxLoad: no copy goes to a worker with more requests than this multiple
	// of its slots, where waiting explains the silence.
	hedgeMaxLoad = 0.7
)

// ended is the end of one copy.
type copyResult struct {
	backend *backend
	worker  workers.ID
	result  upstream.Result
	// panicked is what the copy panicked with; nil if it did not.
	panicked any
}

// copies are the copies of one request that are under way.
type hedgedSend struct {
	call     *call
	ctx      context.Context
	cancel   context.CancelFunc
	results  chan copyResult
	inFlight int
}

// launch sends one copy.
func (h *hedgedSend) launch(to *backend) {
	h.inFlight++
	c := h.call
	c.sends.begin()
	c.countSend()
	until := c.deadline.Add(-answerMargin)
	go h.run(to, until)
}

// run sends one copy. A panic is passed on to the caller's handler, where it breaks one
// connection: in this goroutine it would end the process, and the request comes again at the
// next one.
func (h *hedgedSend) run(to *backend, until time.Time) {
	defer func() {
		if panicked := recover(); panicked != nil {
			h.results <- copyResult{backend: to, panicked: panicked}
		}
	}()
	worker, result := h.call.exchange(h.ctx, to, until)
	h.results <- copyResult{backend: to, worker: worker, result: result}
}

// sendHedged sends a repeatable request, and a second copy if the first stays
// silent. second returns where it goes; nil for nowhere.
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

// decides reports whether the other copy of a request need not be awaited. A worker's own
// failure does not: the other may still succeed, and giving it up would break off work
// that runs.
func isDecisive(result *upstream.Result) bool {
	return result.Outcome == upstream.Answered && result.Status < http.StatusInternalServerError
}

// take returns a copy's result and gives the other copy up: at once, or after a
// long answer was streamed.
func (h *hedgedSend) accept(finished copyResult) *upstream.Result {
	if finished.result.Stream == nil {
		h.cancel()
	} else {
		h.call.cleanups.add(h.cancel)
	}
	return &finished.result
}

// hedgeAfter is how long the first copy may stay silent.
func (c *call) hedgeAfter(estimated time.Duration) time.Duration {
	if c.service.HedgeAfter > 0 {
		return c.service.HedgeAfter
	}
	target := float64(c.route.Target)
	wait := hedgeFactor * float64(estimated)
	return time.Duration(min(max(wait, hedgeMinShare*target), hedgeMaxShare*target))
}

// hedgeTo returns where a second copy goes; nil if none may be sent.
func (c *call) hedgeTarget(second func() *backend) *backend {
	if !c.sends.maySend() || !c.maySpread() || c.timeLeft() <= answerMargin || c.request.Context().Err() != nil {
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
	c.proxy.Log.Line(decision.KindSent).Str("id", c.message.ID).Str("worker", string(to.id())).
		Str("outcome", "hedged").Dur("after", clock.Since(c.began)).Msg("")
	return to
}
