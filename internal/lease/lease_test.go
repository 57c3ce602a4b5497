package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

const (
	testKey = "leader"
	testTTL = 3 * time.Second
)

func newCandidate(store *kv.Store, name string) *Candidate {
	return NewCandidate(store, testKey, name, Duration{TTL: testTTL, Margin: testTTL / 6})
}

// acquireWithin acquires the lease as soon as possible and returns the time that it took.
func acquireWithin(t *testing.T, c *Candidate, limit time.Duration) (*Term, time.Duration) {
	t.Helper()
	for start := time.Now(); time.Since(start) <= limit; time.Sleep(100 * time.Millisecond) {
		term, err := c.Acquire(context.Background())
		if err == nil {
			return term, time.Since(start)
		}
		if !errors.Is(err, ErrHeld) && !errors.Is(err, ErrRestored) {
			t.Fatal(err)
		}
	}
	t.Fatalf("lease not acquired within %v", limit)
	return nil, 0
}

// A holder whose key was lost in a restore may rely on its lease until the lease would have
// ended. No other process may hold it before.
func TestLeaseLostInARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.New(1)
		time.Sleep(time.Minute)
		former, _ := acquireWithin(t, newCandidate(store, "a"), 0)
		time.Sleep(time.Second)
		store.Restore(2 * time.Second)
		next, took := acquireWithin(t, newCandidate(store, "b"), 2*testTTL)
		if former.Valid() {
			t.Errorf("two holders %v after the restore", took)
		}
		if next.Fence() <= former.Fence() {
			t.Errorf("fence %v after %v", next.Fence(), former.Fence())
		}
		if err := former.Renew(context.Background()); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("the former holder's renewal gives %v, want ErrNotFound", err)
		}
		former.Release(context.Background())
		if err := next.Renew(context.Background()); err != nil {
			t.Errorf("the next holder's renewal gives %v", err)
		}
		next.Release(context.Background())
		if _, took := acquireWithin(t, newCandidate(store, "c"), testTTL); took != 0 {
			t.Errorf("a process that started after the restore waited %v for leases that had ended", took)
		}
		synctest.Wait()
	})
}

// The service gives out lease IDs again after a restore. Renewing another process's lease
// must not look like success.
func TestLeaseIDGivenOutAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.New(1)
		time.Sleep(time.Minute)
		term, _ := acquireWithin(t, newCandidate(store, "a"), 0)
		store.Restore(time.Second)
		if id, err := store.GrantLease(context.Background(), time.Minute); err != nil || id != term.lease {
			t.Fatalf("lease %d, %v, want ID %d again", id, err, term.lease)
		}
		if err := term.Renew(context.Background()); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("renewing a lease that is another process's now gives %v, want ErrNotFound", err)
		}
	})
}

// A lease that the copy has stays with its holder.
func TestLeaseKeptInARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.New(1)
		term, _ := acquireWithin(t, newCandidate(store, "a"), 0)
		for range 20 {
			time.Sleep(testTTL / 4)
			if err := term.Renew(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		store.Restore(2 * time.Second)
		if err := term.Renew(context.Background()); err != nil {
			t.Errorf("renewal after the restore: %v", err)
		}
		if _, err := newCandidate(store, "b").Acquire(context.Background()); !errors.Is(err, ErrHeld) {
			t.Errorf("another process acquires the lease: %v, want ErrHeld", err)
		}
		term.Release(context.Background())
		acquireWithin(t, newCandidate(store, "b"), 2*testTTL)
	})
}

// restoringKV restores the service just before a lease is granted.
type restoringKV struct {
	*kv.Store
	restore bool
}

func (k *restoringKV) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if k.restore {
		k.restore = false
		k.Restore(time.Second)
	}
	return k.Store.GrantLease(ctx, ttl)
}

// A restore while a process acquires the lease makes it wait for the holder that the
// restore lost, which renewed its lease until then.
func TestRestoreWhileAcquiring(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &restoringKV{Store: kv.New(1)}
		time.Sleep(time.Minute)
		candidate := NewCandidate(store, testKey, "a", Duration{TTL: testTTL, Margin: testTTL / 6})
		store.restore = true
		if _, err := candidate.Acquire(context.Background()); !errors.Is(err, ErrRestored) {
			t.Errorf("acquired in the middle of a restore: %v, want ErrRestored", err)
		}
		if _, err := store.Get(context.Background(), testKey); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("the key of the attempt: %v, want ErrNotFound", err)
		}
		start := time.Now()
		for {
			if _, err := candidate.Acquire(context.Background()); err == nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if waited := time.Since(start); waited < testTTL {
			t.Errorf("acquired %v after a restore, want at least %v", waited, testTTL)
		}
	})
}
