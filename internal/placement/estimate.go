package placement

import (
	"math"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// maximumReported is the most slices that a load report lists.
const maximumReported = 16

// sliceMemory is what the planner knows of a slice beyond the state.
type sliceMemory struct {
	// fence is the last one seen with an owner, since the time it was seen at.
	fence wire.Fence
	since time.Duration
	// unownedSince is when the slice was first seen without an owner, and
	// released says that its last owner had been asked to give it up.
	unowned      bool
	unownedSince time.Duration
	released     bool
	// home is the last owner.
	home bundle.ServerName
	// target is the server for which the slice is being released, if any.
	target bundle.ServerName
	// rate is the estimate in requests per second, made at updated.
	known    bool
	rate     float64
	updated  time.Duration
	hotHash  keyspace.Hash
	hotShare float64
}

// sliceReports holds the reported loads of the live servers.
type sliceReports struct {
	byServer map[bundle.ServerName]map[keyspace.Slice]wire.SliceLoad
}

func newSliceReports(views []grant.ServerView) sliceReports {
	reports := sliceReports{byServer: map[bundle.ServerName]map[keyspace.Slice]wire.SliceLoad{}}
	for _, view := range views {
		if !view.Live || len(view.Load.Slices) == 0 {
			continue
		}
		loads := map[keyspace.Slice]wire.SliceLoad{}
		for _, load := range view.Load.Slices {
			loads[load.Slice] = sanitized(load)
		}
		reports.byServer[view.Name] = loads
	}
	return reports
}

// sanitized makes numbers harmless that a server has got wrong.
func sanitized(load wire.SliceLoad) wire.SliceLoad {
	if !(load.Rate >= 0) || math.IsInf(load.Rate, 0) {
		load.Rate = 0
	}
	if !(load.HotShare >= 0 && load.HotShare <= 1) || !load.Slice.Range.Contains(load.HotHash) {
		load.HotShare = 0
	}
	return load
}

// remember brings the planner's memory up to a view. It changes nothing when
// the same view is given again.
func (p *Planner) remember(view View) {
	reports := newSliceReports(view.Servers)
	gone := p.goneSlices(view.State)
	next := make(map[keyspace.Slice]*sliceMemory, len(view.State.Assignments))
	for _, assignment := range view.State.Assignments {
		if assignment.Shared {
			continue
		}
		memory := p.memory[assignment.Slice]
		if memory == nil {
			memory = p.inherit(gone, assignment.Slice)
		}
		memory.follow(view.Now, assignment)
		memory.noteReleased(p.releases, assignment)
		memory.observe(view.Now, reports, assignment)
		next[assignment.Slice] = memory
	}
	p.memory = next
}

// goneSlices returns the remembered slices that the state has no more, in
// order.
func (p *Planner) goneSlices(state cellstate.State) []keyspace.Slice {
	present := make(map[keyspace.Slice]bool, len(state.Assignments))
	for _, assignment := range state.Assignments {
		present[assignment.Slice] = true
	}
	var gone []keyspace.Slice
	for slice := range p.memory {
		if !present[slice] {
			gone = append(gone, slice)
		}
	}
	slices.SortFunc(gone, cellstate.CompareSlices)
	return gone
}

// inherit estimates a slice that a split or a merge has made, from the slices
// that it overlaps. Its home is where most of its traffic was served.
func (p *Planner) inherit(gone []keyspace.Slice, slice keyspace.Slice) *sliceMemory {
	made := &sliceMemory{}
	heaviest := -1.0
	for _, old := range gone {
		if !old.Overlaps(slice) {
			continue
		}
		memory := p.memory[old]
		share := memory.shareOf(old.Range, slice.Range)
		if share > heaviest {
			heaviest = share
			made.home = memory.home
		}
		made.known = made.known || memory.known
		made.rate += share
		made.updated = max(made.updated, memory.updated)
	}
	return made
}

// shareOf returns the rate of the hashes that old and part have in common: the
// hot key's by its share, the others' by their width.
func (m *sliceMemory) shareOf(old, part keyspace.Range) float64 {
	common := keyspace.Range{First: max(old.First, part.First), Last: min(old.Last, part.Last)}
	hot := m.rate * m.hotShare
	rate := (m.rate - hot) * common.Width() / old.Width()
	if m.hotShare > 0 && common.Contains(m.hotHash) {
		rate += hot
	}
	return rate
}

// follow notes changes of the owner.
func (m *sliceMemory) follow(now time.Duration, assignment cellstate.Assignment) {
	if assignment.Owner == "" {
		if !m.unowned {
			m.unowned = true
			m.unownedSince = now
		}
		return
	}
	m.unowned = false
	m.released = assignment.State == wire.SliceReleasing
	m.home = assignment.Owner
	if m.fence != assignment.Fence {
		m.fence = assignment.Fence
		m.since = now
		m.target = ""
	}
}

// noteReleased knows a release also by its proposal: between two plans it may
// begin and end.
func (m *sliceMemory) noteReleased(releases releaseLog, assignment cellstate.Assignment) {
	if _, proposed := releases.byFence[assignment.Fence]; proposed && assignment.Owner == "" {
		m.released = true
	}
}

// observe takes what the owner reports of the slice.
func (m *sliceMemory) observe(now time.Duration, reports sliceReports, assignment cellstate.Assignment) {
	loads, reported := reports.byServer[assignment.Owner]
	stopping := assignment.State == wire.SliceReleasing
	if !reported || stopping && m.known {
		return
	}
	load, listed := loads[assignment.Slice]
	if !listed && !m.known {
		return
	}
	if !listed {
		load.Rate = m.unlistedRate(loads)
	}
	m.update(now, load)
}

// unlistedRate bounds the rate of a slice that a report leaves out: it is none
// of the busiest.
func (m *sliceMemory) unlistedRate(loads map[keyspace.Slice]wire.SliceLoad) float64 {
	if len(loads) < maximumReported {
		return 0
	}
	rate := m.rate
	for _, load := range loads {
		rate = min(rate, load.Rate)
	}
	return rate
}

func (m *sliceMemory) update(now time.Duration, load wire.SliceLoad) {
	if m.known && now <= m.updated {
		return
	}
	weight := 1 - math.Exp(-(now-m.updated).Seconds()/smoothingTime.Seconds())
	changed := m.rate + weight*(load.Rate-m.rate)
	switch {
	case !m.known:
		m.rate = load.Rate
	case now-m.since < settleTime:
		m.rate = max(m.rate, changed)
	default:
		m.rate = changed
	}
	m.known = true
	m.updated = now
	m.hotHash = load.HotHash
	m.hotShare = load.HotShare
}
