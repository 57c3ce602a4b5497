package limit

import (
	"math/bits"
	"sync"
	"time"
)

// bucket holds the tokens of one workspace in all shards that this router owns.
type bucket struct {
	workspace string
	home      shards

	mu        sync.Mutex
	whole     share // of the workspace, over all shards
	own       share // of the shards that this router owns
	level     int64 // negative: debt
	held      int64 // taken by requests that may still return it
	remainder uint64
	refilled  time.Duration // on the guard's refill clock
	wanted    time.Duration // time of the last request, since the start
	past      history
	peers     []peerLevel
}

// nanosPerSecond scales rates, which are in tokens per second.
const nanosPerSecond = uint64(time.Second)

// refill adds the tokens of the time since the last refill, exactly.
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
	hi, lo := bits.Mul64(uint64(b.own.rate), uint64(elapsed))
	lo, carry := bits.Add64(lo, b.remainder, 0)
	hi += carry
	if hi >= nanosPerSecond {
		b.level, b.remainder = b.own.burst, 0
		return
	}
	tokens, remainder := bits.Div64(hi, lo, nanosPerSecond)
	if tokens >= uint64(room) {
		b.level, b.remainder = b.own.burst, 0
		return
	}
	b.level += int64(tokens)
	b.remainder = remainder
}

// touch refills and notes the headroom.
func (b *bucket) touch(now time.Duration) {
	b.refill(now)
	b.past.observe(b.own.burst - b.level)
}

// part is a number of tokens taken from a bucket, and the place of that in the
// bucket's history.
type part struct {
	tokens int64
	mark   uint64
}

// place returns the present place in the bucket's history.
func (b *bucket) place(now time.Duration) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch(now)
	return b.past.mark - 1
}

// take takes exactly tokens, or nothing.
func (b *bucket) take(now moment, tokens int64) (part, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wanted = now.elapsed
	b.touch(now.refill)
	if b.level < tokens {
		return part{}, false
	}
	b.level -= tokens
	return part{tokens: tokens, mark: b.past.mark}, true
}

// takeUpTo takes at most tokens, and returns what a later request may find.
func (b *bucket) takeUpTo(now time.Duration, tokens int64) (part, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch(now)
	taken := max(0, min(tokens, b.level))
	b.level -= taken
	return part{tokens: taken, mark: b.past.mark}, b.level + b.held
}

// hold notes that a request took tokens which it may still return; a negative
// number ends that.
func (b *bucket) hold(tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held += tokens
}

// credit adds tokens that count as having been in the bucket since mark. It
// returns how many of them the bucket could have kept.
func (b *bucket) credit(now time.Duration, tokens int64, mark uint64) (int64, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch(now)
	kept := max(0, min(tokens, b.past.least(mark)))
	b.level += kept
	b.past.fill(mark, kept)
	return kept, b.level
}

// charge takes tokens that were already used, even if the level becomes
// negative.
func (b *bucket) charge(now time.Duration, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch(now)
	b.level -= tokens
}

// resize changes the bucket's limits. The level never rises by it.
func (b *bucket) resize(now time.Duration, whole, own share) {
	b.touch(now)
	b.whole = whole
	b.own = own
	b.level = min(b.level, own.burst)
	b.remainder = 0
	b.past.observe(own.burst - b.level)
}

// give subtracts what evens out this bucket with that of a peer, at most
// wanted, and returns it with the level that is left.
func (b *bucket) give(now time.Duration, peerCap, peerLevel, wanted int64) (int64, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch(now)
	given := max(0, min(wanted, evenTransfer(b.level, b.own.burst, peerLevel, peerCap)))
	b.level -= given
	return given, b.level
}

// evenTransfer returns how many tokens a bucket with the first level and cap
// gives to the second so that both are equally full.
func evenTransfer(fromLevel, fromCap, toLevel, toCap int64) int64 {
	if fromCap+toCap <= 0 {
		return 0
	}
	surplus := float64(fromLevel)*float64(toCap) - float64(toLevel)*float64(fromCap)
	return min(int64(surplus/float64(fromCap+toCap)), fromLevel)
}
