package client

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// mustSwap writes a key that must have the expected version.
func mustSwap(t *testing.T, k kvUnderTest, key, value string, expected platform.Version, lease platform.LeaseID) platform.Version {
	t.Helper()
	version, err := k.CompareAndSwap(context.Background(), key, []byte(value), expected, lease)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// A restored service has the content of its copy and gives out revisions and lease IDs
// again. Versions of the era before must not be taken for new ones.
func TestRestore(t *testing.T) {
	forEachKV(t, callTimeout, func(t *testing.T, k kvUnderTest) {
		ctx := context.Background()
		first := mustSwap(t, k, "a", "1", 0, 0)
		time.Sleep(20 * time.Millisecond)
		copied := time.Now()
		time.Sleep(20 * time.Millisecond)
		lease, err := k.GrantLease(ctx, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		lost := mustSwap(t, k, "a", "2", first, 0)
		mustSwap(t, k, "leased", "x", 0, lease)
		watchCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		events, err := k.Watch(watchCtx, "", 0)
		if err != nil {
			t.Fatal(err)
		}
		k.store.Restore(time.Since(copied))
		for range events { // ends, since a restore breaks all watches
		}

		entry, err := k.Get(ctx, "a")
		if err != nil || string(entry.Value) != "1" {
			t.Fatalf("after the restore: %q, %v, want 1", entry.Value, err)
		}
		if entry.Version <= lost || entry.Version.Revision() != first.Revision() {
			t.Errorf("version %v after the restore, want revision %d above version %v", entry.Version, first.Revision(), lost)
		}
		if k.Era() != 1 {
			t.Errorf("era %d, want 1", k.Era())
		}
		if _, err := k.Get(ctx, "leased"); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("key under a lost lease: %v, want ErrNotFound", err)
		}
		if again := mustSwap(t, k, "a", "3", entry.Version, 0); again.Revision() != lost.Revision() || again == lost {
			t.Errorf("version %v of the first write, want revision %d in another era than %v", again, lost.Revision(), lost)
		}
		if _, err := k.CompareAndSwap(ctx, "a", nil, lost, 0); !errors.Is(err, platform.ErrConflict) {
			t.Errorf("a write that expects a version of the era before: %v, want ErrConflict", err)
		}
		if err := k.Delete(ctx, "a", lost); !errors.Is(err, platform.ErrConflict) {
			t.Errorf("a deletion that expects a version of the era before: %v, want ErrConflict", err)
		}
		if _, err := k.Watch(ctx, "", lost); !errors.Is(err, platform.ErrCompacted) {
			t.Errorf("a watch after a version of the era before: %v, want ErrCompacted", err)
		}
		if id, err := k.GrantLease(ctx, time.Minute); err != nil || id != lease {
			t.Errorf("lease %d, %v, want ID %d given out again", id, err, lease)
		}
	})
}
