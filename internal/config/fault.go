package config

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one mistake in a document or in settings.
type Fault struct {
	Source  string `json:"source,omitempty"`  // file, flag or environment variable
	Section string `json:"section,omitempty"` // with its title, such as "route chat"
	Key     string `json:"key,omitempty"`
	Line    int    `json:"line,omitempty"` // 0 if unknown
	Message string `json:"message"`
}

// String returns the fault as one line: place, then message.
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

// Faults are all mistakes of a document or of settings, ordered by line.
type Faults []Fault

// Error implements error: one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(at place, key, format string, args ...any) {
	*f = append(*f, Fault{
		Source:  at.source,
		Section: at.section,
		Key:     key,
		Line:    at.line,
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

// place is where a fault is.
type place struct {
	source  string
	section string
	line    int
}
