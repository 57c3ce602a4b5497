package limit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// freshTime is how long a level learned from a peer is relied on.
	freshTime = time.Second
	// callTimeout bounds a call to a peer. A later answer is void.
	callTimeout = 250 * time.Millisecond
	// failureBackoff is how long a peer that failed is asked last.
	failureBackoff = 500 * time.Millisecond
)

// peerLevel is what is known of another owner's part of a bucket.
type peerLevel struct {
	address string
	index   int // in the state's owners
	own     share
	level   int64
	known   bool
	learned time.Duration // since the start
}

// estimate returns the level that the peer has at most, if nobody gave it any.
func (p *peerLevel) estimate(now time.Duration) int64 {
	age := now - p.learned
	if !p.known || age > freshTime {
		return p.own.burst
	}
	refill := float64(p.own.rate) * age.Seconds()
	return min(p.own.burst, p.level+int64(refill))
}

// peerLevels returns the owners of the workspace's other shards, with what is
// known of those that were owners before.
func (b *bucket) peerLevels(owners []owner) []peerLevel {
	var levels []peerLevel
	for i, o := range owners {
		if o.held&b.home == 0 {
			continue
		}
		level := peerLevel{address: o.address, index: i, own: o.held.of(b.home, b.whole)}
		for _, old := range b.peers {
			if old.address == o.address {
				level.level, level.known, level.learned = old.level, old.known, old.learned
			}
		}
		levels = append(levels, level)
	}
	return levels
}

// learn notes a peer's level.
func (b *bucket) learn(now time.Duration, address string, level int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.peers {
		p := &b.peers[i]
		if p.address == address {
			p.level, p.known, p.learned = level, true, now
		}
	}
}

// reach is what a request can expect to get for a workspace.
type reach struct {
	total  int64 // this router's own level and what the peers have at most
	rate   int64 // of the workspace
	orders []order
}

// order is a peer to ask, and what it is expected to have.
type order struct {
	address string
	level   int64
}

// survey returns what can be had, the fullest peers first.
func (b *bucket) survey(now moment) reach {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := reach{orders: make([]order, 0, len(b.peers)), rate: b.whole.rate}
	if now.spendable {
		b.refill(now.refill)
		r.total = b.level
	}
	for i := range b.peers {
		level := b.peers[i].estimate(now.elapsed)
		r.total += level
		r.orders = append(r.orders, order{address: b.peers[i].address, level: level})
	}
	slices.SortStableFunc(r.orders, func(x, y order) int { return cmp.Compare(y.level, x.level) })
	return r
}

// health remembers which peers failed lately.
type health struct {
	mu     sync.Mutex
	failed map[string]time.Time
}

func newHealth() health { return health{failed: make(map[string]time.Time)} }

func (h *health) fail(address string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed[address] = at
}

func (h *health) recover(address string) {
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
