package config

import "time"

// Document is the operators' configuration of one environment: what all
// daemons must agree on. It is immutable after Parse.
type Document struct {
	Environment Environment
	Models      []Model
	Groups      []Group
	Workspaces  []Workspace
	Keys        []Key
	Routes      []Route
	index       index
}

// Environment is the section [environment].
type Environment struct {
	Name string // display name only: trial and production use the same document, byte for byte
}

// Class is the urgency of a request.
type Class string

// The classes of requests.
const (
	ClassUrgent     Class = "urgent"     // a person is waiting for the response
	ClassDeferrable Class = "deferrable" // may wait overnight
)

// Model is a section [model NAME].
type Model struct {
	Name             string
	Base             string // model whose weights the engines load; the name itself unless there is an adapter
	Adapter          string // empty for the base model
	Group            string // group of the engines that serve the model
	WeightsVersion   string // version that new requests use
	ContextTokens    int    // longest prompt plus completion, in tokens
	DefaultMaxTokens int    // completion tokens reserved when the caller gives no max_tokens
}

// GroupKind is the kind of backend server in a group.
type GroupKind string

// The kinds of groups.
const (
	GroupEngines GroupKind = "engines"
	GroupService GroupKind = "service"
)

// Group is a section [group NAME]: the backend servers whose VMs the VM list
// shows under that group.
type Group struct {
	Name         string
	Kind         GroupKind
	ChecksOrders bool // the backend servers reject orders with an old fencing token themselves
}

// MicrosPerToken is the number of units of Workspace.RateMicros in a token per second.
const MicrosPerToken = 1_000_000

// Workspace is a section [workspace NAME].
type Workspace struct {
	Name  string
	Rate  int64 // whole tokens per second
	Burst int64 // tokens
	// RateMicros are the millionths of a token per second that the rate is above Rate. Only
	// configurations of gateways have rates with a fraction.
	RateMicros int64
	// MaxClass is the highest class that the workspace's requests may have.
	MaxClass Class
}

// Key is a section [key ID].
type Key struct {
	ID        string
	Workspace string
	SHA256    [32]byte // of the whole key text
}

// Access defines who may use a route.
type Access string

// The kinds of access.
const (
	AccessKey  Access = "key"  // requires a workspace's key
	AccessOpen Access = "open" // open to all, rate limited by the workspace that the route names
)

// Route is a section [route NAME]: the path of a plain service, or one of the two
// generation paths.
type Route struct {
	Name   string
	Method string // empty for any
	Path   string // exact, or a prefix that ends in "/*"
	Group  string // group of the service; empty for generation
	// StripPrefix is removed from the path before the service gets the request.
	StripPrefix  string
	Access       Access
	Workspace    string        // for open routes: the workspace whose token bucket they use
	AtMostOnce   bool          // calls are executed at most once and need an idempotency key
	Class        Class         // of requests that do not name one
	Cost         int64         // tokens taken from the bucket per call of a plain service
	MaxQueueWait time.Duration // longest wait in the queue before a request is rejected
	Timeout      time.Duration // of the execution of a call
}

// IsGeneration reports whether the route leads to model engines.
func (r *Route) IsGeneration() bool { return r.Group == "" }

type index struct {
	models     map[string]*Model
	groups     map[string]*Group
	workspaces map[string]*Workspace
	keys       map[string]*Key
}

// Model returns the model with the given name, or nil.
func (d *Document) Model(name string) *Model { return d.index.models[name] }

// Group returns the group with the given name, or nil.
func (d *Document) Group(name string) *Group { return d.index.groups[name] }

// Workspace returns the workspace with the given name, or nil.
func (d *Document) Workspace(name string) *Workspace { return d.index.workspaces[name] }

// Key returns the key with the given id, or nil.
func (d *Document) Key(id string) *Key { return d.index.keys[id] }

// BuildIndex builds the maps for lookups by name and sets each model's default base.
// Parse calls it; code that fills a Document itself calls it once, before sharing it.
func (d *Document) BuildIndex() {
	d.index = index{
		models:     make(map[string]*Model, len(d.Models)),
		groups:     make(map[string]*Group, len(d.Groups)),
		workspaces: make(map[string]*Workspace, len(d.Workspaces)),
		keys:       make(map[string]*Key, len(d.Keys)),
	}
	for i := range d.Models {
		if d.Models[i].Base == "" {
			d.Models[i].Base = d.Models[i].Name
		}
		d.index.models[d.Models[i].Name] = &d.Models[i]
	}
	for i := range d.Groups {
		d.index.groups[d.Groups[i].Name] = &d.Groups[i]
	}
	for i := range d.Workspaces {
		d.index.workspaces[d.Workspaces[i].Name] = &d.Workspaces[i]
	}
	for i := range d.Keys {
		d.index.keys[d.Keys[i].ID] = &d.Keys[i]
	}
}
