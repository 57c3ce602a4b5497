// Package shard holds the table that says which router owns each shard of the
// workspaces' token buckets. Every workspace's bucket is split over the same
// Count shards.
package shard

// Count is the number of shards of each bucket.
const Count = 64

// Table is one epoch of the shard table. It is immutable.
type Table struct {
	Epoch  uint64
	Owners [Count]Owner
}

// Owner is the owner of a shard.
type Owner struct {
	Address    string // rpc address of the router; empty: free
	SinceEpoch uint64 // epoch in which the owner got the shard, or it became free
	// Levels are tokens by workspace that go with a free shard. An owned shard has
	// them only in the process that claimed it; they are never encoded.
	Levels map[string]int64
	// Revoked marks a free shard that was taken from an unlisted owner. It must
	// rest before it is claimed.
	Revoked bool
}

// Held returns the shards owned by address, in order.
func (t *Table) Held(address string) []int {
	var held []int
	for i := range t.Owners {
		if t.Owners[i].Address == address {
			held = append(held, i)
		}
	}
	return held
}

// Valid says whether tokens drawn by owner from a shard under epoch may be
// spent according to this table. A table older than epoch can't object.
func (t *Table) Valid(shard int, owner string, epoch uint64) bool {
	if shard < 0 || shard >= Count {
		return false
	}
	if epoch >= t.Epoch {
		return true
	}
	current := &t.Owners[shard]
	return current.Address == owner && current.SinceEpoch <= epoch
}

// Holds says whether tokens drawn by owner under epoch may be spent according
// to this table, whichever shards they came from.
func (t *Table) Holds(owner string, epoch uint64) bool {
	for i := range t.Owners {
		if t.Valid(i, owner, epoch) {
			return true
		}
	}
	return false
}
