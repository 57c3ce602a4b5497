package config

import (
	"slices"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// MaxDocumentBytes is the maximum size of a document.
const MaxDocumentBytes = platform.MaxValueSize

// titledKinds are the kinds of the document's sections that have a title.
var titledKinds = []string{KindModel, KindGroup, KindWorkspace, KindKey, KindRoute}

// Parse parses a document and checks it as a whole. An error is of type Faults and
// lists all faults.
func Parse(text []byte) (*Document, error) {
	p := &parser{document: &Document{}, readers: make(map[string]*reader)}
	if len(text) > MaxDocumentBytes {
		p.faults.add(location{}, "", "the document has %d bytes; the maximum is %d", len(text), MaxDocumentBytes)
		return nil, p.faults.err()
	}
	for _, s := range readINI(text, "", &p.faults) {
		p.parseSection(s)
	}
	if _, found := p.readers[KindEnvironment]; !found {
		p.faults.add(location{}, "", "section [%s] is missing", KindEnvironment)
	}
	p.document.BuildIndex()
	p.checkReferences()
	p.checkOverlaps()
	if err := p.faults.err(); err != nil {
		return nil, err
	}
	return p.document, nil
}

// parser collects the document, its faults and the readers of its sections.
type parser struct {
	document *Document
	faults   Faults
	readers  map[string]*reader // by kind and title
}

func (p *parser) parseSection(s *section) {
	if !p.checkHeader(s) {
		return
	}
	r := newReader(documentTable, s, &p.faults)
	p.readers[s.name()] = r
	d := p.document
	switch s.kind {
	case KindEnvironment:
		d.Environment = Environment{Name: r.text("name")}
	case KindModel:
		d.Models = append(d.Models, parseModel(r))
	case KindGroup:
		d.Groups = append(d.Groups, parseGroup(r))
	case KindWorkspace:
		d.Workspaces = append(d.Workspaces, parseWorkspace(r))
	case KindKey:
		d.Keys = append(d.Keys, parseKey(r))
	case KindRoute:
		d.Routes = append(d.Routes, parseRoute(r))
	}
}

// checkHeader reports whether the header of s is valid. It adds a fault for an
// unknown, wrongly titled or duplicate section.
func (p *parser) checkHeader(s *section) bool {
	switch {
	case s.kind == invalidKind:
		return false
	case !documentTable.hasSection(s.kind):
		p.faults.add(s.location(), "", "unknown section: the known ones are environment, model, group, workspace, key and route")
		return false
	case slices.Contains(titledKinds, s.kind) && CheckName(s.title) != nil:
		p.faults.add(s.location(), "", "%v", CheckName(s.title))
		return false
	case s.kind == KindGroup && s.title == platform.GroupRouters:
		p.faults.add(s.location(), "", "the group name %s is reserved for the entry VMs", platform.GroupRouters)
		return false
	case s.kind == KindEnvironment && s.title != "":
		p.faults.add(s.location(), "", "takes no name: write [environment]")
		return false
	}
	if first, found := p.readers[s.name()]; found {
		p.faults.add(s.location(), "", "is already defined in line %d", first.section.line)
		return false
	}
	return true
}

func parseModel(r *reader) Model {
	model := Model{
		Name:             r.section.title,
		Base:             r.text("base"),
		Adapter:          r.text("adapter"),
		Group:            r.text("group"),
		WeightsVersion:   r.text("weights_version"),
		ContextTokens:    int(r.integer("context_tokens")),
		DefaultMaxTokens: int(r.integer("default_max_tokens")),
	}
	if model.ContextTokens > 0 && model.DefaultMaxTokens >= model.ContextTokens {
		r.addFault("default_max_tokens", "%d must be less than context_tokens, %d", model.DefaultMaxTokens, model.ContextTokens)
	}
	return model
}

func parseGroup(r *reader) Group {
	return Group{
		Name:         r.section.title,
		Kind:         GroupKind(r.text("kind")),
		ChecksOrders: r.boolean("checks_orders"),
	}
}

func parseWorkspace(r *reader) Workspace {
	return Workspace{
		Name:     r.section.title,
		Rate:     r.integer("rate"),
		Burst:    r.integer("burst"),
		MaxClass: Class(r.text("max_class")),
	}
}

func parseKey(r *reader) Key {
	return Key{
		ID:        r.section.title,
		Workspace: r.text("workspace"),
		SHA256:    r.sha256("sha256"),
	}
}

func parseRoute(r *reader) Route {
	return Route{
		Name:         r.section.title,
		Method:       r.text("method"),
		Path:         r.text("path"),
		Group:        r.text("group"),
		StripPrefix:  r.text("strip_prefix"),
		Access:       Access(r.text("access")),
		Workspace:    r.text("workspace"),
		AtMostOnce:   r.boolean("once"),
		Class:        Class(r.text("class")),
		Cost:         r.integer("cost"),
		MaxQueueWait: r.duration("patience"),
		Timeout:      r.duration("timeout"),
	}
}
