package follower

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// belief is what the store said, entry by entry. One goroutine owns it.
type belief struct {
	position  uint64
	revisions map[string]platform.Version // by key, of what was applied
	latest    map[string]platform.Event   // by key, deletions included
	config    *deployment.Config
	servers   map[string]*deployment.Server
	vanished  map[string]time.Time // servers to drop, unless listed again until then
	weights   map[string]deployment.WeightsTarget
	gateways  map[string]uint64 // by key, with the position of the registration
	leader    string
}

func newBelief() belief {
	return belief{
		revisions: make(map[string]platform.Version),
		latest:    make(map[string]platform.Event),
		servers:   make(map[string]*deployment.Server),
		vanished:  make(map[string]time.Time),
		weights:   make(map[string]deployment.WeightsTarget),
		gateways:  make(map[string]uint64),
	}
}

// begin prepares for the whole state: what it does not hold is gone. The
// operators' configuration is never forgotten.
func (b *belief) begin(keys, servers map[string]struct{}, silence time.Duration, now time.Time) {
	maps.DeleteFunc(b.revisions, func(key string, _ platform.Version) bool { return !has(keys, key) })
	maps.DeleteFunc(b.latest, func(key string, event platform.Event) bool { return !event.Deleted && !has(keys, key) })
	maps.DeleteFunc(b.gateways, func(key string, _ uint64) bool { return !has(keys, key) })
	for id := range b.servers {
		if !has(servers, id) {
			b.removeServer(id, silence >= contactLostAfter, now)
		}
	}
	if !has(keys, LeaderKey) {
		b.leader = ""
	}
}

func has(set map[string]struct{}, key string) bool {
	_, ok := set[key]
	return ok
}

// isNews says whether the event is newer than what was applied of its key.
func (b *belief) isNews(event *platform.Event) bool {
	if known, ok := b.revisions[event.Key]; ok && event.Version <= known {
		return false
	}
	b.revisions[event.Key] = event.Version
	return true
}

// keep remembers an entry, or that it was deleted, for other gateways.
func (b *belief) keep(event *platform.Event) {
	b.latest[event.Key] = *event
	if event.Deleted {
		b.prune()
	}
}

// maxDeleted bounds the deletions that are remembered: gateways ask several times a
// second.
const maxDeleted = 1000

// prune forgets the older half of the deletions when there are too many.
func (b *belief) prune() {
	var deleted []platform.Version
	for _, event := range b.latest {
		if event.Deleted {
			deleted = append(deleted, event.Version)
		}
	}
	if len(deleted) <= maxDeleted {
		return
	}
	slices.Sort(deleted)
	oldest := deleted[len(deleted)/2]
	maps.DeleteFunc(b.latest, func(_ string, event platform.Event) bool { return event.Deleted && event.Version < oldest })
}

// known returns what is remembered.
func (b *belief) known() []platform.Event {
	return slices.Collect(maps.Values(b.latest))
}

// applyItem takes in an entry of the operators or of a backend server.
func (b *belief) applyItem(item *Item, now time.Time) bool {
	switch {
	case item.Config != nil:
		return b.applyConfig(item.Config)
	case item.Server != nil:
		return b.applyServer(item.Server)
	case item.Weights.Model != "":
		return b.applyWeights(item.Weights, now)
	}
	return false
}

// applyConfig takes in a configuration, which never gives way to an older one.
func (b *belief) applyConfig(config *deployment.Config) bool {
	if b.config != nil && config.Version <= b.config.Version {
		return false
	}
	b.config = config
	logger.Info(fields{"version": config.Version, "routes": len(config.Routes), "workspaces": len(config.Workspaces)}, "configuration in force")
	return true
}

func (b *belief) applyServer(server *deployment.Server) bool {
	known := b.servers[server.ID]
	delete(b.vanished, server.ID)
	b.servers[server.ID] = server
	if known == nil || known.Draining != server.Draining || !known.SameProcess(server) {
		logger.Info(fields{"server": server.ID, "address": server.Address, "incarnation": server.Incarnation, "draining": server.Draining}, "backend server listed")
	}
	return true
}

// removeServer drops a server: at once, or after a grace if it vanished while the
// store was lost.
func (b *belief) removeServer(id string, lost bool, now time.Time) bool {
	if b.servers[id] == nil {
		return false
	}
	if lost {
		if _, ok := b.vanished[id]; !ok {
			b.vanished[id] = now.Add(returnGrace)
		}
		return false
	}
	delete(b.servers, id)
	delete(b.vanished, id)
	logger.Info(fields{"server": id}, "backend server gone")
	return true
}

// expire drops the servers that were not listed again. It reports a change.
func (b *belief) expire(now time.Time) bool {
	changed := false
	for id, until := range b.vanished {
		if !now.Before(until) {
			changed = b.removeServer(id, false, now) || changed
			delete(b.vanished, id)
		}
	}
	return changed
}

func (b *belief) applyWeights(wanted Weights, now time.Time) bool {
	if wanted.Version <= b.weights[wanted.Model].Version {
		return false
	}
	b.weights[wanted.Model] = b.weights[wanted.Model].Name(wanted.Version, now)
	logger.Info(fields{"model": wanted.Model, "version": wanted.Version}, "weights named")
	return true
}

// applyNamed takes in when another gateway learned of a version.
func (b *belief) applyNamed(named *Named) bool {
	target, changed := b.weights[named.Model].Heard(named.NamedWeights)
	if changed {
		b.weights[named.Model] = target
	}
	return changed
}

// applyOwn takes in an entry that a gateway wrote.
func (b *belief) applyOwn(event *platform.Event) bool {
	switch {
	case event.Key == LeaderKey && event.Deleted:
		b.leader = ""
	case event.Key == LeaderKey:
		b.leader = string(event.Value)
	case strings.HasPrefix(event.Key, GatewayPrefix) && event.Deleted:
		delete(b.gateways, event.Key)
	case strings.HasPrefix(event.Key, GatewayPrefix):
		b.gateways[event.Key] = uint64(event.Version)
	}
	return true
}

// snapshot returns an immutable copy.
func (b *belief) snapshot() *deployment.Snapshot {
	s := &deployment.Snapshot{
		Position: b.position,
		Config:   b.config,
		Servers:  maps.Clone(b.servers),
		Weights:  maps.Clone(b.weights),
		Gateways: b.listGateways(),
		Leader:   b.leader,
	}
	return s.Index()
}

// listGateways returns one entry an address: a process that was restarted has
// two until the lease of the former one ends.
func (b *belief) listGateways() []deployment.Gateway {
	since := make(map[string]uint64)
	for key, position := range b.gateways {
		address, _, _ := strings.Cut(strings.TrimPrefix(key, GatewayPrefix), "/")
		since[address] = max(since[address], position)
	}
	gateways := make([]deployment.Gateway, 0, len(since))
	for _, address := range slices.Sorted(maps.Keys(since)) {
		gateways = append(gateways, deployment.Gateway{Address: address, Since: since[address]})
	}
	return gateways
}
