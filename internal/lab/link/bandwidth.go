package link

import (
	"sync"
	"time"
)

// Rate is a bandwidth that links share: bytes leave in the order in which they come, one way. It
// is safe for concurrent use.
type Bandwidth struct {
	perSecond float64
	mu        sync.Mutex
	free      time.Time
}

// NewBandwidth returns a bandwidth, in bytes a second.
func NewBandwidth(bytesPerSecond float64) *Bandwidth { return &Bandwidth{perSecond: bytesPerSecond} }

// Queue returns how long bytes that come now wait for those before them.
func (r *Bandwidth) QueueDelay(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.free.Sub(now))
}

// take lets bytes wait for those before them, and returns when they have passed.
func (r *Bandwidth) take(now time.Time, bytes int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(time.Duration(float64(bytes) / r.perSecond * float64(time.Second)))
	return r.free
}

// Share makes the link's requests and answers take their turns with those of other links. Nil:
// as many as there are pass at once.
func (l *Link) SetBandwidth(requests, answers *Bandwidth) {
	l.SetOriginBandwidth("", requests, answers)
}

// awaitTurn waits until bytes have passed.
func (l *Link) awaitTurn(of *pair, bytes int, answers bool) {
	l.mu.Lock()
	rates, own := l.rates[of.origin]
	if !own {
		rates = l.rates[""]
	}
	rate := rates[0]
	if answers {
		rate = rates[1]
	}
	l.mu.Unlock()
	if rate != nil {
		time.Sleep(time.Until(rate.take(time.Now(), bytes)))
	}
}
