package check

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/wasabigate/wasabigate/internal/config"
)

// Operation is the kind of a change.
type Operation string

// The operations.
const (
	Added   Operation = "added"
	Removed Operation = "removed"
	Changed Operation = "changed"
)

// Change is a difference between two documents: a section, or a field if Key is set.
type Change struct {
	Operation Operation `json:"operation"`
	Section   string    `json:"section"`
	Key       string    `json:"key,omitempty"`
	From      string    `json:"from,omitempty"`
	To        string    `json:"to,omitempty"`
	Line      int       `json:"line,omitempty"` // in the new document; 0 if removed
}

// String returns the change as one line.
func (c Change) String() string {
	sign := map[Operation]string{Added: "+", Removed: "-", Changed: "~"}[c.Operation]
	switch {
	case c.Key == "":
		return fmt.Sprintf("%s [%s]", sign, c.Section)
	case c.Operation == Changed:
		return fmt.Sprintf("%s [%s] %s: %s -> %s", sign, c.Section, c.Key, c.From, c.To)
	}
	return fmt.Sprintf("%s [%s] %s = %s", sign, c.Section, c.Key, c.From+c.To)
}

// Compare returns the changes from one document to another, ordered by section and field
// name. The order of sections and fields in the texts and comments make no difference.
func Compare(from, to []config.Section) []Change {
	names := make(map[string][2]*config.Section)
	for side, sections := range [][]config.Section{from, to} {
		for i := range sections {
			pair := names[sections[i].Name]
			pair[side] = &sections[i]
			names[sections[i].Name] = pair
		}
	}
	var changes []Change
	for name, pair := range names {
		changes = append(changes, compareSections(name, pair[0], pair[1])...)
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key))
	})
	return changes
}

// compareSections compares two sections of the same name, one of which may be nil.
func compareSections(name string, from, to *config.Section) []Change {
	var changes []Change
	switch {
	case from == nil:
		changes = append(changes, Change{Operation: Added, Section: name, Line: to.Line})
		from = &config.Section{}
	case to == nil:
		changes = append(changes, Change{Operation: Removed, Section: name})
		to = &config.Section{}
	}
	old := make(map[string]string, len(from.Fields))
	for _, field := range from.Fields {
		old[field.Key] = field.Value
	}
	for _, field := range to.Fields {
		value, found := old[field.Key]
		delete(old, field.Key)
		change := Change{Operation: Changed, Section: name, Key: field.Key, From: shorten(field.Key, value), To: shorten(field.Key, field.Value), Line: field.Line}
		if !found {
			change.Operation, change.From = Added, ""
		}
		if !found || value != field.Value {
			changes = append(changes, change)
		}
	}
	for key, value := range old {
		changes = append(changes, Change{Operation: Removed, Section: name, Key: key, From: shorten(key, value)})
	}
	return changes
}

// shownDigits is the number of a digest's digits that are shown: enough to tell two apart,
// too few to search for the key.
const shownDigits = 8

// shorten cuts the digest of a key.
func shorten(key, value string) string {
	if key != "sha256" || len(value) <= shownDigits {
		return value
	}
	return value[:shownDigits] + "..."
}
