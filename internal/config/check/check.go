// Package check finds what is allowed in a configuration but probably not meant: entries
// that can never match and limits that contradict each other. It also compares two
// documents. It is pure: it does no input or output.
package check

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/wasabigate/wasabigate/internal/config"
)

// Kind is the kind of a warning.
type Kind string

// The kinds of warnings.
const (
	Unused        Kind = "unused"        // the entry can never match a request
	Undefined     Kind = "undefined"     // the entry names something that is not defined
	Contradictory Kind = "contradictory" // limits contradict each other
	Opened        Kind = "opened"        // what the configuration in force closes
)

// Warning is a finding that does not make a configuration invalid.
type Warning struct {
	Kind Kind `json:"kind"`
	config.Fault
}

// rateToBurst is the largest ratio of rate to burst without a warning. Above it, the bucket
// is full again within 100 ms, so that requests at the full rate must be spread evenly over
// the second, which clients do not do.
const rateToBurst = 10

const rateFarAboveBurst = "%v is more than %d times the burst, %d: only requests that are spread evenly reach the rate"

// minGenerationCost is the cost of the smallest generation: a prompt of one token and one
// token of completion.
const minGenerationCost = 2

// position is the position of a section and of its fields.
type position struct {
	line   int
	fields map[string]int
}

// findings collects warnings with their lines.
type findings struct {
	positions map[string]position
	warnings  []Warning
}

func newFindings(sections []config.Section) *findings {
	f := &findings{positions: make(map[string]position, len(sections))}
	for _, s := range sections {
		p := position{line: s.Line, fields: make(map[string]int, len(s.Fields))}
		for _, field := range s.Fields {
			p.fields[field.Key] = field.Line
		}
		f.positions[s.Name] = p
	}
	return f
}

// add adds a warning at the field's line, or at the section's if the field is not set.
func (f *findings) add(kind Kind, section, key, format string, args ...any) {
	p := f.positions[section]
	line, found := p.fields[key]
	if !found {
		line = p.line
	}
	f.warnings = append(f.warnings, Warning{kind, config.Fault{Section: section, Key: key, Line: line, Message: fmt.Sprintf(format, args...)}})
}

// sorted returns the warnings ordered by line, then in the order in which they were found.
func (f *findings) sorted() []Warning {
	slices.SortStableFunc(f.warnings, func(a, b Warning) int { return cmp.Compare(a.Line, b.Line) })
	return f.warnings
}

// Document returns the warnings about a valid document, ordered by line. Sections are those
// of the document's text. Withdrawn reports whether a key is withdrawn; nil: none is.
func Document(d *config.Document, sections []config.Section, withdrawn func(id string) bool) []Warning {
	c := &documentCheck{findings: newFindings(sections), document: d, keyed: make(map[string]bool), open: make(map[string]bool)}
	for _, key := range d.Keys {
		if withdrawn != nil && withdrawn(key.ID) {
			c.add(Unused, config.KindKey+" "+key.ID, "", "the key is withdrawn and stays so")
			continue
		}
		c.keyed[key.Workspace] = true
	}
	for i := range d.Routes {
		c.generates = c.generates || d.Routes[i].IsGeneration()
		if d.Routes[i].Access == config.AccessOpen {
			c.open[d.Routes[i].Workspace] = true
		}
	}
	c.checkModels()
	c.checkGroups()
	for i := range d.Workspaces {
		c.checkWorkspace(&d.Workspaces[i])
	}
	for i := range d.Routes {
		c.checkRoute(&d.Routes[i])
	}
	return c.sorted()
}

// documentCheck is the state of Document.
type documentCheck struct {
	*findings
	document  *config.Document
	keyed     map[string]bool // workspaces with a key that is not withdrawn
	open      map[string]bool // workspaces that limit an open route
	generates bool            // there is a route to the models
}

func (c *documentCheck) checkModels() {
	for i := range c.document.Models {
		model := &c.document.Models[i]
		section := config.KindModel + " " + model.Name
		if !c.generates {
			c.add(Unused, section, "", "no route has a generation path")
		}
		if c.document.Model(model.Base) == nil {
			c.add(Undefined, section, "base", "there is no section [model %s]", model.Base)
		}
	}
}

func (c *documentCheck) checkGroups() {
	used := make(map[string]bool)
	for i := range c.document.Models {
		used[c.document.Models[i].Group] = true
	}
	for i := range c.document.Routes {
		used[c.document.Routes[i].Group] = true
	}
	for i := range c.document.Groups {
		if name := c.document.Groups[i].Name; !used[name] {
			c.add(Unused, config.KindGroup+" "+name, "", "no model and no route names the group")
		}
	}
}

func (c *documentCheck) checkWorkspace(w *config.Workspace) {
	section := config.KindWorkspace + " " + w.Name
	// w.Burst is at most 10^10, so that the product does not overflow.
	if w.Rate > rateToBurst*w.Burst {
		c.add(Contradictory, section, "rate", rateFarAboveBurst, w.Rate, rateToBurst, w.Burst)
	}
	if !c.keyed[w.Name] && !c.open[w.Name] {
		c.add(Unused, section, "", "no valid key and no open route belongs to the workspace")
		return
	}
	if least, found := c.leastCost(w.Name); found && w.Burst < least {
		c.add(Contradictory, section, "burst", "%d is below the cost of the smallest request that the workspace may send, %d", w.Burst, least)
		return
	}
	if !c.keyed[w.Name] || !c.generates {
		return
	}
	for i := range c.document.Models {
		// A prompt has at least one token, in addition to the completion.
		if m := &c.document.Models[i]; w.Burst <= int64(m.DefaultMaxTokens) {
			c.add(Contradictory, section, "burst", "%d is too small for requests to model %s without max_tokens, which take default_max_tokens, %d, and the prompt",
				w.Burst, m.Name, m.DefaultMaxTokens)
		}
	}
}

// leastCost returns the cost of the smallest request that the workspace may send. The bool
// reports whether it may use any route.
func (c *documentCheck) leastCost(workspace string) (int64, bool) {
	least, found := int64(0), false
	for i := range c.document.Routes {
		route := &c.document.Routes[i]
		if !c.mayUse(workspace, route) {
			continue
		}
		if cost := routeCost(route); !found || cost < least {
			least, found = cost, true
		}
	}
	return least, found
}

func (c *documentCheck) mayUse(workspace string, route *config.Route) bool {
	if route.Access == config.AccessOpen {
		return route.Workspace == workspace
	}
	return c.keyed[workspace]
}

// routeCost returns the cost of the route's smallest request.
func routeCost(route *config.Route) int64 {
	if route.IsGeneration() {
		return minGenerationCost
	}
	return route.Cost
}

func (c *documentCheck) checkRoute(route *config.Route) {
	section := config.KindRoute + " " + route.Name
	if route.IsGeneration() && len(c.document.Models) == 0 {
		c.add(Unused, section, "path", "there is no model")
	}
	var users, affording, urgent int
	for i := range c.document.Workspaces {
		w := &c.document.Workspaces[i]
		if !c.mayUse(w.Name, route) {
			continue
		}
		users++
		if w.Burst >= routeCost(route) {
			affording++
		}
		if w.MaxClass == config.ClassUrgent {
			urgent++
		}
	}
	switch {
	case users == 0:
		c.add(Unused, section, "access", "no valid key may use the route")
		return
	case affording == 0:
		c.add(Unused, section, "cost", "%d is above the burst of every workspace that may use the route", routeCost(route))
	}
	if route.Class == config.ClassUrgent && urgent == 0 {
		c.add(Contradictory, section, "class", "urgent is above max_class of every workspace that may use the route")
	}
}
