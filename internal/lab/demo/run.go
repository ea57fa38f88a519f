package demo

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/load"
	"github.com/shalefork/shalefork/internal/lab/process"
)

// ErrFailed says that a rule was broken, a step failed or nothing was served.
var ErrFailed = errors.New("the demonstration failed")

// Run runs the demonstration. It returns nil only if all went well, and in any
// case only after every process that it started has ended.
func Run(ctx context.Context, config Config) error {
	if err := config.validate(); err != nil {
		return err
	}
	files, err := newFiles()
	if err != nil {
		return err
	}
	if config.Keep {
		fmt.Fprintln(config.Output, "settings and logs are in", files.directory)
	} else {
		defer os.RemoveAll(files.directory)
	}
	limited, cancel := context.WithTimeout(ctx, config.limit())
	defer cancel()
	processes := process.NewGroup()
	summary, err := runAll(limited, config, files, processes)
	left := processes.Close(stopGrace)
	if err != nil {
		return because(ctx, limited, config.limit(), err)
	}
	summary.write(config.Output)
	if len(left) > 0 {
		return Error.New("processes left: %v", left)
	}
	if !summary.succeeded() {
		return ErrFailed
	}
	return nil
}

// because names an end from outside, which makes the error itself uninteresting.
func because(ctx, limited context.Context, limit time.Duration, err error) error {
	switch {
	case ctx.Err() != nil:
		return Error.New("interrupted; every process was ended")
	case limited.Err() != nil:
		return Error.New("took longer than %s: %v", limit, err)
	default:
		return err
	}
}

// runAll starts the cell, plays the faults under load and judges the histories.
func runAll(ctx context.Context, config Config, files files, processes *process.Group) (Summary, error) {
	cell, err := newCluster(config, files, processes)
	if err != nil {
		return Summary{}, err
	}
	defer func() { cell.collector.close() }()
	progress := newProgress(config)
	progress.say("start the cell: %d controllers, %d gateways, %d servers",
		controllerCount, gatewayCount, len(cell.allAddresses())-addressesBesideWorkers)
	if err := cell.start(ctx); err != nil {
		return Summary{}, err
	}
	progress.say("propose, approve and roll the first bundle")
	if err := cell.rollOut(ctx, "bundle.yaml", cell.first); err != nil {
		return Summary{}, err
	}
	if err := cell.awaitOwned(ctx); err != nil {
		return Summary{}, err
	}
	if err := cell.awaitServing(ctx); err != nil {
		return Summary{}, err
	}
	return cell.underLoad(ctx, progress)
}

// addressesBesideWorkers counts those of allAddresses that are no worker's.
const addressesBesideWorkers = 2 + controllerCount + 2*gatewayCount

func (c *cluster) underLoad(ctx context.Context, progress *progress) (Summary, error) {
	watch := newChurnWatch(c.client, c.first.Team)
	watching, stopWatching := context.WithCancel(ctx)
	var watcher sync.WaitGroup
	watcher.Go(func() { watch.run(watching) })
	defer watcher.Wait()
	defer stopWatching()
	progress.say("start the callers: %.0f operations a second for %s", c.config.Rate, c.config.load())
	running, err := c.startLoad()
	if err != nil {
		return Summary{}, err
	}
	var summary Summary
	switch {
	case c.config.Soak > 0:
		c.soak(ctx, progress, &summary)
	case c.config.Loss != LossNothing:
		c.playSteps(ctx, progress, c.losses(progress), &summary)
	default:
		c.playSteps(ctx, progress, c.faults(), &summary)
	}
	progress.say("wait for the last answers")
	if summary.Load, err = c.awaitLoad(ctx, running); err != nil {
		return summary, err
	}
	summary.Moves, summary.Slices = watch.moves()
	c.judge(&summary)
	return summary, nil
}

// playSteps plays steps one after another.
func (c *cluster) playSteps(ctx context.Context, progress *progress, steps []step, summary *Summary) {
	for _, step := range steps {
		progress.say("%s", step.name)
		summary.Steps = append(summary.Steps, StepSummary{Name: step.name, Begin: history.Now()})
		if err := step.run(ctx); err != nil {
			summary.Failures = append(summary.Failures, Error.New("%s: %v", step.name, err))
			progress.say("%s: FAILED: %v", step.name, err)
		}
		pause(ctx, step.settle)
	}
}

// judge checks the histories.
func (c *cluster) judge(summary *Summary) {
	recorded := c.collector.History()
	if c.config.Keep {
		if err := c.files.writeHistory(recorded); err != nil {
			summary.Failures = append(summary.Failures, err)
		}
	}
	recorded.Bundles = c.bundles
	recorded.Leaving = c.leaving
	recorded.LeaveGrace = leaveGrace
	summary.Executions = len(recorded.Executions)
	summary.Imbalance = imbalances(c.first, recorded.Executions)
	summary.spread(load.Spans(recorded.Calls, history.Now()))
	if c.soaking != nil {
		failing := failingSpans(recorded.Calls)
		summary.LongestFailing = load.SumUp(failing).Longest
		summary.Failures = append(summary.Failures, c.soaking.stuck(failing)...)
	}
	summary.Violations = history.Check(recorded)
}

// progress writes what happens, with the time since the start.
// It is safe for concurrent use.
type progress struct {
	config Config
	start  time.Time
	mu     sync.Mutex
}

func newProgress(config Config) *progress {
	return &progress{config: config, start: time.Now()}
}

func (p *progress) say(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.config.Output, "%6.1fs  %s\n", time.Since(p.start).Seconds(), fmt.Sprintf(format, values...))
}
