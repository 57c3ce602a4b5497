package limit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// peerLevelMaxAge is how long a level reported by a peer is used.
	peerLevelMaxAge = time.Second
	// callTimeout bounds a call to a peer. A later response is discarded.
	callTimeout = 250 * time.Millisecond
	// failureBackoff is how long a peer that failed is debited last and gets neither
	// refunds nor requests to rebalance.
	failureBackoff = 500 * time.Millisecond
)

// peerLevel is the last known level of another owner's part of a bucket.
type peerLevel struct {
	address    string
	index      int // in the state's owners
	own        share
	level      int64
	known      bool
	reportedAt time.Duration // time of the last report, since the start of the process
}

// estimate returns an upper bound of the peer's level, apart from tokens that other
// routers returned or transferred to it. An unknown or old level counts as full.
func (p *peerLevel) estimate(now time.Duration) int64 {
	age := now - p.reportedAt
	if !p.known || age > peerLevelMaxAge {
		return p.own.burst
	}
	refill := float64(p.own.rate) * age.Seconds()
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

// tokenSupply is the estimate of the tokens available to a request.
type tokenSupply struct {
	total      int64 // this router's own level and the estimates of the peers
	rate       int64 // of the workspace
	candidates []candidate
}

// candidate is a peer to debit, with its estimated level.
type candidate struct {
	address string
	level   int64
}

// available returns the token supply, with the fullest peers first.
func (b *bucket) available(now clockReading) tokenSupply {
	b.mu.Lock()
	defer b.mu.Unlock()
	supply := tokenSupply{candidates: make([]candidate, 0, len(b.peers)), rate: b.limits.rate}
	if now.spendable {
		b.refill(now.refill)
		supply.total = b.level
	}
	for i := range b.peers {
		level := b.peers[i].estimate(now.elapsed)
		supply.total += level
		supply.candidates = append(supply.candidates, candidate{address: b.peers[i].address, level: level})
	}
	slices.SortStableFunc(supply.candidates, func(x, y candidate) int { return cmp.Compare(y.level, x.level) })
	return supply
}

// health records which peers failed recently.
type health struct {
	mu     sync.Mutex
	failed map[string]time.Time
}

func newHealth() health { return health{failed: make(map[string]time.Time)} }

func (h *health) recordFailure(address string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed[address] = at
}

func (h *health) recordSuccess(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.failed, address)
}

func (h *health) isFailing(address string, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	failed, ok := h.failed[address]
	return ok && at.Sub(failed) < failureBackoff
}
