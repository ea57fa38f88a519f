package placement

import (
	"math"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
)

const (
	// defaultMovesPerMinute stands for zero in a bundle.
	defaultMovesPerMinute = 12
	// ledgerChurnWeight is for the ledger's service, which no bundle weighs.
	ledgerChurnWeight = 0.5

	// thresholdScale is the gap of load, in mean server loads, that a move must
	// leave between its two servers at a churn weight of one half.
	thresholdScale = 0.5
	// minimumThreshold keeps noise in reported rates from causing moves, also
	// at a churn weight of zero.
	minimumThreshold = 0.1
	// concurrentMoves bounds the slices of one service that are without an
	// owner at once for the sake of balance.
	concurrentMoves = 2
	// minimumGain is the least net gain of a move, in squared mean server loads.
	minimumGain = 0.02
	// noiseDeviations is how many standard deviations of the two servers'
	// measured rates a gap must exceed, and noiseWindow the time over which a
	// rate is taken to be measured.
	noiseDeviations = 2
	noiseWindow     = 10 * time.Second
	// residence is the least time between two planned changes of a slice.
	residence = 30 * time.Second
	// budgetWindow is the time over which MovesPerMinute is counted.
	budgetWindow = time.Minute

	// hotKeyLoad is the rate of a key, in mean server loads, at which it gets a
	// slice of its own, if the other keys of its slice have hotKeyRestLoad.
	hotKeyLoad     = 0.25
	hotKeyRestLoad = 0.1
	// splitLoad is the rate of a slice, in mean server loads, over which it may
	// be divided.
	splitLoad = 0.5
	// minimumSplitRate in requests per second is too little to divide.
	minimumSplitRate = 2.0
	// coldLoad is the rate, in mean server loads, under which a slice may be
	// merged with a neighbour, and mergedLoad the most that both may have. That
	// lies far under splitLoad, so that no split follows a merge.
	coldLoad   = 0.05
	mergedLoad = 0.4
	// pausedCost weighs traffic that a merge pauses against traffic that it
	// moves to another server.
	pausedCost = 0.1
	// maximumGrowth bounds the slices of a partition as a multiple of the
	// number that it starts with.
	maximumGrowth = 4

	// settleTime is how long a reported rate may only raise the estimate after
	// a slice got an owner: reports are averages over some seconds, and lag.
	settleTime = 10 * time.Second
	// smoothingTime is the time constant of the estimate of a rate.
	smoothingTime = 5 * time.Second
	// idleRate is counted for all hashes of a partition together, so that
	// slices without requests are spread by their width.
	idleRate = 1.0

	// gatherTime is how long a service without any owner waits for the rest of
	// its servers, so that the first one to be reached does not get all slices;
	// and how long a new leader waits for a first server before it refuses.
	gatherTime = 400 * time.Millisecond
	// mergeHold is how long an unowned slice waits for the neighbour that it
	// is to be merged with.
	mergeHold = time.Second

	// warmUp is how long a server that has just started counts as more loaded
	// than it is: by one mean server load at first, and less and less. Servers
	// start cold, and slices that come all at once would wait there.
	warmUp = 10 * time.Second

	// drainBatch bounds the slices of one service that leave draining servers
	// within drainInterval, so that not all of them are without an owner at
	// once. It counts starts and not ends: a long request holds up no drain.
	drainBatch    = 4
	drainInterval = 250 * time.Millisecond
	// drainGrace is how long a draining server may keep a slice that has no
	// other place. After that it gets no new work, and the slice is refused.
	drainGrace = 2 * time.Second
)

// policy is a service's placement with its defaults filled in.
type policy struct {
	slices         int
	movesPerMinute int
	// threshold is the gap of load, in mean server loads, that must remain
	// between two servers after a move for the move to repay its churn.
	threshold float64
}

func newPolicy(placement bundle.Placement) policy {
	made := policy{
		slices:         placement.Slices,
		movesPerMinute: placement.MovesPerMinute,
		threshold:      thresholdOf(placement.ChurnWeight),
	}
	if made.slices == 0 {
		made.slices = cellstate.DefaultSlices
	}
	if made.movesPerMinute == 0 {
		made.movesPerMinute = defaultMovesPerMinute
	}
	return made
}

// thresholdOf is infinite at a churn weight of 1: nothing moves for balance.
func thresholdOf(churnWeight float64) float64 {
	if churnWeight >= 1 {
		return math.Inf(1)
	}
	return max(minimumThreshold, thresholdScale*churnWeight/(1-churnWeight))
}

// movesForBalance reports whether any planned change can repay.
func (s *serviceView) movesForBalance() bool {
	return !math.IsInf(s.policy.threshold, 1)
}
