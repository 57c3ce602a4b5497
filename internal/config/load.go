package config

import (
	"os"
	"strings"

	"github.com/pkg/errors"
)

// Override replaces a setting of the file. Later overrides take precedence.
type Override struct {
	Section string
	Key     string
	Value   string
	Source  string // named in faults, such as "flag --set router.policy"
}

// environmentPrefix is the prefix of environment variables that are overrides, such
// as WASABIGATE_ROUTER_POLICY.
const environmentPrefix = "WASABIGATE_"

// SettingsVariable is the environment variable with the path of the settings file.
// It is not an override.
const SettingsVariable = environmentPrefix + "SETTINGS"

// EnvironmentOverrides returns the overrides among environ, which have the form
// WASABIGATE_SECTION_KEY=VALUE.
func EnvironmentOverrides(environ []string) []Override {
	var overrides []Override
	for _, variable := range environ {
		name, value, _ := strings.Cut(variable, "=")
		rest, found := strings.CutPrefix(name, environmentPrefix)
		if !found || name == SettingsVariable {
			continue
		}
		sectionName, key, _ := strings.Cut(strings.ToLower(rest), "_")
		overrides = append(overrides, Override{sectionName, key, value, "environment variable " + name})
	}
	return overrides
}

// ParseOverride parses an override of the form SECTION.KEY=VALUE, as given to a
// flag.
func ParseOverride(text string) (Override, error) {
	name, value, hasValue := strings.Cut(text, "=")
	sectionName, key, hasKey := strings.Cut(name, ".")
	if !hasValue || !hasKey {
		return Override{}, errors.Errorf("%q is not an override: write SECTION.KEY=VALUE", text)
	}
	return Override{sectionName, key, value, "flag --set " + name}, nil
}

// LoadSettings reads a daemon's settings from the file at path, applies overrides,
// and checks the result. An error is of type Faults and lists all faults. An empty
// path means that there is no file.
func LoadSettings(path string, overrides []Override) (*Settings, error) {
	var text []byte
	if path != "" {
		var err error
		text, err = os.ReadFile(path)
		if err != nil {
			return nil, Faults{{Source: path, Message: err.Error()}}
		}
	}
	return parseSettings(text, path, overrides)
}

func parseSettings(text []byte, source string, overrides []Override) (*Settings, error) {
	l := &loader{source: source, sections: make(map[string]*section)}
	for _, s := range readINI(text, source, &l.faults) {
		l.addSection(s)
	}
	for _, o := range overrides {
		l.applyOverride(o)
	}
	settings := l.build()
	if err := l.faults.err(); err != nil {
		return nil, err
	}
	return settings, nil
}

type loader struct {
	source   string
	sections map[string]*section
	faults   Faults
}

const knownSections = "daemon, platform, tls, log, router, sidecar and gateway"

func (l *loader) addSection(s *section) {
	first := l.sections[s.name()]
	switch {
	case s.kind == invalidKind:
	case !daemonTable.hasSection(s.name()):
		l.faults.add(s.location(), "", "unknown section: the known ones are %s", knownSections)
	case first != nil:
		l.faults.add(s.location(), "", "is already defined in line %d", first.line)
	default:
		l.sections[s.kind] = s
	}
}

func (l *loader) applyOverride(o Override) {
	loc := location{source: o.Source, section: o.Section}
	if !daemonTable.hasSection(o.Section) {
		l.faults.add(loc, "", "unknown section: the known ones are %s", knownSections)
		return
	}
	if daemonTable.find(o.Section, o.Key) == nil {
		l.faults.add(loc, o.Key, "unknown setting%s", daemonTable.suggest(o.Section, o.Key))
		return
	}
	l.section(o.Section).set(entry{key: o.Key, value: o.Value, source: o.Source})
}

func (l *loader) section(name string) *section {
	if l.sections[name] == nil {
		l.sections[name] = &section{kind: name, source: l.source}
	}
	return l.sections[name]
}

// set replaces or adds an entry.
func (s *section) set(e entry) {
	for i := range s.entries {
		if s.entries[i].key == e.key {
			s.entries[i] = e
			return
		}
	}
	s.entries = append(s.entries, e)
}

func (l *loader) reader(name string) *reader {
	return newReader(daemonTable, l.section(name), &l.faults)
}
