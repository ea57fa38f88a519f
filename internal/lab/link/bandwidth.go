package link

import (
	"sync"
	"time"
)

// Bandwidth is a limited bandwidth in one direction that links may share. Bytes pass in the order
// in which they arrive. It is safe for concurrent use.
type Bandwidth struct {
	bytesPerSecond float64
	mu             sync.Mutex
	// idleAt is when all bytes that have arrived will have passed.
	idleAt time.Time
}

// NewBandwidth returns a bandwidth of bytesPerSecond.
func NewBandwidth(bytesPerSecond float64) *Bandwidth {
	return &Bandwidth{bytesPerSecond: bytesPerSecond}
}

// QueueDelay returns how long bytes that arrive now wait for earlier ones.
func (b *Bandwidth) QueueDelay(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.idleAt.Sub(now))
}

// reserve queues bytes behind earlier ones, and returns when they will have passed.
func (b *Bandwidth) reserve(now time.Time, bytes int) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.idleAt.Before(now) {
		b.idleAt = now
	}
	b.idleAt = b.idleAt.Add(time.Duration(float64(bytes) / b.bytesPerSecond * float64(time.Second)))
	return b.idleAt
}

// SetBandwidth limits the link's requests and responses to bandwidths that other links may share.
// Nil means no limit.
func (l *Link) SetBandwidth(requests, responses *Bandwidth) {
	l.SetOriginBandwidth("", requests, responses)
}

// awaitBandwidth waits until the bandwidth of a pair's origin, or else that of the link, has let
// bytes pass.
func (l *Link) awaitBandwidth(pair *connPair, bytes int, responses bool) {
	l.mu.Lock()
	bandwidths, ok := l.bandwidths[pair.origin]
	if !ok {
		bandwidths = l.bandwidths[""]
	}
	bandwidth := bandwidths[0]
	if responses {
		bandwidth = bandwidths[1]
	}
	l.mu.Unlock()
	if bandwidth != nil {
		time.Sleep(time.Until(bandwidth.reserve(time.Now(), bytes)))
	}
}
