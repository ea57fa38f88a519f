package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
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

// memoryLimit bounds this process's heap, far below half of a machine.
const memoryLimit = 4 << 30

// DefaultConfig returns what flags start from.
func DefaultConfig() Config {
	return Config{Seed: 1, Shalefork: "bin/shalefork", Example: "examples/tawila", BasePort: 21000}
}

// Result is all that a run measured.
type Result struct {
	Seed     uint64        `json:"seed"`
	CPUs     int           `json:"cpus"`
	Go       string        `json:"go"`
	Load     string        `json:"load_average_at_start"`
	Overhead Overhead      `json:"http_overhead"`
	Fleets   []FleetResult `json:"fleets"`
	Took     time.Duration `json:"took_ns"`
}

// Run measures and writes a table, and a JSON file if one is named.
func Run(ctx context.Context, config Config) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	started := time.Now()
	result, err := measure(ctx, config)
	if err != nil {
		return err
	}
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

// fleetCells are the numbers of cells of 34 machines: 102, 408 and 1,598 nodes.
var fleetCells = []int{3, 12, 47}

func measure(ctx context.Context, config Config) (Result, error) {
	result := Result{Seed: config.Seed, CPUs: runtime.NumCPU(), Go: runtime.Version(), Load: loadAverage()}
	var err error
	if result.Overhead, err = measureOverhead(ctx); err != nil {
		return result, err
	}
	for _, cells := range fleetCells {
		shape := defaultShape()
		shape.Fleet = cells * shape.Machines
		shape.FleetChanges = targetChanges * float64(shape.Fleet) / targetNodes
		fmt.Fprintf(config.Output, "hollow fleet of %d nodes\n", shape.Fleet)
		fleet, err := runFleet(ctx, shape, cells, result.Overhead, config.Seed)
		if err != nil {
			return result, err
		}
		result.Fleets = append(result.Fleets, fleet)
	}
	return result, nil
}

// loadAverage says how busy the machine was; empty where that is not known.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	return string(text[:len(text)-1])
}
