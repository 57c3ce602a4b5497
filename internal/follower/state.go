package follower

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wasabigate/wasabigate/internal/canary"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/streamversion"
)

// state is the cached state of the deployment, built from the store's entries. It is
// owned by one goroutine.
type state struct {
	position platform.Version            // the state includes all changes up to it
	reached  platform.Version            // the state includes all changes up to it but operators', at least position
	since    platform.Version            // latest has all removals after it
	restored bool                        // the batch that is applied is the first of a new era
	applied  map[string]platform.Version // by key, the version applied last
	latest   map[string]platform.Event   // by key, including deletions
	config   *deployment.Config
	// configKey is the key of the entry that holds config.
	configKey string
	servers   map[string]*deployment.Server
	removeAt  map[string]time.Time // when to remove servers that are not listed again
	departed  map[string]departure // servers that were removed
	held      map[string]heldServer
	// overtaken is when the first of the entries of a server came that it had written before
	// the known one.
	overtaken map[string]time.Time
	// startedOver is when the count of a server's entries started over; its former one is not
	// believed any more.
	startedOver map[string]time.Time
	leaving     *leavingServers
	retired     map[string]Retired // by server ID, what other gateways are told
	// graceUntil is until when servers that disappeared in an outage may be kept.
	graceUntil  time.Time
	weights     map[string]deployment.WeightsTarget
	weightsAges map[string]struct{}           // keys that tell the age of target versions
	gateways    map[string]deployment.Gateway // by key
	leader      string
	crashes     platform.Entry
	sharing     sharing
	streams     map[string]*streamversion.Assignment // by service
	rollouts    map[string]*deployment.Rollout       // by service
	former      map[string][]canary.Order            // orders that were replaced, by service
	owner       string                               // of the rollouts
}

func newState() state {
	return state{
		applied:     make(map[string]platform.Version),
		latest:      make(map[string]platform.Event),
		servers:     make(map[string]*deployment.Server),
		removeAt:    make(map[string]time.Time),
		departed:    make(map[string]departure),
		held:        make(map[string]heldServer),
		overtaken:   make(map[string]time.Time),
		startedOver: make(map[string]time.Time),
		leaving:     newLeavingServers(),
		retired:     make(map[string]Retired),
		weights:     make(map[string]deployment.WeightsTarget),
		weightsAges: make(map[string]struct{}),
		gateways:    make(map[string]deployment.Gateway),
		streams:     make(map[string]*streamversion.Assignment),
		rollouts:    make(map[string]*deployment.Rollout),
		former:      make(map[string][]canary.Order),
	}
}

// removeMissing removes the entries that are missing in a full read of the store, and after
// grace the servers. keys and servers are the keys and server IDs that it returned.
// Operators' entries are never removed.
func (st *state) removeMissing(keys, servers map[string]struct{}, fromOperator func(key string) bool, grace time.Duration, now time.Time) {
	maps.DeleteFunc(st.applied, func(key string, _ platform.Version) bool { return !contains(keys, key) })
	maps.DeleteFunc(st.latest, func(key string, event platform.Event) bool {
		return !event.Deleted && !contains(keys, key) && !fromOperator(key)
	})
	maps.DeleteFunc(st.weightsAges, func(key string, _ struct{}) bool { return !contains(keys, key) })
	maps.DeleteFunc(st.gateways, func(key string, _ deployment.Gateway) bool { return !contains(keys, key) })
	for id := range st.servers {
		if !contains(servers, id) {
			st.removeServer(id, grace, now)
		}
	}
	maps.DeleteFunc(st.held, func(id string, _ heldServer) bool { return !contains(servers, id) })
	maps.DeleteFunc(st.streams, func(service string, _ *streamversion.Assignment) bool { return !contains(keys, StreamsPrefix+service) })
	st.loseRollouts(keys)
	if !contains(keys, LeaderKey) {
		st.leader = ""
	}
	if !contains(keys, CrashesKey) {
		st.crashes = platform.Entry{}
	}
	if !contains(keys, SharingKey) {
		st.sharing.apply(platform.Entry{})
	}
}

func contains(set map[string]struct{}, key string) bool {
	_, ok := set[key]
	return ok
}

// isNewer reports whether the event is newer than the version applied last for its
// key, and if so records its version.
func (st *state) isNewer(event *platform.Event) bool {
	if known, ok := st.applied[event.Key]; ok && event.Version <= known {
		return false
	}
	st.applied[event.Key] = event.Version
	return true
}

// record stores an entry or its deletion for other gateways.
func (st *state) record(event *platform.Event) {
	st.latest[event.Key] = *event
	if event.Deleted {
		st.pruneDeleted()
	}
}

// maxDeleted is the largest number of deletions kept for other gateways. Old ones are
// not needed, since gateways exchange their state several times a second.
const maxDeleted = 1000

// pruneDeleted removes the older half of the deletions if there are more than
// maxDeleted.
func (st *state) pruneDeleted() {
	var deleted []platform.Version
	for _, event := range st.latest {
		if event.Deleted {
			deleted = append(deleted, event.Version)
		}
	}
	if len(deleted) <= maxDeleted {
		return
	}
	slices.Sort(deleted)
	oldest := deleted[len(deleted)/2]
	st.since = max(st.since, oldest)
	maps.DeleteFunc(st.latest, func(_ string, event platform.Event) bool { return event.Deleted && event.Version < oldest })
}

// applyItem applies an entry that the operators or a backend server wrote. It reports
// whether the state changed.
func (st *state) applyItem(item *Item, now time.Time) bool {
	switch {
	case item.Config != nil:
		return st.applyConfig(item.Config)
	case item.Server != nil:
		return !st.isOvertaken(item.Server, now) && st.applyServer(item.Server, now)
	case item.Weights.Model != "":
		return st.applyWeights(item.Weights, now)
	}
	return false
}

// applyConfig applies a configuration if its version is above the current one.
func (st *state) applyConfig(config *deployment.Config) bool {
	if st.config != nil && config.Version <= st.config.Version {
		return false
	}
	st.config = config
	return true
}

func (st *state) applyServer(server *deployment.Server, now time.Time) bool {
	previous := st.servers[server.ID]
	if server.Draining {
		st.retire(retiredOf(server, false, now))
	} else {
		delete(st.retired, server.ID)
	}
	delete(st.removeAt, server.ID)
	delete(st.held, server.ID)
	server = st.leaving.mark(server)
	st.servers[server.ID] = server
	if previous == nil || previous.Draining != server.Draining || !previous.SameProcess(server) {
		logger.Info(fields{"server": server.ID, "address": server.Address, "incarnation": server.Incarnation, "draining": server.Draining}, "backend server listed")
	}
	return true
}

// removeServer removes a server after grace, unless it is listed again until then. It
// reports whether the server was removed at once.
func (st *state) removeServer(id string, grace time.Duration, now time.Time) bool {
	delete(st.held, id)
	if st.servers[id] == nil {
		return false
	}
	if grace > 0 {
		if _, ok := st.removeAt[id]; !ok {
			st.removeAt[id] = now.Add(grace)
			logger.Info(fields{"server": id, "grace_ms": grace.Milliseconds()}, "backend server disappeared in an outage of the store")
		}
		return false
	}
	st.retire(retiredOf(st.servers[id], true, now))
	st.departed[id] = departure{server: st.servers[id], at: now}
	delete(st.servers, id)
	delete(st.removeAt, id)
	logger.Info(fields{"server": id}, "backend server gone")
	return true
}

// removeExpired removes the servers that were not listed again within their grace, and
// lists those that were held long enough. It reports whether the state changed.
func (st *state) removeExpired(now time.Time) bool {
	changed := st.listHeld(now)
	st.forgetOvertaken(now)
	st.forgetRetired(now)
	st.leaving.prune(st.servers, now)
	for id, deadline := range st.removeAt {
		if !now.Before(deadline) {
			changed = st.removeServer(id, 0, now) || changed
			delete(st.removeAt, id)
		}
	}
	return changed
}

func (st *state) applyWeights(target Weights, now time.Time) bool {
	if target.Version <= st.weights[target.Model].Version {
		return false
	}
	st.weights[target.Model] = st.weights[target.Model].Advance(target.Version, now)
	logger.Info(fields{"model": target.Model, "version": target.Version}, "target version of weights set")
	return true
}

// applyReport applies a report of when another gateway learned of a target version.
func (st *state) applyReport(report *TargetReport) bool {
	target, changed := st.weights[report.Model].MergeVersion(report.WeightsVersion)
	if changed {
		st.weights[report.Model] = target
	}
	return changed
}

// applyGatewayEntry applies an entry that a gateway wrote.
func (st *state) applyGatewayEntry(event *platform.Event) bool {
	switch {
	case event.Key == LeaderKey && event.Deleted:
		st.leader = ""
	case event.Key == LeaderKey:
		st.leader = string(event.Value)
	case event.Key == CrashesKey && event.Deleted:
		st.crashes = platform.Entry{}
	case event.Key == CrashesKey:
		st.crashes = event.Entry
	case event.Key == SharingKey && event.Deleted:
		st.sharing.apply(platform.Entry{})
	case event.Key == SharingKey:
		st.sharing.apply(event.Entry)
	case strings.HasPrefix(event.Key, GatewayPrefix) && event.Deleted:
		delete(st.gateways, event.Key)
	case strings.HasPrefix(event.Key, GatewayPrefix):
		address, _, _ := strings.Cut(strings.TrimPrefix(event.Key, GatewayPrefix), "/")
		st.gateways[event.Key] = deployment.Gateway{Address: address, Since: event.Version, Narrow: deployment.IsNarrow(event.Value)}
	case event.Key == CanaryOwnerKey && event.Deleted:
		st.owner = ""
	case event.Key == CanaryOwnerKey:
		st.owner = string(event.Value)
	case strings.HasPrefix(event.Key, CanaryOwnerPrefix):
		// The era of the lease's key, which only its candidates read.
	case strings.HasPrefix(event.Key, CanaryPrefix):
		st.applyRolloutState(event)
	case strings.HasPrefix(event.Key, WeightsAgePrefix) && event.Deleted:
		delete(st.weightsAges, event.Key)
	case strings.HasPrefix(event.Key, WeightsAgePrefix):
		st.weightsAges[event.Key] = struct{}{}
	case strings.HasPrefix(event.Key, StreamsPrefix):
		st.applyStreams(event)
	}
	return true
}

// applyStreams applies the assignment of a service's streams.
func (st *state) applyStreams(event *platform.Event) {
	service := strings.TrimPrefix(event.Key, StreamsPrefix)
	delete(st.streams, service)
	if event.Deleted {
		return
	}
	assignment, err := streamversion.Decode(event.Value)
	if err != nil {
		logger.Warn(fields{"key": event.Key, "revision": event.Version.Revision(), "error": err.Error()}, "entry not decoded")
		assignment = streamversion.Unreadable()
	}
	assignment.Revision = event.Version
	st.streams[service] = assignment
}

// snapshot returns an immutable copy of the state.
func (st *state) snapshot() *deployment.Snapshot {
	if st.config != nil {
		st.config = st.sharing.update(st.config, st.position)
	}
	s := &deployment.Snapshot{
		Position: st.position,
		Config:   st.config,
		Servers:  maps.Clone(st.servers),
		Weights:  maps.Clone(st.weights),
		Gateways: st.listGateways(),
		Leader:   st.leader,
		Crashes:  st.crashes,
		Sharing:  st.sharing.entry,
		Streams:  maps.Clone(st.streams),
		Rollouts: maps.Clone(st.rollouts),

		WeightsAges: st.listWeightsAges(),

		RolloutOwner: st.owner,
	}
	if wanted, differs := st.sharing.toStore(); differs {
		s.SharingToStore = &wanted
	}
	return s.Index()
}

// listWeightsAges returns, by WeightsAgeKey, the shortest time ago at which a target version was
// named at most.
func (st *state) listWeightsAges() map[string]time.Duration {
	ages := make(map[string]time.Duration)
	for key := range st.weightsAges {
		at := strings.LastIndexByte(key, '/')
		ms, err := strconv.ParseInt(key[at+1:], 10, 64)
		if err != nil || ms <= 0 {
			continue
		}
		name, age := strings.TrimPrefix(key[:at], WeightsAgePrefix), time.Duration(ms)*time.Millisecond
		if known, ok := ages[name]; !ok || age < known {
			ages[name] = age
		}
	}
	return ages
}

// listGateways returns one gateway for each address. A restarted process has two
// entries until the lease of the previous process ends.
func (st *state) listGateways() []deployment.Gateway {
	latest := make(map[string]deployment.Gateway)
	for _, gateway := range st.gateways {
		if gateway.Since >= latest[gateway.Address].Since {
			latest[gateway.Address] = gateway
		}
	}
	return slices.SortedFunc(maps.Values(latest), func(a, b deployment.Gateway) int { return strings.Compare(a.Address, b.Address) })
}
