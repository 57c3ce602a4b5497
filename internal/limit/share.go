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

// of returns the set's share of whole. The shares of all shards add up to whole.
func (s shards) of(whole share) share {
	return share{burst: s.part(whole.burst), rate: s.part(whole.rate)}
}

// part splits total over all shards; the first ones get one more each for the
// remainder.
func (s shards) part(total int64) int64 {
	remainder := total % shard.Count
	extra := s & (1<<remainder - 1)
	return s.count()*(total/shard.Count) + extra.count()
}
