package limit

import (
	"math/bits"

	"github.com/wasabigate/wasabigate/internal/shard"
)

// shards is a set of shards, one bit each.
type shards uint64

// share is the part of a workspace's limits that belongs to a set of shards.
type share struct {
	burst int64 // tokens
	rate  int64 // tokens per second
}

// heldBy returns the shards that address owns.
func heldBy(table *shard.Table, address string) shards {
	var held shards
	for i := range table.Owners {
		if table.Owners[i].Address == address {
			held |= 1 << i
		}
	}
	return held
}

func setOf(list []int) shards {
	var set shards
	for _, i := range list {
		set |= 1 << i
	}
	return set
}

func (s shards) count() int64 { return int64(bits.OnesCount64(uint64(s))) }

// lowest returns the first shard of a set that is not empty.
func (s shards) lowest() uint32 { return uint32(bits.TrailingZeros64(uint64(s))) }

// homeOf returns the shards that a workspace's bucket is split over.
func homeOf(workspace string) shards {
	var home shards
	for i := shard.ClassOf(workspace); i < shard.Count; i += shard.Classes {
		home |= 1 << i
	}
	return home
}

// of returns the set's share of whole, which is split over the shards of home.
// The shares of all shards of home add up to whole.
func (s shards) of(home shards, whole share) share {
	return share{burst: s.part(home, whole.burst), rate: s.part(home, whole.rate)}
}

// part splits total over home; the first shards get one more each for the
// remainder.
func (s shards) part(home shards, total int64) int64 {
	held := (s & home).count()
	remainder := total % shard.PerClass
	var extra shards
	for rest := home; remainder > 0; remainder-- {
		lowest := rest & -rest
		extra |= lowest
		rest &^= lowest
	}
	return held*(total/shard.PerClass) + (s & extra).count()
}
