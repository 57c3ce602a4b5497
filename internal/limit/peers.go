package limit

import "time"

// peerLevelMaxAge is how long a level reported by a peer is used.
const peerLevelMaxAge = time.Second

// peerLevel is the last known level of another owner's part of a bucket.
type peerLevel struct {
	address    string
	index      int // in the state's owners
	own        share
	level      int64
	known      bool
	reportedAt time.Duration // time of the last report, since the start of the process
	responsive bool          // at the last rebalance
}

// estimate returns an upper bound of the peer's level, apart from tokens that other
// routers returned or transferred to it. An unknown or old level counts as full.
func (p *peerLevel) estimate(now time.Duration) int64 {
	age := now - p.reportedAt
	if !p.known || age > peerLevelMaxAge {
		return p.own.burst
	}
	refill := p.own.perSecond() * age.Seconds()
	return min(p.own.burst, p.level+int64(refill))
}

// peerLevels returns the other owners of the bucket's shards. Known levels of
// routers that were owners before are kept.
func (b *bucket) peerLevels(owners []owner) []peerLevel {
	var levels []peerLevel
	for i, o := range owners {
		if o.held&b.shards == 0 {
			continue
		}
		level := peerLevel{address: o.address, index: i, own: o.held.shareOf(b.shards, b.limits)}
		for _, old := range b.peers {
			if old.address == o.address {
				level.level, level.known, level.reportedAt = old.level, old.known, old.reportedAt
			}
		}
		levels = append(levels, level)
	}
	return levels
}

// recordPeerLevel records a level that a peer reported.
func (b *bucket) recordPeerLevel(now time.Duration, address string, level int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.peers {
		p := &b.peers[i]
		if p.address == address {
			p.level, p.known, p.reportedAt = level, true, now
		}
	}
}
