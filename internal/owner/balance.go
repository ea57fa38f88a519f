package owner

import (
	"math"

	"github.com/shalefork/shalefork/internal/workers"
)

// balance moves runs of keys from the busiest worker to the idlest.
func (p *plan) balance() int {
	moves := 0
	stuck := map[workers.ID]bool{}
	for moves < min(maxMoves, p.rules.MaxMoves) {
		from, found := p.busiest(stuck)
		to, other := p.idlestFor(from)
		if !found || !other {
			return moves
		}
		gap := p.utilization(from) - p.utilization(to)
		if p.utilization(from) < busyEnough || gap < leastGap {
			return moves
		}
		want := p.wanted(from, to, gap)
		if key, better, ok := p.hoist(from); ok {
			p.move(key, from, better)
			moves++
			continue
		}
		keys, ok := KeyRange{}, false
		if want > 0 {
			keys, ok = p.choose(from, to, want)
		}
		if !ok {
			stuck[from] = true
			continue
		}
		p.move(keys, from, to)
		moves++
	}
	return moves
}

// wanted returns how much load is to move from one worker to another, given by how much their
// utilizations differ. Moving w off from (capacity cf) to to (capacity ct) levels them when
// w/cf + w/ct = gap. What a limited worker does not get must not make the other one short of room.
func (p *plan) wanted(from, to workers.ID, gap float64) float64 {
	capacityFrom, capacityTo := p.candidates[from].Capacity, p.candidates[to].Capacity
	want := gap / (1/max(capacityFrom, 1) + 1/max(capacityTo, 1))
	if p.candidates[from].Limited {
		want = min(want, (fullEnough-p.utilization(to))*max(capacityTo, 1))
	}
	return want
}

// idlestFor returns the candidate with the least load of those that may hold any
// keys of another.
func (p *plan) idlestFor(from workers.ID) (workers.ID, bool) {
	if len(p.rules.Placement) == 0 {
		return p.idlest(from, KeyRange{0, KeyCount - 1})
	}
	var best workers.ID
	found := false
	for _, one := range p.book.spans {
		if one.owner != from {
			continue
		}
		if id, ok := p.idlest(from, one.keys); ok && (!found || p.utilization(id) < p.utilization(best)) {
			best, found = id, true
		}
	}
	return best, found
}

// hoist finds a key that alone is much of a worker's load, and the worker that
// it would load least. Keys can't be divided, so such a key belongs on a fast
// worker, from which the others are then moved.
func (p *plan) hoist(from workers.ID) (KeyRange, workers.ID, bool) {
	key, rate, found := p.hottest(from)
	if !found || rate < aloneShare*p.usualCapacity(from) {
		return KeyRange{}, "", false
	}
	best, least := from, loss(p.utilization(from))-leastGain
	for id, candidate := range p.candidates {
		others := min(p.loads[id], shedShare*p.loads[id]+shedLeast)
		after := loss((others + rate) / max(candidate.Capacity, 1))
		if id != from && p.takes(id, KeyRange{key, key}) && (after < least || (after == least && id < best)) {
			best, least = id, after
		}
	}
	return KeyRange{key, key}, best, best != from
}

// usualCapacity is a worker's capacity, or that of the candidates if it is limited: few of its keys
// need to be placed alone then.
func (p *plan) usualCapacity(id workers.ID) float64 {
	if p.candidates[id].Limited {
		return max(p.candidates[id].Capacity, p.averageCapacity())
	}
	return p.candidates[id].Capacity
}

// loss approximates the share of requests that a worker answers late or not at all at
// a utilization: few up to idleEnough, and beyond its capacity what is too much.
func loss(utilization float64) float64 {
	const idleEnough, atCapacity = 0.6, 0.3
	switch {
	case utilization <= idleEnough:
		return 0
	case utilization <= 1:
		return atCapacity * (utilization - idleEnough) / (1 - idleEnough)
	}
	return 1 - (1-atCapacity)/utilization
}

// hottest returns the key of a worker that is asked for most.
func (p *plan) hottest(of workers.ID) (key int, rate float64, found bool) {
	for _, one := range p.book.spans {
		if one.owner != of || one.busy || !one.settled() {
			continue
		}
		from, to := p.places(one.keys)
		for _, asked := range p.rates[from:to] {
			if asked.Rate > rate {
				key, rate, found = asked.Key, asked.Rate, true
			}
		}
	}
	return key, rate, found
}

func (p *plan) busiest(stuck map[workers.ID]bool) (workers.ID, bool) {
	var best workers.ID
	found := false
	for id := range p.candidates {
		if stuck[id] {
			continue
		}
		if !found || p.utilization(id) > p.utilization(best) || (p.utilization(id) == p.utilization(best) && id < best) {
			best, found = id, true
		}
	}
	return best, found
}

// choose finds the run of keys of one worker whose move to another comes
// closest to the wanted load at the least cost.
func (p *plan) choose(from, to workers.ID, want float64) (KeyRange, bool) {
	best, bestCost := KeyRange{}, worstCost
	for index, one := range p.book.spans {
		if one.owner != from || one.busy || !one.settled() || !p.takes(to, one.keys) {
			continue
		}
		consider := func(keys KeyRange) {
			if cost := p.cost(index, one, keys, to, want); cost < bestCost {
				best, bestCost = keys, cost
			}
		}
		p.eachRun(one.keys, want, consider)
	}
	return best, bestCost < worstCost
}

// eachRun offers the whole of a span, and its runs that start at each key asked
// for and end before their load would be too much.
func (p *plan) eachRun(keys KeyRange, want float64, consider func(KeyRange)) {
	first, last := p.places(keys)
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
			continue // one key alone is too much
		}
		run := KeyRange{p.rates[start].Key, p.rates[end-1].Key}
		consider(run)
		if start == first {
			consider(KeyRange{keys.From, run.To})
		}
		if end == last {
			consider(KeyRange{run.From, keys.To})
		}
	}
}

// urgency is by how much cheaper a move of keys off a worker is taken to be. What a worker gets
// beyond a limit that it names is refused for as long as its keys stay.
func (p *plan) urgency(from workers.ID) float64 {
	if !p.candidates[from].Limited {
		return 1
	}
	return max(1, p.utilization(from))
}

func (p *plan) cost(index int, of *span, keys KeyRange, to workers.ID, want float64) float64 {
	cost := math.Abs(want-p.rate(keys)) / want
	cost += widthCost * (1 + churnFactor*p.rules.ChurnWeight) * float64(keys.Width()) / KeyCount / p.urgency(of.owner)
	if keys.From > of.keys.From {
		cost += splitCost
	} else if index > 0 && p.book.spans[index-1].owner == to {
		cost -= joinGain
	}
	if keys.To < of.keys.To {
		cost += splitCost
	} else if index+1 < len(p.book.spans) && p.book.spans[index+1].owner == to {
		cost -= joinGain
	}
	return cost
}
