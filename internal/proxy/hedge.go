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
	// but at least hedgeLeast and no more than hedgeMost of the target.
	hedgeLeast = 0.9
	hedgeMost  = 1.3
	// hedgeCrowd: no copy goes to a worker with more requests than this multiple
	// of its slots, where waiting explains the silence.
	hedgeCrowd = 0.7
)

// ended is the end of one copy.
type ended struct {
	to     *backend
	worker workers.ID
	got    upstream.Result
	// panicked is what the copy panicked with; nil if it did not.
	panicked any
}

// copies are the copies of one request that are under way.
type copies struct {
	call   *call
	ctx    context.Context
	cancel context.CancelFunc
	ends   chan ended
	open   int
}

// launch sends one copy.
func (s *copies) launch(to *backend) {
	s.open++
	c := s.call
	c.allowed.take()
	c.countSend()
	until := c.deadline.Add(-answerMargin)
	go s.run(to, until)
}

// run sends one copy. A panic is passed on to the caller's handler, where it breaks one
// connection: in this goroutine it would end the process, and the request comes again at the
// next one.
func (s *copies) run(to *backend, until time.Time) {
	defer func() {
		if panicked := recover(); panicked != nil {
			s.ends <- ended{to: to, panicked: panicked}
		}
	}()
	worker, got := s.call.exchange(s.ctx, to, until)
	s.ends <- ended{to: to, worker: worker, got: got}
}

// sendHedged sends a repeatable request, and a second copy if the first stays
// silent. second returns where it goes; nil for nowhere.
func (c *call) sendHedged(first choice, second func() *backend) *upstream.Result {
	ctx, cancel := context.WithCancel(c.request.Context())
	s := &copies{call: c, ctx: ctx, cancel: cancel, ends: make(chan ended, 2)}
	s.launch(first.to)
	timer := time.NewTimer(c.hedgeAfter(first.estimate))
	defer timer.Stop()
	for {
		select {
		case end := <-s.ends:
			s.open--
			if end.panicked != nil {
				s.cancel()
				panic(end.panicked)
			}
			c.note(end.worker, &end.got)
			if s.open == 0 || decides(&end.got) {
				return s.take(end)
			}
		case <-timer.C:
			if other := c.hedgeTo(second); other != nil {
				s.launch(other)
			}
		}
	}
}

// decides reports whether the other copy of a request need not be awaited. A worker's own
// failure does not: the other may still succeed, and giving it up would break off work
// that runs.
func decides(r *upstream.Result) bool {
	return r.Outcome == upstream.Answered && r.Status < http.StatusInternalServerError
}

// take returns a copy's result and gives the other copy up: at once, or after a
// long answer was streamed.
func (s *copies) take(end ended) *upstream.Result {
	if end.got.Stream == nil {
		s.cancel()
	} else {
		s.call.holding.add(s.cancel)
	}
	return &end.got
}

// hedgeAfter is how long the first copy may stay silent.
func (c *call) hedgeAfter(estimated time.Duration) time.Duration {
	if c.service.HedgeAfter > 0 {
		return c.service.HedgeAfter
	}
	target := float64(c.route.Target)
	wait := hedgeFactor * float64(estimated)
	return time.Duration(min(max(wait, hedgeLeast*target), hedgeMost*target))
}

// hedgeTo returns where a second copy goes; nil if none may be sent.
func (c *call) hedgeTo(second func() *backend) *backend {
	if !c.allowed.left() || !c.maySpread() || c.left() <= answerMargin || c.request.Context().Err() != nil {
		return nil
	}
	to := second()
	now := clock.Now()
	if to == nil || to.crowd(now) > hedgeCrowd || !to.usable(now) {
		return nil
	}
	if !c.state.budget.spend(int(c.proxy.Nodes.Load()), now) {
		return nil
	}
	c.proxy.Log.Line(decision.KindSent).Str("id", c.message.ID).Str("worker", string(to.id())).
		Str("outcome", "hedged").Dur("after", clock.Since(c.began)).Msg("")
	return to
}
