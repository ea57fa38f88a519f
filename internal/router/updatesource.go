package router

import (
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// told is until when a leader or a relay is relied on to tell of changes. It lapses by
// itself after a silence, whatever became of the link, so that a process reads the
// key-value service again. It is safe for concurrent use; the zero value has lapsed.
type updateSource struct {
	// until is a number of clock.Nanos; zero: nobody tells.
	liveUntil atomic.Int64
	// asOf is as of when all changes were told last, in the same form.
	asOf atomic.Int64
}

// heard notes that changes are told, as they stood age ago, or that they are not.
func (t *updateSource) received(now time.Time, age time.Duration, trusted bool) {
	if !trusted {
		t.invalidate()
		return
	}
	t.asOf.Store(clock.Nanos(now.Add(-age)))
	t.liveUntil.Store(clock.Nanos(now.Add(peerlink.SilenceLimit)))
}

// known returns as of when all changes were told last, a number of clock.Nanos.
func (t *updateSource) currentAsOf() int64 {
	if at := t.asOf.Load(); at != 0 {
		return at
	}
	return distantPast
}

// end stops relying on what is told.
func (t *updateSource) invalidate() { t.liveUntil.Store(0) }

// holds reports whether changes are told at a time.
func (t *updateSource) liveAt(now time.Time) bool {
	until := t.liveUntil.Load()
	return until != 0 && clock.Nanos(now) < until
}

// now reports whether changes are told now.
func (t *updateSource) live() bool { return t.liveAt(clock.Now()) }
