package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/shard"
)

// absenceGrace is how long a gateway that is listed no more keeps its shards. It
// may serve on while the store lists nobody; two gateways that count on the same
// share would admit it twice.
const absenceGrace = 8 * time.Second

// maxWatchers is the number of gateways that watch the store, so that its calls do
// not grow with the fleet. The others learn from them.
const maxWatchers = 5

// Watchers returns the gateways that watch the store: the first by a hash of their
// addresses, so that zones share the work.
func Watchers(listed []deployment.Gateway) []string {
	addresses := make([]string, 0, len(listed))
	for i := range listed {
		addresses = append(addresses, listed[i].Address)
	}
	sortByHash(addresses)
	return addresses[:min(len(addresses), maxWatchers)]
}

// Watches says whether the gateway at address watches the store. One that is not
// listed yet does.
func Watches(listed []deployment.Gateway, address string) bool {
	isListed := slices.ContainsFunc(listed, func(g deployment.Gateway) bool { return g.Address == address })
	return !isListed || slices.Contains(Watchers(listed), address)
}

// sortByHash orders addresses in a way that is the same everywhere and mixes zones.
func sortByHash(addresses []string) {
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
}

// Members are the gateways that own shards. One goroutine uses them.
type Members struct {
	self  string
	seen  map[string]time.Time // when each was listed last
	table *shard.Table
}

// NewMembers returns the Members of a gateway that knows of no other.
func NewMembers(self string) *Members {
	return &Members{self: self, seen: make(map[string]time.Time)}
}

// Update takes in the listed gateways and returns the table of shards, and whether
// it has changed. Its epoch grows with each change.
func (m *Members) Update(listed []deployment.Gateway, position uint64, now time.Time) (*shard.Table, bool) {
	for _, gateway := range listed {
		m.seen[gateway.Address] = now
	}
	m.seen[m.self] = now
	for address, seen := range m.seen {
		if now.Sub(seen) > absenceGrace {
			delete(m.seen, address)
		}
	}
	owners := assign(m.seen)
	if m.table != nil && sameOwners(m.table, &owners) {
		return m.table, false
	}
	epoch := position
	if m.table != nil {
		epoch = max(epoch, m.table.Epoch+1)
	}
	m.table = &shard.Table{Epoch: epoch, Owners: owners}
	return m.table, true
}

func sameOwners(t *shard.Table, owners *[shard.Count]shard.Owner) bool {
	for i := range owners {
		if t.Owners[i].Address != owners[i].Address {
			return false
		}
	}
	return true
}

// assign deals the shards of each class to the members in turn.
func assign(members map[string]time.Time) [shard.Count]shard.Owner {
	addresses := slices.Collect(maps.Keys(members))
	sortByHash(addresses)
	var owners [shard.Count]shard.Owner
	for i := range owners {
		turn := i/shard.Classes + i%shard.Classes
		owners[i].Address = addresses[turn%len(addresses)]
	}
	return owners
}
