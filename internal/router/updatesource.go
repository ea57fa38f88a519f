package router

import (
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// updateSource tracks until when the updates of a leader or relay are trusted to be complete. Trust
// expires after peerlink.SilenceLimit without an update, even if the connection stays open, so that
// the process reads the key-value service again. It is safe for concurrent use; the zero value is
// expired.
type updateSource struct {
	// liveUntil is in clock.Nanos; 0: no process sends updates.
	liveUntil atomic.Int64
	// asOf is the time, in clock.Nanos, up to which the received updates are complete.
	asOf atomic.Int64
}

// received records an update that is complete up to now-age. An update that is not trusted ends the
// trust in the source.
func (u *updateSource) received(now time.Time, age time.Duration, trusted bool) {
	if !trusted {
		u.invalidate()
		return
	}
	u.asOf.Store(clock.Nanos(now.Add(-age)))
	u.liveUntil.Store(clock.Nanos(now.Add(peerlink.SilenceLimit)))
}

// currentAsOf returns the time, in clock.Nanos, up to which the received updates are complete.
func (u *updateSource) currentAsOf() int64 {
	if at := u.asOf.Load(); at != 0 {
		return at
	}
	return distantPast
}

// invalidate ends the trust in the source until the next trusted update.
func (u *updateSource) invalidate() { u.liveUntil.Store(0) }

// liveAt reports whether the source is trusted at the given time.
func (u *updateSource) liveAt(now time.Time) bool {
	until := u.liveUntil.Load()
	return until != 0 && clock.Nanos(now) < until
}

// live reports whether the source is trusted now.
func (u *updateSource) live() bool { return u.liveAt(clock.Now()) }
