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
	// Capacity is how many requests a second it can run.
	Capacity float64
	// Limited says that what is beyond that capacity is not sent to the worker, by its own word.
	Limited bool
	// Cold says that it warms up, or is short of room, and bears little for now: it gets no
	// more keys while others can have them.
	Cold bool
}

// Weights of the planner. Costs are parts of the load that is wanted moved.
const (
	// maxMoves bounds the moves of one round.
	maxMoves = 10
	// busyEnough is the utilization below which nothing is moved for balance.
	busyEnough = 0.5
	// fullEnough is the utilization above which a worker gets none of what a limited one may not get.
	fullEnough = 0.9
	// leastGap is the least difference of utilization worth a move.
	leastGap = 0.4
	// widthCost weighs the share of all keys that moves.
	widthCost = 6.0
	// churnFactor is by how much a full weight of churn raises it.
	churnFactor = 4.0
	// splitCost weighs each new cut between spans.
	splitCost = 0.08
	// joinGain rewards a move that makes neighbours one.
	joinGain = 0.1
	// worstCost is the cost above which a move is not made.
	worstCost = 0.75
	// aloneShare of a worker's capacity makes a key one to be placed by itself.
	aloneShare = 0.4
	// leastGain is the least share of its requests that must be won for it to move.
	leastGain = 0.1
	// shedShare and shedLeast are what is taken to stay of a worker's other load
	// once such a key comes, since the rest will be moved away.
	shedShare = 0.4
	shedLeast = 1.0
	// tidySpans is the number of spans a candidate above which small ones are
	// joined to their neighbours.
	tidySpans = 2
	// tidyRate is the load, as a share of a worker's capacity, up to which a span
	// is given to its neighbour to join them.
	tidyRate = 0.06
	// tidyWidth is the most keys that such a span may have.
	tidyWidth = KeyCount / 256
)

// First deals all keys to the candidates in equal runs, place by place. It returns
// nil while a place has no candidate: its keys may be held nowhere else.
func InitialOwners(candidates []Candidate, places []PlacementRule) []Owner {
	var owners []Owner
	for _, place := range blocks(places) {
		allowed := place.only(candidates)
		if len(allowed) == 0 {
			return nil
		}
		from := place.Keys.From
		for index, one := range allowed {
			to := place.Keys.From + place.Keys.Width()*(index+1)/len(allowed) - 1
			if to < from {
				continue // more candidates than keys
			}
			owners = append(owners, Owner{Keys: KeyRange{from, to}, Worker: one.ID, Address: one.Address})
			from = to + 1
		}
	}
	return owners
}

// plan is one round of planning over a book.
type plan struct {
	book  *Ledger
	rates []KeyLoad
	rules Rules
	// prefix sums of rates, to get the load of a run of keys.
	sums       []float64
	candidates map[workers.ID]Candidate
	loads      map[workers.ID]float64
	// widths are how many keys each candidate has.
	widths map[workers.ID]int
	moved  []Move
}

// Rules bound what a plan may do.
type Rules struct {
	// Places restrict where keys may be held.
	Placement []PlacementRule
	// Balance allows moves for balance, of which there are no more than Moves.
	Balance  bool
	MaxMoves int
	// ChurnWeight from 0 to 1 weighs the moves against their gain.
	ChurnWeight float64
}

// Moved is one move that was planned.
type Move struct {
	Keys     KeyRange
	From, To workers.ID
	// Rate at which the keys are asked for, and the loads of both workers after the
	// move, in requests a second.
	Rate, FromLoad, ToLoad float64
	// Forced moves are off workers that may not hold the keys any longer.
	Forced bool
}

// Plan moves keys off workers that may not hold them, then, if the rules allow it,
// for balance. It returns the moves that it made.
func (b *Ledger) Plan(candidates []Candidate, rates []KeyLoad, rules Rules) []Move {
	if len(candidates) == 0 || len(b.spans) == 0 {
		return nil
	}
	b.bound(rules.Placement)
	b.Merge()
	p := &plan{book: b, rates: rates, rules: rules, candidates: map[workers.ID]Candidate{}, loads: map[workers.ID]float64{}, widths: map[workers.ID]int{}}
	p.sums = make([]float64, len(rates)+1)
	for index, one := range rates {
		p.sums[index+1] = p.sums[index] + one.Rate
	}
	for _, one := range candidates {
		p.candidates[one.ID] = one
		p.loads[one.ID] = 0
	}
	for _, one := range b.spans {
		if _, stays := p.candidates[one.destination()]; stays {
			p.loads[one.destination()] += p.rate(one.keys)
			p.widths[one.destination()] += one.keys.Width()
		}
	}
	p.evacuate()
	if !rules.Balance || rules.ChurnWeight >= 1 {
		return p.moved
	}
	if p.balance() < rules.MaxMoves {
		p.tidy()
	}
	return p.moved
}

// rate returns the load of a run of keys.
func (p *plan) rate(keys KeyRange) float64 {
	from, to := p.places(keys)
	return p.sums[to] - p.sums[from]
}

// places returns the run of rates that belongs to a run of keys.
func (p *plan) places(keys KeyRange) (from, to int) {
	byKey := func(one KeyLoad, key int) int { return one.Key - key }
	from, _ = slices.BinarySearchFunc(p.rates, keys.From, byKey)
	to, _ = slices.BinarySearchFunc(p.rates, keys.To+1, byKey)
	return from, to
}

func (p *plan) utilization(id workers.ID) float64 {
	return p.loads[id] / max(p.candidates[id].Capacity, 1)
}

// idlest returns the candidate with the least load of those that may hold some
// keys, except one; a cold one only where no other may.
func (p *plan) idlest(except workers.ID, keys KeyRange) (workers.ID, bool) {
	if id, found := p.idlestOf(except, keys, p.takes); found {
		return id, true
	}
	return p.idlestOf(except, keys, p.allowed)
}

// idlestOf returns the candidate with the least load of those that a rule lets have some
// keys, except one.
func (p *plan) idlestOf(except workers.ID, keys KeyRange, may func(workers.ID, KeyRange) bool) (workers.ID, bool) {
	var best workers.ID
	found := false
	for id := range p.candidates {
		if id == except || !may(id, keys) {
			continue
		}
		if weight, least := p.weight(id), p.weight(best); !found || weight < least || (weight == least && id < best) {
			best, found = id, true
		}
	}
	return best, found
}

// widthWeight is what all keys together count for beside their load, as utilization: of
// keys that nobody has asked for lately, no worker gets all.
const widthWeight = 0.2

// weight is the utilization of a candidate, with a part for the keys that it has.
func (p *plan) weight(id workers.ID) float64 {
	return p.utilization(id) + widthWeight*float64(p.widths[id])/KeyCount
}

// allowed reports whether a candidate may hold keys.
func (p *plan) allowed(id workers.ID, keys KeyRange) bool {
	for _, place := range p.rules.Placement {
		if place.Keys.overlaps(keys) && !place.allows(p.candidates[id].Zone) {
			return false
		}
	}
	return true
}

// takes reports whether a candidate may get keys, and is warm.
func (p *plan) takes(id workers.ID, keys KeyRange) bool {
	return p.allowed(id, keys) && !p.candidates[id].Cold
}

func (p *plan) move(keys KeyRange, from, to workers.ID) {
	rate := p.rate(keys)
	_, stays := p.candidates[from]
	if stays {
		p.loads[from] -= rate
		p.widths[from] -= keys.Width()
	}
	p.loads[to] += rate
	p.widths[to] += keys.Width()
	p.book.Move(keys, to, p.candidates[to].Address)
	p.moved = append(p.moved, Move{
		Keys: keys, From: from, To: to, Rate: rate, FromLoad: p.loads[from], ToLoad: p.loads[to],
		Forced: !stays || !p.allowed(from, keys),
	})
}

// averageCapacity is the mean capacity of the candidates.
func (p *plan) averageCapacity() float64 {
	average := 0.0
	for _, one := range p.candidates {
		average += one.Capacity / float64(len(p.candidates))
	}
	return average
}

// evacuate moves all keys off workers that are no candidates, or stand in a place
// that may not hold them.
func (p *plan) evacuate() {
	for _, one := range slices.Clone(p.book.spans) {
		_, stays := p.candidates[one.destination()]
		if one.busy || (stays && p.allowed(one.destination(), one.keys)) {
			continue
		}
		for _, piece := range p.pieces(one.keys) {
			if to, ok := p.idlest(one.destination(), piece); ok {
				p.move(piece, one.destination(), to)
			}
		}
	}
}

// evacuationPieces is into how many pieces of equal load a lost worker's keys
// are dealt.
const evacuationPieces = 4

// pieces cuts a run of keys into pieces of about equal load, if it has much.
func (p *plan) pieces(keys KeyRange) []KeyRange {
	total := p.rate(keys)
	count := min(evacuationPieces, 1+int(total/max(0.1*p.averageCapacity(), 1)), keys.Width())
	if total == 0 || count < 2 {
		return []KeyRange{keys}
	}
	var pieces []KeyRange
	from, to := p.places(keys)
	start, gathered := keys.From, 0.0
	for index := from; index < to && len(pieces) < count-1; index++ {
		gathered += p.rates[index].Rate
		if gathered >= total/float64(count) && p.rates[index].Key < keys.To {
			pieces = append(pieces, KeyRange{start, p.rates[index].Key})
			start, gathered = p.rates[index].Key+1, 0
		}
	}
	return append(pieces, KeyRange{start, keys.To})
}

// tidy gives one small span to a neighbour where there are many.
func (p *plan) tidy() {
	if len(p.book.spans) <= tidySpans*len(p.candidates) {
		return
	}
	moves := 0
	for index := 0; index < len(p.book.spans) && moves < 2; index++ {
		one := p.book.spans[index]
		if one.busy || !one.settled() || one.keys.Width() > tidyWidth {
			continue
		}
		if to, ok := p.neighbour(index); ok {
			p.move(one.keys, one.owner, to)
			moves++
		}
	}
}

// neighbour returns the owner beside a span that can take it without harm.
func (p *plan) neighbour(index int) (workers.ID, bool) {
	one := p.book.spans[index]
	rate := p.rate(one.keys)
	for _, beside := range []int{index - 1, index + 1} {
		if beside < 0 || beside >= len(p.book.spans) {
			continue
		}
		to := p.book.spans[beside].owner
		candidate, stays := p.candidates[to]
		if !stays || to == one.owner || !p.takes(to, one.keys) || rate > tidyRate*candidate.Capacity {
			continue
		}
		if (p.loads[to]+rate)/max(candidate.Capacity, 1) < p.utilization(one.owner)+leastGap/2 {
			return to, true
		}
	}
	return "", false
}
