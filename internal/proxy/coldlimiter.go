package proxy

import (
	"math/rand/v2"
	"time"
)

// coldShare is the fraction of a cold worker's warm-up rate that is actually sent, because the
// number of requests varies randomly. At 3.15 requests per second, 15 or more, which none of the
// users' workers may get, occur in a given second about once in a million times; at 4.2 about 3
// times in 100,000. Hundreds of workers may be cold at once.
const coldShare = 0.75

// coldLimiter limits a cold worker's requests per second over all processes. No process knows what
// the others send. Each therefore sends an equal part of the rate, and starts each warm-up period
// at a random point between two of its sends, so that the total varies like a Poisson process.
// Without this, workers that restarted together and could take 4.2 requests per second got 15 and
// 16 in one second (74 processes).
//
// The zero value is that of a worker that was never cold.
type coldLimiter struct {
	tokens     float64
	refilledAt time.Time
	// periodEnd is the end of the warm-up period that tokens belong to.
	periodEnd time.Time
}

// ready reports whether a request may be sent now to a worker that is cold until the given time.
// rate is in requests per second from all processes, and nodes is the number of processes, or 0 if
// unknown.
func (l *coldLimiter) ready(now, until time.Time, rate float64, nodes int) bool {
	if !now.Before(until) || rate <= 0 {
		return true
	}
	if nodes <= 0 {
		return false
	}
	l.refill(now, until, coldShare*rate/float64(nodes))
	return l.tokens >= 1
}

// take counts a request that is about to be sent. It returns false if the request may not be sent.
func (l *coldLimiter) take(now, until time.Time, rate float64, nodes int) bool {
	if !l.ready(now, until, rate, nodes) {
		return false
	}
	if now.Before(until) && rate > 0 {
		l.tokens--
	}
	return true
}

// refill adds the tokens accrued since the last call, up to one request. A new warm-up period
// starts with a random fraction of a token.
func (l *coldLimiter) refill(now, until time.Time, rate float64) {
	if now.After(l.periodEnd) {
		l.tokens, l.refilledAt = rand.Float64(), now
	}
	l.periodEnd = until
	l.tokens = min(1, l.tokens+now.Sub(l.refilledAt).Seconds()*rate)
	l.refilledAt = now
}
