package rollout

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/platform"
)

func TestPick(t *testing.T) {
	now := time.Unix(100, 0)
	newEngines := func(n int, change func(i int, e *engine)) []engine {
		engines := make([]engine, n)
		for i := range engines {
			engines[i] = engine{id: fmt.Sprintf("e%02d", i), outdated: true, weights: 1}
			if change != nil {
				change(i, &engines[i])
			}
		}
		return engines
	}
	cases := []struct {
		name    string
		engines []engine
		want    []string
	}{
		{"two of twelve load, and one is quiesced ahead", newEngines(12, nil), []string{"e00", "e01", "e02"}},
		{"no engine is outdated", newEngines(12, func(_ int, e *engine) { e.outdated = false }), []string{}},
		{"the oldest weights first", newEngines(12, func(i int, e *engine) { e.weights = uint64(20 - i) }), []string{"e11", "e10", "e09"}},
		{"of equal weights the least busy first", newEngines(12, func(i int, e *engine) { e.running = 12 - i }), []string{"e11", "e10", "e09"}},
		{"loads in progress count", newEngines(12, func(i int, e *engine) { e.phase = phase(min(2, i%6)) % 3 }), []string{}},
		{"a draining engine is skipped", newEngines(2, func(i int, e *engine) { e.draining = i == 0 }), []string{"e01"}},
		{"a failed engine waits for its retry time", newEngines(2, func(i int, e *engine) { e.retryAt = now.Add(time.Duration(1-i) * time.Second) }), []string{"e01"}},
		{"a single engine", newEngines(1, nil), []string{"e00"}},
		{"no engines", nil, []string{}},
	}
	for _, c := range cases {
		if got := pickNext(c.engines, now); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	for n, want := range map[int]int{1: 1, 2: 1, 3: 1, 6: 1, 7: 2, 12: 2, 13: 3, 41: 7, 49: 9} {
		if got := maxLoads(n); got != want {
			t.Errorf("%d of %d engines may load, want %d", got, n, want)
		}
	}
}

// fakeEngine is an engine that takes fakeLoadTime to load weights.
type fakeEngine struct {
	weights      uint64
	accepted     uint64
	target       uint64
	readyAt      time.Time
	dropsReplies bool          // orders are executed but get no response
	delay        time.Duration // orders are executed this much later, and get no response
	holders      []string
}

// fakeEngines implements Engines.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	loading int // maximum of concurrent loads so far
}

const fakeLoadTime = 1200 * time.Millisecond

// orders returns the number of accepted orders.
func (f *fakeEngines) orders() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := uint64(0)
	for _, e := range f.engines {
		n += e.accepted
	}
	return n
}

// finishLoad applies the target weights once their load has taken fakeLoadTime.
func (f *fakeEngines) finishLoad(e *fakeEngine) {
	if e.target > 0 && !time.Now().Before(e.readyAt) {
		e.weights, e.target = e.target, 0
	}
}

func (f *fakeEngines) Report(_ context.Context, server *deployment.Server) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[server.ID]
	f.finishLoad(e)
	return Report{Weights: map[string]uint64{"m": e.weights}, Busy: e.target > 0, Accepted: e.accepted}, nil
}

func (f *fakeEngines) Order(_ context.Context, server *deployment.Server, order *Order) (OrderResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[server.ID]
	if e.delay > 0 {
		delayed := *order
		time.AfterFunc(e.delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.accept(e, &delayed)
		})
		return OrderUnknown, errors.New("no response")
	}
	result := f.accept(e, order)
	if e.dropsReplies {
		return OrderUnknown, errors.New("no response")
	}
	return result, nil
}

func (f *fakeEngines) accept(e *fakeEngine, order *Order) OrderResult {
	f.finishLoad(e)
	if e.target > 0 || order.Expected != e.accepted {
		return OrderConflict
	}
	e.accepted++
	e.target, e.readyAt = order.Version, time.Now().Add(fakeLoadTime)
	e.holders = append(e.holders, order.Holder)
	loading := 0
	for _, other := range f.engines {
		f.finishLoad(other)
		if other.target > 0 {
			loading++
		}
	}
	f.loading = max(f.loading, loading)
	return OrderAccepted
}

// fakeSource is a Source whose snapshot is set by tests.
type fakeSource struct {
	mu       sync.Mutex
	snapshot *deployment.Snapshot
}

func (s *fakeSource) Snapshot() *deployment.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

func (s *fakeSource) set(engines *fakeEngines, version uint64, leader string) {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	servers := make(map[string]*deployment.Server)
	for id, e := range engines.engines {
		servers[id] = &deployment.Server{ID: id, Service: "lm", Slots: 64, Weights: map[string]uint64{"m": e.weights}}
	}
	var target deployment.WeightsTarget
	if s.snapshot != nil {
		target = s.snapshot.Weights["m"]
	}
	if version > target.Version {
		target = target.Advance(version, time.Now())
	}
	s.snapshot = (&deployment.Snapshot{
		Config:  (&deployment.Config{Version: 1, Services: []deployment.Service{{Name: "lm", Engine: &deployment.Engine{Models: []string{"m"}}}}}).Index(),
		Servers: servers, Weights: map[string]deployment.WeightsTarget{"m": target}, Leader: leader,
	}).Index()
}

// fakeLeases is a LeaseKV with one key.
type fakeLeases struct {
	mu      sync.Mutex
	version platform.Version
	value   []byte
	until   time.Time
	down    bool
}

func (l *fakeLeases) held() bool { return l.value != nil && time.Now().Before(l.until) }

// holder returns the value of the key, or "" if the lease is not held.
func (l *fakeLeases) holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held() {
		return ""
	}
	return string(l.value)
}

func (l *fakeLeases) Get(context.Context, string) (platform.Entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.Entry{}, platform.ErrUnavailable
	}
	if !l.held() {
		return platform.Entry{}, platform.ErrNotFound
	}
	return platform.Entry{Value: l.value, Version: l.version}, nil
}

func (l *fakeLeases) CompareAndSwap(_ context.Context, _ string, value []byte, _ platform.Version, _ platform.LeaseID) (platform.Version, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held() {
		return 0, platform.ErrConflict
	}
	l.version++
	l.value, l.until = value, time.Now().Add(3*time.Second)
	return l.version, nil
}

func (l *fakeLeases) GrantLease(context.Context, time.Duration) (platform.LeaseID, error) {
	return 1, nil
}

func (l *fakeLeases) RenewLease(context.Context, platform.LeaseID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.ErrUnavailable
	}
	if !l.held() {
		return platform.ErrNotFound
	}
	l.until = time.Now().Add(3 * time.Second)
	return nil
}

func (*fakeLeases) Era() platform.Era { return 0 }

func (l *fakeLeases) RevokeLease(context.Context, platform.LeaseID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value = nil
	return nil
}

type testDeployment struct {
	engines *fakeEngines
	source  *fakeSource
	leases  *fakeLeases
}

func (d *testDeployment) start(ctx context.Context, self string) {
	r := New(Options{Self: self, Lease: 3 * time.Second, LeaseKV: d.leases, Key: "k", Source: d.source, Fleet: fleet.New(), Engines: d.engines})
	go r.Run(ctx)
}

// waitFor sets the target version and waits until all engines have loaded it. It returns
// the time that this took, and false after the limit.
func (d *testDeployment) waitFor(version uint64, limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		time.Sleep(50 * time.Millisecond)
		d.source.set(d.engines, version, d.leases.holder())
		all := true
		d.engines.mu.Lock()
		for _, e := range d.engines.engines {
			d.engines.finishLoad(e)
			all = all && e.weights >= version
		}
		d.engines.mu.Unlock()
		if all {
			return time.Since(start), true
		}
	}
	return limit, false
}

func runTest(t *testing.T, n int, test func(ctx context.Context, d *testDeployment)) {
	synctest.Test(t, func(t *testing.T) {
		d := &testDeployment{engines: &fakeEngines{engines: make(map[string]*fakeEngine)}, source: &fakeSource{}, leases: &fakeLeases{}}
		for i := range n {
			d.engines.engines[fmt.Sprint("e", i)] = &fakeEngine{weights: 1}
		}
		d.source.set(d.engines, 1, "")
		ctx, cancel := context.WithCancel(context.Background())
		test(ctx, d)
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// maxRolloutTime is the bound that operators set for a rollout.
const maxRolloutTime = 12 * time.Second

func TestRollout(t *testing.T) {
	runTest(t, 12, func(ctx context.Context, d *testDeployment) {
		d.start(ctx, "a")
		took, ok := d.waitFor(2, maxRolloutTime)
		if !ok {
			t.Fatalf("version 2 is not loaded everywhere after %v", took)
		}
		if d.engines.loading > 2 {
			t.Errorf("%d of 12 engines loaded concurrently, want at most 2", d.engines.loading)
		}
		d.engines.mu.Lock()
		defer d.engines.mu.Unlock()
		for id, e := range d.engines.engines {
			if e.accepted != 1 {
				t.Errorf("%s accepted %d orders, want 1", id, e.accepted)
			}
		}
	})
}

// An engine skips a version that is replaced before the engine loads it.
func TestReplacedVersionIsSkipped(t *testing.T) {
	runTest(t, 12, func(ctx context.Context, d *testDeployment) {
		d.start(ctx, "a")
		d.waitFor(2, 2*time.Second)
		if _, ok := d.waitFor(3, maxRolloutTime); !ok {
			t.Fatal("version 3 is not loaded everywhere")
		}
		if orders := d.engines.orders(); orders > 12+4 {
			t.Errorf("%d orders for two versions, want at most 16: the first was replaced early", orders)
		}
	})
}

// An order without a response may have been executed at once, or be executed late. It
// must not lead to a second load.
func TestUncertainOrders(t *testing.T) {
	runTest(t, 3, func(ctx context.Context, d *testDeployment) {
		d.engines.engines["e0"].dropsReplies = true
		d.engines.engines["e1"].delay = 3 * time.Second
		d.start(ctx, "a")
		if _, ok := d.waitFor(2, maxRolloutTime); !ok {
			t.Fatal("version 2 is not loaded everywhere")
		}
		time.Sleep(10 * time.Second)
		d.engines.mu.Lock()
		defer d.engines.mu.Unlock()
		for id, e := range d.engines.engines {
			if e.accepted != 1 {
				t.Errorf("%s accepted %d orders, want 1", id, e.accepted)
			}
		}
	})
}

// Only the holder of the lease sends orders; another gateway takes over once it stops.
func TestOneHolderAtATime(t *testing.T) {
	runTest(t, 12, func(ctx context.Context, d *testDeployment) {
		first, stop := context.WithCancel(ctx)
		d.start(first, "a")
		d.start(ctx, "b")
		d.waitFor(2, 4*time.Second)
		holder := d.leases.holder()
		stop()
		if _, ok := d.waitFor(2, 2*maxRolloutTime); !ok {
			t.Fatalf("version 2 is not loaded everywhere; first holder of the lease: %q", holder)
		}
		d.engines.mu.Lock()
		defer d.engines.mu.Unlock()
		for id, e := range d.engines.engines {
			if len(e.holders) != 1 {
				t.Errorf("%s accepted orders of %v, want those of one gateway", id, e.holders)
			}
		}
	})
}

// Without a valid lease no orders are sent, neither before it is acquired nor after it
// has expired.
func TestNoOrdersWithoutTheLease(t *testing.T) {
	runTest(t, 12, func(ctx context.Context, d *testDeployment) {
		d.leases.down = true
		d.start(ctx, "a")
		if _, ok := d.waitFor(2, maxRolloutTime); ok {
			t.Error("orders were sent without a lease")
		}
	})
	runTest(t, 12, func(ctx context.Context, d *testDeployment) {
		d.start(ctx, "a")
		d.waitFor(2, 2*time.Second)
		d.leases.mu.Lock()
		d.leases.down = true
		d.leases.mu.Unlock()
		time.Sleep(5 * time.Second) // the lease expires, and loads in progress end
		before := d.engines.orders()
		d.waitFor(2, maxRolloutTime)
		if after := d.engines.orders(); after != before {
			t.Errorf("%d orders after the lease expired, want 0", after-before)
		}
	})
}
