package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// trafficPoint is the rate of the keys at one hash.
type trafficPoint struct {
	hash keyspace.Hash
	rate float64
}

// testCell is a control group without consensus or grants: commands apply at
// once, and a slice that is released has no owner at the next plan.
type testCell struct {
	now     time.Duration
	index   uint64
	state   cellstate.State
	dead    map[bundle.ServerName]bool
	traffic []trafficPoint
	planner *Planner
	// releasing are the fences that were being released a step ago.
	releasing map[wire.Fence]bool
	// runs counts the starts of each server.
	runs map[bundle.ServerName]int
	// quick releases end before the next plan.
	quick bool
}

func newTestCell(b bundle.Bundle) *testCell {
	cell := &testCell{
		state:   cellstate.New(b.Cell, 1),
		dead:    map[bundle.ServerName]bool{},
		runs:    map[bundle.ServerName]int{},
		planner: NewPlanner(),
	}
	cell.apply(cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: b}})
	for _, name := range cell.state.ServerNames() {
		cell.restart(name)
	}
	return cell
}

// restart registers another run of a server, which owns nothing.
func (c *testCell) restart(name bundle.ServerName) {
	c.runs[name]++
	server := c.state.Servers[name]
	server.Incarnation = c.incarnationOf(name)
	c.apply(cellstate.Command{RegisterServer: &cellstate.RegisterServer{Server: server}})
	for _, assignment := range c.state.OwnedBy(name) {
		c.apply(cellstate.Command{Unassign: &cellstate.Unassign{Slice: assignment.Slice, Fence: assignment.Fence}})
	}
}

func (c *testCell) incarnationOf(name bundle.ServerName) wire.Incarnation {
	return wire.Incarnation(fmt.Sprintf("run %d of %s", c.runs[name], name))
}

func (c *testCell) apply(command cellstate.Command) cellstate.Rejection {
	c.index++
	next, rejection := cellstate.Apply(c.state, c.index, command)
	c.state = next
	return rejection
}

func (c *testCell) view() View {
	view := View{Now: c.now, State: c.state}
	for _, name := range c.state.ServerNames() {
		view.Servers = append(view.Servers, grant.ServerView{
			Name:        name,
			Incarnation: c.incarnationOf(name),
			Live:        !c.dead[name],
			Load:        wire.LoadReport{Slices: c.loadsOf(name)},
		})
	}
	return view
}

func (c *testCell) loadsOf(server bundle.ServerName) []wire.SliceLoad {
	var loads []wire.SliceLoad
	for _, assignment := range c.state.OwnedBy(server) {
		loads = append(loads, c.loadOf(assignment.Slice))
	}
	slices.SortStableFunc(loads, func(a, b wire.SliceLoad) int { return cmp.Compare(b.Rate, a.Rate) })
	return loads[:min(len(loads), maximumReported)]
}

func (c *testCell) loadOf(slice keyspace.Slice) wire.SliceLoad {
	load := wire.SliceLoad{Slice: slice}
	highest := 0.0
	for _, point := range c.traffic {
		if !slice.Range.Contains(point.hash) {
			continue
		}
		load.Rate += point.rate
		if point.rate > highest {
			highest, load.HotHash = point.rate, point.hash
		}
	}
	if load.Rate > 0 {
		load.HotShare = highest / load.Rate
	}
	return load
}

// endReleases makes the slices unowned whose owner is dead, or has been asked
// to give them up for one step.
func (c *testCell) endReleases() {
	before := c.releasing
	c.releasing = map[wire.Fence]bool{}
	for _, assignment := range c.state.Assignments {
		if assignment.Owner == "" {
			continue
		}
		releasing := assignment.State == wire.SliceReleasing
		if c.dead[assignment.Owner] || before[assignment.Fence] || releasing && c.quick {
			c.apply(cellstate.Command{Unassign: &cellstate.Unassign{Slice: assignment.Slice, Fence: assignment.Fence}})
		} else if releasing {
			c.releasing[assignment.Fence] = true
		}
	}
}

func (c *testCell) drain(server bundle.ServerName, draining bool) {
	c.apply(cellstate.Command{DrainServer: &cellstate.DrainServer{Server: server, Draining: draining}})
}

// imbalance is the largest load of a live server over the mean of all.
func (c *testCell) imbalance() float64 {
	total, largest, live := 0.0, 0.0, 0
	for _, name := range c.state.ServerNames() {
		if c.dead[name] {
			continue
		}
		live++
		load := 0.0
		for _, assignment := range c.state.OwnedBy(name) {
			load += c.loadOf(assignment.Slice).Rate
		}
		total += load
		largest = max(largest, load)
	}
	return largest * float64(live) / max(total, 1)
}

// describe writes a command on one line, with hashes cut to 4 digits.
func describe(command cellstate.Command, cause Cause) string {
	switch {
	case command.Assign != nil:
		return fmt.Sprintf("assign %s to %s (%s)", short(command.Assign.Slice), command.Assign.Owner, cause)
	case command.BeginRelease != nil:
		return fmt.Sprintf("release %s (%s)", short(command.BeginRelease.Slice), cause)
	case command.Refuse != nil:
		return fmt.Sprintf("refuse %s: %s", short(command.Refuse.Slice), command.Refuse.Reason)
	case command.Split != nil:
		return fmt.Sprintf("split %s at %016x (%s)", short(command.Split.Slice), command.Split.At, cause)
	case command.Merge != nil:
		return fmt.Sprintf("merge %s with %s (%s)", short(command.Merge.First), short(command.Merge.Last), cause)
	default:
		return "unexpected command"
	}
}

func short(slice keyspace.Slice) string {
	first, last := uint64(slice.Range.First)>>48, uint64(slice.Range.Last)>>48
	return fmt.Sprintf("%s/%s/%04x-%04x", slice.Service, slice.Partition, first, last)
}
