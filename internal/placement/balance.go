package placement

import (
	"math"

	"github.com/shalefork/shalefork/internal/cellstate"
)

// move is a possible planned move of a slice.
type move struct {
	assignment cellstate.Assignment
	target     *serverNode
	// gain is the net gain in squared requests per second.
	gain float64
}

// startMoves starts the moves that repay most, within the budget.
func (r *round) startMoves() {
	for r.open < concurrentMoves && r.budgetLeft() > 0 {
		if best, found := r.bestMove(); found {
			r.start(best.assignment, CauseBalance, best.target)
			continue
		}
		divided, cause, found := r.bestDivision()
		if !found {
			return
		}
		r.start(divided, cause, nil)
	}
}

// bestMove returns the move of a whole slice with the highest net gain.
//
// The measure is the sum of the squares of the servers' loads. Moving rate x
// over a gap g of two loads lowers it by 2x(g-x). The churn of the move is
// charged as 2x times the gap that must remain, so that a move repays exactly
// if the gap that remains, g-x, exceeds that one; going back would then need a
// change of the loads by twice as much, which is the hysteresis.
func (r *round) bestMove() (move, bool) {
	var best move
	if !r.uneven() {
		return best, false
	}
	for _, assignment := range r.service.assignments {
		if !r.movable(assignment) {
			continue
		}
		if possible := r.moveOf(assignment); possible.gain > best.gain {
			best = possible
		}
	}
	return best, best.gain > minimumGain*r.service.mean*r.service.mean
}

// uneven reports whether the extremes of load are far enough apart for any
// move to repay.
func (r *round) uneven() bool {
	low, high := math.Inf(1), 0.0
	for _, node := range r.service.nodes {
		if node.usable() {
			low = min(low, node.load)
			high = max(high, node.load)
		}
	}
	return r.service.repays(high - low)
}

// moveOf returns the best move of a slice, with a gain of zero if it has no
// other place.
func (r *round) moveOf(assignment cellstate.Assignment) move {
	owner := r.cell.servers[assignment.Owner]
	target := r.service.leastLoaded(r.cell.candidates(assignment))
	rate := r.cell.weights[assignment.Slice]
	remaining := owner.load - target.load - rate - r.service.requiredGap(owner, target)
	if target == owner || !(remaining > 0) {
		return move{}
	}
	return move{assignment: assignment, target: target, gain: 2 * rate * remaining}
}

// requiredGap is the gap of load that must remain between two servers after a
// move: what the churn weight asks, and enough to stand out from the noise of
// rates that are counts of independent arrivals.
func (s *serviceView) requiredGap(owner, target *serverNode) float64 {
	deviation := math.Sqrt((owner.load + target.load) / noiseWindow.Seconds())
	return s.policy.threshold*s.mean + noiseDeviations*deviation
}

// bestDivision returns the heaviest slice on an overloaded server that can be
// divided, when no whole slice can be moved with gain.
func (r *round) bestDivision() (cellstate.Assignment, Cause, bool) {
	var best cellstate.Assignment
	var bestCause Cause
	heaviest := 0.0
	for _, assignment := range r.service.assignments {
		weight := r.cell.weights[assignment.Slice]
		if weight <= heaviest || !r.movable(assignment) || !r.overloaded(assignment) {
			continue
		}
		if division, divisible := r.planner.divisionOf(r.service, assignment.Slice); divisible {
			best, bestCause, heaviest = assignment, division.cause, weight
		}
	}
	return best, bestCause, heaviest > 0
}

// overloaded reports whether the slice's owner has so much more than the least
// loaded candidate that moving a part of the slice would repay.
func (r *round) overloaded(assignment cellstate.Assignment) bool {
	owner := r.cell.servers[assignment.Owner]
	target := r.service.leastLoaded(r.cell.candidates(assignment))
	return owner.load-target.load > r.service.requiredGap(owner, target)
}
