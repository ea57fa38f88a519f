package experiment

import (
	"image/color"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = 0.2 * vg.Centimeter
)

// chart is one plot: a measure for every scenario and variant.
type chart struct {
	file, title string
	value       func(Measures) float64
}

func charts() []chart {
	return []chart{
		{"imbalance.svg", "Imbalance: highest over mean load", func(m Measures) float64 { return m.Imbalance }},
		{"churn.svg", "Churn: share of key traffic moved", func(m Measures) float64 { return m.Churn.Planned + m.Churn.Forced }},
		{"unavailable.svg", "Unavailable time: key-seconds", func(m Measures) float64 { return float64(m.Unavailable.KeySeconds) }},
		{"latency.svg", "Keyed service: p99 in milliseconds", func(m Measures) float64 { return m.Services[0].Latency.P99 }},
	}
}

// writePlots writes one SVG file a chart: bars are medians over the seeds, with
// the lowest and the highest.
func writePlots(directory string, results []Result) error {
	all := groups(results)
	for _, each := range charts() {
		drawn, err := each.draw(all)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := drawn.Save(plotWidth, plotHeight, filepath.Join(directory, each.file)); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func (c chart) draw(all []group) (*plot.Plot, error) {
	scenarios := names(all, func(g group) string { return g.scenario })
	variants := names(all, func(g group) string { return g.variant })
	drawn := plot.New()
	drawn.Title.Text = c.title
	drawn.Y.Min = 0
	drawn.Legend.Top = true
	drawn.NominalX(scenarios...)
	for i, variant := range variants {
		offset := vg.Length(float64(i)-float64(len(variants)-1)/2) * barWidth
		bars, err := c.bars(all, scenarios, variant)
		if err != nil {
			return nil, err
		}
		bars.Offset = offset
		bars.Color = colorOf(i)
		bars.LineStyle.Width = 0
		drawn.Add(bars)
		drawn.Legend.Add(variant, bars)
		if err := c.addRanges(drawn, all, scenarios, variant, offset); err != nil {
			return nil, err
		}
	}
	return drawn, nil
}

func colorOf(i int) color.Color {
	return plotutil.SoftColors[i%len(plotutil.SoftColors)]
}

// names returns each name once, in the order of the report.
func names(all []group, name func(group) string) []string {
	var found []string
	for _, each := range all {
		if !slices.Contains(found, name(each)) {
			found = append(found, name(each))
		}
	}
	return found
}

func find(all []group, scenario, variant string) (group, bool) {
	for _, each := range all {
		if each.scenario == scenario && each.variant == variant {
			return each, true
		}
	}
	return group{}, false
}

// bars has a bar of no height where a scenario lacks the variant.
func (c chart) bars(all []group, scenarios []string, variant string) (*plotter.BarChart, error) {
	values := make(plotter.Values, len(scenarios))
	for i, scenario := range scenarios {
		if each, found := find(all, scenario, variant); found {
			values[i] = each.spread(c.value).median
		}
	}
	return plotter.NewBarChart(values, barWidth)
}

// ranges are the lowest and highest values round the medians.
type ranges struct {
	plotter.XYs
	plotter.YErrors
}

func (c chart) addRanges(drawn *plot.Plot, all []group, scenarios []string, variant string, offset vg.Length) error {
	var made ranges
	for i, scenario := range scenarios {
		each, found := find(all, scenario, variant)
		if !found {
			continue
		}
		seen := each.spread(c.value)
		made.XYs = append(made.XYs, plotter.XY{X: float64(i), Y: seen.median})
		made.YErrors = append(made.YErrors, struct{ Low, High float64 }{seen.median - seen.lowest, seen.highest - seen.median})
	}
	drawnRanges, err := plotter.NewYErrorBars(made)
	if err != nil {
		return err
	}
	drawn.Add(shifted{drawnRanges, offset})
	return nil
}

// shifted draws error bars beside their place, where their bar stands.
type shifted struct {
	*plotter.YErrorBars
	offset vg.Length
}

// Plot draws on a canvas moved by the offset.
func (s shifted) Plot(canvas draw.Canvas, drawn *plot.Plot) {
	canvas.Push()
	defer canvas.Pop()
	canvas.Translate(vg.Point{X: s.offset})
	s.YErrorBars.Plot(canvas, drawn)
}
