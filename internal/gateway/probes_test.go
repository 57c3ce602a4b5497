package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/quarantine"
)

// claimsStore is a store of keys that are created once.
type claimsStore struct {
	*memoryStore
	mu   sync.Mutex
	keys map[string]bool
	down bool
}

func (s *claimsStore) CompareAndSwap(_ context.Context, key string, _ []byte, _ platform.Version, _ platform.LeaseID) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return 0, errors.New("the store is down")
	case s.keys[key]:
		return 0, platform.ErrConflict
	}
	s.keys[key] = true
	return 1, nil
}

// A request that comes to all gateways at the same moment when its probe is due is sent by one
// of them, and again by the same one if that probe had no outcome. While the store is down
// none sends it.
func TestOneProbeAtAllGateways(t *testing.T) {
	store := &claimsStore{keys: make(map[string]bool)}
	request := []quarantine.Part{quarantine.RequestOf("s", "POST", "/x", "caller", nil)}
	start := time.Now().Add(-time.Minute)
	var gateways []*quarantine.Quarantine
	var claims []*probeClaims
	for g := range 5 {
		q := quarantine.New(nil)
		for i := range 3 {
			at := start.Add(time.Duration(i) * time.Second)
			q.RecordCrash(quarantine.Crash{Server: fmt.Sprint("s", i), Sent: at, Ended: at, Parts: request}, at)
		}
		gateways = append(gateways, q)
		claims = append(claims, &probeClaims{store: store, self: fmt.Sprint("g", g)})
	}
	probes := func(now time.Time) (by []int) {
		for g, q := range gateways {
			decision := q.Check(request, now)
			if !decision.Probe {
				t.Errorf("gateway %d: the probe is not due: %+v", g, decision)
			} else if claims[g].claim(t.Context(), &decision) {
				by = append(by, g)
			}
		}
		for _, q := range gateways {
			q.EndProbe(request[0], quarantine.ProbeUnsent, now)
		}
		return by
	}
	now := time.Now()
	store.down = true
	if by := probes(now); len(by) != 0 {
		t.Errorf("while the store is down gateways %v send probes", by)
	}
	store.down = false
	for range 2 {
		now = now.Add(10 * time.Second)
		if by := probes(now); len(by) != 1 || by[0] != 0 {
			t.Errorf("gateways %v send the same probe, want the first one", by)
		}
	}
	for _, q := range gateways {
		q.RecordCrash(quarantine.Crash{Server: "p", Sent: now, Ended: now, Parts: request}, now)
	}
	if by := probes(now.Add(time.Hour)); len(by) != 1 {
		t.Errorf("gateways %v send the next probe, want one", by)
	}
}
