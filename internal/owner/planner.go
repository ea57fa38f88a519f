package owner

import (
	"slices"

	"github.com/shalefork/shalefork/internal/workers"
)

// Candidate is a worker that may hold keys.
type Candidate struct {
	ID      workers.ID
	Address string
	Zone    string
	// Capacity is the number of requests per second that it can process.
	Capacity float64
	// Limited means that requests beyond that capacity are not sent to the worker, since it has set
	// a limit or requested backoffs.
	Limited bool
	// Cold means that the worker is warming up or temporarily lacks capacity. It is not given keys
	// if other workers can take them.
	Cold bool
}

// Parameters of the planner. Costs are fractions of the load that should move.
const (
	// maxMovesPerRound is the maximum number of moves for balance in one round.
	maxMovesPerRound = 10
	// minSourceUtilization is the utilization below which no keys are moved off a worker for
	// balance.
	minSourceUtilization = 0.5
	// maxTargetUtilization is the utilization up to which a worker may take over the excess load of
	// a limited one.
	maxTargetUtilization = 0.9
	// minUtilizationGap is the smallest difference in utilization that justifies a move.
	minUtilizationGap = 0.4
	// widthCost is the cost of moving all keys. Moving a fraction of them costs that fraction of it.
	widthCost = 6.0
	// churnCostFactor is the relative increase of widthCost at a churn weight of 1.
	churnCostFactor = 4.0
	// splitCost is the cost of each new boundary between spans.
	splitCost = 0.08
	// joinBonus is deducted from the cost for each adjacent span that the moved keys can be merged
	// with.
	joinBonus = 0.1
	// maxCost bounds the cost: only moves below it are made.
	maxCost = 0.75
	// hotKeyShare is the fraction of a worker's capacity from which on a single key counts as hot
	// and is placed separately.
	hotKeyShare = 0.4
	// minLossReduction is the smallest reduction of the loss rate that justifies moving a hot key.
	minLossReduction = 0.1
	// remainingShare and minRemainingLoad estimate the other load that a worker keeps after it
	// receives a hot key, since the rest will be moved away.
	remainingShare   = 0.4
	minRemainingLoad = 1.0
	// spansPerCandidate is the number of spans per candidate above which small spans are merged
	// with adjacent ones.
	spansPerCandidate = 2
	// maxSmallSpanLoad is the largest load, as a fraction of the receiving worker's capacity, with
	// which a span is moved to an adjacent owner in order to merge them.
	maxSmallSpanLoad = 0.06
	// maxSmallSpanWidth is the largest number of keys of such a span.
	maxSmallSpanWidth = KeyCount / 256
)

// InitialOwners divides all keys among the candidates in ranges of equal width, separately for each
// placement rule. It returns nil if a rule has no candidate, since no other worker may hold its keys.
func InitialOwners(candidates []Candidate, rules []PlacementRule) []Owner {
	var owners []Owner
	for _, rule := range withGaps(rules) {
		allowed := rule.eligible(candidates)
		if len(allowed) == 0 {
			return nil
		}
		from := rule.Keys.From
		for index, candidate := range allowed {
			to := rule.Keys.From + rule.Keys.Width()*(index+1)/len(allowed) - 1
			if to < from {
				continue // more candidates than keys
			}
			owners = append(owners, Owner{Keys: KeyRange{from, to}, Worker: candidate.ID, Address: candidate.Address})
			from = to + 1
		}
	}
	return owners
}

// planner runs one round of planning over a ledger.
type planner struct {
	ledger *Ledger
	rates  []KeyLoad
	rules  Rules
	// sums are the prefix sums of rates, from which the load of a key range is computed.
	sums       []float64
	candidates map[workers.ID]Candidate
	loads      map[workers.ID]float64
	// widths is the number of keys of each candidate.
	widths map[workers.ID]int
	moves  []Move
}

// Rules restrict what a plan may do.
type Rules struct {
	// Placement restricts which workers may hold keys.
	Placement []PlacementRule
	// Balance allows moves for balance, at most MaxMoves of them.
	Balance  bool
	MaxMoves int
	// ChurnWeight, from 0 to 1, is the weight of the cost of moves against their benefit.
	ChurnWeight float64
}

// Move is a planned move of keys.
type Move struct {
	Keys     KeyRange
	From, To workers.ID
	// Rate is the request rate of the keys; FromLoad and ToLoad are the loads of both workers after
	// the move. All are in requests per second.
	Rate, FromLoad, ToLoad float64
	// Forced moves take keys off workers that may no longer hold them.
	Forced bool
}

// Plan moves keys off workers that may not hold them and then, if the rules allow it, for balance.
// It returns the moves that it planned.
func (l *Ledger) Plan(candidates []Candidate, rates []KeyLoad, rules Rules) []Move {
	if len(candidates) == 0 || len(l.spans) == 0 {
		return nil
	}
	l.splitAtPlacement(rules.Placement)
	l.Merge()
	p := &planner{ledger: l, rates: rates, rules: rules, candidates: map[workers.ID]Candidate{}, loads: map[workers.ID]float64{}, widths: map[workers.ID]int{}}
	p.sums = make([]float64, len(rates)+1)
	for index, load := range rates {
		p.sums[index+1] = p.sums[index] + load.Rate
	}
	for _, candidate := range candidates {
		p.candidates[candidate.ID] = candidate
		p.loads[candidate.ID] = 0
	}
	for _, s := range l.spans {
		if _, isCandidate := p.candidates[s.finalOwner()]; isCandidate {
			p.loads[s.finalOwner()] += p.rate(s.keys)
			p.widths[s.finalOwner()] += s.keys.Width()
		}
	}
	p.evacuate()
	if !rules.Balance || rules.ChurnWeight >= 1 {
		return p.moves
	}
	if p.balance() < rules.MaxMoves {
		p.mergeSmallSpans()
	}
	return p.moves
}

// rate returns the load of a key range.
func (p *planner) rate(keys KeyRange) float64 {
	from, to := p.rateIndexes(keys)
	return p.sums[to] - p.sums[from]
}

// rateIndexes returns the half-open range of indexes into rates that belongs to a key range.
func (p *planner) rateIndexes(keys KeyRange) (from, to int) {
	byKey := func(load KeyLoad, key int) int { return load.Key - key }
	from, _ = slices.BinarySearchFunc(p.rates, keys.From, byKey)
	to, _ = slices.BinarySearchFunc(p.rates, keys.To+1, byKey)
	return from, to
}

func (p *planner) utilization(id workers.ID) float64 {
	return p.loads[id] / max(p.candidates[id].Capacity, 1)
}

// leastLoaded returns the candidate with the lowest placement score that may hold the keys,
// excluding one worker. A cold candidate is returned only if no other may hold them.
func (p *planner) leastLoaded(excluded workers.ID, keys KeyRange) (workers.ID, bool) {
	if id, found := p.leastLoadedWhere(excluded, keys, p.accepts); found {
		return id, true
	}
	return p.leastLoadedWhere(excluded, keys, p.mayHold)
}

// leastLoadedWhere returns the candidate with the lowest placement score for which a condition on
// the keys holds, excluding one worker.
func (p *planner) leastLoadedWhere(excluded workers.ID, keys KeyRange, condition func(workers.ID, KeyRange) bool) (workers.ID, bool) {
	var best workers.ID
	found := false
	for id := range p.candidates {
		if id == excluded || !condition(id, keys) {
			continue
		}
		if score, lowest := p.placementScore(id), p.placementScore(best); !found || score < lowest || (score == lowest && id < best) {
			best, found = id, true
		}
	}
	return best, found
}

// widthWeight is the utilization that holding all keys counts as, in addition to their load. It
// keeps a single worker from receiving all keys that have had no recent requests.
const widthWeight = 0.2

// placementScore returns the utilization of a candidate plus a share of widthWeight for its number
// of keys.
func (p *planner) placementScore(id workers.ID) float64 {
	return p.utilization(id) + widthWeight*float64(p.widths[id])/KeyCount
}

// mayHold reports whether the placement rules allow a candidate to hold the keys.
func (p *planner) mayHold(id workers.ID, keys KeyRange) bool {
	for _, rule := range p.rules.Placement {
		if rule.Keys.overlaps(keys) && !rule.allows(p.candidates[id].Zone) {
			return false
		}
	}
	return true
}

// accepts reports whether a candidate may hold the keys and is not cold.
func (p *planner) accepts(id workers.ID, keys KeyRange) bool {
	return p.mayHold(id, keys) && !p.candidates[id].Cold
}

func (p *planner) move(keys KeyRange, from, to workers.ID) {
	rate := p.rate(keys)
	_, isCandidate := p.candidates[from]
	if isCandidate {
		p.loads[from] -= rate
		p.widths[from] -= keys.Width()
	}
	p.loads[to] += rate
	p.widths[to] += keys.Width()
	p.ledger.Move(keys, to, p.candidates[to].Address)
	p.moves = append(p.moves, Move{
		Keys: keys, From: from, To: to, Rate: rate, FromLoad: p.loads[from], ToLoad: p.loads[to],
		Forced: !isCandidate || !p.mayHold(from, keys),
	})
}

// averageCapacity returns the mean capacity of the candidates.
func (p *planner) averageCapacity() float64 {
	average := 0.0
	for _, candidate := range p.candidates {
		average += candidate.Capacity / float64(len(p.candidates))
	}
	return average
}

// evacuate moves all keys off workers that are not candidates or whose zone may not hold them.
func (p *planner) evacuate() {
	for _, s := range slices.Clone(p.ledger.spans) {
		_, isCandidate := p.candidates[s.finalOwner()]
		if s.inFlight || (isCandidate && p.mayHold(s.finalOwner(), s.keys)) {
			continue
		}
		for _, part := range p.splitByLoad(s.keys) {
			if to, ok := p.leastLoaded(s.finalOwner(), part); ok {
				p.move(part, s.finalOwner(), to)
			}
		}
	}
}

// evacuationParts is the maximum number of ranges of equal load into which a span of a lost worker
// is divided.
const evacuationParts = 4

// splitByLoad divides a key range into ranges of about equal load, if its load is high.
func (p *planner) splitByLoad(keys KeyRange) []KeyRange {
	total := p.rate(keys)
	count := min(evacuationParts, 1+int(total/max(0.1*p.averageCapacity(), 1)), keys.Width())
	if total == 0 || count < 2 {
		return []KeyRange{keys}
	}
	var parts []KeyRange
	from, to := p.rateIndexes(keys)
	start, partLoad := keys.From, 0.0
	for index := from; index < to && len(parts) < count-1; index++ {
		partLoad += p.rates[index].Rate
		if partLoad >= total/float64(count) && p.rates[index].Key < keys.To {
			parts = append(parts, KeyRange{start, p.rates[index].Key})
			start, partLoad = p.rates[index].Key+1, 0
		}
	}
	return append(parts, KeyRange{start, keys.To})
}

// mergeSmallSpans moves up to two small spans to the owner of an adjacent span if there are too
// many spans.
func (p *planner) mergeSmallSpans() {
	if len(p.ledger.spans) <= spansPerCandidate*len(p.candidates) {
		return
	}
	moves := 0
	for index := 0; index < len(p.ledger.spans) && moves < 2; index++ {
		s := p.ledger.spans[index]
		if s.inFlight || !s.stable() || s.keys.Width() > maxSmallSpanWidth {
			continue
		}
		if to, ok := p.mergeTarget(index); ok {
			p.move(s.keys, s.owner, to)
			moves++
		}
	}
}

// mergeTarget returns the owner of an adjacent span that can take over a span without being
// overloaded.
func (p *planner) mergeTarget(index int) (workers.ID, bool) {
	s := p.ledger.spans[index]
	rate := p.rate(s.keys)
	for _, adjacent := range []int{index - 1, index + 1} {
		if adjacent < 0 || adjacent >= len(p.ledger.spans) {
			continue
		}
		to := p.ledger.spans[adjacent].owner
		candidate, isCandidate := p.candidates[to]
		if !isCandidate || to == s.owner || !p.accepts(to, s.keys) || rate > maxSmallSpanLoad*candidate.Capacity {
			continue
		}
		if (p.loads[to]+rate)/max(candidate.Capacity, 1) < p.utilization(s.owner)+minUtilizationGap/2 {
			return to, true
		}
	}
	return "", false
}
