package deployment

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/wasabigate/wasabigate/internal/canary"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/streamversion"
)

// Server is a backend server as last listed.
type Server struct {
	ID               string // usually differs between incarnations
	Service          string
	Address          string // host:port
	AvailabilityZone string
	Software         string // version of its software; empty: not given
	Slots            int
	Draining         bool              // gets no new requests
	LeavingSince     time.Time         // when it became known that the server itself says that it leaves; zero: it does not
	ColdUntil        time.Time         // slow after its start until then
	Incarnation      int64             // start of the process, Unix milliseconds; 0: unknown
	Sequence         int64             // grows with the entries of an incarnation
	Weights          map[string]uint64 // version by model
}

// SameProcess reports whether both entries are of the same incarnation.
func (s *Server) SameProcess(other *Server) bool {
	return s.ID == other.ID && s.Incarnation == other.Incarnation && s.Address == other.Address && s.Software == other.Software
}

// WeightsOf returns the version of a model's weights, or 0.
func (s *Server) WeightsOf(model string) uint64 { return s.Weights[model] }

// Gateway is another process with the role gateway.
type Gateway struct {
	Address string           // of its RPC listener
	Since   platform.Version // at which it registered in the store
	Narrow  bool             // its link takes long for large entries of the store
}

// Snapshot is a gateway's cached state of the deployment at one time. It is immutable.
type Snapshot struct {
	// Starting is whether the process has not heard yet what other gateways know that the store
	// does not tell.
	Starting bool
	Position platform.Version // of the platform's key-value store
	Config   *Config
	Servers  map[string]*Server       // by id
	Weights  map[string]WeightsTarget // by model
	// WeightsAges is how long ago target versions were named at most, by WeightsAgeKey, for those
	// that were named lately while a gateway ran.
	WeightsAges map[string]time.Duration
	Gateways    []Gateway
	Leader      string         // value of the lease key of the gateway that runs the rollout; empty: none
	Crashes     platform.Entry // what gateways know of requests that crash servers; Version 0: nothing
	Sharing     platform.Entry // what gateways keep of the isolation of workspaces; Version 0: nothing
	// SharingToStore is what Sharing is to hold, or nil if it does.
	SharingToStore *Sharing
	// Streams assigns the streams of services to software versions, by service.
	Streams map[string]*streamversion.Assignment
	// Rollouts are the rollouts of software versions, by service.
	Rollouts map[string]*Rollout
	// RolloutOwner is the value of the lease key of the gateway that advances them; empty: none.
	RolloutOwner string

	byService map[string][]*Server
	software  map[string]map[string]int // numbers of servers, by service and software version
}

// Rollout is the latest rollout order of a service and how far it is. It is immutable.
type Rollout struct {
	Order        *canary.Order // nil: none is known
	OrderVersion platform.Version
	State        *canary.State    // nil: none is known
	Revision     platform.Version // of the entry of the State in the store; 0: it has none
	Lost         bool             // the store has an older State, or none
}

// WeightsTarget is the target version of a model's weights, with the earlier targets
// that this process knows.
type WeightsTarget struct {
	Version  uint64
	Versions []WeightsVersion // ascending; the last is Version
}

// WeightsVersion is a target version and the time at which it became known.
type WeightsVersion struct {
	Version uint64
	Since   time.Time
}

// WeightsAgeKey returns the key of a target version in Snapshot.WeightsAges.
func WeightsAgeKey(model string, version uint64) string {
	return model + "/" + strconv.FormatUint(version, 10)
}

// maxVersions bounds the versions that are kept. Servers with older ones are gone or get
// no requests.
const maxVersions = 16

// Advance returns the target after operators set a newer version.
func (t WeightsTarget) Advance(version uint64, now time.Time) WeightsTarget {
	versions := append(slices.Clone(t.Versions), WeightsVersion{Version: version, Since: now})
	if len(versions) > maxVersions {
		versions = versions[len(versions)-maxVersions:]
	}
	return WeightsTarget{Version: version, Versions: versions}
}

// MergeVersion returns the target merged with a version reported by another gateway, and
// whether it changed. The earlier time of a version counts. Without reports, a restarted
// process knows only the newest version.
func (t WeightsTarget) MergeVersion(reported WeightsVersion) (WeightsTarget, bool) {
	i, found := slices.BinarySearchFunc(t.Versions, reported.Version, func(n WeightsVersion, v uint64) int { return cmp.Compare(n.Version, v) })
	if reported.Version > t.Version || found && !reported.Since.Before(t.Versions[i].Since) {
		return t, false
	}
	versions := slices.Clone(t.Versions)
	if found {
		versions[i].Since = reported.Since
	} else {
		versions = slices.Insert(versions, i, reported)
	}
	return WeightsTarget{Version: t.Version, Versions: versions}, true
}

// ReplacedFor returns the time since a newer version than the given one became known; 0
// if there is none.
func (t WeightsTarget) ReplacedFor(version uint64, now time.Time) time.Duration {
	for i := range t.Versions {
		if t.Versions[i].Version > version {
			return now.Sub(t.Versions[i].Since)
		}
	}
	return 0
}

// Index builds the lookup tables and returns s. It must be called once, before the
// snapshot is published.
func (s *Snapshot) Index() *Snapshot {
	s.byService = make(map[string][]*Server)
	s.software = make(map[string]map[string]int)
	for _, id := range slices.Sorted(maps.Keys(s.Servers)) {
		server := s.Servers[id]
		s.byService[server.Service] = append(s.byService[server.Service], server)
		if s.software[server.Service] == nil {
			s.software[server.Service] = make(map[string]int)
		}
		if !server.Draining {
			s.software[server.Service][server.Software]++
		}
	}
	return s
}

// SoftwareOf returns the numbers of a service's servers that are not draining, by the version
// of their software. The caller must not change the map.
func (s *Snapshot) SoftwareOf(service string) map[string]int { return s.software[service] }

// ServersOf returns the listed servers of a service, draining ones included.
func (s *Snapshot) ServersOf(service string) []*Server { return s.byService[service] }

// Incarnation returns the incarnation of a listed server.
func (s *Snapshot) Incarnation(id string) (incarnation int64, ok bool) {
	server := s.Servers[id]
	if server == nil {
		return 0, false
	}
	return server.Incarnation, true
}

// Ready reports whether requests can be checked and routed.
func (s *Snapshot) Ready() bool { return s.Config != nil && !s.Starting }
