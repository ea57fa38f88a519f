package gateway

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/balance"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/wire"
)

// maxRunners is the most tries of one request that run at once.
const maxRunners = 2

// mayHedge reports whether a second try may start while the first still runs.
// Only a repeatable request of a pool: a keyed one has no second server.
func (c *call) mayHedge() bool {
	service := c.route.service
	return service.Kind == bundle.KindPool && service.Repeatable &&
		service.Limits.HedgeAfter > 0 && c.body.rest == nil
}

// race runs up to two tries of one request and keeps the first that answers.
type race struct {
	gateway *Gateway
	call    *call
	runners []*runner
	ended   chan *runner // holds every runner
}

// runner is one try in a race.
type runner struct {
	reply  *reply
	cancel context.CancelFunc
}

// hedged makes one try, and a second at another back end if the first has not
// answered after the service's HedgeAfter and the retry budget allows it.
func (g *Gateway) hedged(ctx context.Context, c *call, to target, state *progress) *reply {
	run := &race{gateway: g, call: c, ended: make(chan *runner, maxRunners)}
	run.start(ctx, to, state)
	timer := time.NewTimer(c.route.service.Limits.HedgeAfter.Std())
	defer timer.Stop()
	select {
	case first := <-run.ended:
		return run.settle(first)
	case <-timer.C:
	}
	run.second(ctx, to, state)
	return run.wait()
}

// second starts another try if another back end has room now.
func (r *race) second(ctx context.Context, first target, state *progress) {
	other, ok := r.gateway.reserveOther(r.call, first.server.Name)
	if !ok {
		return
	}
	if !r.call.service.spend() {
		r.call.service.putBack(other.server.Name)
		return
	}
	other.left = first.left
	if first.left > 0 {
		other.left = max(1, first.left-r.call.route.service.Limits.HedgeAfter.Std())
	}
	r.gateway.metrics.Hedges.Inc()
	state.tries++
	r.start(ctx, other, state)
}

func (r *race) start(ctx context.Context, to target, state *progress) {
	id := tryID(r.call, state)
	trying, cancel := context.WithCancel(ctx)
	started := &runner{cancel: cancel}
	r.runners = append(r.runners, started)
	go func() {
		started.reply = r.gateway.send(trying, r.call, to, id)
		r.ended <- started
	}()
}

// wait returns the first answer, or the last failure if no try answers. A
// failed try after which the other one runs on needs no retry of its own.
func (r *race) wait() *reply {
	mayHaveRun := false
	for left := len(r.runners); left > 1; left-- {
		ended := <-r.ended
		if ended.reply.response != nil {
			return r.settle(ended)
		}
		mayHaveRun = mayHaveRun || !ended.reply.failure.ProvedNotRun()
		ended.cancel()
	}
	last := <-r.ended
	if mayHaveRun && last.reply.response == nil {
		last.reply.failure.ServerNotRun = false
		last.reply.failure.BytesSent = true
	}
	return r.settle(last)
}

// settle keeps the winner's connection until its body has been passed on and
// ends the other try.
func (r *race) settle(winner *runner) *reply {
	for number, other := range r.runners {
		if other == winner {
			continue
		}
		other.cancel()
		if number == 0 {
			r.gateway.metrics.HedgesWon.Inc()
		}
	}
	if left := len(r.runners) - 1; left > 0 {
		go r.discard(winner)
	}
	finish := winner.reply.finish
	winner.reply.finish = func() {
		finish()
		winner.cancel()
	}
	if winner.reply.response == nil {
		winner.cancel()
	}
	return winner.reply
}

// discard gives back what the try that lost holds. A first try that was
// overtaken counts against its back end: it may be frozen.
func (r *race) discard(winner *runner) {
	for _, other := range r.runners {
		if other == winner {
			continue
		}
		loser := <-r.ended
		if loser == r.runners[0] {
			loser.reply.result = balance.ResultOvertaken
		}
		loser.reply.finish()
	}
}

// reserveOther reserves another back end of the pool without waiting.
func (g *Gateway) reserveOther(c *call, avoid bundle.ServerName) (target, bool) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	made := g.chooseInPool(c.service, c, avoid)
	if !made.found || made.to.server.Name == avoid {
		if made.found {
			c.service.pool.Done(c.service.now(), made.to.server.Name, balance.ResultNeutral, 0)
		}
		return target{}, false
	}
	return made.to, true
}

func tryID(c *call, state *progress) wire.RequestID {
	return c.id + wire.RequestID("-"+formatTry(state.tries))
}
