package config

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one error in a document or in a daemon's settings.
type Fault struct {
	Source  string `json:"source,omitempty"`  // file, flag or environment variable
	Section string `json:"section,omitempty"` // kind and title, such as "route chat"
	Key     string `json:"key,omitempty"`
	Line    int    `json:"line,omitempty"` // 0 if unknown
	Message string `json:"message"`
}

// String returns the fault as one line: location, then message.
func (f Fault) String() string {
	var b strings.Builder
	if f.Source != "" {
		b.WriteString(f.Source + ": ")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Faults are all errors of a document or of settings, ordered by line.
type Faults []Fault

// Error implements error, with one fault per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(loc location, key, format string, args ...any) {
	*f = append(*f, Fault{
		Source:  loc.source,
		Section: loc.section,
		Key:     key,
		Line:    loc.line,
		Message: fmt.Sprintf(format, args...),
	})
}

// err returns the faults as an error, or nil if there are none.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool { return f[i].Line < f[j].Line })
	return f
}

// location is the position of a fault in its source.
type location struct {
	source  string
	section string
	line    int
}
