package canary

import (
	"context"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// hungStore responds to no call until its context ends.
type hungStore struct{}

func (hungStore) Get(ctx context.Context, _ string) (platform.Entry, error) {
	<-ctx.Done()
	return platform.Entry{}, ctx.Err()
}

func (hungStore) CompareAndSwap(ctx context.Context, _ string, _ []byte, _ platform.Version, _ platform.LeaseID) (platform.Version, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (hungStore) GrantLease(ctx context.Context, _ time.Duration) (platform.LeaseID, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (hungStore) RenewLease(ctx context.Context, _ platform.LeaseID) error {
	<-ctx.Done()
	return ctx.Err()
}

func (hungStore) RevokeLease(ctx context.Context, _ platform.LeaseID) error {
	<-ctx.Done()
	return ctx.Err()
}

func (hungStore) Era() platform.Era { return 0 }

// A gateway must look at its evidence also while calls to the store hang: it stops its own sends to
// a bad version at once.
func TestAnalysisWithHungStore(t *testing.T) {
	tracker := trackerAt(observing(), nil, time.Now())
	lost := observing()
	lost.Phase = RolledBack
	entries := []Entry{{Service: "s", Configured: true, State: observing()}}
	for _, service := range []string{"a", "b", "c", "d", "e", "f"} {
		entries = append(entries, Entry{Service: service, Configured: true, State: lost, Lost: true})
	}
	owner := NewOwner(OwnerOptions{
		Self: "g1", Lease: time.Second, KV: hungStore{}, Tracker: tracker, LeaseKey: "owner",
		Entries: func() []Entry { return entries },
		Holder:  func() string { return "" }, Gateways: func() []string { return nil },
		Staleness: func() time.Duration { return 0 },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		owner.Run(ctx)
	}()
	go owner.Analyze(ctx)
	defer func() {
		cancel()
		<-done
	}()
	time.Sleep(acquireDelay + writeTimeout + restoreDelay + 2*stepInterval) // the writes of the lost states hang by now
	began := time.Now()
	for !tracker.Barred("s", "v2") {
		now := time.Now()
		if now.Sub(began) > 20*time.Second {
			t.Fatal("the version is not found bad")
		}
		for range 10 {
			for version, outcome := range map[string]Outcome{"v1": Succeeded, "v2": Failed} {
				attempt, ok := tracker.Begin("s", "r", version, version, 0, 0, now)
				if ok {
					attempt.End(outcome, now)
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("found bad after %v", time.Since(began))
	// It takes about 0.4 s; each of the six writes that hang takes 1 s.
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("found bad after %v", took)
	}
}

// emptyStore has no entries and takes all writes.
type emptyStore struct {
	hungStore
	written map[string]bool
}

func (emptyStore) Get(context.Context, string) (platform.Entry, error) {
	return platform.Entry{}, platform.ErrNotFound
}

func (e emptyStore) CompareAndSwap(_ context.Context, key string, _ []byte, _ platform.Version, _ platform.LeaseID) (platform.Version, error) {
	e.written[key] = true
	return 1, nil
}

// A gateway that restores the state of an order that has ended must tell operators too: there may
// be no owner, since a restored store can bring back the key of a lease that has ended.
func TestStatusIsRestoredWithoutOwner(t *testing.T) {
	state := observing()
	state.Phase = Completed
	store := emptyStore{written: make(map[string]bool)}
	owner := NewOwner(OwnerOptions{
		Self: "g1", Lease: time.Second, KV: store, Tracker: NewTracker(Bounds{Share: 0.1}), LeaseKey: "owner", Prefix: "state/",
		Status: func(service string, _ *State) (string, []byte, error) {
			return "status/" + service, []byte("completed"), nil
		},
		Entries: func() []Entry { return []Entry{{Service: "s", Configured: true, State: state, Lost: true}} },
		Holder:  func() string { return "g2 1" },
	})
	now := time.Now()
	for range 2 {
		owner.step(t.Context(), now)
		now = now.Add(restoreDelay)
	}
	if !store.written["state/s"] {
		t.Error("the state is not restored")
	}
	if !store.written["status/s"] {
		t.Error("the status is not restored")
	}
}
