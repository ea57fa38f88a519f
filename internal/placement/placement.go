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

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// View is what a plan is made from.
type View struct {
	// Now is the leader's clock (Lower), used for budgets only.
	Now     time.Duration
	State   cellstate.State
	Servers []grant.ServerView
}

// Planner remembers what the state does not hold: estimates of rates, and the
// releases already proposed. After a change of the leader a new planner starts
// without them. It takes rates from the next reports, and until the new
// estimates have settled it moves nothing for balance. What it decides about a
// slice without an owner (to divide, merge or assign it) depends on the state
// and on these reports only, so that a release begun by the former leader comes
// to a good end. Not safe for concurrent use.
type Planner struct {
	memory        map[keyspace.Slice]*sliceMemory
	releases      releaseLog
	drainingSince map[bundle.ServerName]time.Duration
	starts        map[bundle.ServerName]serverStart
	// planned says that a plan was made before.
	planned bool
}

// NewPlanner returns a planner with full budgets.
func NewPlanner() *Planner {
	return &Planner{
		memory:        map[keyspace.Slice]*sliceMemory{},
		releases:      newReleaseLog(),
		drainingSince: map[bundle.ServerName]time.Duration{},
		starts:        map[bundle.ServerName]serverStart{},
	}
}

// Plan returns the commands to propose: Assign, BeginRelease, Refuse, Split and
// Merge. It never proposes a server outside the zones allowed for the slice, a
// draining one, or one that is not live. The same view gives the same plan
// again until the state shows its effect.
func (p *Planner) Plan(view View) []cellstate.Command {
	p.remember(view)
	p.releases.forget(view.Now - budgetWindow)
	cell := newCellView(view, p.memory)
	p.noteDraining(cell)
	p.noteStarts(cell)
	commands := p.placeUnowned(cell)
	commands = append(commands, p.releaseMisplaced(cell)...)
	return append(commands, p.improve(cell)...)
}

// CauseOf explains a command of the last plans.
func (p *Planner) CauseOf(command cellstate.Command) Cause {
	switch {
	case command.BeginRelease != nil:
		return p.releases.byFence[command.BeginRelease.Fence].cause
	case command.Split != nil:
		return splitCause(*command.Split)
	case command.Merge != nil:
		return CauseCold
	default:
		return CauseUnowned
	}
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
