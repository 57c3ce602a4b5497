package config

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// pageRow returns the row of a setting in docs/CONFIGURATION.md.
func pageRow(s Setting) string {
	typeName := string(s.Type)
	if s.Type == TypeChoice {
		typeName = strings.Join(s.Choices, ", ")
	}
	defaultText := s.Default
	switch {
	case s.Required:
		defaultText = "required"
	case defaultText == "":
		defaultText = "none"
	}
	valueRange := ""
	if s.Max != "" {
		valueRange = s.Min + " to " + s.Max
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |", s.Key, typeName, s.Unit, defaultText, valueRange, s.Doc)
}

func TestConfigurationPage(t *testing.T) {
	text, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	settings := append(DocumentSettings(), DaemonSettingsTable()...)
	wantRows := make(map[string]int) // by section
	for _, s := range settings {
		wantRows[s.Section]++
		if body := sectionBody(string(text), s.Section); !strings.Contains(body, pageRow(s)+"\n") {
			t.Errorf("section [%s] of docs/CONFIGURATION.md lacks the row\n%s", s.Section, pageRow(s))
		}
	}
	for name, want := range wantRows {
		if got := strings.Count(sectionBody(string(text), name), "\n| `"); got != want {
			t.Errorf("section [%s] of docs/CONFIGURATION.md has %d rows for %d settings", name, got, want)
		}
	}
}

// sectionBody returns the text under the heading of a section.
func sectionBody(text, name string) string {
	_, rest, found := strings.Cut(text, "\n### ["+name)
	if !found {
		return ""
	}
	body, _, _ := strings.Cut(rest, "\n##")
	return body
}

func TestDefaultsAreInRange(t *testing.T) {
	for _, s := range append(DocumentSettings(), DaemonSettingsTable()...) {
		if s.Default == "" {
			continue
		}
		var faults Faults
		sec := &section{kind: s.Section}
		r := &reader{table: table{s}, section: sec, faults: &faults}
		switch s.Type {
		case TypeInteger:
			r.integer(s.Key)
		case TypeNumber:
			r.number(s.Key)
		case TypeSize:
			r.size(s.Key)
		case TypeDuration:
			r.duration(s.Key)
		case TypeBoolean:
			r.boolean(s.Key)
		default:
			r.text(s.Key)
		}
		if err := faults.err(); err != nil {
			t.Errorf("default of [%s] %s: %v", s.Section, s.Key, err)
		}
	}
}
