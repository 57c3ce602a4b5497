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

// absenceGrace is how long a gateway that is no longer listed keeps its shards. It may
// still be serving, e.g. while the store lists no gateway, and if two gateways used the
// same shard, its tokens would be spent twice.
const absenceGrace = 8 * time.Second

// maxWatchers bounds the gateways that watch the store, so that its load does not grow
// with their number. The others get its changes from them.
const maxWatchers = 5

// Watchers returns the addresses of the gateways that watch the store: the first in the
// order of their hashes, so that they are spread over availability zones, and those with narrow
// links only if there are not enough others. The store sends each watcher whole entries.
func Watchers(listed []deployment.Gateway) []string {
	var wide, narrow []string
	for i := range listed {
		if listed[i].Narrow {
			narrow = append(narrow, listed[i].Address)
		} else {
			wide = append(wide, listed[i].Address)
		}
	}
	sortByHash(wide)
	sortByHash(narrow)
	addresses := slices.Concat(wide, narrow)
	return addresses[:min(len(addresses), maxWatchers)]
}

// Watches reports whether the gateway at address watches the store. One that is not
// listed yet does.
func Watches(listed []deployment.Gateway, address string) bool {
	isListed := slices.ContainsFunc(listed, func(g deployment.Gateway) bool { return g.Address == address })
	return !isListed || slices.Contains(Watchers(listed), address)
}

// sortByHash sorts addresses in an order that is the same on all gateways and mixes
// availability zones.
func sortByHash(addresses []string) {
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
}

// Members tracks the gateways that own shards. It is not safe for concurrent use.
type Members struct {
	self  string
	seen  map[string]time.Time // when each was listed last
	table *shard.Table
}

// NewMembers returns the Members of the gateway self, without any other gateway.
func NewMembers(self string) *Members {
	return &Members{self: self, seen: make(map[string]time.Time)}
}

// Update records the listed gateways and returns the shard table, and whether it has
// changed. The table's epoch grows with each change.
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
	owners := assignShards(m.seen)
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

// assignShards assigns the shards of each class to the members round-robin.
func assignShards(members map[string]time.Time) [shard.Count]shard.Owner {
	addresses := slices.Collect(maps.Keys(members))
	sortByHash(addresses)
	var owners [shard.Count]shard.Owner
	for i := range owners {
		index := i/shard.Classes + i%shard.Classes
		owners[i].Address = addresses[index%len(addresses)]
	}
	return owners
}
