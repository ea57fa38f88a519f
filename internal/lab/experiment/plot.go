package experiment

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	barWidth   = 1 * vg.Centimeter
	// labelSpace is the room beside the outer bars, in distances of bars.
	labelSpace = 0.6
)

// chart is one measure, drawn for each scenario with a bar for each variant.
type chart struct {
	name, title string
	value       func(Measures) float64
}

func charts() []chart {
	return []chart{
		{"imbalance", "imbalance: highest over mean load", func(m Measures) float64 { return m.Imbalance }},
		{"churn", "churn: share of key traffic moved", func(m Measures) float64 { return m.Churn.Planned + m.Churn.Forced }},
		{"unavailable", "unavailable time: key-seconds", func(m Measures) float64 { return float64(m.Unavailable.KeySeconds) }},
		{"latency", "keyed service: p99 in milliseconds", func(m Measures) float64 { return m.Services[0].Latency.P99 }},
	}
}

// writePlots writes SCENARIO-MEASURE.svg files: bars are medians over the seeds,
// with the lowest and the highest.
func writePlots(directory string, results []Result) error {
	all := groups(results)
	for len(all) > 0 {
		count := 1
		for count < len(all) && all[count].scenario == all[0].scenario {
			count++
		}
		if err := plotScenario(directory, all[:count]); err != nil {
			return Error.Wrap(err)
		}
		all = all[count:]
	}
	return nil
}

// plotScenario draws all charts of one scenario's variants.
func plotScenario(directory string, variants []group) error {
	for _, each := range charts() {
		drawn, err := each.draw(variants)
		if err != nil {
			return err
		}
		file := filepath.Join(directory, variants[0].scenario+"-"+each.name+".svg")
		if err := drawn.Save(plotWidth, plotHeight, file); err != nil {
			return err
		}
	}
	return nil
}

// ranges are the lowest and highest values round the medians.
type ranges struct {
	plotter.XYs
	plotter.YErrors
}

func (c chart) draw(variants []group) (*plot.Plot, error) {
	var names []string
	var medians plotter.Values
	var around ranges
	for i, each := range variants {
		seen := each.spread(c.value)
		names = append(names, each.variant)
		medians = append(medians, seen.median)
		around.XYs = append(around.XYs, plotter.XY{X: float64(i), Y: seen.median})
		around.YErrors = append(around.YErrors, struct{ Low, High float64 }{seen.median - seen.lowest, seen.highest - seen.median})
	}
	bars, err := plotter.NewBarChart(medians, barWidth)
	if err != nil {
		return nil, err
	}
	bars.Color = plotutil.Color(2)
	bars.LineStyle.Width = 0
	errorBars, err := plotter.NewYErrorBars(around)
	if err != nil {
		return nil, err
	}
	drawn := plot.New()
	drawn.Title.Text = variants[0].scenario + ", " + c.title
	drawn.Y.Min = 0
	drawn.NominalX(names...)
	drawn.Add(bars, errorBars)
	drawn.X.Min = -labelSpace
	drawn.X.Max = float64(len(names)-1) + labelSpace
	return drawn, nil
}
