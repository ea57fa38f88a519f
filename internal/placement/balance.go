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

// startMoves starts the moves that repay most, within the budget. It waits for
// a division or a merge to end: what that does to the loads shows only then.
func (r *round) startMoves() {
	if r.dividing {
		return
	}
	for r.open < concurrentMoves && r.budgetLeft() > 0 {
		if best, found := r.bestMove(); found {
			r.start(best.assignment, CauseBalance, best.target)
			continue
		}
		r.startDivision()
		return
	}
}

// startDivision releases one slice to be divided, with nothing beside it.
func (r *round) startDivision() {
	if r.open > 0 {
		return
	}
	if divided, cause, found := r.bestDivision(); found {
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
	return high-low > r.service.policy.threshold*r.service.mean
}

// moveOf returns the best move of a slice, with a gain of zero if none repays.
func (r *round) moveOf(assignment cellstate.Assignment) move {
	target, gain := r.gainOf(assignment, r.cell.weights[assignment.Slice])
	return move{assignment: assignment, target: target, gain: gain}
}

// gainOf returns the best other place for a part of a slice with the given
// rate, and the net gain of moving it there: zero if it does not repay.
func (r *round) gainOf(assignment cellstate.Assignment, rate float64) (*serverNode, float64) {
	owner := r.cell.servers[assignment.Owner]
	target := r.service.leastLoaded(r.cell.candidates(assignment))
	remaining := owner.load - r.service.apparentLoad(target) - rate
	if target == owner || !r.service.repays(remaining, owner, target) {
		return target, 0
	}
	return target, 2 * rate * (remaining - r.service.requiredGap(owner, target))
}

// repays reports whether a gap of load that remains between two servers after
// a move makes the move worth its churn.
func (s *serviceView) repays(remaining float64, owner, target *serverNode) bool {
	return remaining > s.requiredGap(owner, target)
}

// requiredGap is the gap of load that must remain between two servers after a
// move: what the churn weight asks, and enough to stand out from the noise of
// rates that are counts of independent arrivals.
func (s *serviceView) requiredGap(owner, target *serverNode) float64 {
	required := s.policy.threshold * s.mean
	if !s.measured {
		return required
	}
	deviation := math.Sqrt((owner.load + target.load) / noiseWindow.Seconds())
	return required + noiseDeviations*deviation
}

// bestDivision returns the slice whose division repays most, when no whole
// slice can be moved with gain.
func (r *round) bestDivision() (cellstate.Assignment, Cause, bool) {
	var best cellstate.Assignment
	var bestCause Cause
	highest := minimumGain * r.service.mean * r.service.mean
	for _, assignment := range r.service.assignments {
		if !r.movable(assignment) {
			continue
		}
		division, divisible := r.planner.divisionOf(r.service, assignment.Slice)
		if !divisible {
			continue
		}
		for _, leaving := range division.leaving {
			if _, gain := r.gainOf(assignment, leaving); gain > highest {
				best, bestCause, highest = assignment, division.cause, gain
			}
		}
	}
	return best, bestCause, bestCause != ""
}
