package router

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/reachability"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// surveyPollInterval is how often it is checked whether workers must be dialed.
	surveyPollInterval = 50 * time.Millisecond
	// confirmPollInterval is how often it is checked whether a requested survey has ended.
	confirmPollInterval = 10 * time.Millisecond
	// surveyTimeout limits a connection attempt of a survey. It is longer than a round trip between
	// regions, and shorter than the time after which a lost packet is sent again.
	surveyTimeout = 150 * time.Millisecond
)

// trackedOrders sends orders and records whether workers answer them.
type trackedOrders struct {
	owner.OrderSender
	tracker *reachability.Tracker
}

// Grant implements owner.OrderSender.
func (o trackedOrders) Grant(ctx context.Context, to owner.Target, grant owner.Grant) owner.Reply {
	o.tracker.BeginSend(clock.Now())
	return o.ended(to, o.OrderSender.Grant(ctx, to, grant))
}

// Release implements owner.OrderSender.
func (o trackedOrders) Release(ctx context.Context, from owner.Target, keys owner.KeyRange, fence owner.Fence) owner.Reply {
	o.tracker.BeginSend(clock.Now())
	return o.ended(from, o.OrderSender.Release(ctx, from, keys, fence))
}

func (o trackedOrders) ended(to owner.Target, reply owner.Reply) owner.Reply {
	failed := reply.Outcome == owner.OutcomeUnreachable || reply.Outcome == owner.OutcomeUnanswered
	o.tracker.EndSend(clock.Now(), to.ID, !failed, failed)
	return reply
}

// watchReachability surveys whether the workers are reached when the tracker asks for it, until ctx
// ends.
func (r *Router) watchReachability(ctx context.Context) {
	for clock.Sleep(ctx, surveyPollInterval) {
		if r.reach.Unreachable() && r.hub.Leading() { // no other process names helpers to this one
			now := clock.Now()
			r.proxy.Helpers.Told(now, r.hub.ReachingAddresses(now))
		}
		for ctx.Err() == nil {
			size := r.reach.NextSurvey(clock.Now())
			if size == 0 {
				break
			}
			dialed, reached := r.surveyWorkers(ctx, size)
			if r.reach.RecordSurvey(clock.Now(), dialed, reached) {
				r.handleReachabilityChange(dialed, reached)
			}
		}
	}
}

// confirmContact surveys some workers, and reports whether this process reaches them. It returns false if
// that can't be found out before ctx ends.
func (r *Router) confirmContact(ctx context.Context) bool {
	began := clock.Now()
	r.reach.RequestSurvey()
	for !r.reach.Unreachable() && !r.reach.CheckedSince(began) {
		if !clock.Sleep(ctx, confirmPollInterval) {
			return false
		}
	}
	return !r.reach.Unreachable()
}

// handleReachabilityChange handles that the process has been cut off from the workers, or reaches them
// again.
func (r *Router) handleReachabilityChange(dialed, reached int) {
	if !r.reach.Unreachable() {
		r.proxy.ForgiveFailures()
	}
	r.log.Line(decision.KindReachability).Bool("reached", !r.reach.Unreachable()).Int("dialed", dialed).Int("connected", reached).Msg("")
}

// surveyWorkers opens connections to a random sample of workers, and returns how many were dialed and
// how many were reached. Failures don't count if this process was itself too slow to tell.
func (r *Router) surveyWorkers(ctx context.Context, size int) (dialed, reached int) {
	sample := sampleWorkers(r.usableWorkers(), size)
	began := clock.Now()
	bounded, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	var connected atomic.Int32
	var dialing sync.WaitGroup
	for _, worker := range sample {
		dialing.Go(func() {
			if conn, err := r.dialWorker(bounded, "tcp", worker.Address); err == nil {
				connected.Add(1)
				_ = conn.Close()
			}
		})
	}
	dialing.Wait()
	dialed, reached = len(sample), int(connected.Load())
	if clock.Since(began) > 2*surveyTimeout {
		dialed = reached
	}
	return dialed, reached
}

// dialWorker opens a connection to a worker.
func (r *Router) dialWorker(ctx context.Context, network, address string) (net.Conn, error) {
	if r.adapter.DialWorker != nil {
		return r.adapter.DialWorker(ctx, network, address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// usableWorkers returns the workers that may get requests, by service.
func (r *Router) usableWorkers() map[routing.ServiceName][]workers.Worker {
	byService := map[routing.ServiceName][]workers.Worker{}
	config := r.proxy.Config()
	if config == nil {
		return byService
	}
	for name := range config.Services {
		if list, _ := r.workers.Usable(name); len(list) > 0 {
			byService[name] = list
		}
	}
	return byService
}

// sampleWorkers chooses workers at random, from as many services as possible: all workers of one service
// may have ended while those of others are reached.
func sampleWorkers(byService map[routing.ServiceName][]workers.Worker, size int) []workers.Worker {
	var sample []workers.Worker
	shuffled := map[routing.ServiceName][]int{}
	for round := 0; len(sample) < size; round++ {
		before := len(sample)
		for name, list := range byService { // map order is random
			if shuffled[name] == nil {
				shuffled[name] = rand.Perm(len(list))
			}
			if round < len(list) && len(sample) < size {
				sample = append(sample, list[shuffled[name][round]])
			}
		}
		if len(sample) == before {
			break
		}
	}
	return sample
}
