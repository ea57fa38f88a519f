package proxy

import (
	"math/rand/v2"
	"sync"
	"time"
)

// bulkLinkRate is what large bodies may take of a link between regions, in bytes a second, all
// routers together: a sixteenth of a link of 64 Mbit/s. Thirty routers then send one body of
// 90 kB each 170 ms on average; five of them in the same 46 ms, which would hold up renewals of
// what workers hold for 50 ms, come about once in two hundred rounds of 5 s.
const bulkLinkRate = 512 << 10

// bulkLimiter lets one router's part of the large bodies through between regions. Each router
// may use an equal part by the number of routers that it heard of last, also while it is cut
// off: nothing is asked and nothing lent, so that no message is late when the link is full.
//
// A router that has sent none for a while waits a random part of its pause first: the region
// is short of workers for all routers at the same moment, and thirty of them that each send a
// body of 90 kB at once fill a link of 62 Mbit/s for 350 ms. It is safe for concurrent use.
type bulkLimiter struct {
	mu sync.Mutex
	// next is when the next body may pass.
	next time.Time
}

// take asks whether a body of that many bytes may pass now.
func (g *bulkLimiter) take(now time.Time, bytes float64, routers int) bool {
	if routers <= 0 {
		routers = defaultNodes
	}
	pause := time.Duration(bytes * float64(routers) / bulkLinkRate * float64(time.Second))
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case now.Sub(g.next) > pause:
		g.next = now.Add(time.Duration(rand.Float64() * float64(pause)))
		return false
	case now.Before(g.next):
		return false
	}
	g.next = now.Add(pause)
	return true
}
