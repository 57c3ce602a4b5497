package kv

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

func TestLeaseLapsesWhileHolderIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		store := New(1)
		id, err := store.GrantLease(ctx, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.CompareAndSwap(ctx, "controller", []byte("a"), 0, id); err != nil {
			t.Fatal(err)
		}
		events, err := store.Watch(ctx, "controller", store.LatestVersion())
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(900 * time.Millisecond)
		if err := store.RenewLease(ctx, id); err != nil {
			t.Fatalf("renewal in time: %v", err)
		}
		time.Sleep(900 * time.Millisecond)
		if _, err := store.Get(ctx, "controller"); err != nil {
			t.Fatalf("key of a renewed lease: %v", err)
		}
		time.Sleep(time.Second) // the holder is paused
		if event := <-events; !event.Deleted || event.Key != "controller" {
			t.Errorf("event %+v, want the deletion of the leased key", event)
		}
		if err := store.RenewLease(ctx, id); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("renewal after the lease expired: %v, want ErrNotFound", err)
		}
		_, err = store.CompareAndSwap(ctx, "controller", []byte("b"), 0, id)
		if !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("write under an expired lease: %v, want ErrNotFound", err)
		}
	})
}

func TestDelayedWriteLandsAfterItsCallerGaveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := New(1)
		store.SetFaults(Faults{Delay: time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := store.CompareAndSwap(ctx, "k", []byte("late"), 0, 0)
		if !errors.Is(err, platform.ErrOutcomeUnknown) {
			t.Fatalf("write that outlasts its caller: %v, want ErrOutcomeUnknown", err)
		}
		store.SetFaults(Faults{})
		if _, err := store.Get(t.Context(), "k"); !errors.Is(err, platform.ErrNotFound) {
			t.Fatalf("before the end of the delay: %v, want ErrNotFound", err)
		}
		time.Sleep(time.Second)
		if entry, err := store.Get(t.Context(), "k"); err != nil || string(entry.Value) != "late" {
			t.Errorf("after the delay: %q, %v", entry.Value, err)
		}
	})
}

func TestWaitingWatchesTakeReadRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		store := New(1)
		store.SetFaults(Faults{ReadsPerSecond: 5})
		for range 3 {
			if _, err := store.Watch(ctx, "", 0); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Minute)
		allowed := 0
		for range 10 {
			if _, err := store.List(ctx, ""); !errors.Is(err, platform.ErrThrottled) {
				allowed++
			}
		}
		if allowed != 2 {
			t.Errorf("%d reads allowed at 5 a second with 3 open watches, want 2", allowed)
		}
		if counts := store.Counts(); counts.Waiting != 3 || counts.Throttled != 8 {
			t.Errorf("counts %+v, want 3 waiting and 8 throttled", counts)
		}
	})
}

func TestWatchBreaksRatherThanLosesEvents(t *testing.T) {
	ctx := t.Context()
	store := New(1)
	events, err := store.Watch(ctx, "", 0)
	if err != nil {
		t.Fatal(err)
	}
	var version platform.Version
	for range watchBuffer + 1 {
		if version, err = store.CompareAndSwap(ctx, "k", nil, version, 0); err != nil {
			t.Fatal(err)
		}
	}
	var last platform.Version
	for range watchBuffer {
		last = (<-events).Version
	}
	select {
	case event, open := <-events:
		if open {
			t.Fatalf("event %+v after the break", event)
		}
	default:
		t.Fatal("the watch stayed open although an event was lost")
	}
	resumed, err := store.Watch(ctx, "", last)
	if err != nil {
		t.Fatal(err)
	}
	if event := <-resumed; event.Version != version {
		t.Errorf("resumed at version %d, want %d", event.Version, version)
	}
}
