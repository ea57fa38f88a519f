package proxy

import (
	"math/rand/v2"
	"sync"
	"time"
)

// bulkLinkRate is the rate in bytes per second at which all routers together may send large bodies
// over a link between regions: a sixteenth of a link of 64 Mbit/s. Thirty routers then send one
// body of 90 kB every 170 ms on average. Five of them within 46 ms, which would delay renewals of
// workers' holds by 50 ms, occur about once in two hundred periods of 5 s.
const bulkLinkRate = 512 << 10

// bulkLimiter limits the large bodies that one router sends to another region. Each router may use
// an equal share, by the number of routers last reported to it, even while it is cut off from the
// others. Routers neither request nor lend shares, so that no such message can be delayed while the
// link is full.
//
// A router that has not sent any for a while first waits for a random part of its interval: the
// local region runs out of workers for all routers at the same time, and thirty of them that each
// send a body of 90 kB at once would fill a link of 62 Mbit/s for 350 ms. It is safe for concurrent
// use.
type bulkLimiter struct {
	mu sync.Mutex
	// next is the time from which the next body may be sent.
	next time.Time
}

// take reserves the link for a body of the given length. It returns false if the body may not be
// sent now.
func (l *bulkLimiter) take(now time.Time, bytes float64, routers int) bool {
	if routers <= 0 {
		routers = defaultNodes
	}
	interval := time.Duration(bytes * float64(routers) / bulkLinkRate * float64(time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case now.Sub(l.next) > interval:
		l.next = now.Add(time.Duration(rand.Float64() * float64(interval)))
		return false
	case now.Before(l.next):
		return false
	}
	l.next = now.Add(interval)
	return true
}
