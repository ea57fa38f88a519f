package workerlimit

import (
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// maxBurstTime is the longest time over which a worker's unused requests accumulate. Requests
	// arrive in bursts, which a worker that accepts that many per second can handle.
	maxBurstTime = time.Second
	// minRate is how many requests per second are sent to a worker whose limit is lower, such as
	// zero: only a response can show that the limit has ended.
	minRate = 1.0 / 3
	// uncertainShare is the share of a limit that is allocated by a process whose leadership is
	// uncertain: another leader may allocate all of it.
	uncertainShare = 0.25
	// maxRetryDelay is the longest delay before a process asks again after a refusal.
	maxRetryDelay = 2 * time.Second
	// confirmationInterval is for how long a limit is relied on after a response that announced it. The
	// worker may have lowered it since.
	confirmationInterval = 500 * time.Millisecond
	// maxUnconfirmed is how many requests are sent at a limit that no response has confirmed since.
	// Each worker accepts a few more than its limit.
	maxUnconfirmed = 2
	// confirmationDelay is the delay before a process asks again while a response is awaited.
	confirmationDelay = 100 * time.Millisecond
)

// Pacer decides when requests may be sent to workers that announce limits. Only the leader's process
// has one. It reads no clock and is not safe for concurrent use.
type Pacer struct {
	buckets map[workers.ID]*bucket
}

// bucket is the pacing state of one worker.
type bucket struct {
	incarnation workers.Incarnation
	// due is when the next request would be sent if all were sent at an even pace.
	due time.Time
	// refused counts the requests refused, less those granted since; it is reset once due has
	// passed.
	refused int
	// confirmedAt is when a response last announced the limit; zero if that is not known. unconfirmed
	// counts the requests granted since, the last of them at grantedAt.
	confirmedAt, grantedAt time.Time
	unconfirmed            int
}

// confirm records when a response announced the limit.
func (b *bucket) confirm(at time.Time) {
	if at.After(b.confirmedAt) {
		b.confirmedAt, b.unconfirmed = at, 0
	}
}

// awaitsResponse reports whether no request may be sent until a response shows whether the limit is
// still the same. A response may be lost, so one is sent at minRate nevertheless.
func (b *bucket) awaitsResponse(now time.Time) bool {
	if b.confirmedAt.IsZero() || now.Sub(b.confirmedAt) <= confirmationInterval || b.unconfirmed < maxUnconfirmed {
		return false
	}
	return now.Sub(b.grantedAt).Seconds() < 1/minRate
}

// NewPacer returns a pacer that has granted no requests.
func NewPacer() *Pacer { return &Pacer{buckets: map[workers.ID]*bucket{}} }

// Confirm records when a response of a worker last announced its limit.
func (p *Pacer) Confirm(now time.Time, worker workers.Incarnation, at time.Time) {
	p.bucket(now, worker).confirm(at)
}

// Acquire requests a permit: whether a request may be sent, within maxWait, to a worker that
// accepts perSecond requests per second. If it is granted, it is sent after wait; else wait is the
// delay before the next try. leadershipUncertain says that another process may lead.
func (p *Pacer) Acquire(now time.Time, worker workers.Incarnation, perSecond float64, maxWait time.Duration, leadershipUncertain bool) (wait time.Duration, granted bool) {
	burst := maxBurstTime
	perSecond = max(perSecond, minRate)
	if leadershipUncertain {
		burst, perSecond = 0, uncertainShare*perSecond
	}
	period := time.Duration(float64(time.Second) / perSecond)
	b := p.bucket(now, worker)
	if latest := now.Add(maxBurstTime + maxWait + period); b.due.After(latest) { // the limit was raised
		b.due = latest
	}
	if b.due.Before(now) {
		b.due, b.refused = now, 0
	}
	if b.awaitsResponse(now) {
		return confirmationDelay, false
	}
	wait = b.due.Sub(now) - burst
	if wait <= maxWait {
		b.due, b.grantedAt = b.due.Add(period), now
		b.unconfirmed++
		b.refused = max(0, b.refused-1)
		return max(0, wait), true
	}
	wait += time.Duration(min(float64(b.refused)*float64(period), float64(maxRetryDelay)))
	b.refused++
	return min(wait, maxRetryDelay), false
}

// bucket returns a worker's bucket. A new one has accumulated no requests: until the worker
// announced its limit it received all requests, and another process may have led before.
func (p *Pacer) bucket(now time.Time, worker workers.Incarnation) *bucket {
	b := p.buckets[worker.ID]
	if b == nil || (b.incarnation.StartTime != worker.StartTime && b.incarnation.StartTime != 0 && worker.StartTime != 0) {
		b = &bucket{incarnation: worker, due: now.Add(maxBurstTime)}
		p.buckets[worker.ID] = b
	}
	return b
}

// RemoveUnlimited drops the state of workers that no longer announce a limit.
func (p *Pacer) RemoveUnlimited(limited func(workers.Incarnation) bool) {
	for id, b := range p.buckets {
		if !limited(b.incarnation) {
			delete(p.buckets, id)
		}
	}
}
