package check

import (
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/deployment"
)

// Field is a field of a gateways' configuration that warnings name.
type Field string

// The fields. Their names in the text of a configuration depend on its format.
const (
	FieldPrefix         Field = "prefix"
	FieldTargets        Field = "targets"
	FieldAccess         Field = "access"
	FieldTargetLatency  Field = "target latency"
	FieldTargetGap      Field = "target gap"
	FieldResumable      Field = "resumable"
	FieldKeys           Field = "keys"
	FieldIsolated       Field = "isolated"
	FieldWorkspaces     Field = "workspaces"
	FieldRate           Field = "rate"
	FieldUncachedTokens Field = "uncached tokens"
)

// The kinds of sections of a gateways' configuration.
const (
	KindRoute     = "route"
	KindService   = "service"
	KindWorkspace = "workspace"
	// General is the section of the fields outside of the others.
	General = "configuration"
)

// Gateway is a configuration of gateways with its text divided into sections. There is one
// section for each route, service and workspace, named by SectionNames.
type Gateway struct {
	Config   *deployment.Config
	Sections []config.Section
	// Keys are the keys of the fields in Sections. A field that can be written under several
	// keys is reported under the first one that its section has.
	Keys map[Field][]string
}

// SectionNames gives out section names; the second section of a name gets a number.
type SectionNames map[string]int

// Next returns the name of the next section of that kind and name.
func (n SectionNames) Next(kind, name string) string {
	section := kind + " " + name
	n[section]++
	if count := n[section]; count > 1 {
		return fmt.Sprintf("%s (%d)", section, count)
	}
	return section
}

// ShortDigest returns the digits of a key's digest that are shown.
func ShortDigest(digest deployment.KeyDigest) string {
	return shorten("sha256", hex.EncodeToString(digest[:]))
}

// Warnings returns the warnings about the configuration, ordered by line.
func (g *Gateway) Warnings() []Warning {
	c := &gatewayCheck{findings: newFindings(g.Sections), config: g.Config, keys: g.Keys, names: make(SectionNames), targeted: make(map[string]bool)}
	c.checkRoutes()
	c.checkServices()
	c.checkWorkspaces()
	return c.sorted()
}

// AccessWarnings returns the warnings about what the configuration opens that the one in force
// closes, and about the last key that it takes away, ordered by line.
func (g *Gateway) AccessWarnings(inForce *deployment.Config) []Warning {
	c := &gatewayCheck{findings: newFindings(g.Sections), config: g.Config, keys: g.Keys, names: make(SectionNames)}
	switch {
	case inForce.NeedsKeys() && !g.Config.NeedsKeys():
		c.addField(Opened, General, FieldWorkspaces, "there is none: each route takes requests without a key, while the version in force asks for keys")
	case hasKeys(inForce) && !hasKeys(g.Config):
		c.addField(Unused, General, FieldWorkspaces, "no key is left: only public routes take requests")
	}
	for i := range g.Config.Routes {
		route := &g.Config.Routes[i]
		section := c.names.Next(KindRoute, route.Name)
		before := inForce.Route(route.Host, route.Prefix)
		if route.Public && g.Config.NeedsKeys() && inForce.NeedsKeys() && before != nil && !before.Public {
			c.addField(Opened, section, FieldAccess, "the version in force asks for a key")
		}
	}
	isolated := make(map[string]bool)
	for i := range inForce.Workspaces {
		isolated[inForce.Workspaces[i].Name] = inForce.Workspaces[i].Isolated
	}
	for i := range g.Config.Workspaces {
		w := &g.Config.Workspaces[i]
		section := c.names.Next(KindWorkspace, w.Name)
		if isolated[w.Name] && !w.Isolated {
			c.addField(Opened, section, FieldIsolated, "the version in force isolates the workspace")
		}
	}
	return c.sorted()
}

// hasKeys reports whether any workspace has a key.
func hasKeys(c *deployment.Config) bool {
	return slices.ContainsFunc(c.Workspaces, func(w deployment.Workspace) bool { return len(w.Keys) > 0 })
}

// gatewayCheck is the state of Gateway.Warnings.
type gatewayCheck struct {
	*findings
	config   *deployment.Config
	keys     map[Field][]string
	names    SectionNames
	targeted map[string]bool // services that get requests of a route
}

func (c *gatewayCheck) addField(kind Kind, section string, field Field, format string, args ...any) {
	key := string(field)
	if keys := c.keys[field]; len(keys) > 0 {
		key = keys[0]
		for _, other := range keys {
			if _, found := c.positions[section].fields[other]; found {
				key = other
				break
			}
		}
	}
	c.add(kind, section, key, format, args...)
}

func (c *gatewayCheck) checkRoutes() {
	type match struct{ host, prefix string }
	first := make(map[match]string)
	for i := range c.config.Routes {
		route := &c.config.Routes[i]
		section := c.names.Next(KindRoute, route.Name)
		if route.Prefix != "" && route.Prefix[0] != '/' {
			c.addField(Unused, section, FieldPrefix, "%q matches no path: it does not begin with a slash", route.Prefix)
		}
		key := match{route.Host, route.Prefix}
		if other, found := first[key]; found {
			c.addField(Unused, section, FieldPrefix, "[%s] has the same host and prefix and comes first", other)
		} else {
			first[key] = section
		}
		if !route.Public && c.config.NeedsKeys() && !hasKeys(c.config) {
			c.addField(Unused, section, FieldAccess, "no key may use the route")
		}
		c.checkTargets(section, route)
		c.checkTimes(section, route)
	}
}

func (c *gatewayCheck) checkTargets(section string, route *deployment.Route) {
	weighted := false
	for _, target := range route.Targets {
		if target.Weight > 0 {
			weighted = true
			c.targeted[target.Service] = true
		}
		switch service := c.config.Service(target.Service); {
		case service == nil:
			c.addField(Undefined, section, FieldTargets, "there is no service %s", target.Service)
		case service.KVStore != nil:
			c.addField(Undefined, section, FieldTargets, "%s is a store of KV cache, not a service", target.Service)
		}
	}
	if !weighted {
		c.addField(Unused, section, FieldTargets, "no target has a weight above 0")
	}
}

func (c *gatewayCheck) checkTimes(section string, route *deployment.Route) {
	if route.Timeout > 0 && route.TargetLatency > route.Timeout {
		c.addField(Contradictory, section, FieldTargetLatency, "%v is above the time-out, %v", route.TargetLatency, route.Timeout)
	}
	if route.Timeout > 0 && route.TargetGap > route.Timeout {
		c.addField(Contradictory, section, FieldTargetGap, "%v is above the time-out, %v", route.TargetGap, route.Timeout)
	}
	if route.Resumable && route.Kind != deployment.Stream {
		c.addField(Contradictory, section, FieldResumable, "the route's responses are not streams")
	}
}

func (c *gatewayCheck) checkServices() {
	for i := range c.config.Services {
		service := &c.config.Services[i]
		section := c.names.Next(KindService, service.Name)
		switch {
		case c.config.Service(service.Name) != service:
			c.add(Unused, section, "", "a later service has the same name")
		case service.KVStore == nil && !c.targeted[service.Name]:
			c.add(Unused, section, "", "no route sends requests to the service")
		}
	}
}

func (c *gatewayCheck) checkWorkspaces() {
	last := make(map[string]int)
	for i := range c.config.Workspaces {
		last[c.config.Workspaces[i].Name] = i
	}
	for i := range c.config.Workspaces {
		w := &c.config.Workspaces[i]
		section := c.names.Next(KindWorkspace, w.Name)
		if last[w.Name] != i {
			c.add(Contradictory, section, "", "a later workspace has the same name, and its limits apply")
		}
		if len(w.Keys) == 0 {
			c.addField(Unused, section, FieldKeys, "the workspace has no key")
		}
		for _, key := range w.Keys {
			if holder := c.config.Workspace(key); holder != w {
				c.addField(Contradictory, section, FieldKeys, "the key with the digest %s counts for workspace %s, which has it too", ShortDigest(key), holder.Name)
			}
		}
		c.checkLimits(section, w)
	}
}

func (c *gatewayCheck) checkLimits(section string, w *deployment.Workspace) {
	if !w.Limited() {
		return
	}
	burst := w.Capacity()
	switch {
	case w.Rate <= 0:
		c.addField(Contradictory, section, FieldRate, "is 0 or absent: the burst is used up once and for all")
	case w.Rate > rateToBurst*float64(burst):
		c.addField(Contradictory, section, FieldRate, rateFarAboveBurst, w.Rate, rateToBurst, burst)
	}
	if w.CountsTokens && w.UncachedTokens > burst {
		c.addField(Contradictory, section, FieldUncachedTokens, "%d is above the burst, or the rate if there is none, %d: requests of unknown size are refused", w.UncachedTokens, burst)
	}
}
