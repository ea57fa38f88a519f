package demo

import (
	"context"
	"fmt"
	"time"
)

// Loss is what is killed again and again, to measure how long keys are unserved.
type Loss string

// Losses that can be repeated.
const (
	LossNothing Loss = ""
	// LossOwner kills the owner of the hottest key.
	LossOwner Loss = "owner"
	// LossLeader kills the leading controller.
	LossLeader Loss = "leader"
	// LossBoth kills the two at once.
	LossBoth Loss = "both"
)

// what names the loss in the table.
func (l Loss) what() string {
	if l == LossBoth {
		return "owner and leader"
	}
	return "the " + string(l)
}

// Times of repeated losses.
const (
	// lossAbsent is how long a killed process stays away.
	lossAbsent = time.Second
	// lossSettle lets the control group replace its member before the next.
	lossSettle = 4 * time.Second
	// lossPeriod is an upper bound of the time that one loss takes.
	lossPeriod = lossAbsent + lossSettle + 500*time.Millisecond
	// maxRepeat bounds the losses of one run.
	maxRepeat = 100
)

// losses returns the steps of repeated losses.
func (c *cluster) losses(progress *progress) []step {
	slots := newSoak(c, progress)
	steps := []step{{"steady", func(context.Context) error { return nil }, settle}}
	for number := range c.config.Repeat {
		steps = append(steps, step{
			name:   fmt.Sprintf("lose %s, %d of %d", c.config.Loss.what(), number+1, c.config.Repeat),
			run:    func(ctx context.Context) error { return slots.lose(ctx, c.config.Loss) },
			settle: lossSettle,
		})
	}
	return steps
}

// lose kills what the loss names, and replaces it after a while.
func (s *soak) lose(ctx context.Context, loss Loss) error {
	var targets []*slot
	if loss == LossOwner || loss == LossBoth {
		name, err := s.cell.owner(ctx)
		if err != nil {
			return err
		}
		targets = append(targets, s.byServer[name])
	}
	if loss == LossLeader || loss == LossBoth {
		address, err := s.cell.leader(ctx)
		if err != nil {
			return err
		}
		targets = append(targets, s.byAddress[address])
	}
	return injectAll(targets, func(each *slot) error { return each.kill(ctx, lossAbsent) })
}
