package experiment

import (
	"io"
	"runtime"

	"golang.org/x/sync/errgroup"
)

// Options of an experiment.
type Options struct {
	// Scenarios are YAML files; none means the built-in ones.
	Scenarios []string
	// Variants are names; none means what each scenario lists, or all.
	Variants []string
	// Seeds is how many runs each scenario and variant gets, on consecutive
	// seeds. Zero means DefaultSeeds.
	Seeds int
	// Parallel bounds the runs at a time. Zero means half of the cores.
	Parallel int
	// Directory gets results.json and the plots; empty writes no files.
	Directory string
	// Output gets the table.
	Output io.Writer
}

// DefaultSeeds is the number of seeds of an experiment.
const DefaultSeeds = 5

// Result is one run with its measures.
type Result struct {
	Scenario string   `json:"scenario"`
	Variant  string   `json:"variant"`
	Seed     uint64   `json:"seed"`
	Measures Measures `json:"measures"`
}

// Run plays every scenario in every variant on every seed, and reports. The
// same options give the same results, on any number of cores.
func Run(options Options) error {
	results, err := play(options)
	if err != nil {
		return err
	}
	if err := writeTable(options.Output, results); err != nil {
		return Error.Wrap(err)
	}
	if options.Directory == "" {
		return nil
	}
	if err := writeJSON(options.Directory, results); err != nil {
		return err
	}
	return writePlots(options.Directory, results)
}

func play(options Options) ([]Result, error) {
	runs, err := planRuns(options)
	if err != nil {
		return nil, err
	}
	results := make([]Result, len(runs))
	var group errgroup.Group
	group.SetLimit(parallel(options))
	for i, planned := range runs {
		group.Go(func() error {
			results[i] = Result{
				Scenario: planned.scenario.Name,
				Variant:  planned.variant.name,
				Seed:     planned.seed,
				Measures: simulate(planned),
			}
			return nil
		})
	}
	return results, group.Wait()
}

func parallel(options Options) int {
	if options.Parallel > 0 {
		return options.Parallel
	}
	return max(1, runtime.NumCPU()/2)
}

// planRuns lists the runs in the order of the report.
func planRuns(options Options) ([]run, error) {
	scenarios, err := readScenarios(options.Scenarios)
	if err != nil {
		return nil, err
	}
	seeds := options.Seeds
	if seeds == 0 {
		seeds = DefaultSeeds
	}
	var runs []run
	for _, scenario := range scenarios {
		names := options.Variants
		if len(names) == 0 {
			names = scenario.Variants
		}
		chosen, err := chosenVariants(names)
		if err != nil {
			return nil, err
		}
		for _, each := range chosen {
			for i := range seeds {
				runs = append(runs, run{scenario: scenario, variant: each, seed: uint64(scenario.Seed + i)})
			}
		}
	}
	return runs, nil
}
