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

// Parameters of estimating the latency and availability of workers.
const (
	// defaultLatency is the assumed latency of a worker without measurements.
	defaultLatency = 100 * time.Millisecond
	// minCooldown and maxCooldown bound for how long a failing worker is not picked.
	minCooldown = 300 * time.Millisecond
	maxCooldown = 3 * time.Second
	// fullCooldown is for how long a worker is not picked after it rejected a request.
	fullCooldown = 30 * time.Millisecond
	// unreachableCooldown is for how long no request is sent to an owner of keys after a connection
	// attempt failed.
	unreachableCooldown = 200 * time.Millisecond
	// rejectionResetWindow is the time within which a worker resets a connection that it has no
	// capacity for. After a later reset it may have started to run the request.
	rejectionResetWindow = 30 * time.Millisecond
	// coldSlowdown is the assumed increase in latency while a worker warms up, as a factor.
	coldSlowdown = 2
)

// backend is this process's state of one worker.
type backend struct {
	pool *upstream.Pool

	mu       sync.Mutex
	worker   workers.Worker
	inFlight int
	// othersLoad is the number of requests of other processes at the worker, and slowdown the
	// relative duration of work, as reported by the worker. means are the averages of both over the
	// service's workers.
	othersLoad, slowdown estimate.ReportedValue
	means                *reportedMeans
	// latency measures the time that the worker works on a request.
	latency estimate.Latency
	// throttle limits requests to an owner of keys that rejects requests.
	throttle estimate.Throttle
	// shares count the demand of each tenant for an owner of keys that rejects requests.
	shares   fair.Ledger
	failures int
	// cooldownUntil is the time before which a failing worker is not picked, and fullUntil that for a
	// worker that rejected a request.
	cooldownUntil time.Time
	fullUntil     time.Time
	// limitUntil is the time before which the worker's own rate limit admits no more requests, in
	// clock.Nanos.
	limitUntil atomic.Int64
	// backoffUntil is the end of the backoff that the worker has requested from this process, in
	// clock.Nanos.
	backoffUntil atomic.Int64
	// unreachableUntil is the time before which no request is sent to an owner of keys after a
	// failed connection attempt.
	unreachableUntil time.Time
	// replaced reports that another worker answered at the address.
	replaced    bool
	coldLimiter coldLimiter
	// crashObserver holds what was observed of the worker's end. probeAt is the start time of the
	// last probe of its address, which may be in the future.
	crashObserver quarantine.CrashObserver
	probeAt       time.Time
	// confirming is set while it is being found out whether the worker has ended.
	confirming bool
}

// reportedMeans are the averages of the loads that a service's workers report.
type reportedMeans struct {
	othersLoad, slowdown estimate.Mean
}

// newBackend returns the state of a worker; see upstream.NewPool for dial.
func newBackend(worker workers.Worker, means *reportedMeans, dial upstream.DialFunc) *backend {
	return &backend{pool: upstream.NewPool(worker.Address, dial), worker: worker, means: means}
}

// isOtherIncarnation reports whether the description is of another incarnation of the worker: one
// whose process has been restarted. A worker that is known only by an address without a start time, as
// from the table of owners, is another incarnation once it is described at another address.
func (b *backend) isOtherIncarnation(worker workers.Worker) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.worker.StartTime == 0 {
		return worker.Address != b.pool.Address()
	}
	return worker.StartTime != 0 && b.worker.StartTime != worker.StartTime
}

// update replaces the worker's announced description. If the new one has no incarnation, because the
// worker is known only by its address, the previous incarnation is kept.
func (b *backend) update(worker workers.Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if worker.StartTime == 0 {
		worker.StartTime = b.worker.StartTime
	}
	b.worker = worker
}

// recordLoad records the load that the worker has reported. The caller holds mu.
func (b *backend) recordLoad(now time.Time, load upstream.Load) {
	others := max(0, float64(load.Running+load.Waiting-b.inFlight))
	b.othersLoad.Add(now, others)
	b.means.othersLoad.Add(now, others)
	if load.Slowdown > 0 {
		b.slowdown.Add(now, load.Slowdown)
		b.means.slowdown.Add(now, load.Slowdown)
	}
}

// relativeSlowdown returns the worker's expected slowdown relative to the average of the service's
// workers, or 1 if none reports one. The caller holds mu.
func (b *backend) relativeSlowdown(now time.Time) float64 {
	mean := b.means.slowdown.Get(now)
	if mean == 0 {
		return 1
	}
	return b.slowdown.Expected(now, mean) / mean
}

// assess returns the estimated duration of a request sent now, or false if none may be sent. prior is
// the expected latency without measurements, coldRate the rate in requests per second that a worker
// can take from all processes while it warms up, and nodes the number of processes.
func (b *backend) assess(now time.Time, prior time.Duration, coldRate float64, nodes int) (choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	load, slots := b.estimatedLoad(now), float64(b.worker.Slots)
	switch {
	case b.replaced || now.Before(b.cooldownUntil) || now.Before(b.fullUntil):
		return choice{}, false
	case load >= maxLoadRatio*slots || !b.coldLimiter.ready(now, b.worker.WarmAt, coldRate, nodes):
		return choice{}, false
	}
	return choice{backend: b, estimate: b.expected(now, b.latency.Mean(prior)), hasFreeSlot: load+1 <= slots}, true
}

// estimateDecayed returns the estimated duration of a request sent now, with old measurements decaying
// towards prior. It is for deciding whether to send to the worker at all.
func (b *backend) estimateDecayed(now time.Time, prior time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expected(now, b.latency.Expected(now, prior))
}

// expected returns the estimated duration of a request sent now, given the mean time of work on one.
// The caller holds mu.
func (b *backend) expected(now time.Time, work time.Duration) time.Duration {
	mean := time.Duration(float64(work) * b.relativeSlowdown(now))
	if now.Before(b.worker.WarmAt) {
		mean *= coldSlowdown
	}
	slots := float64(b.worker.Slots)
	waiting := max(0, b.estimatedLoad(now)+1-slots)
	return time.Duration(float64(mean) * (1 + waiting/slots))
}

// estimatedLoad estimates the number of requests at the worker, running and waiting. The caller holds
// mu.
func (b *backend) estimatedLoad(now time.Time) float64 {
	return float64(b.inFlight) + b.othersLoad.Expected(now, b.means.othersLoad.Get(now))
}

// loadRatio returns the estimated number of requests at the worker as a multiple of its slots.
func (b *backend) loadRatio(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.estimatedLoad(now) / float64(b.worker.Slots)
}

// isFailing reports whether the last send that told anything of the worker failed.
func (b *backend) isFailing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures > 0
}

// forgiveFailures ends the cooldown after failures.
func (b *backend) forgiveFailures() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures, b.cooldownUntil, b.unreachableUntil = 0, time.Time{}, time.Time{}
}

// usable reports whether the worker is neither replaced nor in a cooldown after failures.
func (b *backend) usable(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.replaced && !now.Before(b.cooldownUntil)
}

// usableAsOwner reports whether requests for keys that the worker owns may be sent to it. Since no
// other worker may serve them, only an unreachable or replaced worker is excluded.
func (b *backend) usableAsOwner(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.replaced && !now.Before(b.unreachableUntil)
}

// admit counts a request that is about to be sent. It returns false if the worker is warming up and
// this process's part of coldRate, the requests per second from all processes, is used up.
func (b *backend) admit(now time.Time, coldRate float64, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.coldLimiter.take(now, b.worker.WarmAt, coldRate, nodes)
}

// meanLatency returns the mean time of work on a request, and false if there are no measurements.
func (b *backend) meanLatency(prior time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latency.Mean(prior), b.latency.Measured()
}

// info returns the worker as last announced.
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

// releaseAfter counts a request as in flight until done is closed.
func (b *backend) releaseAfter(done <-chan struct{}) {
	<-done
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

// finish updates the state with the result of a send. It returns true if the worker recovers, or
// starts failing by a late answer or a failed connection, or is replaced by another.
func (b *backend) finish(now time.Time, result *upstream.Result) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.recordThrottleResult(now, result)
	if result.HasLoad {
		b.recordLoad(now, result.Load)
	}
	switch result.Outcome {
	case upstream.Answered:
		changed = b.failures > 0
		b.failures = 0
		b.cooldownUntil = time.Time{}
		b.recordWorkTime(now, result)
	case upstream.NotRun, upstream.ConnectionRejected:
		b.fullUntil = now.Add(fullCooldown)
	case upstream.Misdirected:
		b.replaced = true
		changed = true
	case upstream.TimedOut:
		changed = b.failures == 0
		b.recordWorkTime(now, result)
		b.recordFailure(now)
	case upstream.ClientGone, upstream.BodyTruncated, upstream.Withheld: // independent of the worker's health
	case upstream.NotSent:
		if result.LacksDescriptors() {
			break
		}
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

// recordFailure starts a cooldown, which doubles with each consecutive failure up to maxCooldown. The
// caller holds mu.
func (b *backend) recordFailure(now time.Time) {
	cooldown := minCooldown << min(b.failures, 4)
	b.failures++
	b.cooldownUntil = now.Add(min(cooldown, maxCooldown))
}

// recordWorkTime measures the time that the worker worked on a request. The caller holds mu.
func (b *backend) recordWorkTime(now time.Time, result *upstream.Result) {
	worked, informative := result.WorkTime(b.worker.Slots, b.latency.Mean(defaultLatency))
	if informative {
		b.latency.Add(now, worked, defaultLatency)
	}
}
