package owner

import (
	"math"

	"github.com/shalefork/shalefork/internal/workers"
)

// balance moves key ranges from the most utilized workers to the least loaded ones.
func (p *planner) balance() int {
	moves := 0
	exhausted := map[workers.ID]bool{}
	for moves < min(maxMovesPerRound, p.rules.MaxMoves) {
		from, found := p.mostUtilized(exhausted)
		to, foundTarget := p.leastLoadedForAny(from)
		if !found || !foundTarget {
			return moves
		}
		gap := p.utilization(from) - p.utilization(to)
		if p.utilization(from) < minSourceUtilization || gap < minUtilizationGap {
			return moves
		}
		want := p.loadToMove(from, to, gap)
		if key, target, ok := p.hotKeyMove(from); ok {
			p.move(key, from, target)
			moves++
			continue
		}
		keys, ok := KeyRange{}, false
		if want > 0 {
			keys, ok = p.bestRange(from, to, want)
		}
		if !ok {
			exhausted[from] = true
			continue
		}
		p.move(keys, from, to)
		moves++
	}
	return moves
}

// loadToMove returns how much load to move from one worker to another, given the difference of
// their utilizations. Moving a load of w from a worker of capacity cf to one of capacity ct makes
// them equal if w/cf + w/ct = gap. The excess load of a limited worker must not leave the other one
// with too little capacity.
func (p *planner) loadToMove(from, to workers.ID, gap float64) float64 {
	capacityFrom, capacityTo := p.candidates[from].Capacity, p.candidates[to].Capacity
	want := gap / (1/max(capacityFrom, 1) + 1/max(capacityTo, 1))
	if p.candidates[from].Limited {
		want = min(want, (maxTargetUtilization-p.utilization(to))*max(capacityTo, 1))
	}
	return want
}

// leastLoadedForAny returns the least loaded candidate that may hold any of another worker's spans.
func (p *planner) leastLoadedForAny(from workers.ID) (workers.ID, bool) {
	if len(p.rules.Placement) == 0 {
		return p.leastLoaded(from, KeyRange{0, KeyCount - 1})
	}
	var best workers.ID
	found := false
	for _, s := range p.ledger.spans {
		if s.owner != from {
			continue
		}
		if id, ok := p.leastLoaded(from, s.keys); ok && (!found || p.utilization(id) < p.utilization(best)) {
			best, found = id, true
		}
	}
	return best, found
}

// hotKeyMove returns a key that alone makes up much of a worker's load, and the worker for which it
// would cause the least loss. A key can't be divided, so a hot one belongs on a fast worker, whose
// other keys are then moved away.
func (p *planner) hotKeyMove(from workers.ID) (KeyRange, workers.ID, bool) {
	key, rate, found := p.hottestKey(from)
	if !found || rate < hotKeyShare*p.referenceCapacity(from) {
		return KeyRange{}, "", false
	}
	best, least := from, lossRate(p.utilization(from))-minLossReduction
	for id, candidate := range p.candidates {
		others := min(p.loads[id], remainingShare*p.loads[id]+minRemainingLoad)
		after := lossRate((others + rate) / max(candidate.Capacity, 1))
		if id != from && p.accepts(id, KeyRange{key, key}) && (after < least || (after == least && id < best)) {
			best, least = id, after
		}
	}
	return KeyRange{key, key}, best, best != from
}

// referenceCapacity returns the capacity that the load of a single key is compared with: the
// worker's, or for a limited worker at least the average of the candidates, since few of its keys
// need to be placed separately.
func (p *planner) referenceCapacity(id workers.ID) float64 {
	if p.candidates[id].Limited {
		return max(p.candidates[id].Capacity, p.averageCapacity())
	}
	return p.candidates[id].Capacity
}

// lossRate approximates the fraction of requests that a worker answers late or not at all at a
// utilization. It is 0 up to noLossUtilization; above a utilization of 1 it includes all load
// beyond the worker's capacity.
func lossRate(utilization float64) float64 {
	const noLossUtilization, lossAtCapacity = 0.6, 0.3
	switch {
	case utilization <= noLossUtilization:
		return 0
	case utilization <= 1:
		return lossAtCapacity * (utilization - noLossUtilization) / (1 - noLossUtilization)
	}
	return 1 - (1-lossAtCapacity)/utilization
}

// hottestKey returns the key of a worker with the highest request rate.
func (p *planner) hottestKey(id workers.ID) (key int, rate float64, found bool) {
	for _, s := range p.ledger.spans {
		if s.owner != id || s.inFlight || !s.stable() {
			continue
		}
		from, to := p.rateIndexes(s.keys)
		for _, load := range p.rates[from:to] {
			if load.Rate > rate {
				key, rate, found = load.Key, load.Rate, true
			}
		}
	}
	return key, rate, found
}

func (p *planner) mostUtilized(exhausted map[workers.ID]bool) (workers.ID, bool) {
	var best workers.ID
	found := false
	for id := range p.candidates {
		if exhausted[id] {
			continue
		}
		if !found || p.utilization(id) > p.utilization(best) || (p.utilization(id) == p.utilization(best) && id < best) {
			best, found = id, true
		}
	}
	return best, found
}

// bestRange returns the key range of one worker whose move to another comes closest to the wanted
// load at the lowest cost.
func (p *planner) bestRange(from, to workers.ID, want float64) (KeyRange, bool) {
	best, bestCost := KeyRange{}, maxCost
	for index, s := range p.ledger.spans {
		if s.owner != from || s.inFlight || !s.stable() || !p.accepts(to, s.keys) {
			continue
		}
		consider := func(keys KeyRange) {
			if cost := p.cost(index, s, keys, to, want); cost < bestCost {
				best, bestCost = keys, cost
			}
		}
		p.eachSubrange(s.keys, want, consider)
	}
	return best, bestCost < maxCost
}

// eachSubrange calls consider with the whole range, if its load is not too high, and with the
// subranges that start at each key with requests and end before their load exceeds the wanted one.
func (p *planner) eachSubrange(keys KeyRange, want float64, consider func(KeyRange)) {
	first, last := p.rateIndexes(keys)
	if p.rate(keys) <= want {
		consider(keys)
	}
	end := first
	for start := first; start < last; start++ {
		end = max(end, start)
		for end < last && p.sums[end+1]-p.sums[start] <= want {
			end++
		}
		if end == start {
			continue // the load of this key alone is too high
		}
		subrange := KeyRange{p.rates[start].Key, p.rates[end-1].Key}
		consider(subrange)
		if start == first {
			consider(KeyRange{keys.From, subrange.To})
		}
		if end == last {
			consider(KeyRange{subrange.From, keys.To})
		}
	}
}

// widthCostDivisor returns the number by which widthCost is divided for keys that leave a worker.
// Requests beyond a limit that a worker has set are rejected for as long as its keys stay.
func (p *planner) widthCostDivisor(from workers.ID) float64 {
	if !p.candidates[from].Limited {
		return 1
	}
	return max(1, p.utilization(from))
}

func (p *planner) cost(index int, source *span, keys KeyRange, to workers.ID, want float64) float64 {
	cost := math.Abs(want-p.rate(keys)) / want
	cost += widthCost * (1 + churnCostFactor*p.rules.ChurnWeight) * float64(keys.Width()) / KeyCount / p.widthCostDivisor(source.owner)
	if keys.From > source.keys.From {
		cost += splitCost
	} else if index > 0 && p.ledger.spans[index-1].owner == to {
		cost -= joinBonus
	}
	if keys.To < source.keys.To {
		cost += splitCost
	} else if index+1 < len(p.ledger.spans) && p.ledger.spans[index+1].owner == to {
		cost -= joinBonus
	}
	return cost
}
