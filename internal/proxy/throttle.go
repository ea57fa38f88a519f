package proxy

import (
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/upstream"
)

// throttled reports whether a request is refused without asking the worker, since it
// turns most of them away. random is from 0 to 1.
func (b *backend) throttled(now time.Time, random float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if random >= b.throttle.Share(now) {
		return false
	}
	b.throttle.RecordRefused(now)
	return true
}

// count notes whether the worker has turned a request away. The caller holds mu.
func (b *backend) recordThrottleResult(now time.Time, got *upstream.Result) {
	switch got.Outcome {
	case upstream.Answered, upstream.TimedOut:
		b.throttle.RecordSent(now, true)
	case upstream.ConnectionRejected:
		b.throttle.RecordSent(now, false)
	case upstream.NotRun:
		if got.Status != http.StatusMisdirectedRequest && !got.Load.HasFreeSlot(got.HasLoad) {
			b.throttle.RecordSent(now, false)
		}
	case upstream.Broken:
		b.throttle.RecordSent(now, got.Status != 0 || got.Took > rejectionResetWindow)
	case upstream.Misdirected, upstream.ClientGone, upstream.BodyTruncated, upstream.NotSent, upstream.Withheld: // say nothing of the worker's room
	}
}

// shortage returns which share of the requests for a worker of keys is to be refused unasked,
// and whether it has turned any away lately.
func (b *backend) refusalShare(now time.Time) (share float64, short bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.throttle.Share(now), b.throttle.HasRecentRejection(now)
}

// refuseUnasked counts a request for the worker that is refused without asking it.
func (b *backend) recordThrottled(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.throttle.RecordRefused(now)
}
