package config

import "slices"

// checkReferences reports references to undefined names, and settings that
// contradict each other.
func (p *parser) checkReferences() {
	for i := range p.document.Models {
		p.checkModel(&p.document.Models[i])
	}
	for i := range p.document.Routes {
		p.checkRoute(&p.document.Routes[i])
	}
	p.checkKeys()
}

func (p *parser) readerFor(kind, title string) *reader { return p.readers[kind+" "+title] }

// checkGroup reports an unknown group or one of another kind. An empty name has
// already been reported.
func (p *parser) checkGroup(r *reader, name string, want GroupKind) {
	if name == "" {
		return
	}
	group := p.document.Group(name)
	switch {
	case group == nil:
		r.addFault("group", "there is no section [group %s]", name)
	case group.Kind != "" && group.Kind != want:
		r.addFault("group", "%s is a group of kind %s, not %s", name, group.Kind, want)
	}
}

func (p *parser) checkWorkspace(r *reader, name string) {
	if name != "" && p.document.Workspace(name) == nil {
		r.addFault("workspace", "there is no section [workspace %s]", name)
	}
}

func (p *parser) checkModel(model *Model) {
	p.checkGroup(p.readerFor(KindModel, model.Name), model.Group, GroupEngines)
}

func (p *parser) checkKeys() {
	seen := make(map[[32]byte]string)
	for i := range p.document.Keys {
		key := &p.document.Keys[i]
		r := p.readerFor(KindKey, key.ID)
		p.checkWorkspace(r, key.Workspace)
		if key.SHA256 == ([32]byte{}) {
			continue
		}
		if first, found := seen[key.SHA256]; found {
			r.addFault("sha256", "is the same as in [key %s]", first)
			continue
		}
		seen[key.SHA256] = key.ID
	}
}

func (p *parser) checkRoute(route *Route) {
	r := p.readerFor(KindRoute, route.Name)
	p.checkAccess(r, route)
	if route.Path == "" {
		return
	}
	if IsGenerationPath(route.Path) {
		checkGenerationRoute(r, route)
		return
	}
	p.checkServiceRoute(r, route)
}

func (p *parser) checkAccess(r *reader, route *Route) {
	_, hasWorkspace := r.section.entry("workspace")
	switch {
	case route.Access == AccessOpen && !hasWorkspace:
		r.addFault("workspace", "is missing: an open route must name the workspace whose rate and burst limit it")
	case route.Access == AccessKey && hasWorkspace:
		r.addFault("workspace", "applies to open routes only: the key determines the workspace")
	default:
		p.checkWorkspace(r, route.Workspace)
	}
	workspace := p.document.Workspace(route.Workspace)
	if workspace != nil && workspace.Burst > 0 && route.Cost > workspace.Burst {
		r.addFault("cost", "%d is above the burst of workspace %s, %d", route.Cost, workspace.Name, workspace.Burst)
	}
}

// generationMethod is the only method that the generation paths accept.
const generationMethod = "POST"

func checkGenerationRoute(r *reader, route *Route) {
	if route.Method != "" && route.Method != generationMethod {
		r.addFault("method", "a generation path accepts only %s", generationMethod)
	}
	if route.Access == AccessOpen {
		r.addFault("access", "a generation path requires a key")
	}
	if route.AtMostOnce {
		r.addFault("once", "applies to plain services only: a generation may be retried")
	}
	for _, key := range []string{"group", "strip_prefix", "cost"} {
		if _, found := r.section.entry(key); found {
			r.addFault(key, "applies to plain services only: the model determines the group and the cost")
		}
	}
}

// unsafeMethods are the HTTP methods whose calls can have side effects.
var unsafeMethods = []string{"POST", "PUT", "PATCH", "DELETE"}

func (p *parser) checkServiceRoute(r *reader, route *Route) {
	if route.Group == "" {
		r.addFault("group", "is missing: only /v1/chat/completions and /v1/completions are routed to models")
	}
	p.checkGroup(r, route.Group, GroupService)
	if isReserved(route.Path) {
		r.addFault("path", "%s is reserved for the router", route.Path)
	}
	if route.AtMostOnce && !slices.Contains(unsafeMethods, route.Method) {
		r.addFault("method", "a route with once = yes must use POST, PUT, PATCH or DELETE")
	}
	if !isPathPrefix(route.Path, route.StripPrefix) {
		r.addFault("strip_prefix", "%s is not a prefix of the path %s", route.StripPrefix, route.Path)
	}
}

// checkOverlaps reports pairs of routes that can both match a request.
func (p *parser) checkOverlaps() {
	routes := p.document.Routes
	for i := range routes {
		for j := range routes[:i] {
			if routes[i].overlaps(&routes[j]) {
				p.readerFor(KindRoute, routes[i].Name).addFault("path", "%s overlaps with %s of [route %s]",
					routes[i].Path, routes[j].Path, routes[j].Name)
			}
		}
	}
}
