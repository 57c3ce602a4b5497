// Package explain tells the story of a request, or of many failed ones, from the
// log lines of all processes.
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
)

// maxLineBytes bounds a log line.
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

// RequestID returns the id of the request that the line concerns, or nothing.
func (l *Line) RequestID() string { return l.text(logging.FieldRequest) }

// text returns a field that is a text.
func (l *Line) text(name string) string {
	value, _ := l.Fields[name].(string) // another type is no text
	return value
}

// Log is what was read.
type Log struct {
	Lines   []Line // in the order of time
	Skipped int    // lines that are no log lines
}

// Read reads the lines of several logs. What stands before a line's opening brace,
// such as the name of a machine, is passed over.
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

// Story returns the lines of one request.
func (log *Log) Story(id string) []Line {
	var story []Line
	for i := range log.Lines {
		if log.Lines[i].RequestID() == id {
			story = append(story, log.Lines[i])
		}
	}
	return story
}

// Beliefs returns the lines on what one process believed, in the time before and
// during a story: those that concern no request.
func (log *Log) Beliefs(story []Line, before time.Duration) []Line {
	if len(story) == 0 {
		return nil
	}
	from, to := story[0].Time.Add(-before), story[len(story)-1].Time
	var beliefs []Line
	for i := range log.Lines {
		l := &log.Lines[i]
		if l.RequestID() == "" && l.Process() == story[0].Process() && !l.Time.Before(from) && !l.Time.After(to) {
			beliefs = append(beliefs, *l)
		}
	}
	return beliefs
}

// Group is a number of requests that failed in the same way.
type Group struct {
	Message string    `json:"message"`
	Code    string    `json:"code"`
	Verdict string    `json:"verdict"`
	Server  string    `json:"server"` // of the last attempt; empty: none was made
	Count   int       `json:"count"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
	Example string    `json:"example"` // id of a request
}

type groupKey struct{ message, code, verdict, server string }

// Failures groups the requests that ended badly, the most frequent first.
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
