package limit

import (
	"math/bits"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/shard"
)

// shardSet is a set of shards, one bit each.
type shardSet uint64

// share is the part of a workspace's limits that belongs to a set of shards.
type share struct {
	burst  int64 // tokens
	micros int64 // rate in millionths of a token per second
}

// limitsOf returns the limits of a workspace over all shards.
func limitsOf(w *config.Workspace) share {
	return share{burst: w.Burst, micros: w.Rate*config.MicrosPerToken + w.RateMicros}
}

// perSecond returns the rate in tokens per second.
func (s share) perSecond() float64 { return float64(s.micros) / config.MicrosPerToken }

// heldBy returns the shards that the router at address owns.
func heldBy(table *shard.Table, address string) shardSet {
	var held shardSet
	for i := range table.Owners {
		if table.Owners[i].Address == address {
			held |= 1 << i
		}
	}
	return held
}

func setOf(list []int) shardSet {
	var set shardSet
	for _, i := range list {
		set |= 1 << i
	}
	return set
}

func (s shardSet) count() int64 { return int64(bits.OnesCount64(uint64(s))) }

// lowest returns the first shard of the set, which must not be empty.
func (s shardSet) lowest() uint32 { return uint32(bits.TrailingZeros64(uint64(s))) }

// shardsOf returns the shards that a workspace's bucket is split over.
func shardsOf(workspace string) shardSet {
	var shards shardSet
	for i := shard.ClassOf(workspace); i < shard.Count; i += shard.Classes {
		shards |= 1 << i
	}
	return shards
}

// first returns the lowest n shards of the set, or all if there are fewer.
func (s shardSet) first(n int64) shardSet {
	rest := s
	for ; n > 0; n-- {
		rest &= rest - 1
	}
	return s &^ rest
}

// shareOf returns the set's share of total, which is split over the shards of a class. The shares
// of all shards add up to total. Shards without burst get no rate, as they have no room for it.
func (s shardSet) shareOf(shards shardSet, total share) share {
	if total.burst < shard.PerClass {
		return s.shareOfSmall(shards, total)
	}
	return share{burst: s.portion(shards, total.burst), micros: s.portion(shards, total.micros)}
}

// shareOfSmall does the same for a burst that only some shards have a part of.
func (s shardSet) shareOfSmall(shards shardSet, total share) share {
	if total.burst <= 0 {
		return share{}
	}
	held := (s & shards.first(total.burst)).count()
	rest := (s & shards.first(total.micros%total.burst)).count()
	return share{burst: held, micros: held*(total.micros/total.burst) + rest}
}

// portion returns the set's part of total, which is split evenly over the shards of a class; the
// remainder goes to the first shards, one each.
func (s shardSet) portion(shards shardSet, total int64) int64 {
	extra := shards.first(total % shard.PerClass)
	return (s&shards).count()*(total/shard.PerClass) + (s & extra).count()
}
