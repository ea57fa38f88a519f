package scale

import (
	"context"
	"slices"
	"time"
)

// Propagation is how long a bundle takes from its proposal in a cell.
type Propagation struct {
	Runs int `json:"runs"`
	// Committed at the leader, held by every gateway's table, and in force:
	// carried by every live grant.
	Committed Spread `json:"committed"`
	Tables    Spread `json:"all_tables"`
	InForce   Spread `json:"in_force"`
}

func runPropagation(ctx context.Context, overhead Overhead, seed uint64) (Propagation, error) {
	runs, err := runTogether(ctx, lossSeeds, func(number int) ([3]time.Duration, error) {
		return propagate(ownCell(), overhead, seed+uint64(number))
	})
	if err != nil {
		return Propagation{}, err
	}
	of := func(which int) Spread {
		var times []time.Duration
		for _, each := range runs {
			times = append(times, each[which])
		}
		return spreadOf(times)
	}
	return Propagation{Runs: len(runs), Committed: of(0), Tables: of(1), InForce: of(2)}, nil
}

// propagate rolls a bundle and waits for its three stages.
func propagate(shape Shape, overhead Overhead, seed uint64) ([3]time.Duration, error) {
	var reached [3]time.Duration
	shape.Still = true
	c, err := newRunningCell(shape, overhead, 0, seed)
	if err != nil {
		return reached, err
	}
	c.Run(c.Now() + time.Duration(c.random.Int64N(int64(time.Second))))
	c.roll()
	begun := c.Now()
	stages := []func() bool{c.isAdopted, c.isInTables, c.isInForce}
	for c.Now() < begun+lossWindow && slices.Contains(reached[:], 0) {
		c.Run(c.Now() + time.Millisecond)
		for i, done := range stages {
			if reached[i] == 0 && done() {
				reached[i] = c.Now() - begun
			}
		}
	}
	if slices.Contains(reached[:], 0) {
		return reached, Error.New("a bundle is not in force after %s", lossWindow)
	}
	return reached, nil
}

func (c *cell) isAdopted() bool {
	return c.state().Teams[c.team()].Bundle.Version == c.bundle.Version
}

func (c *cell) isInForce() bool {
	return c.isAdopted() && c.state().Teams[c.team()].InForce
}

func (c *cell) isInTables() bool {
	for _, each := range c.gateways {
		held, _ := each.routes.Bundle(c.team())
		if held.Version != c.bundle.Version {
			return false
		}
	}
	return true
}
