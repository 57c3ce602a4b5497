// Package explain collects the log lines of a request, or groups failed requests,
// from the logs of all processes.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is a line of the log.
type Line struct {
	Time    time.Time      `json:"timestamp"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Process returns the name of the process that wrote the line.
func (l *Line) Process() string { return l.text(logging.FieldProcess) }

// RequestID returns the ID of the request that the line concerns, or "".
func (l *Line) RequestID() string { return l.text(logging.FieldRequest) }

// text returns the value of a string field, or "".
func (l *Line) text(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// Log is the content of the logs.
type Log struct {
	Lines   []Line // ordered by time
	Skipped int    // lines that are not log lines
}

// Read reads the lines of several logs. Text before a line's opening brace, such as
// a host name, is ignored.
func Read(sources ...io.Reader) (*Log, error) {
	log := &Log{}
	for _, source := range sources {
		scanner := bufio.NewScanner(source)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			log.add(scanner.Bytes())
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrap(err, "read the log")
		}
	}
	slices.SortStableFunc(log.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return log, nil
}

func (log *Log) add(text []byte) {
	start := bytes.IndexByte(text, '{')
	var line Line
	if start < 0 || json.Unmarshal(text[start:], &line) != nil || line.Message == "" {
		log.Skipped++
		return
	}
	log.Lines = append(log.Lines, line)
}

// RequestLines returns the log lines of one request.
func (log *Log) RequestLines(id string) []Line {
	var lines []Line
	for i := range log.Lines {
		if log.Lines[i].RequestID() == id {
			lines = append(lines, log.Lines[i])
		}
	}
	return lines
}

// ProcessLines returns the lines that show the state of the process that wrote
// lines[0]: those that concern no request, from the given time before lines[0] until
// the last of lines.
func (log *Log) ProcessLines(lines []Line, before time.Duration) []Line {
	if len(lines) == 0 {
		return nil
	}
	from, to := lines[0].Time.Add(-before), lines[len(lines)-1].Time
	var related []Line
	for i := range log.Lines {
		l := &log.Lines[i]
		if l.RequestID() == "" && l.Process() == lines[0].Process() && !l.Time.Before(from) && !l.Time.After(to) {
			related = append(related, *l)
		}
	}
	return related
}

// CauseLines returns the lines that tell why a request with the given lines was held back, or
// why servers took no request: what all processes say of the parts of its prompt that crash
// servers, what its process said last of the limits of servers, and which servers left or
// wanted nothing when it came. Of a request that no route or key allowed, they are the
// configuration of its process and the last restore of the store.
func (log *Log) CauseLines(lines []Line) []Line {
	if len(lines) == 0 {
		return nil
	}
	parts := partsIn(lines)
	limits := make(map[string]Line) // by server
	config := make(map[string]Line) // by message
	said := make(map[string]Line)   // by message and server
	var causes []Line
	for i := range log.Lines {
		l := &log.Lines[i]
		switch {
		case l.RequestID() != "" || l.Time.After(lines[len(lines)-1].Time):
		case parts[l.text(logging.FieldQuarantined)]:
			causes = append(causes, *l)
		case l.Process() == lines[0].Process() && l.holdsAt(lines[0].Time):
			said[l.Message+l.text("server")] = *l
		case l.Fields[logging.FieldLimit] != nil && l.Process() == lines[0].Process():
			limits[l.text("server")] = *l
		case l.Fields[logging.FieldConfigVersion] != nil && l.Process() == lines[0].Process():
			config[l.Message] = *l
		}
	}
	if refusedByConfig(lines) {
		causes = slices.AppendSeq(causes, maps.Values(config))
	}
	if refusedByServers(lines) {
		causes = slices.AppendSeq(causes, maps.Values(limits))
	}
	causes = slices.AppendSeq(causes, maps.Values(said))
	slices.SortStableFunc(causes, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return causes
}

// leavingTime is how long a server that has said that it leaves may still be listed.
const leavingTime = 10 * time.Minute

// holdsAt reports whether the line says that a server leaves, or wants nothing, at a time.
func (l *Line) holdsAt(at time.Time) bool {
	if until, err := time.Parse(time.RFC3339Nano, l.text(logging.FieldWaitUntil)); err == nil {
		return until.After(at)
	}
	since, err := time.Parse(time.RFC3339Nano, l.text(logging.FieldLeavingSince))
	return err == nil && at.Sub(since) < leavingTime
}

// partsIn returns the hashes of the parts of prompts in the lines.
func partsIn(lines []Line) map[string]bool {
	parts := make(map[string]bool)
	for i := range lines {
		if part := lines[i].text(logging.FieldQuarantined); part != "" {
			parts[part] = true
		}
		list, _ := lines[i].Fields[logging.FieldParts].([]any) // absent in most lines
		for _, part := range list {
			if name, ok := part.(string); ok {
				parts[name] = true
			}
		}
	}
	return parts
}

// refusedByServers reports whether no server could take the request.
func refusedByServers(lines []Line) bool {
	return slices.ContainsFunc(lines, func(l Line) bool { return l.text("code") == string(verdict.CodeNoBackendServer) })
}

// refusedByConfig reports whether the configuration did not allow the request.
func refusedByConfig(lines []Line) bool {
	return slices.ContainsFunc(lines, func(l Line) bool {
		code := l.text("code")
		return code == string(verdict.CodeNotFound) || code == string(verdict.CodeUnauthenticated)
	})
}

// Group is a group of requests that failed in the same way.
type Group struct {
	Message string    `json:"message"`
	Code    string    `json:"code"`
	Verdict string    `json:"verdict"`
	Server  string    `json:"server"` // of the last attempt; empty: no attempt was made
	Count   int       `json:"count"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
	Example string    `json:"example"` // ID of a request
}

type groupKey struct{ message, code, verdict, server string }

// Failures returns groups of failed requests, the largest group first.
func (log *Log) Failures() []Group {
	groups := make(map[groupKey]*Group)
	for i := range log.Lines {
		l := &log.Lines[i]
		if l.RequestID() == "" || l.Level != "warn" && l.Level != "error" {
			continue
		}
		key := groupKey{l.Message, l.text("code"), l.text("verdict"), l.text("server")}
		group := groups[key]
		if group == nil {
			group = &Group{Message: key.message, Code: key.code, Verdict: key.verdict, Server: key.server, First: l.Time, Example: l.RequestID()}
			groups[key] = group
		}
		group.Count++
		group.Last = l.Time
	}
	var list []Group
	for _, group := range slices.Collect(maps.Values(groups)) {
		list = append(list, *group)
	}
	slices.SortFunc(list, func(a, b Group) int { return cmp.Or(cmp.Compare(b.Count, a.Count), a.First.Compare(b.First)) })
	return list
}
