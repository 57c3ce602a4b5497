package load

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Command returns the load command, which sends a workload to a running system.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "drive a running system and measure how it serves",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workload", Value: "consortium", Usage: "consortium or association"},
			&cli.StringFlag{Name: "document", Usage: "`FILE` of the document in force, with keys in its comments"},
			&cli.StringSliceFlag{Name: "router", Usage: "base `URL` of a router; may be repeated"},
			&cli.StringFlag{Name: "phases", Value: "warm=2s,calm=5s,burst=5s", Usage: "phases with their durations; in burst, one workspace exceeds its rate"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals and prompts"},
			&cli.Float64Flag{Name: "load", Value: 0.6, Usage: "part of its rate that each workspace sends"},
			&cli.Float64Flag{Name: "burst-factor", Value: 5, Usage: "times its rate that one workspace sends in a burst"},
			&cli.DurationFlag{Name: "shift", Value: 2 * time.Second, Usage: "time after which other prefixes become hot"},
			&cli.DurationFlag{Name: "timeout", Value: 4 * time.Second, Usage: "longest wait for an answer"},
			&cli.BoolFlag{Name: "fresh", Usage: "the system has just started, and its buckets are empty"},
			&cli.StringFlag{Name: "policy", Usage: "`NAME` of the routing policy, for the report"},
			&cli.StringFlag{Name: "report", Value: "report", Usage: "`FOLDER` of the report"},
			&cli.IntFlag{Name: "engines", Usage: "number of engines, for the oracle; 0: none"},
			&cli.IntFlag{Name: "cache-blocks", Value: 8192, Usage: "blocks in an engine's cache, for the oracle"},
			&cli.Float64Flag{Name: "prefill-rate", Value: 20_000, Usage: "prompt tokens per second of an engine, for the oracle"},
		},
		Action:   runCommand,
		Commands: []*cli.Command{summaryCommand()},
	}
}

func runCommand(ctx context.Context, cmd *cli.Command) error {
	p, err := newPlan(cmd)
	if err != nil {
		return err
	}
	sender := newSender(cmd.StringSlice("router"), p.workload.Model, cmd.Duration("timeout"))
	r := newRun(p, sender, cmd.Root().Writer)
	outcomes, err := r.sendAll(ctx)
	if err != nil {
		return err
	}
	engines := fleet{engines: cmd.Int("engines"), cacheBlocks: cmd.Int("cache-blocks"), prefillRate: cmd.Float64("prefill-rate")}
	report := &Report{
		Workload: p.workload.Name,
		Policy:   cmd.String("policy"),
		Seed:     p.seed,
		Load:     p.load,
		MeanLoad: machineLoad(),
		Phases:   p.report(outcomes),
		Oracle:   engines.oracle(outcomes, r.texts, min(1, len(p.phases)-1)),
	}
	writeTable(cmd.Root().Writer, report)
	if err := report.save(cmd.String("report")); err != nil {
		return err
	}
	if err := p.saveRequests(cmd.String("report"), outcomes); err != nil {
		return err
	}
	return p.plotLatencies(cmd.String("report"), outcomes)
}

func newPlan(cmd *cli.Command) (*plan, error) {
	if !cmd.IsSet("document") || !cmd.IsSet("router") {
		return nil, errors.New("--document and --router are required")
	}
	workload, err := workloadNamed(cmd.String("workload"))
	if err != nil {
		return nil, err
	}
	workspaces, err := readWorkspaces(cmd.String("document"))
	if err != nil {
		return nil, err
	}
	phases, err := parsePhases(cmd.String("phases"))
	if err != nil {
		return nil, err
	}
	return &plan{
		seed:        cmd.Uint64("seed"),
		workload:    workload,
		workspaces:  workspaces,
		phases:      phases,
		load:        cmd.Float64("load"),
		burstFactor: cmd.Float64("burst-factor"),
		shift:       cmd.Duration("shift"),
		fresh:       cmd.Bool("fresh"),
	}, nil
}

// parsePhases reads name=duration pairs.
func parsePhases(text string) ([]Phase, error) {
	var phases []Phase
	for _, pair := range strings.Split(text, ",") {
		name, length, _ := strings.Cut(pair, "=")
		duration, err := time.ParseDuration(length)
		if err != nil || duration <= 0 || name == "" {
			return nil, errors.Errorf("phase %q is not a name with a duration", pair)
		}
		phases = append(phases, Phase{Name: name, Duration: duration})
	}
	return phases, nil
}

// machineLoad returns the machine's load average over the last minute, or 0 if unknown.
func machineLoad() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	average, _ := strconv.ParseFloat(first, 64) // 0 if malformed
	return average
}

// ReportFile is the name of the JSON report in the report folder.
const ReportFile = "report.json"

// saveRequests writes requests.csv into a folder, with a line per request.
func (p *plan) saveRequests(folder string, outcomes []outcome) error {
	file, err := os.Create(filepath.Join(folder, "requests.csv"))
	if err != nil {
		return errors.Wrap(err, "report")
	}
	defer file.Close()
	w := csv.NewWriter(file)
	_ = w.Write([]string{"at_ms", "phase", "workspace", "kind", "class", "end", "status", "code", "first_ms", "prompt", "cached", "first_seen"})
	for i := range outcomes {
		o := &outcomes[i]
		_ = w.Write([]string{
			milliseconds(o.arrival.at), p.phases[o.arrival.phase].Name, o.arrival.workspace.name, o.arrival.stream.Kind,
			string(o.arrival.stream.Class), string(o.end), strconv.Itoa(o.status), o.code, milliseconds(o.latency),
			strconv.Itoa(o.promptTokens), strconv.Itoa(o.cachedTokens), strconv.Itoa(o.newTokens),
		})
	}
	w.Flush()
	return errors.Wrap(w.Error(), "report")
}

func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds()*1000, 'f', 1, 64)
}

// save writes the report into a folder, as JSON and as text.
func (r *Report) save(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "report")
	}
	encoded, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "report")
	}
	if err := os.WriteFile(filepath.Join(folder, ReportFile), encoded, 0o644); err != nil {
		return errors.Wrap(err, "report")
	}
	table, err := os.Create(filepath.Join(folder, "report.txt"))
	if err != nil {
		return errors.Wrap(err, "report")
	}
	defer table.Close()
	writeTable(io.Writer(table), r)
	return nil
}
