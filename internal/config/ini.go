package config

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// entry is a setting as it appears in the text.
type entry struct {
	key    string
	value  string
	source string // overrides the section's source if set
	line   int
}

// section is a section as it appears in the text. Its name is a kind and, for some
// kinds, a title: [route chat].
type section struct {
	kind    string
	title   string
	source  string
	line    int
	entries []entry
}

func (s *section) name() string {
	if s.title == "" {
		return s.kind
	}
	return s.kind + " " + s.title
}

func (s *section) location() location { return location{s.source, s.name(), s.line} }

func (s *section) entryLocation(e entry) location {
	source := s.source
	if e.source != "" {
		source = e.source
	}
	return location{source, s.name(), e.line}
}

func (s *section) entry(key string) (entry, bool) {
	for _, e := range s.entries {
		if e.key == key {
			return e, true
		}
	}
	return entry{}, false
}

var iniOptions = ini.LoadOptions{
	AllowNonUniqueSections:   true,
	IgnoreContinuation:       true,
	KeyValueDelimiters:       "=",
	SkipUnrecognizableLines:  true,
	SpaceBeforeInlineComment: true,
}

// readINI parses text into sections, in the order of the text. The values come from
// the library; the line numbers, which it does not keep, come from scan.
func readINI(text []byte, source string, faults *Faults) []*section {
	if !utf8.Valid(text) || bytes.IndexByte(text, 0) >= 0 {
		faults.add(location{source: source}, "", "not valid UTF-8 text")
		return nil
	}
	filtered, sections := scan(text, source, faults)
	file, err := ini.LoadSources(iniOptions, filtered)
	if err != nil {
		faults.add(location{source: source}, "", "not valid INI: %v", err)
		return nil
	}
	parsed := file.Sections()[1:] // the first one is the unnamed section
	for i, s := range sections {
		if i < len(parsed) {
			fillValues(s, parsed[i])
		}
	}
	return sections
}

func fillValues(s *section, parsed *ini.Section) {
	for i := range s.entries {
		e := &s.entries[i]
		if parsed.HasKey(e.key) {
			e.value = parsed.Key(e.key).Value()
		}
	}
}

// scan collects sections and keys with their line numbers and reports lines that
// the library would skip silently. The returned text is the library's input: only the
// accepted settings, under unique section names.
func scan(text []byte, source string, faults *Faults) ([]byte, []*section) {
	s := &scanner{source: source, faults: faults}
	text = bytes.TrimPrefix(text, []byte("\ufeff"))
	for i, raw := range bytes.Split(text, []byte("\n")) {
		s.line = i + 1
		s.scanLine(strings.TrimSpace(string(raw)))
	}
	return s.filtered.Bytes(), s.sections
}

type scanner struct {
	source   string
	line     int
	faults   *Faults
	filtered bytes.Buffer
	sections []*section
	current  *section // nil before the first section
}

func (s *scanner) scanLine(line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		s.filtered.WriteByte('\n')
	case line[0] == '[':
		s.scanHeader(line)
	default:
		s.scanEntry(line)
	}
}

func (s *scanner) scanHeader(line string) {
	end := strings.IndexByte(line, ']')
	var words []string
	if end > 0 {
		words = strings.Fields(line[1:end])
	}
	s.current = &section{source: s.source, line: s.line}
	s.sections = append(s.sections, s.current)
	if len(words) == 0 || len(words) > 2 {
		s.current.kind = invalidKind
		s.faults.add(location{source: s.source, line: s.line}, "", "%s is not a section header: write [KIND] or [KIND NAME]", line)
	} else {
		s.current.kind = words[0]
		s.current.title = strings.Join(words[1:], "")
	}
	// The library requires a name; sections are matched by their order.
	fmt.Fprintf(&s.filtered, "[section-%d]\n", s.line)
}

// invalidKind marks a section whose header has already been reported.
const invalidKind = "?"

func (s *scanner) scanEntry(line string) {
	loc := location{source: s.source, line: s.line}
	if s.current != nil {
		loc = location{s.source, s.current.name(), s.line}
	}
	key, value, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	switch {
	case !found || key == "" || key == "-" || strings.ContainsAny(key, "\"'` "):
		s.faults.add(loc, "", "%q is not a setting: write KEY = VALUE", line)
	case s.current == nil:
		s.faults.add(loc, key, "appears before the first section")
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		s.faults.add(loc, key, "a value must be on one line")
	case s.hasKey(key):
		s.faults.add(loc, key, "is set twice in this section")
	default:
		s.current.entries = append(s.current.entries, entry{key: key, line: s.line})
		s.filtered.WriteString(line)
	}
	s.filtered.WriteByte('\n')
}

func (s *scanner) hasKey(key string) bool {
	_, found := s.current.entry(key)
	return found
}
