package placement

import (
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// division is a way to divide a slice.
type division struct {
	cause Cause
	at    []keyspace.Hash
	// leaving are the rates in requests per second of which one can leave the
	// server.
	leaving []float64
}

// divisionOf returns how a slice should be divided: a hot key gets a slice of
// its own if that frees a load worth moving, and a heavy slice without such a
// key is halved.
func (p *Planner) divisionOf(service *serviceView, slice keyspace.Slice) (division, bool) {
	memory := p.memory[slice]
	if !memory.known || service.counts[slice.Partition] >= maximumGrowth*service.policy.slices {
		return division{}, false
	}
	hot := memory.rate * memory.hotShare
	if hot >= max(minimumSplitRate, hotKeyLoad*service.mean) {
		return isolation(service, slice.Range, memory)
	}
	if memory.rate >= max(minimumSplitRate, splitLoad*service.mean) && slice.Range.First < slice.Range.Last {
		middle := slice.Range.First + (slice.Range.Last-slice.Range.First)/2 + 1
		return division{cause: CauseBalance, at: []keyspace.Hash{middle}, leaving: []float64{memory.rate / 2}}, true
	}
	return division{}, false
}

// isolation gives the hot key a slice of its own. The keys below it, those
// above it, or both can leave.
func isolation(service *serviceView, whole keyspace.Range, memory *sliceMemory) (division, bool) {
	rest := memory.rate * (1 - memory.hotShare)
	at := isolate(whole, memory.hotHash)
	if rest < hotKeyRestLoad*service.mean || len(at) == 0 {
		return division{}, false
	}
	below := rest * float64(memory.hotHash-whole.First) / float64(whole.Last-whole.First)
	return division{cause: CauseHotKey, at: at, leaving: []float64{below, rest - below, rest}}, true
}

// isolate returns where a range is to be divided so that hash stands alone,
// nothing if it does already.
func isolate(whole keyspace.Range, hash keyspace.Hash) []keyspace.Hash {
	var at []keyspace.Hash
	if hash > whole.First {
		at = append(at, hash)
	}
	if hash < whole.Last {
		at = append(at, hash+1)
	}
	return at
}

// splitCause tells a hot key's split from another by its shape.
func splitCause(split cellstate.Split) Cause {
	first, last := split.At[0], split.At[len(split.At)-1]
	alone := len(split.At) == 2 && last == first+1
	atEdge := first == split.Slice.Range.First+1 || first == split.Slice.Range.Last
	if alone || atEdge {
		return CauseHotKey
	}
	return CauseBalance
}

// reshaping is what is done to unowned slices before they are assigned.
type reshaping struct {
	commands []cellstate.Command
	// holds are the slices that are not to be assigned in this plan.
	holds map[keyspace.Slice]bool
}

// reshapeUnowned divides and merges slices that were released. It asks neither
// which leader's planner released them nor what for: the state and the last
// reports tell what is due. The slices of a lost server are assigned as they
// are, without delay.
func (p *Planner) reshapeUnowned(cell *cellView, service *serviceView) reshaping {
	reshaped := reshaping{holds: map[keyspace.Slice]bool{}}
	for _, assignment := range service.assignments {
		if !p.divisible(cell, assignment) {
			continue
		}
		if found, divisible := p.divisionOf(service, assignment.Slice); divisible {
			reshaped.holds[assignment.Slice] = true
			reshaped.commands = append(reshaped.commands, split(assignment.Slice, found.at))
		}
	}
	for i := 1; i < len(service.assignments); i++ {
		p.mergeUnowned(cell, service, &reshaped, i)
	}
	return reshaped
}

// divisible reports whether a slice is unowned because it was released, and not
// for a move of the whole.
func (p *Planner) divisible(cell *cellView, assignment cellstate.Assignment) bool {
	if assignment.Owner != "" || assignment.Shared {
		return false
	}
	memory := p.memory[assignment.Slice]
	return memory.released && memory.target == "" && len(cell.candidates(assignment)) > 0
}

// mergeUnowned merges the slice at i with the one before it if both are cold
// and unowned, and holds one back for a while if the other is being released.
func (p *Planner) mergeUnowned(cell *cellView, service *serviceView, reshaped *reshaping, i int) {
	first, last := service.assignments[i-1], service.assignments[i]
	if first.Shared || reshaped.holds[first.Slice] || !p.mergeable(service, first, last) {
		return
	}
	switch {
	case first.Owner == "" && last.Owner == "":
		reshaped.holds[first.Slice] = true
		reshaped.holds[last.Slice] = true
		reshaped.commands = append(reshaped.commands, merge(first.Slice, last.Slice))
	case first.Owner == "" && last.State == wire.SliceReleasing:
		reshaped.holds[first.Slice] = p.mayHold(cell, first)
	case last.Owner == "" && first.State == wire.SliceReleasing:
		reshaped.holds[last.Slice] = p.mayHold(cell, last)
	}
}

func (p *Planner) mayHold(cell *cellView, assignment cellstate.Assignment) bool {
	return cell.now-p.memory[assignment.Slice].unownedSince < mergeHold
}

// mergeable reports whether two slices are neighbours that no loss has made
// unowned, in a partition that has more slices than it started with, one of
// them cold and both light.
func (p *Planner) mergeable(service *serviceView, first, last cellstate.Assignment) bool {
	if !adjacent(first.Slice, last.Slice) {
		return false
	}
	if service.counts[first.Slice.Partition] <= service.policy.slices {
		return false
	}
	a, b := p.memory[first.Slice], p.memory[last.Slice]
	if !a.known || !b.known {
		return false
	}
	if first.Owner == "" && !a.released || last.Owner == "" && !b.released {
		return false
	}
	return min(a.rate, b.rate) < coldLoad*service.mean && a.rate+b.rate < mergedLoad*service.mean
}

func adjacent(first, last keyspace.Slice) bool {
	return first.SamePartition(last) && first.Range.Last+1 == last.Range.First
}

// startMerge releases the pair of neighbours whose merge moves the least
// traffic, when nothing else is under way and half of the budget is left.
func (r *round) startMerge() {
	policy := r.service.policy
	if r.open > 0 || r.budgetLeft() < max(2, policy.movesPerMinute/2) || !r.service.movesForBalance() {
		return
	}
	best := -1
	for i := range r.service.assignments[1:] {
		if !r.mergeableNow(i) {
			continue
		}
		if best < 0 || r.mergeCost(i) < r.mergeCost(best) {
			best = i
		}
	}
	if best >= 0 {
		r.start(r.service.assignments[best], CauseCold, nil)
		r.start(r.service.assignments[best+1], CauseCold, nil)
	}
}

// mergeableNow reports whether the assignment at i can be merged with the next.
func (r *round) mergeableNow(i int) bool {
	first, last := r.service.assignments[i], r.service.assignments[i+1]
	return r.movable(first) && r.movable(last) && r.planner.mergeable(r.service, first, last)
}

// mergeCost is the traffic that gets a new owner by the merge at i, plus a
// small part of what only pauses.
func (r *round) mergeCost(i int) float64 {
	first, last := r.service.assignments[i], r.service.assignments[i+1]
	a, b := r.cell.weights[first.Slice], r.cell.weights[last.Slice]
	paused := pausedCost * (a + b)
	if first.Owner == last.Owner {
		return paused
	}
	return paused + min(a, b)
}

func split(slice keyspace.Slice, at []keyspace.Hash) cellstate.Command {
	return cellstate.Command{Split: &cellstate.Split{Slice: slice, At: at}}
}

func merge(first, last keyspace.Slice) cellstate.Command {
	return cellstate.Command{Merge: &cellstate.Merge{First: first, Last: last}}
}
