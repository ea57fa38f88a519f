package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/workerlimit"
)

const (
	// limitsPause is the pause between messages to a link that tell of workers' limits, and
	// mostLimits is how many one tells: 8 KB a second at most, of the 20 KB that a link may take.
	limitsPause = 500 * time.Millisecond
	mostLimits  = 64
)

// OnLimits sets what is called with what linked processes tell of workers' limits, by a leader and
// by a relay.
func (h *Hub) OnLimits(call func([]workerlimit.Told)) { h.limitsTold = call }

// tellLimits adds to an update what the link has not been told of workers' limits. The caller holds
// mu.
func (h *Hub) tellLimits(one *link, update *Update, now time.Time) {
	if h.Limits == nil || now.Sub(one.limitsAt) < limitsPause {
		return
	}
	facts, upTo := h.Limits.Since(one.limits, mostLimits)
	one.limits = upTo
	if len(facts) == 0 {
		return
	}
	one.limitsAt = now
	for _, fact := range facts {
		update.Limits = append(update.Limits, workerlimit.Tell(now, fact))
	}
}
