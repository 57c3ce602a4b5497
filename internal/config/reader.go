package config

import (
	"encoding/hex"
	"net/netip"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

const maxNameLength = 63

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)
	sizePattern = regexp.MustCompile(`^([0-9]+)(B|KiB|MiB|GiB)$`)
	validate    = validator.New()
)

var sizeUnits = map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

// reader returns the typed values of one section and reports invalid ones.
type reader struct {
	table   table
	section *section
	faults  *Faults
}

// newReader returns a reader of s. It adds a fault for each setting that t does not
// have.
func newReader(t table, s *section, faults *Faults) *reader {
	for _, e := range s.entries {
		if t.find(s.kind, e.key) == nil {
			faults.add(s.entryLocation(e), e.key, "unknown setting%s", t.suggest(s.kind, e.key))
		}
	}
	return &reader{table: t, section: s, faults: faults}
}

// lookup returns the text of a setting, or its default, and the setting's description.
// The bool reports whether there is a text or a default. A required setting without a
// text is a fault.
func (r *reader) lookup(key string) (string, *Setting, bool) {
	setting := r.table.find(r.section.kind, key)
	if setting == nil {
		panic("no setting " + r.section.kind + "." + key)
	}
	e, found := r.section.entry(key)
	if found && e.value != "" {
		return e.value, setting, true
	}
	if found && setting.Required {
		r.faults.add(r.section.entryLocation(e), key, "is empty")
		return "", setting, false
	}
	if !found && setting.Required {
		r.faults.add(r.section.location(), key, "is missing")
		return "", setting, false
	}
	return setting.Default, setting, setting.Default != ""
}

func (r *reader) location(key string) location {
	if e, found := r.section.entry(key); found {
		return r.section.entryLocation(e)
	}
	return r.section.location()
}

func (r *reader) addFault(key, format string, args ...any) {
	r.faults.add(r.location(key), key, format, args...)
}

// text returns a value that needs no conversion, checked against its type.
func (r *reader) text(key string) string {
	value, setting, found := r.lookup(key)
	if !found {
		return ""
	}
	if err := checkText(setting, value); err != nil {
		r.addFault(key, "%v", err)
		return ""
	}
	return value
}

func checkText(setting *Setting, value string) error {
	switch setting.Type {
	case TypeName:
		return CheckName(value)
	case TypeChoice:
		return checkChoice(setting.Choices, value)
	case TypeAddress:
		return checkFormat(value, "hostname_port", "host:port")
	case TypeIPPort:
		return checkIPPort(value)
	case TypeURL:
		return checkFormat(value, "http_url", "http:// or https:// URL")
	case TypePath:
		return checkPath(value)
	}
	return nil
}

// CheckName returns an error if value is not a valid name, such as a section's title
// or a daemon's name.
func CheckName(value string) error {
	if len(value) > maxNameLength || !namePattern.MatchString(value) {
		return errors.Errorf("%q is not a name: up to %d of a-z, 0-9, \".\", \"_\" and \"-\"", value, maxNameLength)
	}
	return nil
}

func checkChoice(choices []string, value string) error {
	if !slices.Contains(choices, value) {
		return errors.Errorf("%q is not one of %s", value, strings.Join(choices, ", "))
	}
	return nil
}

func checkFormat(value, tag, want string) error {
	if validate.Var(value, tag) != nil {
		return errors.Errorf("%q is not a %s", value, want)
	}
	return nil
}

func checkIPPort(value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		return errors.Errorf("%q is not an IP address with a port, such as 10.0.0.7:7400", value)
	}
	return nil
}

func checkPath(value string) error {
	base := strings.TrimSuffix(value, "/*")
	if strings.ContainsAny(base, "*?# \\%") || !strings.HasPrefix(value, "/") || (base != "" && path.Clean(base) != base) {
		return errors.Errorf("%q is not a path: write /a/b or /a/b/*", value)
	}
	return nil
}

func (r *reader) integer(key string) int64 {
	return parseInRange(r, key, parseInteger)
}

func (r *reader) size(key string) int64 {
	return parseInRange(r, key, parseSize)
}

func (r *reader) duration(key string) time.Duration {
	return parseInRange(r, key, parseDuration)
}

func (r *reader) number(key string) float64 {
	return parseInRange(r, key, parseNumber)
}

// parseInRange parses a value and checks it against the range of its setting.
func parseInRange[T int64 | time.Duration | float64](r *reader, key string, parse func(string) (T, error)) T {
	value, setting, found := r.lookup(key)
	if !found {
		return 0
	}
	parsed, err := parse(value)
	if err != nil {
		r.addFault(key, "%v", err)
		return 0
	}
	lower, _ := parse(setting.Min)
	upper, _ := parse(setting.Max)
	if parsed < lower || parsed > upper {
		r.addFault(key, "%s is out of range: %s to %s", value, setting.Min, setting.Max)
		return 0
	}
	return parsed
}

func parseInteger(value string) (int64, error) {
	parsed, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, errors.Errorf("%q is not an integer without a unit", value)
	}
	return parsed, nil
}

func parseNumber(value string) (float64, error) {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, errors.Errorf("%q is not a number", value)
	}
	return parsed, nil
}

func parseSize(value string) (int64, error) {
	match := sizePattern.FindStringSubmatch(value)
	if match == nil {
		return 0, errors.Errorf("%q is not a size: an integer with B, KiB, MiB or GiB", value)
	}
	count, err := strconv.ParseInt(match[1], 10, 32)
	if err != nil {
		return 0, errors.Errorf("%q is too large", value)
	}
	return count * sizeUnits[match[2]], nil
}

func parseDuration(value string) (time.Duration, error) {
	parsed, err := time.ParseDuration(value)
	if err != nil {
		return 0, errors.Errorf("%q is not a duration: a number with ms, s, m or h", value)
	}
	return parsed, nil
}

func (r *reader) boolean(key string) bool {
	value, _, _ := r.lookup(key)
	switch value {
	case "yes", "true":
		return true
	case "no", "false":
		return false
	}
	r.addFault(key, "%q is not yes or no", value)
	return false
}

func (r *reader) ipPorts(key string) []string {
	value, _, found := r.lookup(key)
	if !found {
		return nil
	}
	var addresses []string
	for _, part := range strings.Split(value, ",") {
		address := strings.TrimSpace(part)
		if err := checkIPPort(address); err != nil {
			r.addFault(key, "%v", err)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

func (r *reader) sha256(key string) [32]byte {
	var sum [32]byte
	value, _, found := r.lookup(key)
	if !found {
		return sum
	}
	decoded, err := hex.DecodeString(value)
	if err != nil || len(decoded) != len(sum) {
		r.addFault(key, "is not a SHA-256: 64 hexadecimal digits")
		return sum
	}
	copy(sum[:], decoded)
	return sum
}

// suggest returns the end of a message about an unknown setting: the likely
// spelling, or the settings of the section.
func (t table) suggest(kind, key string) string {
	var known []string
	for i := range t {
		if t[i].Section == kind {
			known = append(known, t[i].Key)
		}
	}
	if slices.Contains(known, strings.ReplaceAll(strings.ToLower(key), "-", "_")) {
		return ": did you mean " + strings.ReplaceAll(strings.ToLower(key), "-", "_") + "?"
	}
	return ": the known ones are " + strings.Join(known, ", ")
}
