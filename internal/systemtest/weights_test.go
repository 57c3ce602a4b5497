package systemtest

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/standin/model"
	weightstore "github.com/wasabigate/wasabigate/internal/standin/weights"
)

const (
	newWeights     = "v2"
	rolloutTimeout = 60 * time.Second
	rolloutPrompts = 6
)

// responses counts the texts of responses by prompt.
type responses struct {
	mu       sync.Mutex
	texts    map[string]map[string]int
	failures []string
	count    atomic.Int64
}

func (r *responses) add(prompt string, resp *streamedResponse, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count.Add(1)
	if err != nil || resp.status != http.StatusOK || !resp.complete {
		r.failures = append(r.failures, fmt.Sprintf("%+v, %v", resp, err))
		return
	}
	if r.texts[prompt] == nil {
		r.texts[prompt] = make(map[string]int)
	}
	r.texts[prompt][resp.text]++
}

func rolloutPrompt(n int) string { return longPrompt(fmt.Sprintf("rollout %d", n%rolloutPrompts)) }

// holdOnly reports whether all engines hold just that version.
func (s *system) holdOnly(t *testing.T, version string) bool {
	for _, e := range s.engines {
		state, err := e.engine.State(t.Context())
		if err != nil || !slices.Equal(state.Loaded, []engine.LoadedWeights{{Model: modelName, Version: version}}) {
			return false
		}
	}
	return true
}

func TestRolloutUnderLoadCutsNoStream(t *testing.T) {
	store := serveHTTP(t, weightstore.Handler(weightstore.New(platform.Weights{Model: modelName, Version: newWeights})))
	options := model.Options{DecodeStep: 10 * time.Millisecond, LoadTime: 300 * time.Millisecond}
	p := plan{routers: 2, engines: 4, engine: options, weightStore: store}
	s := start(t, p)
	before := make(map[string]string)
	for n := range rolloutPrompts {
		before[rolloutPrompt(n)] = s.wholeStream(t, rolloutPrompt(n)).text
	}
	got := &responses{texts: make(map[string]map[string]int)}
	var done atomic.Bool
	var callers sync.WaitGroup
	for g := range loadGoroutines {
		callers.Go(func() {
			for n := g; !done.Load(); n++ {
				body := completionBody(rolloutPrompt(n), streamTokens, true)
				resp, err := s.stream(t.Context(), s.routers[n%len(s.routers)], s.key, body, "", nil)
				got.add(rolloutPrompt(n), resp, err)
			}
		})
	}
	s.apply(t, strings.Replace(s.document(p), "weights_version = "+weights, "weights_version = "+newWeights, 1))
	eventually(t, rolloutTimeout, "all engines hold the new weights only", func() bool { return s.holdOnly(t, newWeights) })
	seen := got.count.Load()
	eventually(t, rolloutTimeout, "responses arrive after the rollout", func() bool { return got.count.Load() >= seen+2*loadGoroutines })
	done.Store(true)
	callers.Wait()
	for _, failure := range got.failures {
		t.Error(failure)
	}
	for prompt, old := range before {
		current := s.wholeStream(t, prompt).text
		if current == old {
			t.Fatal("both versions give the same text: the test can't tell them apart")
		}
		for text, n := range got.texts[prompt] {
			if text != old && text != current {
				t.Errorf("%d responses come from neither version: %q", n, text)
			}
		}
		if got.texts[prompt][current] == 0 {
			t.Errorf("no response under load came from the new weights")
		}
	}
	s.wantOneController(t)
}

// wantOneController checks that exactly one router reports that it is the
// controller.
func (s *system) wantOneController(t *testing.T) {
	t.Helper()
	vms, err := s.vms.VMs(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	controllers := 0
	for _, vm := range vms {
		if vm.Group != platform.GroupRouters {
			continue
		}
		if s.statusOf(t, vm.Address).GetController() {
			controllers++
		}
	}
	if controllers != 1 {
		t.Errorf("%d controllers", controllers)
	}
}

func (s *system) statusOf(t *testing.T, address string) *wire.StatusReply {
	t.Helper()
	dialer := rpc.NewDialer(nil)
	defer dialer.Close()
	status, err := wire.NewDRPCNodeClient(dialer.Conn(t.Context(), address)).Status(t.Context(), &wire.StatusRequest{})
	if err != nil {
		t.Fatal(err)
	}
	return status
}
