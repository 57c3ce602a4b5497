package config

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// entry is a setting as written.
type entry struct {
	key    string
	value  string
	source string // overrides the section's source if set
	line   int
}

// section is a section as written. Its name is a kind and, for some kinds, a
// title: [route chat].
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

func (s *section) place() place { return place{s.source, s.name(), s.line} }

func (s *section) at(e entry) place {
	source := s.source
	if e.source != "" {
		source = e.source
	}
	return place{source, s.name(), e.line}
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

// readINI reads text into sections in the order of the text. The library gives
// the values; scan gives the lines, which the library does not keep.
func readINI(text []byte, source string, faults *Faults) []*section {
	if !utf8.Valid(text) || bytes.IndexByte(text, 0) >= 0 {
		faults.add(place{source: source}, "", "not a text in UTF-8")
		return nil
	}
	clean, sections := scan(text, source, faults)
	file, err := ini.LoadSources(iniOptions, clean)
	if err != nil {
		faults.add(place{source: source}, "", "not an INI text: %v", err)
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

// scan lists sections and keys with their lines, reports what the library would
// pass over, and returns the text without the lines that it reported.
func scan(text []byte, source string, faults *Faults) ([]byte, []*section) {
	s := &scanner{source: source, faults: faults}
	text = bytes.TrimPrefix(text, []byte("\ufeff"))
	for i, raw := range bytes.Split(text, []byte("\n")) {
		s.line = i + 1
		s.scanLine(strings.TrimSpace(string(raw)))
	}
	return s.clean.Bytes(), s.sections
}

type scanner struct {
	source   string
	line     int
	faults   *Faults
	clean    bytes.Buffer
	sections []*section
	current  *section // nil before the first section
}

func (s *scanner) scanLine(line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		s.clean.WriteByte('\n')
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
		s.faults.add(place{source: s.source, line: s.line}, "", "%s is not a section header: write [KIND] or [KIND NAME]", line)
	} else {
		s.current.kind = words[0]
		s.current.title = strings.Join(words[1:], "")
	}
	// The library needs a name; the scanner's order identifies the section.
	fmt.Fprintf(&s.clean, "[section-%d]\n", s.line)
}

// invalidKind marks a section whose header was reported already.
const invalidKind = "?"

func (s *scanner) scanEntry(line string) {
	at := place{source: s.source, line: s.line}
	if s.current != nil {
		at = place{s.source, s.current.name(), s.line}
	}
	key, value, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	switch {
	case !found || key == "" || key == "-" || strings.ContainsAny(key, "\"'` "):
		s.faults.add(at, "", "%q is not a setting: write KEY = VALUE", line)
	case s.current == nil:
		s.faults.add(at, key, "stands before the first section")
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		s.faults.add(at, key, "a value is one line")
	case s.doubled(key):
		s.faults.add(at, key, "is set twice in this section")
	default:
		s.current.entries = append(s.current.entries, entry{key: key, line: s.line})
		s.clean.WriteString(line)
	}
	s.clean.WriteByte('\n')
}

func (s *scanner) doubled(key string) bool {
	_, found := s.current.entry(key)
	return found
}
