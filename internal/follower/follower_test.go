package follower

import (
	"context"
	"maps"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// fakeFeed is an in-memory store.
type fakeFeed struct {
	mu       sync.Mutex
	revision platform.Version
	items    map[string]platform.Entry
	history  []platform.Event
	oldest   platform.Version
	down     bool
	cuts     int // waiting watches that are still to be cut, one each
	reads    int
	watches  int
}

func newFakeFeed() *fakeFeed { return &fakeFeed{items: make(map[string]platform.Entry)} }

func (f *fakeFeed) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	entry := platform.Entry{Key: key, Value: []byte(value), Version: f.revision}
	f.items[key] = entry
	f.history = append(f.history, platform.Event{Entry: entry})
}

func (f *fakeFeed) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	delete(f.items, key)
	f.history = append(f.history, platform.Event{Entry: platform.Entry{Key: key, Version: f.revision}, Deleted: true})
}

func (f *fakeFeed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeFeed) Read(_ context.Context, _ string) ([]platform.Entry, platform.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, 0, platform.ErrUnavailable
	}
	f.reads++
	var entries []platform.Entry
	for _, entry := range f.items {
		entries = append(entries, entry)
	}
	return entries, f.revision, nil
}

func (f *fakeFeed) Changes(ctx context.Context, _ string, after platform.Version, wait time.Duration) ([]platform.Event, platform.Version, error) {
	f.set(func() { f.watches++ })
	for deadline := time.Now().Add(wait); ; {
		f.mu.Lock()
		down, oldest, position := f.down, f.oldest, f.revision
		cut := f.cuts > 0
		if cut {
			f.cuts--
		}
		var events []platform.Event
		for _, event := range f.history {
			if event.Version > after {
				events = append(events, event)
			}
		}
		f.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return nil, after, ctx.Err()
		case down, cut:
			return nil, after, platform.ErrUnavailable
		case after < oldest:
			return nil, after, platform.ErrCompacted
		case len(events) > 0 || !time.Now().Before(deadline):
			return events, position, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// textLayout decodes entries such as "config 7", "server lm 10.0.0.1:80" and
// "weights m 2".
type textLayout struct{}

func (textLayout) FromOperator(key string) bool { return strings.HasPrefix(key, "op/") }

func (textLayout) ServerID(key string) (string, bool) { return strings.CutPrefix(key, "servers/") }

func (textLayout) Decode(key string, value []byte, _ time.Time) (Item, error) {
	words := strings.Fields(string(value))
	if len(words) == 0 {
		return Item{}, errors.New("empty")
	}
	switch words[0] {
	case "config":
		version, err := strconv.ParseUint(words[1], 10, 64)
		return Item{Config: (&deployment.Config{Version: version}).Index()}, err
	case "server":
		id, _ := strings.CutPrefix(key, "servers/")
		return Item{Server: &deployment.Server{ID: id, Service: words[1], Address: words[2]}}, nil
	case "weights":
		version, err := strconv.ParseUint(words[2], 10, 64)
		return Item{Weights: Weights{Model: words[1], Version: version}}, err
	}
	return Item{}, errors.Errorf("unknown entry %q", value)
}

// runFollower runs test in a synctest bubble, with a running Follower of a fake store.
func runFollower(t *testing.T, test func(f *fakeFeed, follower *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		f.put("op/config", "config 1")
		f.put("servers/a", "server lm 10.0.0.1:80")
		follower := New(f, textLayout{}, func(*deployment.Snapshot) {})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { follower.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		test(f, follower)
		cancel()
		<-done
		synctest.Wait()
	})
}

// inForceWithin is the time within which a change in the store must be in the snapshot.
const inForceWithin = 500 * time.Millisecond

func TestFollows(t *testing.T) {
	runFollower(t, func(f *fakeFeed, follower *Follower) {
		s := follower.Snapshot()
		if !s.Ready() || s.Config.Version != 1 || len(s.ServersOf("lm")) != 1 {
			t.Fatalf("first snapshot %+v", s)
		}
		f.put("op/config", "config 4")
		f.put("servers/b", "server lm 10.0.0.2:80")
		f.put("op/version/m", "weights m 2")
		f.remove("servers/a")
		time.Sleep(inForceWithin)
		s = follower.Snapshot()
		if s.Config.Version != 4 || s.Servers["a"] != nil || s.Servers["b"] == nil || s.Weights["m"].Version != 2 {
			t.Errorf("snapshot %+v", s)
		}
		if f.reads != 1 {
			t.Errorf("all entries were read %d times, want once", f.reads)
		}
	})
}

func TestConfigurationNeverReverts(t *testing.T) {
	runFollower(t, func(f *fakeFeed, follower *Follower) {
		f.put("op/config", "config 9")
		time.Sleep(inForceWithin)
		f.put("op/config", "config 3")
		f.put("op/config", "nonsense")
		f.set(func() { f.oldest = f.revision })
		time.Sleep(inForceWithin)
		f.remove("op/config")
		time.Sleep(inForceWithin)
		if got := follower.Snapshot().Config; got == nil || got.Version != 9 {
			t.Errorf("configuration %+v, want version 9", got)
		}
	})
}

func TestUndecodableEntryRemovesServer(t *testing.T) {
	runFollower(t, func(f *fakeFeed, follower *Follower) {
		f.put("servers/a", "\x00\xff")
		f.put("servers/c", "nonsense")
		f.put("servers/b", "server lm 10.0.0.2:80")
		time.Sleep(inForceWithin)
		if got := follower.Snapshot().Servers; len(got) != 1 || got["b"] == nil {
			t.Errorf("servers %v, want b only", maps.Collect(maps.All(got)))
		}
	})
}

// If the store has compacted the history, the Follower reads all entries.
// An entry over which the decoder panics names no server, and the entries after it are
// followed.
func TestPanicOverOneEntry(t *testing.T) {
	runFollower(t, func(f *fakeFeed, follower *Follower) {
		f.put("servers/bad", "server") // the decoder reads beyond its end
		f.put("servers/good", "server lm 10.0.0.1:80")
		time.Sleep(3 * time.Second)
		servers := follower.Snapshot().Servers
		if servers["bad"] != nil || servers["good"] == nil {
			t.Errorf("servers %v, want only good", servers)
		}
	})
}

func TestCompaction(t *testing.T) {
	runFollower(t, func(f *fakeFeed, follower *Follower) {
		f.set(func() { f.oldest = 1000 })
		f.remove("servers/a")
		f.put("op/config", "config 2")
		f.set(func() { f.history = nil; f.oldest = f.revision })
		time.Sleep(3 * inForceWithin)
		if s := follower.Snapshot(); s.Config.Version != 2 || s.Servers["a"] != nil {
			t.Errorf("snapshot %+v", s)
		}
	})
}

// Servers that disappeared while the store was lost are kept for relistGrace; those
// removed while the store is available go at once.
func TestServersAfterAnOutage(t *testing.T) {
	runFollower(t, func(f *fakeFeed, follower *Follower) {
		f.put("servers/b", "server lm 10.0.0.2:80")
		time.Sleep(inForceWithin)
		f.set(func() { f.down = true })
		f.remove("servers/a")
		f.remove("servers/b")
		time.Sleep(6 * time.Second)
		if staleness := follower.Staleness(time.Now()); staleness < 5*time.Second {
			t.Errorf("staleness %v after 6 s of outage, want at least 5 s", staleness)
		}
		f.set(func() { f.down = false })
		time.Sleep(time.Second)
		if got := follower.Snapshot().Servers; len(got) != 2 {
			t.Errorf("%d servers right after the outage, want both", len(got))
		}
		f.put("servers/b", "server lm 10.0.0.2:80")
		time.Sleep(relistGrace)
		if got := follower.Snapshot().Servers; len(got) != 1 || got["b"] == nil {
			t.Errorf("servers after relistGrace: %v, want b only", got)
		}
		f.remove("servers/b")
		time.Sleep(inForceWithin)
		if got := follower.Snapshot().Servers; len(got) != 0 {
			t.Errorf("servers after a removal: %v, want none", got)
		}
	})
}

// Newer events and earlier reports of other gateways are merged while the store is lost.
func TestHearsay(t *testing.T) {
	runFollower(t, func(f *fakeFeed, follower *Follower) {
		f.put("op/version/m", "weights m 3")
		time.Sleep(inForceWithin)
		f.set(func() { f.down = true })
		follower.Merge(context.Background(), Changes{Position: 50, Events: []platform.Event{
			{Entry: platform.Entry{Key: "op/config", Value: []byte("config 5"), Version: 50}},
			{Entry: platform.Entry{Key: "servers/a", Value: []byte("server old 10.9.9.9:80"), Version: 1}},
		}})
		now := time.Now()
		follower.MergeReports(context.Background(), []TargetReport{
			{Model: "m", WeightsVersion: deployment.WeightsVersion{Version: 2, Since: now.Add(-20 * time.Second)}},
			{Model: "m", WeightsVersion: deployment.WeightsVersion{Version: 3, Since: now.Add(-8 * time.Second)}},
			{Model: "m", WeightsVersion: deployment.WeightsVersion{Version: 9, Since: now}},
		})
		synctest.Wait()
		s := follower.Snapshot()
		if s.Config.Version != 5 || s.Servers["a"].Service != "lm" {
			t.Errorf("configuration %+v, server %+v", s.Config, s.Servers["a"])
		}
		target := s.Weights["m"]
		if target.Version != 3 || target.ReplacedFor(1, now) != 20*time.Second || target.ReplacedFor(2, now) != 8*time.Second || target.ReplacedFor(3, now) != 0 {
			t.Errorf("weights %+v", target)
		}
		if changes := follower.ChangesAfter(0); len(changes.Events) != 3 || changes.Position != 50 {
			t.Errorf("%d entries at position %d for other gateways, want 3 at 50", len(changes.Events), changes.Position)
		}
		if changes := follower.ChangesAfter(49); len(changes.Events) != 1 || changes.Events[0].Key != "op/config" {
			t.Errorf("entries after position 49: %+v, want op/config only", changes.Events)
		}
	})
}

func TestGatewaysAreListedOncePerAddress(t *testing.T) {
	runFollower(t, func(f *fakeFeed, follower *Follower) {
		f.put(GatewayPrefix+"10.0.0.1:1/x", "{}")
		f.put(GatewayPrefix+"10.0.0.1:1/y", "{}")
		f.put(GatewayPrefix+"10.0.0.2:1/z", "{}")
		f.put(LeaderKey, "node-1 abc")
		time.Sleep(inForceWithin)
		s := follower.Snapshot()
		if len(s.Gateways) != 2 || s.Gateways[0].Address != "10.0.0.1:1" || s.Leader != "node-1 abc" {
			t.Errorf("gateways %+v, leader %q", s.Gateways, s.Leader)
		}
		f.remove(LeaderKey)
		f.remove(GatewayPrefix + "10.0.0.2:1/z")
		time.Sleep(inForceWithin)
		if s = follower.Snapshot(); len(s.Gateways) != 1 || s.Leader != "" {
			t.Errorf("gateways %+v, leader %q", s.Gateways, s.Leader)
		}
	})
}

// An idle gateway makes no calls while it gets state from others, and reads the store
// itself when they send none.
func TestIdleFollower(t *testing.T) {
	runFollower(t, func(f *fakeFeed, follower *Follower) {
		follower.SetIdle(true)
		for range 20 { // until the last watch call has ended; others confirm the state meanwhile
			follower.Confirm(0)
			time.Sleep(100 * time.Millisecond)
		}
		f.set(func() { f.watches = 0 })
		for position := platform.Version(10); position < 50; position++ {
			events := []platform.Event{{Entry: platform.Entry{Key: "servers/a", Version: position}, Deleted: true}}
			if position%2 == 0 {
				events[0] = platform.Event{Entry: platform.Entry{Key: "servers/a", Value: []byte("server lm 10.0.0.1:80"), Version: position}}
			}
			follower.Merge(context.Background(), Changes{Events: events, Position: position, Age: 100 * time.Millisecond})
			time.Sleep(200 * time.Millisecond)
			if listed := follower.Snapshot().Servers["a"] != nil; listed != (position%2 == 0) {
				t.Fatalf("at position %d the server is listed: %v", position, listed)
			}
		}
		if f.watches != 0 {
			t.Errorf("%d watch calls while others watched, want none", f.watches)
		}
		f.set(func() { f.revision = 60 })
		f.put("op/config", "config 6")
		follower.Confirm(0)
		follower.ForceRead()
		time.Sleep(inForceWithin)
		if got := follower.Snapshot().Config.Version; got != 6 {
			t.Errorf("configuration %d after ForceRead while others have no newer state, want 6", got)
		}
		f.put("op/config", "config 7")
		time.Sleep(maxIdleStaleness + inForceWithin)
		if got := follower.Snapshot().Config.Version; got != 7 || f.watches == 0 {
			t.Errorf("configuration %d and %d calls after others stopped sending, want 7 and some calls", got, f.watches)
		}
	})
}
