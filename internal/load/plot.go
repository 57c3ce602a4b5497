package load

import (
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of plots.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 5 * vg.Millimeter
)

// plotLatencies draws the cumulative distribution of the time to the first token
// of urgent generations, a line per phase.
func (p *plan) plotLatencies(folder string, outcomes []outcome) error {
	chart := plot.New()
	chart.Title.Text = "Time to the first token, urgent, " + p.workload.Name
	chart.X.Label.Text = "milliseconds"
	chart.Y.Label.Text = "part of the requests"
	var lines []any
	for i, phase := range p.phases {
		if points := distribution(outcomes, i); len(points) > 0 {
			lines = append(lines, phase.Name, points)
		}
	}
	if err := plotutil.AddLines(chart, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(chart.Save(plotWidth, plotHeight, filepath.Join(folder, "latency.png")), "plot")
}

// distribution returns the cumulative distribution of the urgent latencies of a
// phase.
func distribution(outcomes []outcome, phase int) plotter.XYs {
	var times []float64
	for i := range outcomes {
		o := &outcomes[i]
		if o.arrival.phase == phase && o.arrival.stream.Class == ClassUrgent && o.hasLatency() {
			times = append(times, o.latency.Seconds()*1000)
		}
	}
	slices.Sort(times)
	points := make(plotter.XYs, len(times))
	for i, t := range times {
		points[i] = plotter.XY{X: t, Y: float64(i+1) / float64(len(times))}
	}
	return points
}

// plotColumn draws the medians of a column for each phase and policy.
func plotColumn(path, workload string, c *column, groups []group) error {
	chart := plot.New()
	chart.Title.Text = c.title + ", " + workload
	chart.Legend.Top = true
	var phases []string
	for _, phase := range groups[0].reports[0].Phases {
		phases = append(phases, phase.Name)
	}
	for i, g := range groups {
		values := make(plotter.Values, len(phases))
		for phase := range phases {
			values[phase] = median(c.values(g, phase))
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-len(groups)+1) / 2
		chart.Add(bars)
		chart.Legend.Add(g.policy, bars)
	}
	chart.NominalX(phases...)
	chart.X.Min -= 0.5
	chart.X.Max += 0.5
	chart.Y.Max *= 1.2 // room for the legend
	return errors.Wrap(chart.Save(plotWidth, plotHeight, path), "plot")
}
