package client

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

const (
	callTimeout = 5 * time.Second
	slowDelay   = 500 * time.Millisecond
	slowTimeout = 200 * time.Millisecond // below slowDelay
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve runs handler until the test ends, and returns its base URL.
func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// kvUnderTest is a key-value service, called in process or through the client.
type kvUnderTest struct {
	platform.KV
	store *kv.Store
}

// forEachKV runs a test against the store itself and through the HTTP client.
func forEachKV(t *testing.T, timeout time.Duration, test func(*testing.T, kvUnderTest)) {
	t.Run("in process", func(t *testing.T) {
		store := kv.New(1)
		test(t, kvUnderTest{store, store})
	})
	t.Run("over HTTP", func(t *testing.T) {
		store := kv.New(1)
		client := NewKV(serve(t, kv.Handler(store)), timeout)
		t.Cleanup(client.Close)
		test(t, kvUnderTest{client, store})
	})
}

// timeoutFor returns the time-out of a call, which is shorter than the delay if there
// is one.
func timeoutFor(delay time.Duration) time.Duration {
	if delay > 0 {
		return slowTimeout
	}
	return callTimeout
}

func swap(ctx context.Context, service platform.KV, value string, expected platform.Version) error {
	_, err := service.CompareAndSwap(ctx, "k", []byte(value), expected, 0)
	return err
}

// kvCase is a call to a service in which k is "old" at version 1.
type kvCase struct {
	name      string
	faults    kv.Faults
	call      func(context.Context, platform.KV) error
	want      error  // nil: no error
	wantValue string // value of k after the call; empty: absent
}

func swapTo(value string, expected platform.Version) func(context.Context, platform.KV) error {
	return func(ctx context.Context, s platform.KV) error { return swap(ctx, s, value, expected) }
}

func get(key, want string) func(context.Context, platform.KV) error {
	return func(ctx context.Context, s platform.KV) error {
		entry, err := s.Get(ctx, key)
		if err == nil && (entry.Key != key || string(entry.Value) != want || entry.Version == 0) {
			return errors.Errorf("entry %+v, want %q", entry, want)
		}
		return err
	}
}

func remove(key string, expected platform.Version) func(context.Context, platform.KV) error {
	return func(ctx context.Context, s platform.KV) error { return s.Delete(ctx, key, expected) }
}

func list(ctx context.Context, s platform.KV) error {
	for _, key := range []string{"x/b", "x/a", "y"} {
		if _, err := s.CompareAndSwap(ctx, key, nil, 0, 0); err != nil {
			return err
		}
	}
	entries, err := s.List(ctx, "x/")
	if err == nil && (len(entries) != 2 || entries[0].Key != "x/a" || entries[1].Key != "x/b") {
		return errors.Errorf("entries %+v, want x/a and x/b", entries)
	}
	return err
}

func throttledRead(ctx context.Context, s platform.KV) error {
	if _, err := s.Get(ctx, "k"); err != nil {
		return errors.Errorf("first read: %v", err)
	}
	_, err := s.List(ctx, "")
	return err
}

func throttledWrite(ctx context.Context, s platform.KV) error {
	if err := swap(ctx, s, "new", 1); err != nil {
		return errors.Errorf("first write: %v", err)
	}
	return swap(ctx, s, "newer", 2)
}

func revokeLease(ctx context.Context, s platform.KV) error {
	id, err := s.GrantLease(ctx, time.Hour)
	if err != nil {
		return err
	}
	if _, err := s.CompareAndSwap(ctx, "k", []byte("leased"), 1, id); err != nil {
		return err
	}
	if err := s.RenewLease(ctx, id); err != nil {
		return err
	}
	return s.RevokeLease(ctx, id)
}

// renewExpiredLease renews a lease after it has expired.
func renewExpiredLease(ctx context.Context, s platform.KV) error {
	const ttl = 500 * time.Millisecond
	id, err := s.GrantLease(ctx, ttl)
	if err != nil {
		return err
	}
	if _, err := s.CompareAndSwap(ctx, "k", []byte("leased"), 1, id); err != nil {
		return errors.Errorf("write under the lease: %v", err)
	}
	time.Sleep(ttl)
	return s.RenewLease(ctx, id)
}

var kvCases = []kvCase{
	{"get", kv.Faults{}, get("k", "old"), nil, "old"},
	{"get absent", kv.Faults{}, get("absent", ""), platform.ErrNotFound, "old"},
	{"list", kv.Faults{}, list, nil, "old"},
	{"swap", kv.Faults{}, swapTo("new", 1), nil, "new"},
	{"swap at an old version", kv.Faults{}, swapTo("new", 7), platform.ErrConflict, "old"},
	{"create an existing key", kv.Faults{}, swapTo("new", 0), platform.ErrConflict, "old"},
	{"delete", kv.Faults{}, remove("k", 1), nil, ""},
	{"delete at an old version", kv.Faults{}, remove("k", 7), platform.ErrConflict, "old"},
	{"delete absent", kv.Faults{}, remove("absent", 1), platform.ErrNotFound, "old"},
	{"largest value", kv.Faults{}, func(ctx context.Context, s platform.KV) error {
		_, err := s.CompareAndSwap(ctx, "large", make([]byte, platform.MaxValueSize), 0, 0)
		return err
	}, nil, "old"},
	{"oversized value", kv.Faults{}, swapTo(string(make([]byte, platform.MaxValueSize+1)), 1), platform.ErrTooLarge, "old"},
	{"revoked lease", kv.Faults{}, revokeLease, nil, ""},
	{"lease expires while its holder is paused", kv.Faults{}, renewExpiredLease, platform.ErrNotFound, ""},
	{"write under an unknown lease", kv.Faults{}, func(ctx context.Context, s platform.KV) error {
		_, err := s.CompareAndSwap(ctx, "k", nil, 1, 99)
		return err
	}, platform.ErrNotFound, "old"},
	{"renew an unknown lease", kv.Faults{}, func(ctx context.Context, s platform.KV) error {
		return s.RenewLease(ctx, 99)
	}, platform.ErrNotFound, "old"},
	{"read while down", kv.Faults{Down: true}, get("k", "old"), platform.ErrUnavailable, "old"},
	{"write while down", kv.Faults{Down: true}, swapTo("new", 1), platform.ErrUnavailable, "old"},
	{"watch while down", kv.Faults{Down: true}, func(ctx context.Context, s platform.KV) error {
		_, err := s.Watch(ctx, "", 0)
		return err
	}, platform.ErrUnavailable, "old"},
	{"slow read", kv.Faults{Delay: slowDelay}, get("k", "old"), platform.ErrUnavailable, "old"},
	{"slow write takes effect late", kv.Faults{Delay: slowDelay}, swapTo("new", 1), platform.ErrOutcomeUnknown, "new"},
	{"response to a write lost", kv.Faults{LoseAnswers: 1}, swapTo("new", 1), platform.ErrOutcomeUnknown, "new"},
	{"response to a conflict lost", kv.Faults{LoseAnswers: 1}, swapTo("new", 7), platform.ErrOutcomeUnknown, "old"},
	{"response to a delete lost", kv.Faults{LoseAnswers: 1}, remove("k", 1), platform.ErrOutcomeUnknown, ""},
	{"response to a grant lost", kv.Faults{LoseAnswers: 1}, func(ctx context.Context, s platform.KV) error {
		_, err := s.GrantLease(ctx, time.Second)
		return err
	}, platform.ErrOutcomeUnknown, "old"},
	{"response to a write truncated", kv.Faults{CutAnswers: 1}, swapTo("new", 1), platform.ErrOutcomeUnknown, "new"},
	{"stale read", kv.Faults{StaleReads: 1}, func(ctx context.Context, s platform.KV) error {
		if err := swap(ctx, s, "new", 1); err != nil {
			return err
		}
		return get("k", "old")(ctx, s)
	}, nil, "new"},
	{"write from a stale read", kv.Faults{StaleReads: 1}, func(ctx context.Context, s platform.KV) error {
		if err := swap(ctx, s, "new", 1); err != nil {
			return err
		}
		entry, err := s.Get(ctx, "k")
		if err != nil {
			return err
		}
		return swap(ctx, s, "lost update", entry.Version)
	}, platform.ErrConflict, "new"},
	{"read above the rate limit", kv.Faults{ReadsPerSecond: 1}, throttledRead, platform.ErrThrottled, "old"},
	{"write above the rate limit", kv.Faults{WritesPerSecond: 1}, throttledWrite, platform.ErrThrottled, "new"},
	{"cancelled before the call", kv.Faults{}, func(ctx context.Context, s platform.KV) error {
		ctx, cancel := context.WithCancel(ctx)
		cancel()
		return swap(ctx, s, "new", 1)
	}, platform.ErrUnavailable, "old"},
}

func TestKVContract(t *testing.T) {
	for _, c := range kvCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			timeout := timeoutFor(c.faults.Delay)
			forEachKV(t, timeout, func(t *testing.T, service kvUnderTest) { c.check(t, service, timeout) })
		})
	}
}

func (c kvCase) check(t *testing.T, service kvUnderTest, timeout time.Duration) {
	if err := swap(t.Context(), service.store, "old", 0); err != nil {
		t.Fatal(err)
	}
	service.store.SetFaults(c.faults)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	err := c.call(ctx, service)
	if !errors.Is(err, c.want) {
		t.Errorf("error %v, want %v", err, c.want)
	}
	time.Sleep(c.faults.Delay) // until a delayed write has taken effect
	service.store.SetFaults(kv.Faults{})
	entry, _ := service.store.Get(t.Context(), "k")
	if string(entry.Value) != c.wantValue {
		t.Errorf("k is %q after the call, want %q", entry.Value, c.wantValue)
	}
}

// Keys are written and deleted while a watch is open and after it broke. The state
// rebuilt from the events must equal the state of the service.
func TestBrokenWatchResumesWithoutLoss(t *testing.T) {
	const rounds, writes = 20, 16
	forEachKV(t, callTimeout, func(t *testing.T, service kvUnderTest) {
		random := rand.New(rand.NewPCG(3, 3))
		seen := make(map[string][]byte)
		var last platform.Version
		for range rounds {
			events, err := service.Watch(t.Context(), "k", last)
			if err != nil {
				t.Fatal(err)
			}
			changeRandomKeys(t, service.store, random, writes)
			service.store.BreakWatches()
			last = applyEvents(t, events, seen, last)
			changeRandomKeys(t, service.store, random, writes)
		}
		events, err := service.Watch(t.Context(), "k", last)
		if err != nil {
			t.Fatal(err)
		}
		service.store.BreakWatches()
		applyEvents(t, events, seen, last)
		entries, err := service.List(t.Context(), "k")
		if err != nil {
			t.Fatal(err)
		}
		if len(entries) != len(seen) {
			t.Errorf("%d keys seen, want %d", len(seen), len(entries))
		}
		for _, entry := range entries {
			if !bytes.Equal(seen[entry.Key], entry.Value) {
				t.Errorf("%s: saw %q, want %q", entry.Key, seen[entry.Key], entry.Value)
			}
		}
	})
}

// changeRandomKeys writes or deletes random keys.
func changeRandomKeys(t *testing.T, store *kv.Store, random *rand.Rand, writes int) {
	for range writes {
		key := string([]rune{'k', 'a' + random.Int32N(12)})
		entry, _ := store.Get(t.Context(), key)
		var err error
		if entry.Version != 0 && random.IntN(2) == 0 {
			err = store.Delete(t.Context(), key, entry.Version)
		} else {
			_, err = store.CompareAndSwap(t.Context(), key, []byte{byte(random.Uint32())}, entry.Version, 0)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// applyEvents applies events until the watch breaks, and returns the last version.
func applyEvents(t *testing.T, events <-chan platform.Event, seen map[string][]byte, last platform.Version) platform.Version {
	for event := range events {
		if event.Version <= last {
			t.Errorf("version %d after %d", event.Version, last)
		}
		last = event.Version
		if event.Deleted {
			delete(seen, event.Key)
		} else {
			seen[event.Key] = event.Value
		}
	}
	return last
}
