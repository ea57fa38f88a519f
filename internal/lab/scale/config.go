package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"time"
)

// Config of a scale run.
type Config struct {
	Seed uint64
	// JSON names a file for the whole result; empty for none.
	JSON string
	// Shalefork and Lab are the paths of the two programs, Example the
	// directory of the bundle for the real cell.
	Shalefork string
	Lab       string
	Example   string
	BasePort  int
	// SkipReal leaves the cell of processes out.
	SkipReal bool
	Output   io.Writer
}

// timeLimit ends a run that hangs.
const timeLimit = 4 * time.Minute

// DefaultConfig returns what flags start from.
func DefaultConfig() Config {
	return Config{Seed: 1, Shalefork: "bin/shalefork", Example: "examples/tawila", BasePort: 21000}
}

// Result is all that a run measured.
type Result struct {
	Seed uint64 `json:"seed"`
	CPUs int    `json:"cpus"`
	Go   string `json:"go"`
	// Load is the machine's load average when the run began.
	Load         string        `json:"load_average_at_start"`
	Overhead     Overhead      `json:"http_overhead"`
	Compressed   Overhead      `json:"http2_overhead"`
	Sizes        []SizeSet     `json:"sizes"`
	Ledger       LedgerCost    `json:"ledger"`
	Fleets       []FleetResult `json:"fleets"`
	Sweeps       []Sweep       `json:"sweeps"`
	Alternatives []Point       `json:"alternatives"`
	CellSizes    []Point       `json:"cell_sizes"`
	Propagation  Propagation   `json:"propagation"`
	Losses       []Loss        `json:"losses"`
	Real         *RealCell     `json:"real,omitempty"`
	// PeakMemory is the most that this process had resident, in bytes.
	PeakMemory float64       `json:"peak_memory_bytes"`
	Took       time.Duration `json:"took_ns"`
}

// Run measures and writes a table, and a JSON file if one is named.
func Run(ctx context.Context, config Config) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	started := time.Now()
	result := Result{Seed: config.Seed, CPUs: runtime.NumCPU(), Go: runtime.Version(), Load: loadAverage()}
	if err := result.measure(ctx, config); err != nil {
		return err
	}
	result.PeakMemory = peakMemory()
	result.Took = time.Since(started)
	result.write(config.Output)
	if config.JSON == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	const fileMode = 0o644
	return Error.Wrap(os.WriteFile(config.JSON, append(encoded, '\n'), fileMode))
}

// measure takes the measurements one after another.
func (r *Result) measure(ctx context.Context, config Config) error {
	stages := []struct {
		name string
		run  func() error
	}{
		{"http's overhead", func() error { return r.measureOverheads(ctx) }},
		{"a cell of processes", func() error { return r.measureReal(ctx, config) }},
		{"state", func() (err error) { r.Sizes, err = measureSizes(r.Overhead, config.Seed); return err }},
		{"the ledger", func() error { r.Ledger = measureLedger(r.Overhead); return nil }},
		{"simulated fleets", func() error { return r.measureFleets(ctx, config) }},
		{"slopes", func() error { r.Sweeps = sweeps(r.Overhead); return runSweeps(ctx, r.Sweeps, config.Seed) }},
		{"alternatives", func() (err error) {
			r.Alternatives, err = runAlternatives(ctx, r.Overhead, r.Compressed, config.Seed)
			return err
		}},
		{"sizes of a cell", func() (err error) {
			r.CellSizes, err = runCellSizes(ctx, r.Overhead, r.Compressed, config.Seed)
			return err
		}},
		{"propagation", func() (err error) { r.Propagation, err = runPropagation(ctx, r.Overhead, config.Seed); return err }},
		{"losses", func() (err error) { r.Losses, err = runLosses(ctx, r.Overhead, config.Seed); return err }},
	}
	started := time.Now()
	for _, stage := range stages {
		fmt.Fprintf(config.Output, "%6.1fs  measure %s\n", time.Since(started).Seconds(), stage.name)
		if err := stage.run(); err != nil {
			return Error.New("%s: %v", stage.name, err)
		}
	}
	return nil
}

func (r *Result) measureOverheads(ctx context.Context) error {
	var err error
	if r.Overhead, err = measureOverhead(ctx, http1()); err != nil {
		return err
	}
	r.Compressed, err = measureOverhead(ctx, http2())
	return err
}

// fleetCells are the numbers of cells of 34 machines: 102, 408 and 1,598 nodes.
var fleetCells = []int{3, 12, 47}

func (r *Result) measureFleets(ctx context.Context, config Config) error {
	for _, cells := range fleetCells {
		shape := defaultShape()
		shape.Fleet = cells * shape.Machines
		shape.FleetChanges = targetChanges * float64(shape.Fleet) / targetNodes
		fleet, err := runFleet(ctx, shape, cells, r.Overhead, config.Seed)
		if err != nil {
			return err
		}
		r.Fleets = append(r.Fleets, fleet)
	}
	return nil
}

// measureReal runs the cell of processes and a simulated one of its shape.
func (r *Result) measureReal(ctx context.Context, config Config) error {
	if config.SkipReal {
		return nil
	}
	measured, err := runReal(ctx, config)
	if err != nil {
		return err
	}
	simulated := Point{Shape: realShape(), overhead: r.Overhead}
	err = runPoints(ctx, []*Point{&simulated}, config.Seed)
	measured.Simulated = simulated.Costs
	r.Real = &measured
	return err
}

// loadAverage says how busy the machine was; empty where that is not known.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}

// peakMemory is zero where it is not known.
func peakMemory() float64 {
	fields, err := procFields("/proc/self/status")
	if err != nil {
		return 0
	}
	const kibibyte = 1024
	return fields["VmHWM"] * kibibyte
}
