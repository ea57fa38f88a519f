package quarantine

import (
	"maps"
	"time"
)

const (
	// maxRunTime is the longest time for which one attempt keeps others waiting.
	maxRunTime = 5 * time.Second
	// gateRetryInterval is the longest time after which an attempt that may not run yet is to ask
	// again.
	gateRetryInterval = 100 * time.Millisecond
)

// Gate lets one attempt of each suspected request run at a time. Attempts that run side by side would
// crash one worker each before the first crash is known. It is not safe for concurrent use.
type Gate struct {
	running map[Fingerprint]gateEntry
}

// gateEntry is the attempt that may run.
type gateEntry struct {
	holder string
	until  time.Time
}

// NewGate returns a gate without running attempts.
func NewGate() *Gate { return &Gate{running: map[Fingerprint]gateEntry{}} }

// Acquire requests that an attempt, named holder, may run for a time. If it may not, wait is the time
// after which to ask again.
func (g *Gate) Acquire(now time.Time, request Fingerprint, holder string, run time.Duration) (wait time.Duration, granted bool) {
	g.expire(now)
	if current, taken := g.running[request]; taken && current.holder != holder {
		return min(current.until.Sub(now), gateRetryInterval), false
	}
	g.running[request] = gateEntry{holder: holder, until: now.Add(min(run, maxRunTime))}
	return 0, true
}

// Release ends the run of an attempt once a time has passed, within which it must be known whether it
// has crashed its worker.
func (g *Gate) Release(now time.Time, request Fingerprint, holder string, after time.Duration) {
	if current, taken := g.running[request]; taken && current.holder == holder {
		current.until = now.Add(after)
		g.running[request] = current
	}
	g.expire(now)
}

// expire removes the attempts whose time is over.
func (g *Gate) expire(now time.Time) {
	maps.DeleteFunc(g.running, func(_ Fingerprint, entry gateEntry) bool { return !now.Before(entry.until) })
}
