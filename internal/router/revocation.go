package router

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// revokeMargin is kept from the time within which a key that was taken away must be refused: what
// a leader tells may be 2.2 s old before it calls itself deaf, and a request that is let in takes
// a moment to its worker.
const revokeMargin = 2400 * time.Millisecond

// noteConfigTold notes as of when a leader or relay that reaches the store has told the
// configuration, if this process has all of it.
func (r *Router) noteConfigTold(now time.Time, update peerlink.Update) {
	if update.Deaf || update.Stale() || r.config.misses(update.Known.Config) {
		return
	}
	r.configAsOf.Store(clock.Nanos(now.Add(-update.Age())))
}

// configOutdated reports whether keys may have been taken away for as long as the settings allow
// without this process knowing it.
func (r *Router) configOutdated() bool {
	known := clock.OfNanos(max(r.config.reached.Load(), r.configAsOf.Load()))
	return clock.Since(known) > r.settings.RevokeWithin.Std()-revokeMargin
}
