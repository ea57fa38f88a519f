package proxy

import (
	"math/rand/v2"
	"time"
)

// coldShare of what a cold worker bears is sent, since chance brings more at times. Of 3.15
// requests a second 15 or more, which none of the users' workers may get, come within a given
// second about once in a million times; of 4.2 about 3 times in 100,000, and hundreds of workers
// may be cold at once.
const coldShare = 0.75

// coldLimiter shares out among all processes how many requests a second a cold worker bears.
// No process sees what the others send. So each sends its part of that rate, and begins
// each spell at a random point between two of its sends: what all send together then
// varies as a Poisson process does. Workers that came back cold together got 15 and 16
// requests in a second without it, and bear 4.2 (74 processes).
//
// Its zero value is that of a worker that was never cold.
type coldLimiter struct {
	tokens     float64
	refilledAt time.Time
	// until is when the spell ends that the tokens are for.
	periodEnd time.Time
}

// ready reports whether a request may be sent now to a worker that is cold until a time,
// at a rate over all processes, of which there are nodes; 0: not known.
func (g *coldLimiter) ready(now, until time.Time, rate float64, nodes int) bool {
	if !now.Before(until) || rate <= 0 {
		return true
	}
	if nodes <= 0 {
		return false
	}
	g.refill(now, until, coldShare*rate/float64(nodes))
	return g.tokens >= 1
}

// take counts a request that is about to be sent; false if it may not.
func (g *coldLimiter) take(now, until time.Time, rate float64, nodes int) bool {
	if !g.ready(now, until, rate, nodes) {
		return false
	}
	if now.Before(until) && rate > 0 {
		g.tokens--
	}
	return true
}

// refill adds what has come since the last look, up to one request.
func (g *coldLimiter) refill(now, until time.Time, rate float64) {
	if now.After(g.periodEnd) {
		g.tokens, g.refilledAt = rand.Float64(), now
	}
	g.periodEnd = until
	g.tokens = min(1, g.tokens+now.Sub(g.refilledAt).Seconds()*rate)
	g.refilledAt = now
}
