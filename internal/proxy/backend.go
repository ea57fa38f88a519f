package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/estimate"
	"github.com/shalefork/shalefork/internal/fair"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// Constants of judging workers.
const (
	// usualTime is a request's time at a worker of which nothing is known.
	usualTime = 100 * time.Millisecond
	// firstRest and longestRest bound how long a failing worker is left alone.
	firstRest   = 300 * time.Millisecond
	longestRest = 3 * time.Second
	// fullRest is how long a worker that refused is left alone.
	fullRest = 30 * time.Millisecond
	// unreachedRest is how long no connection is tried to an owner of keys after
	// one failed.
	unreachedRest = 200 * time.Millisecond
	// turnedAwayWithin is how soon a worker resets a connection that it has no room for;
	// later it may have begun to work.
	turnedAwayWithin = 30 * time.Millisecond
	// coldFactor is how much slower a worker is while it warms up.
	coldFactor = 2
)

// backend is what this process knows of one worker.
type backend struct {
	pool *upstream.Pool

	mu       sync.Mutex
	worker   workers.Worker
	inFlight int
	// others is the load by other processes, and slowdown how long work takes, as far as the
	// worker tells them; means are those over the service's workers.
	others, slowdown estimate.Told
	means            *toldMeans
	// latency is the time of work on a request.
	latency estimate.Latency
	// throttle is for a worker of keys that turns requests away.
	throttle estimate.Throttle
	// shares count what tenants ask of a worker of keys that turns requests away.
	shares   fair.Ledger
	failures int
	// restUntil is until when a failing worker is left alone.
	restUntil time.Time
	fullUntil time.Time
	// limitUntil is until when the worker gets no more while it names a limit, a number of
	// clock.Nanos.
	limitUntil atomic.Int64
	// backoffUntil is until when the worker has asked this process to send it nothing, a number of
	// clock.Nanos.
	backoffUntil atomic.Int64
	// unreachedUntil is until when no connection is tried to an owner of keys.
	unreachedUntil time.Time
	ended          bool
	cold           coldGate
	// witness is what was seen of the worker's end, and probeAt is when the last look at its
	// address begins, or began.
	witness quarantine.Witness
	probeAt time.Time
}

// toldMeans are the means of what a service's workers tell.
type toldMeans struct {
	others, slowdown estimate.Mean
}

func newBackend(worker workers.Worker, means *toldMeans) *backend {
	return &backend{pool: upstream.NewPool(worker.Address), worker: worker, means: means}
}

// isOtherLife reports whether an announcement is of another life of the worker.
func (b *backend) isOtherLife(worker workers.Worker) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return worker.Born != 0 && b.worker.Born != 0 && worker.Born != b.worker.Born
}

// announce takes what the worker announces. A life that was told stays known while the worker is
// known by its address only.
func (b *backend) announce(worker workers.Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if worker.Born == 0 {
		worker.Born = b.worker.Born
	}
	b.worker = worker
}

// told takes what the worker tells of itself. The caller holds mu.
func (b *backend) told(now time.Time, load upstream.Load) {
	others := max(0, float64(load.Running+load.Waiting-b.inFlight))
	b.others.Add(now, others)
	b.means.others.Add(now, others)
	if load.Slowdown > 0 {
		b.slowdown.Add(now, load.Slowdown)
		b.means.slowdown.Add(now, load.Slowdown)
	}
}

// slowness is how much longer than usual work takes at the worker now. The caller holds mu.
func (b *backend) slowness(now time.Time) float64 {
	mean := b.means.slowdown.Get(now)
	if mean == 0 {
		return 1
	}
	return b.slowdown.Expected(now, mean) / mean
}

// assess returns how long a request sent now would take; false if none may be sent. A cold
// worker bears so many requests a second from all processes, of which there are nodes.
func (b *backend) assess(now time.Time, usual time.Duration, coldRate float64, nodes int) (choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	occupied, slots := b.occupied(now), float64(b.worker.Slots)
	switch {
	case b.ended || now.Before(b.restUntil) || now.Before(b.fullUntil):
		return choice{}, false
	case occupied >= fullCrowd*slots || !b.cold.ready(now, b.worker.WarmAt, coldRate, nodes):
		return choice{}, false
	}
	return choice{to: b, estimate: b.expected(now, b.latency.Mean(usual)), free: occupied+1 <= slots}, true
}

// estimateAged returns how long a request sent now would take, where that decides whether one is sent at
// all: answers of long ago count for less and less.
func (b *backend) estimateAged(now time.Time, usual time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expected(now, b.latency.Expected(now, usual))
}

// expected returns how long a request sent now would take, given the mean time of work. The caller holds
// mu.
func (b *backend) expected(now time.Time, work time.Duration) time.Duration {
	mean := time.Duration(float64(work) * b.slowness(now))
	if now.Before(b.worker.WarmAt) {
		mean *= coldFactor
	}
	slots := float64(b.worker.Slots)
	waiting := max(0, b.occupied(now)+1-slots)
	return time.Duration(float64(mean) * (1 + waiting/slots))
}

// occupied estimates the requests at the worker. The caller holds mu.
func (b *backend) occupied(now time.Time) float64 {
	return float64(b.inFlight) + b.others.Expected(now, b.means.others.Get(now))
}

// crowd returns the estimated requests at the worker, as a multiple of its slots.
func (b *backend) crowd(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.occupied(now) / float64(b.worker.Slots)
}

// usable reports whether requests may be sent now.
func (b *backend) usable(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended && !now.Before(b.restUntil)
}

// usableOwner reports whether requests for keys that the worker holds may be sent
// to it. No other worker may serve them, so only what can't be sent stays away.
func (b *backend) usableOwner(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended && !now.Before(b.unreachedUntil)
}

// admit counts a request that is about to be sent to a worker that may be cold, and bears so
// many requests a second then from all processes; false if it may not.
func (b *backend) admit(now time.Time, coldRate float64, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cold.take(now, b.worker.WarmAt, coldRate, nodes)
}

// mean returns the mean time of work on a request; false if none was measured.
func (b *backend) mean(usual time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latency.Mean(usual), b.latency.Measured()
}

// described returns the worker as it announced itself last.
func (b *backend) described() workers.Worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.worker
}

func (b *backend) id() workers.ID { return b.described().ID }

func (b *backend) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
}

// leaveAfter counts a request as under way until a channel is closed.
func (b *backend) leaveAfter(streaming <-chan struct{}) {
	<-streaming
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

// end learns from the end of a send. It returns true if the worker is now seen
// as failing or as well again.
func (b *backend) end(now time.Time, got *upstream.Result) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.count(now, got)
	if got.Loaded {
		b.told(now, got.Load)
	}
	switch got.Outcome {
	case upstream.Answered:
		changed = b.failures > 0
		b.failures = 0
		b.restUntil = time.Time{}
		b.learn(now, got)
	case upstream.NotRun, upstream.TurnedAway:
		b.fullUntil = now.Add(fullRest)
	case upstream.Misdirected:
		b.ended = true
		changed = true
	case upstream.Late:
		changed = b.failures == 0
		b.learn(now, got)
		b.fail(now)
	case upstream.Gone, upstream.BodyCut, upstream.Withheld: // say nothing of the worker
	case upstream.NotSent:
		changed = b.failures == 0
		b.fail(now)
		b.unreachedUntil = now.Add(unreachedRest)
	case upstream.Broken:
		if b.failures > 0 || got.Status == 0 {
			b.fail(now)
		}
	}
	return changed
}

func (b *backend) fail(now time.Time) {
	rest := firstRest << min(b.failures, 4)
	b.failures++
	b.restUntil = now.Add(min(rest, longestRest))
}

// learn measures the time that the worker worked on a request.
func (b *backend) learn(now time.Time, got *upstream.Result) {
	worked, telling := got.WorkTime(b.worker.Slots, b.latency.Mean(usualTime))
	if telling {
		b.latency.Add(now, worked, usualTime)
	}
}
