package route

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	testGroup = "engines"
	testRate  = 10_000 // tokens per second
	testSlots = 16
)

func TestMain(m *testing.M) {
	if err := logging.Setup(io.Discard, "warn", logging.FormatText); err != nil {
		panic(err) // the level exists
	}
	m.Run()
}

var testModel = &config.Model{Name: "m", Base: "m", Group: testGroup, WeightsVersion: "1", ContextTokens: 1 << 20}

// fleet is a group of engines as the router sees them.
type fleet struct {
	vms    []platform.VM
	source *control.AtomicSource
}

func newFleet(engines int) *fleet {
	f := &fleet{source: control.NewAtomicSource(&control.Snapshot{})}
	for i := range engines {
		f.vms = append(f.vms, platform.VM{Name: fmt.Sprintf("engine-%d", i), Address: address(i),
			AvailabilityZone: "a", Group: testGroup, State: platform.VMLive})
	}
	f.publish()
	return f
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250) }

func (f *fleet) publish() {
	f.source.Publish(&control.Snapshot{View: membership.NewView(f.vms)})
}

// router returns a filter with a warm index and an idle report of each engine.
func (f *fleet) router(t testing.TB, policy string) *Filter {
	t.Helper()
	settings := &config.Settings{}
	settings.Router.Policy = policy
	settings.Daemon.AvailabilityZone = "a"
	filter, err := New(settings, f.source, NewTracker(), prefix.NewIndex(200_000))
	if err != nil {
		t.Fatal(err)
	}
	close(filter.warm)
	for _, vm := range f.vms {
		filter.recordLoad(vm.Address, idleLoad(nil))
	}
	return filter
}

// idleLoad returns the load report of an idle engine, modified by change if it
// is not nil.
func idleLoad(change func(*wire.Load)) *wire.Load {
	load := &wire.Load{Incarnation: 1, MaxRunning: testSlots, PrefillRate: testRate,
		Loaded: []*wire.Weights{{Model: "m", Version: "1"}}}
	if change != nil {
		change(load)
	}
	return load
}

// promptRequest returns a request whose prompt consists of the given number of
// tokens of repeated shared text and a short suffix of its own.
func promptRequest(shared string, tokens, own int) *request.Request {
	text := strings.Repeat(shared, tokens*4/len(shared)) + fmt.Sprintf("%040d", own)
	return &request.Request{ID: "r", Workspace: "w", Class: config.ClassUrgent,
		Generation: &request.Generation{Model: testModel, WeightsVersion: "1", Prompt: text}}
}

func mustChoose(t *testing.T, f *Filter, req *request.Request) string {
	t.Helper()
	target, err := f.choose(req)
	if err != nil {
		t.Fatal(err)
	}
	return target.Address
}

// A request goes to the holder of its prefix unless recomputing the prefix
// elsewhere is faster.
func TestRequestAvoidsHolderOnlyIfRecomputingIsFaster(t *testing.T) {
	const length = 4000 // 0.4 s to compute
	cases := []struct {
		name      string
		class     config.Class
		holder    func(*wire.Load)
		elsewhere bool
	}{
		{"idle holder", config.ClassUrgent, nil, false},
		{"short queue", config.ClassUrgent, func(l *wire.Load) { l.BacklogTokens, l.UrgentBacklogTokens = 3000, 3000 }, false},
		{"long queue", config.ClassUrgent, func(l *wire.Load) { l.BacklogTokens, l.UrgentBacklogTokens = 6000, 6000 }, true},
		{"long queue of deferrable work", config.ClassUrgent, func(l *wire.Load) { l.BacklogTokens = 50_000 }, false},
		{"deferrable waits for its prefix", config.ClassDeferrable, func(l *wire.Load) { l.BacklogTokens = 10_000 }, false},
		{"deferrable does not wait too long", config.ClassDeferrable, func(l *wire.Load) { l.BacklogTokens = 100_000 }, true},
		{"long wait for a slot", config.ClassDeferrable, func(l *wire.Load) { l.Queued, l.Running = 500, testSlots }, true},
		{"draining", config.ClassUrgent, func(l *wire.Load) { l.Draining = true }, true},
		{"other weights", config.ClassUrgent, func(l *wire.Load) { l.Loaded[0].Model = "other" }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(3).router(t, PolicyPrefixAware)
			holder := mustChoose(t, f, promptRequest("pack", length, 1))
			f.recordLoad(holder, idleLoad(c.holder))
			req := promptRequest("pack", length, 2)
			req.Class = c.class
			if got := mustChoose(t, f, req); (got != holder) != c.elsewhere {
				t.Errorf("chose %s, the holder is %s", got, holder)
			}
		})
	}
}

// A restarted engine holds no prefixes, whatever the index had before.
func TestNewIncarnationDropsPrefixes(t *testing.T) {
	for _, c := range []struct {
		name          string
		incarnation   uint64
		prefillTokens int64
	}{{"same", 1, 10}, {"new", 2, 4010}} {
		f := newFleet(1).router(t, PolicyPrefixAware)
		holder := mustChoose(t, f, promptRequest("pack", 4000, 1))
		f.recordLoad(holder, idleLoad(func(l *wire.Load) { l.Incarnation = c.incarnation }))
		req := promptRequest("pack", 4000, 2)
		if mustChoose(t, f, req); req.PrefillTokens != c.prefillTokens {
			t.Errorf("%s incarnation: %d tokens to prefill, want %d", c.name, req.PrefillTokens, c.prefillTokens)
		}
	}
}

// No policy chooses a server that cannot take the request, and a request that
// no server can take is an error.
func TestUnavailableServersAreNeverChosen(t *testing.T) {
	cases := map[string]func(f *fleet, filter *Filter, req *request.Request, i int){
		"leaving": func(f *fleet, _ *Filter, _ *request.Request, i int) {
			f.vms[i].State = platform.VMLeaving
			f.publish()
		},
		"draining": func(f *fleet, filter *Filter, _ *request.Request, i int) {
			filter.recordLoad(address(i), idleLoad(func(l *wire.Load) { l.Draining = true }))
		},
		"failed": func(_ *fleet, _ *Filter, req *request.Request, i int) {
			req.FailedServers = append(req.FailedServers, address(i))
		},
		"other weights": func(_ *fleet, filter *Filter, _ *request.Request, i int) {
			filter.recordLoad(address(i), idleLoad(func(l *wire.Load) { l.Loaded[0].Model = "other" }))
		},
	}
	for name, makeUnavailable := range cases {
		for _, policy := range []string{PolicyPrefixAware, PolicyRoundRobin, PolicyLeastLoaded, PolicyPrefixHash} {
			t.Run(name+"/"+policy, func(t *testing.T) {
				f := newFleet(4)
				filter := f.router(t, policy)
				req := promptRequest("pack", 2000, 1)
				for i := range 3 {
					makeUnavailable(f, filter, req, i)
				}
				for range 20 {
					if got := mustChoose(t, filter, req); got != address(3) {
						t.Fatalf("chose %s", got)
					}
				}
				makeUnavailable(f, filter, req, 3)
				if target, err := filter.choose(req); err == nil {
					t.Errorf("chose %s although no server is left", target.Address)
				}
			})
		}
	}
}

// Routers with an empty index send prompts with a common prefix to the same
// engine, and different prefixes to different engines.
func TestRoutersWithEmptyIndexAgree(t *testing.T) {
	for _, engines := range []int{12, 200} {
		f := newFleet(engines)
		used := make(map[string]bool)
		for i := range 40 {
			name := fmt.Sprintf("pack-%04d ", i)
			first := mustChoose(t, f.router(t, PolicyPrefixAware), promptRequest(name, 2000, 1))
			second := mustChoose(t, f.router(t, PolicyPrefixAware), promptRequest(name, 2000, 2))
			if first != second {
				t.Errorf("%d engines: prefix %d goes to %s and %s", engines, i, first, second)
			}
			used[first] = true
		}
		if len(used) < min(engines, 40)/2 {
			t.Errorf("%d engines: only %d used for 40 prefixes", engines, len(used))
		}
	}
}

// A prefix that is requested faster than one engine can serve it spreads to
// others; any other prefix stays on one engine.
func TestHotPrefixSpreads(t *testing.T) {
	for _, c := range []struct {
		inFlight int
		servers  func(n int) bool
	}{{10, func(n int) bool { return n == 1 }}, {400, func(n int) bool { return n > 1 }}} {
		f := newFleet(12).router(t, PolicyPrefixAware)
		used := make(map[string]bool)
		first := mustChoose(t, f, promptRequest("pack", 2000, 0))
		f.recordLoad(first, idleLoad(nil)) // it has computed the prefix
		for i := range c.inFlight {
			req := promptRequest("pack", 2000, i)
			target, err := f.choose(req)
			if err != nil {
				t.Fatal(err)
			}
			f.Dispatched(target, req.Class, req.PrefillTokens)
			used[target.Address] = true
		}
		if !c.servers(len(used)) {
			t.Errorf("%d requests in flight use %d engines", c.inFlight, len(used))
		}
	}
}

// The backlog includes dispatched work until the engine reports it, by class.
func TestBacklogIncludesDispatchedWork(t *testing.T) {
	tracker := NewTracker()
	tracker.dispatched("a", urgent, 700)
	tracker.RecordReport("a", idleLoad(func(l *wire.Load) { l.BacklogTokens, l.UrgentBacklogTokens = 1000, 700 }))
	tracker.dispatched("a", deferrable, 50)
	load := tracker.server("a")
	at := load.report.Load().receivedAt
	for _, c := range []struct {
		after float64 // seconds
		want  backlog
	}{{0, backlog{700, 350}}, {0.05, backlog{200, 350}}, {0.08, backlog{0, 250}}, {9, backlog{0, 50}}} {
		if got := load.backlog(at.Add(seconds(c.after))); got != c.want {
			t.Errorf("after %v s: %v, want %v", c.after, got, c.want)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{12, 7000} {
		for _, level := range []string{"warn", "info"} {
			b.Run(fmt.Sprintf("engines=%d/log=%s", engines, level), func(b *testing.B) {
				if err := logging.Setup(io.Discard, level, logging.FormatText); err != nil {
					b.Fatal(err)
				}
				f := newFleet(engines).router(b, PolicyPrefixAware)
				requests := make([]*request.Request, 256)
				for i := range requests {
					requests[i] = promptRequest(fmt.Sprintf("pack-%04d ", i%32), 4000, i)
					if _, err := f.choose(requests[i]); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					if _, err := f.choose(requests[i%len(requests)]); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkCandidateText measures the part of a log line that grows with the
// number of candidates.
func BenchmarkCandidateText(b *testing.B) {
	f := newFleet(12).router(b, PolicyPrefixAware)
	s := &scratch{}
	f.gatherCandidates(s, promptRequest("pack", 4000, 1), f.source.Snapshot().View.Group(testGroup), f.source.Snapshot().View.Ring(testGroup))
	f.score(&s.decision)
	b.ReportAllocs()
	for b.Loop() {
		candidateText(s.decision.candidates)
	}
}
