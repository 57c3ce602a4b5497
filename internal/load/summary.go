package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func summaryCommand() *cli.Command {
	return &cli.Command{
		Name:      "summary",
		Usage:     "compare the reports of several runs by policy: medians, and lowest to highest",
		ArgsUsage: "REPORT...",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "plots", Usage: "`FOLDER` for plots"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			reports, err := readReports(cmd.Args().Slice())
			if err != nil {
				return err
			}
			return writeSummary(cmd.Root().Writer, cmd.String("plots"), reports)
		},
	}
}

func readReports(paths []string) ([]*Report, error) {
	var reports []*Report
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "report")
		}
		r := &Report{}
		if err := json.Unmarshal(text, r); err != nil {
			return nil, errors.Wrapf(err, "report %s", path)
		}
		reports = append(reports, r)
	}
	return reports, nil
}

// column is a measurement of a phase by which policies are compared.
type column struct {
	title          string
	format         string
	higherIsBetter bool
	value          func(*PhaseReport) float64
}

var columns = []column{
	{"hit rate", "%.3f", true, func(p *PhaseReport) float64 { return p.HitRate }},
	{"urgent p50 ms", "%.0f", false, func(p *PhaseReport) float64 { return p.Classes[0].P50 }},
	{"urgent p99 ms", "%.0f", false, func(p *PhaseReport) float64 { return p.Classes[0].P99 }},
	{"deferrable p99 ms", "%.0f", false, func(p *PhaseReport) float64 { return p.Classes[1].P99 }},
	{"recomputed", "%.0f", false, func(p *PhaseReport) float64 { return float64(p.Recomputed) }},
	{"worst share", "%.3f", true, func(p *PhaseReport) float64 { return p.Worst.Share }},
	{"worst p99 ms", "%.0f", false, func(p *PhaseReport) float64 { return p.Worst.P99 }},
	{"median p99 ms", "%.0f", false, func(p *PhaseReport) float64 { return p.Worst.MedianP99 }},
	{"wrongful", "%.0f", false, func(p *PhaseReport) float64 { return float64(p.Wrongful) }},
	{"failed", "%.0f", false, func(p *PhaseReport) float64 { return float64(p.Failed + p.Unfinished) }},
}

// group holds the reports of one policy under one workload.
type group struct {
	policy  string
	reports []*Report
}

// writeSummary prints a table per workload: for each phase and policy the medians
// over the runs and their range, and the best policy of each column. It also plots
// the medians if a folder for plots is given.
func writeSummary(w io.Writer, plots string, reports []*Report) error {
	for _, workload := range distinct(reports, func(r *Report) string { return r.Workload }) {
		groups := groupsOf(workload, reports)
		fmt.Fprintf(w, "\nworkload %s, median of %d runs each (lowest to highest)\n", workload, len(groups[0].reports))
		writeGroups(w, groups)
		writeOracle(w, groups)
		if plots == "" {
			continue
		}
		for i := range columns {
			name := workload + "-" + strings.ReplaceAll(columns[i].title, " ", "-") + ".png"
			if err := plotColumn(filepath.Join(plots, name), workload, &columns[i], groups); err != nil {
				return err
			}
		}
	}
	return nil
}

// groupsOf returns the reports of a workload by policy.
func groupsOf(workload string, reports []*Report) []group {
	runs := slices.DeleteFunc(slices.Clone(reports), func(r *Report) bool { return r.Workload != workload })
	var groups []group
	for _, policy := range distinct(runs, func(r *Report) string { return r.Policy }) {
		selected := slices.DeleteFunc(slices.Clone(runs), func(r *Report) bool { return r.Policy != policy })
		groups = append(groups, group{policy, selected})
	}
	return groups
}

// distinct returns the distinct values in order of first occurrence.
func distinct(reports []*Report, value func(*Report) string) []string {
	var found []string
	for _, r := range reports {
		if !slices.Contains(found, value(r)) {
			found = append(found, value(r))
		}
	}
	return found
}

func writeGroups(w io.Writer, groups []group) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "phase\tpolicy")
	for _, c := range columns {
		fmt.Fprint(t, "\t"+c.title)
	}
	fmt.Fprintln(t)
	for phase := range groups[0].reports[0].Phases {
		for _, g := range groups {
			fmt.Fprintf(t, "%s\t%s", g.reports[0].Phases[phase].Name, g.policy)
			for _, c := range columns {
				fmt.Fprint(t, "\t"+c.text(g, phase))
			}
			fmt.Fprintln(t)
		}
		writeBest(t, groups, phase)
	}
	_ = t.Flush() // the underlying writer reports its errors itself
}

func writeBest(w io.Writer, groups []group, phase int) {
	fmt.Fprint(w, "\tbest")
	for _, c := range columns {
		fmt.Fprint(w, "\t"+c.best(groups, phase))
	}
	fmt.Fprintln(w)
}

// values returns the column's values of a phase, sorted.
func (c *column) values(g group, phase int) []float64 {
	var values []float64
	for _, r := range g.reports {
		if phase < len(r.Phases) {
			values = append(values, c.value(&r.Phases[phase]))
		}
	}
	slices.Sort(values)
	return values
}

func median(sorted []float64) float64 {
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

func (c *column) text(g group, phase int) string {
	values := c.values(g, phase)
	text := fmt.Sprintf(c.format, median(values))
	if len(values) > 1 {
		text += fmt.Sprintf(" ("+c.format+"–"+c.format+")", values[0], values[len(values)-1])
	}
	return text
}

// best returns the policies with the best median.
func (c *column) best(groups []group, phase int) string {
	policies := ""
	var bestText string
	var bestMedian float64
	for _, g := range groups {
		m := median(c.values(g, phase))
		text := fmt.Sprintf(c.format, m)
		switch {
		case policies != "" && text == bestText:
			policies += "=" + g.policy
		case policies == "" || (m > bestMedian) == c.higherIsBetter:
			policies, bestText, bestMedian = g.policy, text, m
		}
	}
	return policies
}

func writeOracle(w io.Writer, groups []group) {
	for _, g := range groups {
		var hit, exact, pooled, load []float64
		for _, r := range g.reports {
			hit = append(hit, r.hitRate())
			exact = append(exact, r.Oracle.Exact)
			pooled = append(pooled, r.Oracle.Pooled)
			load = append(load, r.MeanLoad)
		}
		for _, values := range [][]float64{hit, exact, pooled, load} {
			slices.Sort(values)
		}
		fmt.Fprintf(w, "%s: hit rate after the first phase %.3f, oracle %.3f exact and %.3f pooled, load average %.1f\n",
			g.policy, median(hit), median(exact), median(pooled), median(load))
	}
}

// hitRate returns the hit rate of all phases but the first.
func (r *Report) hitRate() float64 {
	var prompt, cached int64
	for i := min(1, len(r.Phases)-1); i < len(r.Phases); i++ {
		prompt += r.Phases[i].Prompt
		cached += r.Phases[i].Cached
	}
	if prompt == 0 {
		return 0
	}
	return float64(cached) / float64(prompt)
}
