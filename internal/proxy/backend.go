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
	// defaultLatency is a request's time at a worker of which nothing is known.
	defaultLatency = 100 * time.Millisecond
	// minCooldown and maxCooldown bound how long a failing worker is left alone.
	minCooldown = 300 * time.Millisecond
	maxCooldown = 3 * time.Second
	// fullCooldown is how long a worker that refused is left alone.
	fullCooldown = 30 * time.Millisecond
	// unreachableCooldown is how long no connection is tried to an owner of keys after
	// one failed.
	unreachableCooldown = 200 * time.Millisecond
	// rejectionResetWindow is how soon a worker resets a connection that it has no room for;
	// later it may have begun to work.
	rejectionResetWindow = 30 * time.Millisecond
	// coldSlowdown is how much slower a worker is while it warms up.
	coldSlowdown = 2
)

// backend is what this process knows of one worker.
type backend struct {
	pool *upstream.Pool

	mu       sync.Mutex
	worker   workers.Worker
	inFlight int
	// others is the load by other processes, and slowdown how long work takes, as far as the
	// worker tells them; means are those over the service's workers.
	othersLoad, slowdown estimate.Told
	means                *reportedMeans
	// latency is the time of work on a request.
	latency estimate.Latency
	// throttle is for a worker of keys that turns requests away.
	throttle estimate.Throttle
	// shares count what tenants ask of a worker of keys that turns requests away.
	shares   fair.Ledger
	failures int
	// restUntil is until when a failing worker is left alone.
	cooldownUntil time.Time
	fullUntil     time.Time
	// limitUntil is until when the worker gets no more while it names a limit, a number of
	// clock.Nanos.
	limitUntil atomic.Int64
	// backoffUntil is until when the worker has asked this process to send it nothing, a number of
	// clock.Nanos.
	backoffUntil atomic.Int64
	// unreachedUntil is until when no connection is tried to an owner of keys.
	unreachableUntil time.Time
	gone             bool
	cold             coldGate
	// witness is what was seen of the worker's end, and probeAt is when the last look at its
	// address begins, or began.
	witness quarantine.Witness
	probeAt time.Time
}

// reportedMeans are the means of what a service's workers tell.
type reportedMeans struct {
	othersLoad, slowdown estimate.Mean
}

func newBackend(worker workers.Worker, means *reportedMeans) *backend {
	return &backend{pool: upstream.NewPool(worker.Address), worker: worker, means: means}
}

// isOtherLife reports whether an announcement is of another life of the worker.
func (b *backend) isOtherIncarnation(worker workers.Worker) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return worker.Born != 0 && b.worker.Born != 0 && worker.Born != b.worker.Born
}

// announce takes what the worker announces. A life that was told stays known while the worker is
// known by its address only.
func (b *backend) update(worker workers.Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if worker.Born == 0 {
		worker.Born = b.worker.Born
	}
	b.worker = worker
}

// told takes what the worker tells of itself. The caller holds mu.
func (b *backend) recordLoad(now time.Time, load upstream.Load) {
	others := max(0, float64(load.Running+load.Waiting-b.inFlight))
	b.othersLoad.Add(now, others)
	b.means.othersLoad.Add(now, others)
	if load.Slowdown > 0 {
		b.slowdown.Add(now, load.Slowdown)
		b.means.slowdown.Add(now, load.Slowdown)
	}
}

// slowness is how much longer than usual work takes at the worker now. The caller holds mu.
func (b *backend) relativeSlowdown(now time.Time) float64 {
	mean := b.means.slowdown.Get(now)
	if mean == 0 {
		return 1
	}
	return b.slowdown.Expected(now, mean) / mean
}

// assess returns how long a request sent now would take; false if none may be sent. A cold
// worker bears so many requests a second from all processes, of which there are nodes.
func (b *backend) assess(now time.Time, prior time.Duration, coldRate float64, nodes int) (choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	occupied, slots := b.estimatedLoad(now), float64(b.worker.Slots)
	switch {
	case b.gone || now.Before(b.cooldownUntil) || now.Before(b.fullUntil):
		return choice{}, false
	case occupied >= maxLoadRatio*slots || !b.cold.ready(now, b.worker.WarmAt, coldRate, nodes):
		return choice{}, false
	}
	return choice{backend: b, estimate: b.expected(now, b.latency.Mean(prior)), hasFreeSlot: occupied+1 <= slots}, true
}

// estimateAged returns how long a request sent now would take, where that decides whether one is sent at
// all: answers of long ago count for less and less.
func (b *backend) estimateDecayed(now time.Time, prior time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expected(now, b.latency.Expected(now, prior))
}

// expected returns how long a request sent now would take, given the mean time of work. The caller holds
// mu.
func (b *backend) expected(now time.Time, work time.Duration) time.Duration {
	mean := time.Duration(float64(work) * b.relativeSlowdown(now))
	if now.Before(b.worker.WarmAt) {
		mean *= coldSlowdown
	}
	slots := float64(b.worker.Slots)
	waiting := max(0, b.estimatedLoad(now)+1-slots)
	return time.Duration(float64(mean) * (1 + waiting/slots))
}

// occupied estimates the requests at the worker. The caller holds mu.
func (b *backend) estimatedLoad(now time.Time) float64 {
	return float64(b.inFlight) + b.othersLoad.Expected(now, b.means.othersLoad.Get(now))
}

// crowd returns the estimated requests at the worker, as a multiple of its slots.
func (b *backend) loadRatio(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.estimatedLoad(now) / float64(b.worker.Slots)
}

// usable reports whether requests may be sent now.
func (b *backend) usable(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.gone && !now.Before(b.cooldownUntil)
}

// usableOwner reports whether requests for keys that the worker holds may be sent
// to it. No other worker may serve them, so only what can't be sent stays away.
func (b *backend) usableAsOwner(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.gone && !now.Before(b.unreachableUntil)
}

// admit counts a request that is about to be sent to a worker that may be cold, and bears so
// many requests a second then from all processes; false if it may not.
func (b *backend) admit(now time.Time, coldRate float64, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cold.take(now, b.worker.WarmAt, coldRate, nodes)
}

// mean returns the mean time of work on a request; false if none was measured.
func (b *backend) meanLatency(prior time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latency.Mean(prior), b.latency.Measured()
}

// described returns the worker as it announced itself last.
func (b *backend) info() workers.Worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.worker
}

func (b *backend) id() workers.ID { return b.info().ID }

func (b *backend) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
}

// leaveAfter counts a request as under way until a channel is closed.
func (b *backend) releaseAfter(done <-chan struct{}) {
	<-done
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

// end learns from the end of a send. It returns true if the worker is now seen
// as failing or as well again.
func (b *backend) finish(now time.Time, result *upstream.Result) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.count(now, result)
	if result.Loaded {
		b.recordLoad(now, result.Load)
	}
	switch result.Outcome {
	case upstream.Answered:
		changed = b.failures > 0
		b.failures = 0
		b.cooldownUntil = time.Time{}
		b.recordWorkTime(now, result)
	case upstream.NotRun, upstream.TurnedAway:
		b.fullUntil = now.Add(fullCooldown)
	case upstream.Misdirected:
		b.gone = true
		changed = true
	case upstream.Late:
		changed = b.failures == 0
		b.recordWorkTime(now, result)
		b.recordFailure(now)
	case upstream.Gone, upstream.BodyCut, upstream.Withheld: // say nothing of the worker
	case upstream.NotSent:
		changed = b.failures == 0
		b.recordFailure(now)
		b.unreachableUntil = now.Add(unreachableCooldown)
	case upstream.Broken:
		if b.failures > 0 || result.Status == 0 {
			b.recordFailure(now)
		}
	}
	return changed
}

func (b *backend) recordFailure(now time.Time) {
	rest := minCooldown << min(b.failures, 4)
	b.failures++
	b.cooldownUntil = now.Add(min(rest, maxCooldown))
}

// learn measures the time that the worker worked on a request.
func (b *backend) recordWorkTime(now time.Time, result *upstream.Result) {
	worked, informative := result.WorkTime(b.worker.Slots, b.latency.Mean(defaultLatency))
	if informative {
		b.latency.Add(now, worked, defaultLatency)
	}
}
