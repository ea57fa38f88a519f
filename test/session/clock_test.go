package session

import (
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/lab/memnet"
)

// processClock is the clock of one process that can be frozen. A reading that
// is asked for during a freeze was taken before it and is given after it: that
// is the worst moment at which a process can be paused.
type processClock struct {
	start   time.Time
	network *memnet.Network
	place   memnet.Place

	mu sync.Mutex
	// stood is the time for which the slowest of the machine's clocks stood
	// still; the fastest one went on.
	stood time.Duration
}

func newProcessClock(network *memnet.Network, host string) *processClock {
	return &processClock{start: time.Now(), network: network, place: memnet.Place(host)}
}

func (c *processClock) read() clock.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	passed := time.Since(c.start)
	return clock.Instant{Upper: passed, Lower: passed - c.stood}
}

// Now implements clock.Source.
func (c *processClock) Now() clock.Instant {
	reading := c.read()
	c.network.Wait(c.place)
	return reading
}

// stoodStill lets the slowest clock have missed d.
func (c *processClock) stoodStill(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stood += d
}
