package proxy

import (
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/upstream"
)

// throttled reports whether a request is refused without sending it to the worker, because the
// worker rejects most requests. random is from 0 to 1.
func (b *backend) throttled(now time.Time, random float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if random >= b.throttle.Share(now) {
		return false
	}
	b.throttle.RecordRefused(now)
	return true
}

// recordThrottleResult records whether the worker rejected a request. The caller holds mu.
func (b *backend) recordThrottleResult(now time.Time, result *upstream.Result) {
	switch result.Outcome {
	case upstream.Answered, upstream.TimedOut:
		b.throttle.RecordSent(now, true)
	case upstream.ConnectionRejected:
		b.throttle.RecordSent(now, false)
	case upstream.NotRun:
		if result.Status != http.StatusMisdirectedRequest && !result.Load.HasFreeSlot(result.HasLoad) {
			b.throttle.RecordSent(now, false)
		}
	case upstream.Broken:
		b.throttle.RecordSent(now, result.Status != 0 || result.Took > rejectionResetWindow)
	case upstream.Misdirected, upstream.ClientGone, upstream.BodyTruncated, upstream.NotSent, upstream.Withheld: // independent of the worker's capacity
	}
}

// refusalShare returns the share of the requests for an owner of keys that are to be refused
// without sending them, and whether the worker has recently rejected any.
func (b *backend) refusalShare(now time.Time) (share float64, rejecting bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.throttle.Share(now), b.throttle.HasRecentRejection(now)
}

// recordThrottled counts a request that is refused without sending it to the worker.
func (b *backend) recordThrottled(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.throttle.RecordRefused(now)
}
