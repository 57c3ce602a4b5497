package config

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Entry is a setting to write.
type Entry struct {
	Key   string
	Value string
}

// ErrNoSection means that the section to edit does not exist.
var ErrNoSection = errors.New("no such section")

// Editor changes single settings and sections in the text of a document. It
// preserves everything else, including comments.
type Editor struct {
	lines []string
}

// NewEditor returns an Editor for text.
func NewEditor(text []byte) *Editor {
	return &Editor{lines: strings.Split(strings.TrimRight(string(text), "\n"), "\n")}
}

// Text returns the edited text.
func (e *Editor) Text() []byte { return []byte(strings.Join(e.lines, "\n") + "\n") }

// Add appends a new section.
func (e *Editor) Add(kind, title string, entries ...Entry) {
	e.lines = append(e.lines, "", "["+kind+" "+title+"]")
	for _, entry := range entries {
		e.lines = append(e.lines, entry.line())
	}
}

func (e Entry) line() string { return e.Key + " = " + e.Value }

// Set changes settings of a section, or adds them to it.
func (e *Editor) Set(kind, title string, entries ...Entry) error {
	for _, entry := range entries {
		s, err := e.find(kind, title)
		if err != nil {
			return err
		}
		if old, found := s.entry(entry.Key); found {
			e.lines[old.line-1] = entry.line() + inlineComment(e.lines[old.line-1])
			continue
		}
		e.lines = slices.Insert(e.lines, s.lastLine(), entry.line())
	}
	return nil
}

// Remove deletes a section with the comment lines directly above it and one blank
// line before them.
func (e *Editor) Remove(kind, title string) error {
	s, err := e.find(kind, title)
	if err != nil {
		return err
	}
	first, end := s.line-1, s.lastLine()
	for first > 0 && isComment(e.lines[first-1]) {
		first--
	}
	if first > 0 && strings.TrimSpace(e.lines[first-1]) == "" {
		first--
	}
	e.lines = slices.Delete(e.lines, first, end)
	return nil
}

func (e *Editor) find(kind, title string) (*section, error) {
	var faults Faults
	_, sections := scan(e.Text(), "", &faults)
	for _, s := range sections {
		if s.kind == kind && s.title == title {
			return s, nil
		}
	}
	return nil, errors.Wrapf(ErrNoSection, "[%s %s]", kind, title)
}

// lastLine returns the line number of the last entry, or of the header if there
// is none.
func (s *section) lastLine() int {
	last := s.line
	for _, e := range s.entries {
		last = max(last, e.line)
	}
	return last
}

func isComment(line string) bool {
	line = strings.TrimSpace(line)
	return strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";")
}

// inlineComment returns the trailing comment of an entry's line, with the space
// before it.
func inlineComment(line string) string {
	_, value, _ := strings.Cut(line, "=")
	for _, mark := range []string{" #", " ;"} {
		if i := strings.Index(value, mark); i >= 0 {
			return value[i:]
		}
	}
	return ""
}
