package roster

import (
	"cmp"
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
	addresses := make([]string, 0, len(members))
	for address := range members {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	var owners [shard.Count]shard.Owner
	for i := range owners {
		turn := i/shard.Classes + i%shard.Classes
		owners[i].Address = addresses[turn%len(addresses)]
	}
	return owners
}
