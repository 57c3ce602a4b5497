package limit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxRetryAfter bounds the retry time; it also stands for tokens that no refill
	// would bring.
	maxRetryAfter = time.Minute
	// unreachableRetryAfter is the retry time of a request that needs tokens of owners
	// that don't respond.
	unreachableRetryAfter = time.Second
)

// part is one owner's part of a bucket, with its estimated level.
type part struct {
	address string
	own     share
	level   int64
}

// tokenSupply is the estimate of the tokens available to a request: this router's own
// and those of the peers that respond.
type tokenSupply struct {
	total int64
	own   part
	peers []part // fullest first
	// unresponsive is the number of peers that are left out.
	unresponsive int
}

// supply returns the tokens available from this router and the peers that respond. If they
// are fewer than wanted, peers that are slow, but whose last call has not failed, count too:
// on a busy machine a request inside the rate is better served late than refused.
func (l *Local) supply(b *bucket, now clockReading, wanted int64) tokenSupply {
	s := b.supply(now)
	at, owners := time.Now(), s.peers
	s.total = s.own.level
	var slow []part
	s.peers = make([]part, 0, len(owners))
	for _, p := range owners {
		switch {
		case l.health.isResponsive(p.address, at):
			s.peers = append(s.peers, p)
			s.total += p.level
		case !l.health.isFailing(p.address):
			slow = append(slow, p)
		}
	}
	for _, p := range slow {
		if s.total >= wanted {
			break
		}
		s.peers = append(s.peers, p)
		s.total += p.level
	}
	s.unresponsive = len(owners) - len(s.peers)
	return s
}

// supply returns the estimated levels of all owners. A router whose tokens must not be
// spent has none and gets no refill.
func (b *bucket) supply(now clockReading) tokenSupply {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := tokenSupply{peers: make([]part, 0, len(b.peers))}
	if now.spendable {
		b.refill(now.refill)
		s.own = part{own: b.own, level: b.level}
	}
	for i := range b.peers {
		p := &b.peers[i]
		s.peers = append(s.peers, part{address: p.address, own: p.own, level: p.estimate(now.elapsed)})
	}
	// A random order of equal levels keeps routers that know none from draining the same
	// peer first.
	rand.Shuffle(len(s.peers), func(i, j int) { s.peers[i], s.peers[j] = s.peers[j], s.peers[i] })
	slices.SortFunc(s.peers, func(x, y part) int { return cmp.Compare(y.level, x.level) })
	return s
}

// timeUntil returns the time after which refills bring the supply to tokens, if none are
// drawn. Parts that are full get no refill.
func (s *tokenSupply) timeUntil(tokens int64) time.Duration {
	parts := append([]part{s.own}, s.peers...)
	missing, seconds := float64(tokens-s.total), 0.0
	for missing > 0 {
		rate, step := 0.0, 0.0 // step: until the next part is full
		for _, p := range parts {
			if p.level >= p.own.burst || p.own.micros <= 0 {
				continue
			}
			rate += p.own.perSecond()
			if full := float64(p.own.burst-p.level) / p.own.perSecond(); step == 0 || full < step {
				step = full
			}
		}
		if rate == 0 {
			return unreachableRetryAfter
		}
		if missing <= rate*step {
			return min(maxRetryAfter, max(minJitter, time.Duration((seconds+missing/rate)*float64(time.Second))))
		}
		seconds += step
		missing -= rate * step
		for i := range parts {
			p := &parts[i]
			p.level = min(p.own.burst, p.level+1+int64(step*p.own.perSecond())) // rounded up, so that one part becomes full
		}
	}
	return time.Duration(seconds * float64(time.Second))
}
