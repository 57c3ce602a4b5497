// Package deployment describes a deployment in which a gateway calls the backend
// servers directly: the operators' configuration, the listed backend servers, and the
// target versions of their weights. All values are immutable once published.
package deployment

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Kind classifies the requests of a route by how they may be retried.
type Kind uint8

// The zero Kind is AtMostOnce, the safe default.
const (
	AtMostOnce Kind = iota // not retried if it may have run
	Idempotent             // may be retried from its start
	Stream                 // the response is a stream of events
)

// String returns the name used in log lines.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "at-most-once"
	}
}

// Config is one version of the operators' configuration.
type Config struct {
	Version    uint64
	Limits     Limits
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Closed is whether requests require an API key, except on public routes, although no
	// workspace may be left that has one.
	Closed bool
	// SharingGroup names what all but isolated workspaces share KV cache under, and requests
	// without a workspace. It differs for each set of isolated workspaces. Set by Index, and by
	// SharedSince for what was isolated earlier.
	SharingGroup string

	routesByHost map[string][]*Route // longest prefix first
	services     map[string]*Service
	keys         map[KeyDigest]*Workspace
	stores       []*KVStore
	urgent       map[string]int // most urgent priority of the routes to a service
}

// Limits bounds the requests of clients.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	IdleTimeout time.Duration
}

// Route maps requests to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Resumable     bool // a stream may be resumed at another backend server
	Public        bool // requires no API key
	Sticky        bool // requests have prompts with shared parts
	Priority      int  // 0 is the most urgent
	MaxAttempts   int  // maximum number of backend servers that a request is sent to
	Timeout       time.Duration
	TargetLatency time.Duration
	TargetGap     time.Duration // longest acceptable time between two events
	Targets       []Target
}

// ResumesStreams reports whether the responses are streams that may be resumed at another
// backend server.
func (r *Route) ResumesStreams() bool { return r.Kind == Stream && r.Resumable }

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// MayRetry reports whether a request with unknown outcome may be retried from its
// start.
func (r *Route) MayRetry() bool { return r.Kind == Idempotent }

// Service is a group of backend servers, or a KV cache store.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	Engine         *Engine  // nil: not a service of engines
	KVStore        *KVStore // nil: not a store
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots            int
	KVCapacityTokens int64
	KVTokenBytes     int64
	LinkMbps         float64
	Models           []string
}

// KVStore is a store to which engines save KV cache.
type KVStore struct {
	Address          string
	AvailabilityZone string
	CapacityTokens   int64
}

// Workspace is a customer with its API keys and limits.
type Workspace struct {
	Name           string
	Keys           []KeyDigest
	HasPriority    bool
	Priority       int     // overrides that of the route
	Isolated       bool    // shares no KV cache with other workspaces
	CountsTokens   bool    // the rate limit is in tokens, else in requests
	UncachedTokens int64   // counted for a request with an unknown number of tokens
	Rate           float64 // per second; 0: no limit
	Burst          int64   // 0: see Capacity
}

// Limited reports whether the workspace has a rate limit.
func (w *Workspace) Limited() bool { return w.Rate > 0 || w.Burst > 0 }

// Capacity returns the most that the workspace may use at once: its burst, or what the rate brings
// in a second if there is none. It is at least 1, without which nothing could be served.
func (w *Workspace) Capacity() int64 {
	if w.Burst > 0 {
		return w.Burst
	}
	return max(1, int64(w.Rate))
}

// KeyDigest is the SHA-256 of an API key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key's text.
func DigestKey(text string) KeyDigest { return sha256.Sum256([]byte(text)) }

// Index builds the lookup tables and returns c. It must be called once, before the
// configuration is published.
func (c *Config) Index() *Config {
	c.routesByHost = make(map[string][]*Route)
	for i := range c.Routes {
		route := &c.Routes[i]
		c.routesByHost[route.Host] = append(c.routesByHost[route.Host], route)
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.urgent = make(map[string]int)
	for i := range c.Routes {
		for _, target := range c.Routes[i].Targets {
			if most, ok := c.urgent[target.Service]; !ok || c.Routes[i].Priority < most {
				c.urgent[target.Service] = c.Routes[i].Priority
			}
		}
	}
	c.services = make(map[string]*Service, len(c.Services))
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
		if store := c.Services[i].KVStore; store != nil {
			c.stores = append(c.stores, store)
		}
	}
	c.keys = make(map[KeyDigest]*Workspace)
	c.SharingGroup = NameOfSet(c.IsolatedWorkspaces())
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			c.keys[key] = &c.Workspaces[i]
		}
	}
	return c
}

// Route returns the host's route with the longest matching prefix of the path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, route := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// LessUrgent reports whether another route leads to the service with more urgent requests.
func (c *Config) LessUrgent(route *Route, service string) bool {
	most, ok := c.urgent[service]
	return ok && route.Priority > most
}

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Workspace returns the workspace that holds the key, or nil.
func (c *Config) Workspace(key KeyDigest) *Workspace { return c.keys[key] }

// Successor returns the workspace, of an earlier configuration, as it is in this one. If it is
// not there any more, it counts as isolated.
func (c *Config) Successor(earlier *Workspace) *Workspace {
	if earlier == nil {
		return nil
	}
	var now *Workspace
	for i := range c.Workspaces {
		if w := &c.Workspaces[i]; w == earlier {
			return w
		} else if w.Name == earlier.Name && (now == nil || !now.Isolated) {
			now = w
		}
	}
	if now == nil {
		left := *earlier
		left.Isolated = true
		now = &left
	}
	return now
}

// NeedsKeys reports whether requests require an API key, except on public routes.
func (c *Config) NeedsKeys() bool { return c.Closed || len(c.Workspaces) > 0 }

// KVStores returns the KV cache stores.
func (c *Config) KVStores() []*KVStore { return c.stores }
