package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
	"github.com/wasabigate/wasabigate/internal/standin/model"
)

// load sends requests one after the other in several goroutines until stop is
// called, which returns the failures.
type load struct {
	cancel   context.CancelFunc
	group    sync.WaitGroup
	requests atomic.Int64
	mu       sync.Mutex
	failures []string
}

const loadGoroutines = 8

// startLoad sends streamed completions to the routers that pick returns.
func (s *system) startLoad(pick func(n int) *router) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for g := range loadGoroutines {
		l.group.Go(func() {
			for n := g; ctx.Err() == nil; n += loadGoroutines {
				l.sendOne(s, pick(n), n)
			}
		})
	}
	return l
}

// sendOne sends a request, which stop does not cancel.
func (l *load) sendOne(s *system, r *router, n int) {
	const tokens = 10
	body := completionBody(fmt.Sprintf("%d %s", n%5, longPrompt("load")), tokens, true)
	resp, err := s.stream(context.Background(), r, s.key, body, "", nil)
	l.requests.Add(1)
	if err != nil || resp.status != http.StatusOK || !resp.complete || len(resp.events) != tokens+1 {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.failures = append(l.failures, fmt.Sprintf("%s: %+v, %v", r.name, resp, err))
	}
}

func (l *load) stop() []string {
	l.cancel()
	l.group.Wait()
	return l.failures
}

// check stops the load and fails the test if a request failed or none was sent.
func (l *load) check(t *testing.T) {
	t.Helper()
	failures := l.stop()
	if len(failures) > 0 || l.requests.Load() == 0 {
		t.Errorf("%d of %d requests failed, the first: %v", len(failures), l.requests.Load(), append(failures, "")[0])
	}
}

func TestStopOfASidecarCutsNoRequest(t *testing.T) {
	s := start(t, plan{routers: 1, engines: 3, engine: model.Options{DecodeStep: 10 * time.Millisecond}})
	l := s.startLoad(func(int) *router { return s.routers[0] })
	time.Sleep(500 * time.Millisecond)
	s.engines[0].sidecar.terminate(t)
	time.Sleep(500 * time.Millisecond)
	l.check(t)
}

func TestStopOfARouterCutsNoRequest(t *testing.T) {
	s := start(t, plan{routers: 2, engines: 2, engine: model.Options{DecodeStep: 10 * time.Millisecond}})
	l := s.startLoad(func(int) *router { // by readiness, as the load balancer does
		if status, err := readiness(s.routers[0]); err == nil && status == http.StatusOK {
			return s.routers[0]
		}
		return s.routers[1]
	})
	time.Sleep(500 * time.Millisecond)
	s.routers[0].terminate(t)
	time.Sleep(300 * time.Millisecond)
	l.check(t)
}

func readiness(r *router) (int, error) {
	resp, err := http.Get(r.url + "/readyz")
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// drainNoticeTimeout is the time after which a draining backend server must get no new
// requests.
const drainNoticeTimeout = 3 * time.Second

func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	s := start(t, plan{routers: 2, engines: 2, engine: model.Options{DecodeStep: 5 * time.Millisecond}, vmListLag: 10 * time.Second})
	l := s.startLoad(func(n int) *router { return s.routers[n%2] })
	defer l.stop()
	leaving := s.engines[0]
	vm := leaving.vm
	vm.State = platform.VMLeaving
	s.vms.Set(vm) // visible only after the lag
	leaving.sidecar.signal(syscall.SIGTERM)
	time.Sleep(drainNoticeTimeout)
	before := leaving.captured.workCount()
	requests := l.requests.Load()
	time.Sleep(time.Second)
	if after := leaving.captured.workCount(); after != before {
		t.Errorf("the draining backend server received %d more requests", after-before)
	}
	if l.requests.Load() == requests {
		t.Error("no request was served in the meantime")
	}
	l.check(t)
}

// restartTimeout is the time within which a restarted router must serve requests.
const restartTimeout = time.Second

func TestRestartWithoutTheKeyValueService(t *testing.T) {
	cases := []struct {
		name string
		all  bool
	}{{"one router", false}, {"all routers at once", true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, plan{routers: 3, engines: 3})
			prompts := []string{longPrompt("first"), longPrompt("second"), longPrompt("third"), longPrompt("fourth")}
			for _, prompt := range prompts {
				s.cachedTokens(t, s.routers[1], prompt)
			}
			before := 0
			for _, prompt := range prompts {
				before += s.cachedTokens(t, s.routers[0], prompt)
			}
			s.kv.SetFaults(kv.Faults{Down: true})
			restarted := s.routers[:1]
			if c.all {
				restarted = s.routers
			}
			for _, r := range restarted {
				r.kill()
			}
			began := time.Now()
			for _, r := range restarted {
				r.start(t)
			}
			eventually(t, startTimeout, "a restarted router serves", func() bool {
				return s.tryComplete(t.Context(), s.routers[0], "hello") == http.StatusOK
			})
			if took := time.Since(began); took > restartTimeout {
				t.Errorf("served after %v, want %v at most", took, restartTimeout)
			}
			after := 0
			for _, prompt := range prompts {
				after += s.cachedTokens(t, s.routers[0], prompt)
			}
			if before == 0 || after < before {
				t.Errorf("%d cached tokens after the restart, %d before", after, before)
			}
		})
	}
}
