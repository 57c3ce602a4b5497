// Package shard manages the table of which router owns each shard of the
// workspaces' token buckets. A workspace's bucket is split over the shards of
// one class, so that few routers share it however many routers there are.
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

// Table is the shard table of one epoch. It is immutable.
type Table struct {
	Epoch   uint64
	Owners  [Count]Owner
	Waiting []string // RPC addresses of routers that own fewer shards than their share
}

// Owner is the owner of a shard.
type Owner struct {
	Address    string // RPC address of the router; empty if the shard is free
	SinceEpoch uint64 // epoch in which the shard got this owner or became free
	// Levels are a free shard's tokens by workspace, for the router that claims it. An
	// owned shard has levels only in the process that claimed it; they are not encoded.
	Levels map[string]int64
	// Revoked marks a free shard that was taken from an unlisted owner. It must not be
	// claimed during its quarantine.
	Revoked bool
}

// OwnedBy returns the shards owned by address, in ascending order.
func (t *Table) OwnedBy(address string) []int {
	var owned []int
	for i := range t.Owners {
		if t.Owners[i].Address == address {
			owned = append(owned, i)
		}
	}
	return owned
}

// Valid reports whether tokens that owner drew from a shard in epoch may be spent
// according to this table. A table not newer than epoch allows them.
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

// ValidForAny reports whether Valid is true for owner and epoch for at least one shard.
func (t *Table) ValidForAny(owner string, epoch uint64) bool {
	for i := range t.Owners {
		if t.Valid(i, owner, epoch) {
			return true
		}
	}
	return false
}
