// Package placement decides which server should own each slice.
//
// Plan is a pure function of a view of the cell: it proposes assignments of
// unowned slices at once, and planned moves, splits and merges within the
// service's budget of moves.
package placement

import (
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/wire"
)

// View is what a plan is made from.
type View struct {
	// Now is the leader's clock (Lower), used for budgets only.
	Now     time.Duration
	State   cellstate.State
	Servers []grant.ServerView
}

// Planner remembers the budget of moves already spent.
type Planner struct{}

// NewPlanner returns a planner with full budgets.
func NewPlanner() *Planner { return &Planner{} }

// Plan returns the commands to propose: Assign, BeginRelease, Refuse, Split and
// Merge. It never proposes a server outside the zones allowed for the slice, a
// draining one, or one that is not live.
func (p *Planner) Plan(view View) []cellstate.Command { return nil }

// Cause explains a command that a plan holds, for logs and counters.
type Cause string

// Causes of planned changes.
const (
	CauseUnowned  Cause = "unowned"
	CauseDraining Cause = "draining"
	CauseZone     Cause = "zone-not-allowed"
	CauseBalance  Cause = "balance"
	CauseHotKey   Cause = "hot-key"
	CauseCold     Cause = "cold"
)

// ReasonNoServer is the refusal of a slice whose zones have no live server.
const ReasonNoServer = wire.ReasonNoPlace
