// Package shard holds the table that says which router owns each shard of the
// workspaces' token buckets. A workspace's bucket is split over the shards of
// one class, so that it lies on few routers however many there are.
package shard

import "github.com/cespare/xxhash/v2"

const (
	// Count is the number of shards.
	Count = 64
	// Classes is the number of classes. Shard i is of class i modulo Classes.
	Classes = 8
	// PerClass is the number of shards that a bucket is split over.
	PerClass = Count / Classes
)

// ClassOf returns the class of a workspace's shards.
func ClassOf(workspace string) int {
	return int(xxhash.Sum64String(workspace) % Classes)
}

// Table is one epoch of the shard table. It is immutable.
type Table struct {
	Epoch   uint64
	Owners  [Count]Owner
	Waiting []string // rpc addresses of routers that own fewer shards than their part
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
