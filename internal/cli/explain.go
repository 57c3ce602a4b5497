package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/explain"
	"github.com/wasabigate/wasabigate/internal/logging"
)

const (
	flagSummary = "summary"
	flagBefore  = "before"
	// defaultBefore is how long before a request the log is searched for changes of
	// the process's cached state: a change is in force everywhere within seconds.
	defaultBefore = 5 * time.Second
)

// explainResult is the result of explain: the log lines of one request.
type explainResult struct {
	Request      string         `json:"request"`
	RequestLines []explain.Line `json:"story"`
	ProcessLines []explain.Line `json:"beliefs"`          // changes of the cached state of the process that accepted the request
	CauseLines   []explain.Line `json:"causes,omitempty"` // why it was held back, or servers took no request
}

func (r *explainResult) writeText(w io.Writer) {
	if len(r.RequestLines) == 0 {
		return
	}
	start := r.RequestLines[0].Time
	fmt.Fprintf(w, "request %s, taken at %s\n", r.Request, start.Format(time.RFC3339Nano))
	for i := range r.RequestLines {
		writeLine(w, &r.RequestLines[i], start)
	}
	if len(r.ProcessLines) > 0 {
		fmt.Fprintf(w, "what %s learned meanwhile and shortly before\n", r.RequestLines[0].Process())
	}
	for i := range r.ProcessLines {
		writeLine(w, &r.ProcessLines[i], start)
	}
	if len(r.CauseLines) > 0 {
		fmt.Fprintln(w, "what crashed servers, and which servers limit their requests")
	}
	for i := range r.CauseLines {
		writeLine(w, &r.CauseLines[i], start)
	}
}

func writeLine(w io.Writer, line *explain.Line, start time.Time) {
	fmt.Fprintf(w, "%+9.3fs  %-20s %s  %s\n", line.Time.Sub(start).Seconds(), line.Process(), line.Message, fieldsOf(line))
}

// fieldsOf returns a line's fields as JSON, without those shown elsewhere.
func fieldsOf(line *explain.Line) string {
	shown := make(map[string]any, len(line.Fields))
	for name, value := range line.Fields {
		if name != logging.FieldProcess && name != logging.FieldRequest {
			shown[name] = value
		}
	}
	text, err := json.Marshal(shown)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// summaryResult is the result of explain --summary: failures grouped by cause.
type summaryResult struct {
	Failures []explain.Group `json:"failures"`
	Skipped  int             `json:"skipped_lines"`
}

func (r *summaryResult) writeText(w io.Writer) {
	table := newTable(w)
	fmt.Fprintln(table, "COUNT\tMESSAGE\tCODE\tVERDICT\tSERVER\tFIRST\tLAST\tEXAMPLE")
	for i := range r.Failures {
		g := &r.Failures[i]
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", g.Count, g.Message, g.Code, g.Verdict, g.Server,
			g.First.Format(time.TimeOnly), g.Last.Format(time.TimeOnly), g.Example)
	}
	_ = table.Flush() // a failed write fails again at the next one
	if r.Skipped > 0 {
		fmt.Fprintf(w, "%d lines were no log lines\n", r.Skipped)
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell a request's story from log files, or from the standard input",
		ArgsUsage: "ID [FILE...]",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagSummary, Usage: "group all failed requests by cause; takes files only"},
			&cli.DurationFlag{Name: flagBefore, Value: defaultBefore, Usage: "how far back to look for what the process believed"},
		},
		Action: action(func(_ context.Context, s *session) error { return s.explain() }),
	}
}

func (s *session) explain() error {
	args := s.command.Args().Slice()
	if s.command.Bool(flagSummary) {
		log, err := s.readLogs(args)
		if err != nil {
			return err
		}
		return s.print(&summaryResult{Failures: log.Failures(), Skipped: log.Skipped})
	}
	if len(args) == 0 {
		return usageError(s.command, "takes the id of a request")
	}
	log, err := s.readLogs(args[1:])
	if err != nil {
		return err
	}
	requestLines := log.RequestLines(args[0])
	if len(requestLines) == 0 {
		return fail(ExitFailure, "pass the log files of all processes", "no line concerns the request %q", args[0])
	}
	return s.print(&explainResult{
		Request: args[0], RequestLines: requestLines, ProcessLines: log.ProcessLines(requestLines, s.command.Duration(flagBefore)),
		CauseLines: log.CauseLines(requestLines),
	})
}

// readLogs reads log files, or standard input if paths is empty.
func (s *session) readLogs(paths []string) (*explain.Log, error) {
	if len(paths) == 0 {
		return explain.Read(s.command.Root().Reader)
	}
	var sources []io.Reader
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "log file")
		}
		sources = append(sources, strings.NewReader(string(text)))
	}
	return explain.Read(sources...)
}
