package router

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/settings"
)

// revocationMargin is subtracted from the time within which callers with a revoked key must be
// refused.
const revocationMargin = settings.MinRevokeWithin

// noteConfigCurrent records the time as of which a leader or relay that reaches the store has
// confirmed the configuration, if this process has all of it.
func (r *Router) noteConfigCurrent(now time.Time, update peerlink.Update) {
	if update.StoreUnreachable || update.Stale() || r.config.isBehind(update.ReadState.Config) {
		return
	}
	r.configAsOf.Store(clock.Nanos(now.Add(-update.Age())))
}

// configOutdated reports whether keys may have been revoked, without this process knowing, for as
// long as the settings allow.
func (r *Router) configOutdated() bool {
	known := clock.FromNanos(max(r.config.syncedAt.Load(), r.configAsOf.Load()))
	return clock.Since(known) > r.settings.RevokeWithin.Std()-revocationMargin
}
