package limit

import (
	"math/bits"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
)

// bucket holds one workspace's tokens of all shards that this router owns.
type bucket struct {
	workspace string
	shards    shardSet

	mu          sync.Mutex
	limits      share         // of the workspace over all shards
	own         share         // of the shards that this router owns
	level       int64         // negative: debt
	pending     int64         // taken by requests that may still return them
	remainder   uint64        // fraction of a token, in 1/unitsPerToken
	refilled    time.Duration // time of the last refill, on the refill clock
	lastRequest time.Duration // time of the last request, since the start of the process
	history     history
	peers       []peerLevel
	refusedAt   time.Time // last refusal of a request here
}

// overRatePeriod is how long after a refusal a workspace counts as over its rate.
const overRatePeriod = 2 * time.Second

func (b *bucket) recordRefusal(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refusedAt = now
}

// isOverRate reports whether a request of the workspace was refused here lately.
func (b *bucket) isOverRate(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.refusedAt) < overRatePeriod
}

// unitsPerToken is the number of units, each a millionth of a token per second for a nanosecond,
// in a token.
const unitsPerToken = uint64(time.Second) * config.MicrosPerToken

// refill adds the tokens due since the last refill. It keeps the fraction, so
// that no rounding error accumulates.
func (b *bucket) refill(now time.Duration) {
	elapsed := now - b.refilled
	if elapsed <= 0 {
		return
	}
	b.refilled = now
	room := b.own.burst - b.level
	if room <= 0 {
		b.remainder = 0
		return
	}
	hi, lo := bits.Mul64(uint64(b.own.micros), uint64(elapsed))
	lo, carry := bits.Add64(lo, b.remainder, 0)
	hi += carry
	if hi >= unitsPerToken {
		b.level, b.remainder = b.own.burst, 0
		return
	}
	tokens, remainder := bits.Div64(hi, lo, unitsPerToken)
	if tokens >= uint64(room) {
		b.level, b.remainder = b.own.burst, 0
		return
	}
	b.level += int64(tokens)
	b.remainder = remainder
}

// update refills the bucket and records its headroom.
func (b *bucket) update(now time.Duration) {
	b.refill(now)
	b.history.observe(b.own.burst - b.level)
}

// withdrawal is a number of tokens taken from a bucket, with the mark in the
// bucket's history at which they were taken.
type withdrawal struct {
	tokens int64
	mark   uint64
}

// currentMark returns the mark just before the current observation, so that the
// present headroom counts as observed after it.
func (b *bucket) currentMark(now time.Duration) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	return b.history.mark - 1
}

// take withdraws exactly tokens, or nothing.
func (b *bucket) take(now clockReading, tokens int64) (withdrawal, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastRequest = now.elapsed
	b.update(now.refill)
	if b.level < tokens {
		return withdrawal{}, false
	}
	b.level -= tokens
	return withdrawal{tokens: tokens, mark: b.history.mark}, true
}

// takeUpTo withdraws at most tokens. It also returns the level that a later
// request may find, which includes pending tokens.
func (b *bucket) takeUpTo(now time.Duration, tokens int64) (withdrawal, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	taken := max(0, min(tokens, b.level))
	b.level -= taken
	return withdrawal{tokens: taken, mark: b.history.mark}, b.level + b.pending
}

// addPending counts tokens that a request took and may still return; a negative
// number ends this.
func (b *bucket) addPending(tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending += tokens
}

// credit returns tokens as if they had been in the bucket since mark: those that
// would have overflowed it since are dropped. It returns the tokens added and the
// new level.
func (b *bucket) credit(now time.Duration, tokens int64, mark uint64) (int64, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	kept := max(0, min(tokens, b.history.minHeadroom(mark)))
	b.level += kept
	b.history.consume(mark, kept)
	return kept, b.level
}

// charge subtracts tokens that were already used, even if the level becomes
// negative.
func (b *bucket) charge(now time.Duration, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	b.level -= tokens
}

// resize changes the bucket's limits. It never raises the level. Below the burst it keeps the
// fraction of a token, so that frequent changes don't use up a small rate.
func (b *bucket) resize(now time.Duration, limits, own share) {
	b.update(now)
	b.limits = limits
	b.own = own
	if b.level >= own.burst {
		b.level, b.remainder = own.burst, 0
	}
	b.history.observe(own.burst - b.level)
}

// transfer subtracts the tokens that make this bucket and a peer's equally full,
// at most wanted. It returns them and the remaining level.
func (b *bucket) transfer(now time.Duration, peerCap, peerLevel, wanted int64) (int64, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	given := max(0, min(wanted, rebalancingTransfer(b.level, b.own.burst, peerLevel, peerCap)))
	b.level -= given
	return given, b.level
}

// rebalancingTransfer returns how many tokens must move from the first bucket to
// the second so that both are equally full. A bucket's cap is its burst.
func rebalancingTransfer(fromLevel, fromCap, toLevel, toCap int64) int64 {
	if fromCap+toCap <= 0 {
		return 0
	}
	surplus := float64(fromLevel)*float64(toCap) - float64(toLevel)*float64(fromCap)
	return min(int64(surplus/float64(fromCap+toCap)), fromLevel)
}
