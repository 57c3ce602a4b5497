package lease

import (
	"context"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

// suspendedKV suspends the VM while a call is on its way, after the service has executed it: the
// boot clock runs on, the monotonic clock does not.
type suspendedKV struct {
	*kv.Store
	boot    time.Duration
	suspend time.Duration // during the next call
}

func (s *suspendedKV) wake() {
	s.boot += s.suspend
	s.suspend = 0
}

func (s *suspendedKV) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	defer s.wake()
	return s.Store.GrantLease(ctx, ttl)
}

func (s *suspendedKV) RenewLease(ctx context.Context, id platform.LeaseID) error {
	defer s.wake()
	return s.Store.RenewLease(ctx, id)
}

// A holder whose VM was suspended while a grant or a renewal was on its way does not rely on a lease
// that has run out meanwhile.
func TestLeaseThatRanOutDuringASuspension(t *testing.T) {
	for _, c := range []struct {
		suspended time.Duration
		valid     bool
	}{{0, true}, {time.Second, true}, {testTTL, false}, {time.Hour, false}} {
		store := &suspendedKV{Store: kv.New(1), boot: time.Hour}
		candidate := NewCandidate(store, testKey, "a", Duration{TTL: testTTL, Margin: testTTL / 6})
		candidate.clock = func() time.Duration { return store.boot }
		store.suspend = c.suspended
		granted, err := candidate.Acquire(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if granted.Valid() != c.valid {
			t.Errorf("suspended for %v during the grant: valid %v", c.suspended, granted.Valid())
		}
		store.suspend = c.suspended
		if err := granted.Renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		if granted.Valid() != c.valid {
			t.Errorf("suspended for %v during a renewal: valid %v", c.suspended, granted.Valid())
		}
		if err := granted.Renew(t.Context()); err != nil || !granted.Valid() {
			t.Errorf("after the next renewal: %v, valid %v", err, granted.Valid())
		}
		store.suspend = testTTL
		store.wake()
		if granted.Valid() {
			t.Error("valid after a suspension between two renewals")
		}
	}
}
