package scale

import (
	"context"
	"fmt"
	"time"
)

// step replaces one of today's mechanisms by what could take its place.
type step struct {
	name   string
	change func(*Point)
}

// steps are taken one after another; each point has all steps up to its own.
// They change what the emulation is told only, and are not built.
func steps(compressed Overhead) []step {
	return []step{
		{"load report with every renewal (before)", func(p *Point) { p.Shape.ReportEvery = 0 }},
		{"today", func(p *Point) { p.Shape.ReportEvery = reportEvery }},
		{"+ machine list and heads of the own cell only", func(p *Point) {
			p.Shape.Fleet = p.Shape.Machines
			p.Shape.FleetChanges = targetChanges * float64(p.Shape.Machines) / targetNodes
		}},
		{"+ ledger at 4 gateways of the cell", func(p *Point) { p.Shape.LedgerGateways = 4 }},
		{"+ HTTP/2 with compressed headers", func(p *Point) { p.overhead = compressed }},
		{"+ renewals every 300 ms, grants of 900 ms", func(p *Point) {
			p.Shape.RenewEvery, p.Shape.GrantTime = 300*time.Millisecond, 900*time.Millisecond
		}},
	}
}

// runAlternatives measures a cell of today's size step by step.
func runAlternatives(ctx context.Context, overhead, compressed Overhead, seed uint64) ([]Point, error) {
	var points []Point
	current := Point{Shape: defaultShape(), overhead: overhead}
	for _, each := range steps(compressed) {
		each.change(&current)
		current.Label = each.name
		points = append(points, current)
	}
	return points, runPoints(ctx, pointers(points), seed)
}

// cellSizes are the keyed servers of the cells that are tried; a cell has one
// and a half times as many pool servers, and a machine for each server.
var cellSizes = []int{1, 2, 4, 7, 14}

// runCellSizes measures cells of several sizes, as today and after all steps.
func runCellSizes(ctx context.Context, overhead, compressed Overhead, seed uint64) ([]Point, error) {
	var points []Point
	for _, keyed := range cellSizes {
		today := Point{Shape: defaultShape(), overhead: overhead, Value: float64(keyed)}
		today.Shape.Keyed = keyed
		today.Shape.Pool = max(3, keyed*20/14)
		today.Shape = today.Shape.withMachines(today.Shape.Keyed + today.Shape.Pool)
		today.Label = fmt.Sprintf("%d machines, %d keyed, today", today.Shape.Machines, keyed)
		changed := today
		for _, each := range steps(compressed) {
			each.change(&changed)
		}
		changed.Label = fmt.Sprintf("%d machines, %d keyed, all steps", today.Shape.Machines, keyed)
		points = append(points, today, changed)
	}
	return points, runPoints(ctx, pointers(points), seed)
}

func pointers(points []Point) []*Point {
	var all []*Point
	for i := range points {
		all = append(all, &points[i])
	}
	return all
}
