package peering

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// sharedStore is a store that several gateways read.
type sharedStore struct {
	mu      sync.Mutex
	era     platform.Era
	entries []platform.Entry
}

func (s *sharedStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, platform.Entry{Key: key, Value: []byte(value), Version: platform.NewVersion(s.era, uint64(len(s.entries)+1))})
}

// storeClient is a gateway's client of the store. It fails while unreachable is set.
type storeClient struct {
	store       *sharedStore
	mu          sync.Mutex
	unreachable bool
}

func (c *storeClient) setUnreachable(unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable = unreachable
}

func (c *storeClient) isUnreachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable
}

func (c *storeClient) Read(context.Context, string) ([]platform.Entry, platform.Version, error) {
	if c.isUnreachable() {
		return nil, 0, platform.ErrUnavailable
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return append([]platform.Entry(nil), c.store.entries...), platform.NewVersion(c.store.era, uint64(len(c.store.entries))), nil
}

func (c *storeClient) Changes(ctx context.Context, _ string, after platform.Version, _ time.Duration) ([]platform.Event, platform.Version, error) {
	select {
	case <-ctx.Done():
	case <-time.After(50 * time.Millisecond):
	}
	entries, position, err := c.Read(ctx, "")
	if err != nil {
		return nil, after, err
	}
	var events []platform.Event
	for _, entry := range entries[after.Revision():] {
		events = append(events, platform.Event{Entry: entry})
	}
	return events, position, nil
}

// testLayout decodes the values "config VERSION" and "weights MODEL VERSION".
type testLayout struct{}

func (testLayout) FromOperator(key string) bool { return strings.HasPrefix(key, "op/") }

func (testLayout) ServerID(string) (string, bool) { return "", false }

func (testLayout) Decode(_ string, value []byte, _ time.Time) (follower.Item, error) {
	kind, rest, _ := bytes.Cut(value, []byte(" "))
	version, err := strconv.ParseUint(string(value[bytes.LastIndexByte(value, ' ')+1:]), 10, 64)
	if string(kind) == "config" {
		return follower.Item{Config: (&deployment.Config{Version: version}).Index()}, err
	}
	model, _, _ := bytes.Cut(rest, []byte(" "))
	return follower.Item{Weights: follower.Weights{Model: string(model), Version: version}}, err
}

// gateway holds the parts of a gateway that take part in an exchange.
type gateway struct {
	address  string
	store    *storeClient
	follower *follower.Follower
	fleet    *fleet.Fleet
	cache    *kvcache.Directory
}

func newGateway(ctx context.Context, t *testing.T, s *sharedStore, group *sync.WaitGroup, seeds []string) *gateway {
	return newGatewayServing(ctx, t, s, group, seeds, func(x *Exchange) wire.DRPCGatewaysServer { return x })
}

// newGatewayServing returns a gateway whose calls from others go to what serve returns.
func newGatewayServing(ctx context.Context, t *testing.T, s *sharedStore, group *sync.WaitGroup, seeds []string, serve func(*Exchange) wire.DRPCGatewaysServer) *gateway {
	return newGatewayDialing(ctx, t, s, group, seeds, serve, rpc.NewDialer(nil))
}

// newGatewayDialing returns a gateway that calls others with a dialer of its own.
func newGatewayDialing(ctx context.Context, t *testing.T, s *sharedStore, group *sync.WaitGroup, seeds []string, serve func(*Exchange) wire.DRPCGatewaysServer, dialer *rpc.Dialer) *gateway {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gateway{address: listener.Addr().String(), store: &storeClient{store: s}, fleet: fleet.New(), cache: kvcache.NewDirectory()}
	g.follower = follower.New(g.store, testLayout{}, func(snapshot *deployment.Snapshot) { g.fleet.Prune(snapshot) })
	t.Cleanup(func() { _ = dialer.Close() })
	x := New(Options{Self: g.address, Seeds: seeds, Dialer: dialer, Follower: g.follower, Fleet: g.fleet, Cache: g.cache})
	mux := drpcmux.New()
	if err := wire.DRPCRegisterGateways(mux, serve(x)); err != nil {
		t.Fatal(err)
	}
	group.Go(func() { _ = rpc.Serve(ctx, listener, mux, nil, nil) })
	group.Go(func() { g.follower.Run(ctx) })
	group.Go(func() { x.Run(ctx) })
	s.put(follower.GatewayPrefix+g.address+"/1", "{}")
	return g
}

func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Errorf("not seen within 10 s: %s", condition)
}

func TestGatewaysShareLoadsAndCacheUses(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	s := &sharedStore{}
	s.put("op/config", "config 1")
	a := newGateway(ctx, t, s, &group, nil)
	b := newGateway(ctx, t, s, &group, nil)
	attempt := a.fleet.Begin("e1", 500, time.Now())
	defer attempt.End(fleet.Succeeded, time.Now())
	eventually(t, "the load of the other gateway", func() bool { return b.fleet.Running("e1") == 1 })
	holder := kvcache.Holder{ID: "e1", Address: "e1:1"}
	b.cache.RecordUse(&kvcache.Use{Salt: "s", Parts: []string{"p"}, Holder: holder, Saved: true}, time.Now())
	eventually(t, "the other gateway's use of a part", func() bool { return a.cache.Locations("s", "p", time.Now()).Holders[0] == holder })
}

// A gateway that can't reach the store gets the operators' entries from another one, and
// the times at which versions of the weights became the target.
func TestCutOffGatewayLearnsFromAnother(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	s := &sharedStore{}
	s.put("op/config", "config 1")
	s.put("op/version/m", "weights m 1")
	a := newGateway(ctx, t, s, &group, nil)
	b := newGateway(ctx, t, s, &group, []string{a.address})
	eventually(t, "the first configuration", func() bool { return b.follower.Snapshot().Ready() && len(b.follower.Snapshot().Gateways) == 2 })
	b.store.setUnreachable(true)
	s.put("op/config", "config 2")
	s.put("op/version/m", "weights m 2")
	start := time.Now()
	eventually(t, "the second configuration", func() bool { return b.follower.Snapshot().Config.Version == 2 })
	if took := time.Since(start); took > 2*time.Second { // the required bound for a change
		t.Errorf("the configuration arrived after %v, want at most 2 s", took)
	}
	eventually(t, "the weights", func() bool { return b.follower.Snapshot().Weights["m"].Version == 2 })

	late := newGateway(ctx, t, s, &group, []string{a.address})
	eventually(t, "when the first weights were replaced", func() bool {
		now := time.Now()
		mine, theirs := late.follower.Snapshot().Weights["m"].ReplacedFor(1, now), a.follower.Snapshot().Weights["m"].ReplacedFor(1, now)
		return mine > 0 && (mine-theirs).Abs() < 300*time.Millisecond
	})
}

// A gateway that starts after a restore reads older operators' entries from the store. It
// gets those in force from a gateway that has them, even if that one can't reach the store.
func TestGatewayStartsAfterARestore(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	before := &sharedStore{}
	before.put("op/config", "config 2")
	before.put("op/version/m", "weights m 4")
	restored := &sharedStore{era: 1}
	restored.put("op/config", "config 1")
	a := newGateway(ctx, t, before, &group, nil)
	eventually(t, "the first configuration", func() bool { return a.follower.Snapshot().Ready() })
	a.store.setUnreachable(true)
	start := time.Now()
	for range 2 { // one of them is called by the other, or both are
		late := newGateway(ctx, t, restored, &group, []string{a.address})
		eventually(t, "the configuration in force", func() bool {
			s := late.follower.Snapshot()
			return s.Ready() && s.Config.Version == 2 && s.Weights["m"].Version == 4
		})
		if took := time.Since(start); took > 2*time.Second { // the required bound for a change
			t.Errorf("the operators' entries arrived after %v, want at most 2 s", took)
		}
		start = time.Now()
	}
	restored.put("op/config", "config 3")
	eventually(t, "a later change at the gateway that was cut off", func() bool { return a.follower.Snapshot().Config.Version == 3 })
}
