package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/quarantine"
)

const (
	// probeClaimTTL is how long a claim lasts: more than a probe and the time in which all
	// gateways learn how it ended.
	probeClaimTTL = time.Minute
	// probeOwnedTime is how long after a claim its owner may send probes for it.
	probeOwnedTime = probeClaimTTL / 2
	// probeClaimTimeout bounds the calls for a claim.
	probeClaimTimeout = 500 * time.Millisecond
)

// probeClaims are the claims of a gateway to send probes of requests that crash servers. A
// claim is a key of the platform's store that only one gateway creates, so that gateways to
// which the same request comes at the same time don't all send it. It is safe for concurrent
// use.
type probeClaims struct {
	store platform.LeaseKV
	self  string

	mu    sync.Mutex
	owned map[quarantine.Part]ownedProbe // the newest claim of each part
}

// ownedProbe is a claim that this gateway has. The gateway may send another probe for it if
// the former one had no outcome.
type ownedProbe struct {
	id    string
	until time.Time
}

// claim reports whether this gateway may send a probe. Without the store none is sent.
func (p *probeClaims) claim(ctx context.Context, probe *quarantine.Decision) bool {
	now := time.Now()
	if p.owns(probe, now) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeClaimTimeout)
	defer cancel()
	if err := p.create(ctx, probe.ProbeID); err != nil {
		logger.Info(fields{"probe": probe.ProbeID, "error": err.Error()}, "probe not claimed")
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owned == nil {
		p.owned = make(map[quarantine.Part]ownedProbe)
	}
	for part, owned := range p.owned {
		if !now.Before(owned.until) {
			delete(p.owned, part)
		}
	}
	p.owned[probe.Part] = ownedProbe{id: probe.ProbeID, until: now.Add(probeOwnedTime)}
	return true
}

func (p *probeClaims) owns(probe *quarantine.Decision, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	owned := p.owned[probe.Part]
	return owned.id == probe.ProbeID && now.Before(owned.until)
}

// create creates the key of a probe. It fails if another gateway has done so.
func (p *probeClaims) create(ctx context.Context, id string) error {
	lease, err := p.store.GrantLease(ctx, probeClaimTTL)
	if err != nil {
		return err
	}
	_, err = p.store.CompareAndSwap(ctx, follower.ProbePrefix+id, []byte(p.self), 0, lease)
	return err
}
