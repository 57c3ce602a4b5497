package deployment

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Server is a backend server as it was listed last.
type Server struct {
	ID               string // of this incarnation, mostly
	Service          string
	Address          string // host:port
	AvailabilityZone string
	Slots            int
	Draining         bool
	ColdUntil        time.Time // slow until then
	Incarnation      int64     // start of the process, Unix milliseconds; 0: unknown
	Weights          map[string]uint64
}

// SameProcess says whether both entries are of one incarnation.
func (s *Server) SameProcess(other *Server) bool {
	return s.ID == other.ID && s.Incarnation == other.Incarnation && s.Address == other.Address
}

// WeightsOf returns the version of a model's weights, or 0.
func (s *Server) WeightsOf(model string) uint64 { return s.Weights[model] }

// Gateway is another process of the role gateway.
type Gateway struct {
	Address string // of its rpc listener
	Since   uint64 // store position at which it registered
}

// Snapshot is what a gateway believes at one time. It is immutable.
type Snapshot struct {
	Position uint64 // of the platform's store
	Config   *Config
	Servers  map[string]*Server // by id
	Weights  map[string]WeightsTarget
	Gateways []Gateway
	Leader   string // value of the key of the gateway that gives orders

	byService map[string][]*Server
}

// WeightsTarget is the version of a model's weights that operators want, with
// the earlier ones that this process saw them name.
type WeightsTarget struct {
	Version uint64
	Named   []NamedWeights // in order; the last is Version
}

// NamedWeights is a version, and when this process learned of it.
type NamedWeights struct {
	Version uint64
	Since   time.Time
}

// maxNamed bounds the versions that are remembered. Older ones have no server
// left, or one that gets no requests.
const maxNamed = 16

// Name returns the target after operators named a newer version.
func (t WeightsTarget) Name(version uint64, now time.Time) WeightsTarget {
	named := append(slices.Clone(t.Named), NamedWeights{Version: version, Since: now})
	if len(named) > maxNamed {
		named = named[len(named)-maxNamed:]
	}
	return WeightsTarget{Version: version, Named: named}
}

// Heard returns the target after another gateway told when it learned of a version,
// and whether that changes anything. A process that was restarted knows only the
// newest version by itself.
func (t WeightsTarget) Heard(heard NamedWeights) (WeightsTarget, bool) {
	i, found := slices.BinarySearchFunc(t.Named, heard.Version, func(n NamedWeights, v uint64) int { return cmp.Compare(n.Version, v) })
	if heard.Version > t.Version || found && !heard.Since.Before(t.Named[i].Since) {
		return t, false
	}
	named := slices.Clone(t.Named)
	if found {
		named[i].Since = heard.Since
	} else {
		named = slices.Insert(named, i, heard)
	}
	return WeightsTarget{Version: t.Version, Named: named}, true
}

// ReplacedFor returns for how long a newer version than the given one has been
// named; 0 if none has.
func (t WeightsTarget) ReplacedFor(version uint64, now time.Time) time.Duration {
	for i := range t.Named {
		if t.Named[i].Version > version {
			return now.Sub(t.Named[i].Since)
		}
	}
	return 0
}

// Index prepares the lookups. It must be called once, before the snapshot is
// published.
func (s *Snapshot) Index() *Snapshot {
	s.byService = make(map[string][]*Server)
	for _, id := range slices.Sorted(maps.Keys(s.Servers)) {
		server := s.Servers[id]
		s.byService[server.Service] = append(s.byService[server.Service], server)
	}
	return s
}

// ServersOf returns the listed servers of a service, draining ones included.
func (s *Snapshot) ServersOf(service string) []*Server { return s.byService[service] }

// Ready says whether requests can be judged and routed.
func (s *Snapshot) Ready() bool { return s.Config != nil }
