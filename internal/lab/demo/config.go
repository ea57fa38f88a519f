// Package demo runs a whole cell on this machine, every part a process of its
// own, under load and under faults, and checks what servers and callers
// recorded. It ends every process that it started.
package demo

import (
	"io"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("demo")

// Break names a rule to break on purpose, to show that the checks see it.
type Break string

// Rules that can be broken.
const (
	BreakNothing Break = ""
	// BreakIgnoreFences makes servers run every request whatever they hold.
	BreakIgnoreFences Break = "ignore-fences"
)

// examplesDirectory holds the examples, from the root of the tree.
const examplesDirectory = "examples"

// Config of a demonstration.
type Config struct {
	// BasePort is the first of the ports used, all on 127.0.0.1.
	BasePort int
	// Shalefork and Lab are the paths of the two programs.
	Shalefork string
	Lab       string
	// Example is the directory with bundle.yaml and bundle-2.yaml.
	Example string
	// Rate of the callers' new operations per second.
	Rate  float64
	Break Break
	// Soak is how long random faults are injected; zero plays the fixed steps.
	Soak time.Duration
	// Loss is what is killed Repeat times in place of the fixed steps.
	Loss   Loss
	Repeat int
	// Seed of the random faults and of the callers' choices.
	Seed uint64
	// Keep leaves the directory with settings and logs in place.
	Keep bool
	// Output takes the progress and the table.
	Output io.Writer
}

// DefaultConfig returns what flags start from.
func DefaultConfig() Config {
	return Config{
		BasePort:  19000,
		Shalefork: filepath.Join("bin", "shalefork"),
		Example:   filepath.Join(examplesDirectory, "tawila"),
		Rate:      300,
		Repeat:    10,
		Seed:      1,
	}
}

// Bounds of the demonstration.
const (
	// timeLimit ends a demonstration that hangs; soakLimit is what random faults
	// may take besides the time in which they are injected.
	timeLimit = 42 * time.Second
	soakLimit = 75 * time.Second
	// maxSoak bounds a run with random faults.
	maxSoak = 30 * time.Minute
	// stopGrace is what the processes get to stop by themselves at the end.
	stopGrace = 1500 * time.Millisecond
	// readyLimit is how long the cell may take to serve at first.
	readyLimit = 12 * time.Second
	// pollEvery is how often the demonstration looks again.
	pollEvery = 100 * time.Millisecond
)

// Sizes of the cell.
const (
	controllerCount = 4 // three replicas and a standby
	gatewayCount    = 3
	keyCount        = 2000
	keySkew         = 1.1
)

// limit is how long the whole demonstration may take.
func (c Config) limit() time.Duration {
	switch {
	case c.Soak > 0:
		return c.Soak + soakLimit
	case c.Loss != LossNothing:
		return c.load() + soakLimit
	default:
		return timeLimit
	}
}

// load is how long callers begin operations.
func (c Config) load() time.Duration {
	switch {
	case c.Soak > 0:
		return c.Soak + calmAfterSoak
	case c.Loss != LossNothing:
		return 2*settle + time.Duration(c.Repeat)*lossPeriod
	default:
		return loadDuration
	}
}

func (c Config) validate() error {
	const lastPort = 65535
	switch {
	case c.BasePort < 1024 || c.BasePort+portCount > lastPort:
		return Error.New("the base port must lie in 1024 to %d", lastPort-portCount)
	case c.Break != BreakNothing && c.Break != BreakIgnoreFences:
		return Error.New("--break knows %q only", BreakIgnoreFences)
	case c.Loss != LossNothing && c.Loss != LossOwner && c.Loss != LossLeader && c.Loss != LossBoth:
		return Error.New("--loss knows %q, %q and %q only", LossOwner, LossLeader, LossBoth)
	case c.Loss != LossNothing && (c.Repeat < 1 || c.Repeat > maxRepeat):
		return Error.New("--repeat must lie in 1 to %d", maxRepeat)
	case c.Soak < 0 || c.Soak > maxSoak:
		return Error.New("--soak must lie in 0 to %s", maxSoak)
	default:
		return nil
	}
}
