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
	Address    string           // rpc address of the router; empty: free
	SinceEpoch uint64           // epoch in which the owner got the shard
	Levels     map[string]int64 // tokens by workspace, handed over with the shard
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
