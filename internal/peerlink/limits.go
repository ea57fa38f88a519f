package peerlink

import (
	"github.com/shalefork/shalefork/internal/departure"
	"github.com/shalefork/shalefork/internal/workerlimit"
)

// OnLeaving sets what is called with what linked processes tell of workers that leave, by a leader and
// by a relay.
func (h *Hub) OnLeaving(call func([]departure.Told)) { h.leavingTold = call }

// OnLimits sets what is called with what linked processes tell of workers' limits, by a leader and
// by a relay.
func (h *Hub) OnLimits(call func([]workerlimit.Told)) { h.limitsTold = call }
