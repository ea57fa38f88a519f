// Package placement decides which server should own each slice.
//
// Plan is a pure function of a view of the cell and of what the planner
// remembers: it proposes assignments of unowned slices at once, and planned
// moves, splits and merges within the service's budget of moves.
//
// No decision depends on the order of a map: servers are visited by name and
// slices in the order of the state.
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

// Planner remembers what the state does not hold: the releases already
// proposed. Not safe for concurrent use.
type Planner struct {
	releases releaseLog
}

// NewPlanner returns a planner with full budgets.
func NewPlanner() *Planner {
	return &Planner{releases: newReleaseLog()}
}

// Plan returns the commands to propose: Assign, BeginRelease, Refuse, Split and
// Merge. It never proposes a server outside the zones allowed for the slice, a
// draining one, or one that is not live. The same view gives the same plan
// again until the state shows its effect.
func (p *Planner) Plan(view View) []cellstate.Command {
	cell := newCellView(view)
	commands := p.releaseMisplaced(view.Now, cell)
	return append(commands, assignUnowned(cell)...)
}

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
