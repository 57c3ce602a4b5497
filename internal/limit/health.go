package limit

import (
	"slices"
	"sync"
	"time"
)

const (
	// callTimeout bounds a call to a peer. A later response is discarded.
	callTimeout = 250 * time.Millisecond
	// probeInterval is the time from a failure of a peer to its next probe.
	probeInterval = 100 * time.Millisecond
	// minPatience is the least time after which a peer that has not responded counts as
	// unresponsive. It is far above a round trip between availability zones.
	minPatience = 40 * time.Millisecond
	// patienceFactor is the patience as a multiple of the peer's usual response time.
	patienceFactor = 3
)

// health records how the other routers respond to calls. A peer that failed gets only
// probes until it responds again, so that no request waits for it.
type health struct {
	mu    sync.Mutex
	peers map[string]*peerHealth
}

type peerHealth struct {
	failing      bool
	failedAt     time.Time     // last failure
	probing      bool          // a probe is running
	running      int           // calls
	waitingSince time.Time     // start of the running calls or the last response, whichever is later
	responseTime time.Duration // slowest of the recent responses, decaying; 0: unknown
	// distance is the time of the fastest of the recent responses, rising slowly. Unlike
	// responseTime, it does not grow while a near peer has little processor time.
	distance time.Duration
}

func newHealth() health { return health{peers: make(map[string]*peerHealth)} }

// begin records the start of a call.
func (h *health) begin(address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[address]
	if p == nil {
		p = &peerHealth{}
		h.peers[address] = p
	}
	if p.running == 0 {
		p.waitingSince = now
	}
	p.running++
}

// end records the end of a call that began at sent.
func (h *health) end(address string, sent, now time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[address]
	if p == nil { // the peer has left the table
		return
	}
	p.running = max(0, p.running-1)
	p.waitingSince = now
	if err != nil {
		p.failing, p.failedAt = true, now
		return
	}
	p.failing = false
	took := now.Sub(sent)
	if p.responseTime == 0 || took < p.distance {
		p.distance = took
	}
	p.distance += (took - p.distance) / 16
	p.responseTime = max(took, p.responseTime-p.responseTime/8)
}

// isDistant reports whether a response of the peer takes longer than limit even when nothing
// slows it down.
func (h *health) isDistant(address string, limit time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[address]
	return p != nil && p.distance > limit
}

// call makes a call to a peer and records its outcome. It returns when the call began.
func (l *Local) call(address string, do func() error) (time.Time, error) {
	sent := time.Now()
	l.health.begin(address, sent)
	err := do()
	l.health.end(address, sent, time.Now(), err)
	return sent, err
}

// patience returns how long a response of the peer is waited for before other peers are
// asked instead; 0: its response time is unknown.
func (h *health) patience(address string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.peers[address]; p != nil {
		return p.patience()
	}
	return 0
}

func (p *peerHealth) patience() time.Duration {
	if p.responseTime == 0 {
		return 0
	}
	return min(callTimeout, max(minPatience, patienceFactor*p.responseTime))
}

// isResponsive reports whether the peer's last call did not fail and none has been
// running for its patience.
func (h *health) isResponsive(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[address]
	if p == nil {
		return true
	}
	patience := p.patience()
	return !p.failing && (p.running == 0 || patience == 0 || now.Sub(p.waitingSince) < patience)
}

// isFailing reports whether the peer's last call failed.
func (h *health) isFailing(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[address]
	return p != nil && p.failing
}

// beginProbe reports whether a peer is to be probed now, since it fails or its response
// time is unknown, and if so marks it as being probed.
func (h *health) beginProbe(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[address]
	if p == nil {
		p = &peerHealth{}
		h.peers[address] = p
	}
	if p.responseTime > 0 && !p.failing || p.probing || now.Sub(p.failedAt) < probeInterval {
		return false
	}
	p.probing = true
	return true
}

func (h *health) endProbe(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.peers[address]; p != nil {
		p.probing = false
	}
}

// retain discards the state of routers that are no owners any more.
func (h *health) retain(owners []owner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, p := range h.peers {
		isOwner := slices.ContainsFunc(owners, func(o owner) bool { return o.address == address })
		if !isOwner && p.running == 0 && !p.probing {
			delete(h.peers, address)
		}
	}
}
