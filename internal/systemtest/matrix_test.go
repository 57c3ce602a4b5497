package systemtest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/model"
	"github.com/wasabigate/wasabigate/internal/standin/service"
	"github.com/wasabigate/wasabigate/internal/tokens"
)

// The cells of the fault matrix that need real processes and signals.

// pauseDuration is how long a process is paused.
const pauseDuration = 700 * time.Millisecond

// pause stops a process and continues it after pauseDuration.
func (p *process) pause() {
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(pauseDuration, func() { p.signal(syscall.SIGCONT) })
}

// TestSignalsInMidStream pauses and kills processes while a stream runs.
func TestSignalsInMidStream(t *testing.T) {
	s := start(t, plan{routers: 2, engines: 3, engine: slowEngine})
	prompt := longPrompt("signals")
	want := s.wholeStream(t, prompt)
	cases := []struct {
		name       string
		fault      func()
		reconnects bool // the caller must reconnect through the other router
	}{
		{"sidecar paused", func() { s.servingEngine(t).sidecar.pause() }, false},
		{"router paused", func() { s.routers[0].pause() }, false},
		{"sidecar paused and links cut", func() {
			serving := s.servingEngine(t)
			serving.sidecar.pause()
			serving.link.Cut()
		}, false},
		{"sidecar killed", func() { s.servingEngine(t).sidecar.kill() }, false},
		{"router killed", func() { s.routers[0].kill() }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			body := completionBody(prompt, streamTokens, true)
			var once sync.Once
			resp, _ := s.stream(t.Context(), s.routers[0], s.key, body, "", func(n int) {
				if n >= streamTokens/2 {
					once.Do(c.fault)
				}
			})
			text := resp.text
			if c.reconnects {
				rest, err := s.stream(t.Context(), s.routers[1], s.key, body, resp.lastID, nil)
				if err != nil {
					t.Fatal(err)
				}
				text += rest.text
				resp = rest
			}
			if !resp.complete || text != want.text {
				t.Errorf("complete %v, failed %q, text %q, want %q", resp.complete, resp.errorEvent, text, want.text)
			}
		})
	}
}

// TestSignalsDuringAnOrder pauses and kills processes while an order runs. The
// caller retries it through the other router.
func TestSignalsDuringAnOrder(t *testing.T) {
	cases := []struct {
		name  string
		fault func(s *system, v *serviceServer)
	}{
		{"sidecar paused", func(_ *system, v *serviceServer) { v.sidecar.pause() }},
		{"sidecar killed", func(_ *system, v *serviceServer) { v.sidecar.kill() }},
		{"router paused", func(s *system, _ *serviceServer) { s.routers[0].pause() }},
		{"router killed", func(s *system, _ *serviceServer) { s.routers[0].kill() }},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := start(t, plan{routers: 2, services: 2, engines: 1})
			s.setServiceFaults(service.Faults{Delay: 300 * time.Millisecond})
			key := fmt.Sprintf("signal-%d", i)
			ended := make(chan *response, 1)
			go func() {
				first, _ := s.order(t.Context(), s.routers[0], key)
				ended <- first
			}()
			eventually(t, startTimeout, "the order runs", func() bool { return s.executions(key) > 0 })
			c.fault(s, s.runningService(key))
			if first := <-ended; first != nil && first.header.Get("Wasabigate-Verdict") == "not-run" {
				t.Errorf("verdict not-run for an order that ran: %d %s", first.status, first.body)
			}
			s.setServiceFaults(service.Faults{})
			for range 3 {
				if _, err := s.order(t.Context(), s.routers[1], key); err != nil {
					t.Error(err)
				}
			}
			if ran := s.executions(key); ran != 1 {
				t.Errorf("ran %d times", ran)
			}
		})
	}
}

// runningService returns the desk server that received an order.
func (s *system) runningService(idempotencyKey string) *serviceServer {
	for _, v := range s.services {
		if v.service.Executions().ByKey[idempotencyKey] > 0 {
			return v
		}
	}
	return s.services[0]
}

// vmEntry returns a VM's entry in the VM list.
func (s *system) vmEntry(t *testing.T, name string) platform.VM {
	t.Helper()
	vms, err := s.vms.VMs(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, vm := range vms {
		if vm.Name == name {
			return vm
		}
	}
	t.Fatalf("%s is not listed", name)
	return platform.VM{}
}

// ownerPause is long enough for another router to take over the shards and for
// their tokens to be refilled.
const ownerPause = 14 * time.Second

// TestPausedOwnerOfShards pauses a router for so long that its shards go to the
// other one. After it continues, it must not spend tokens that it held before the pause.
func TestPausedOwnerOfShards(t *testing.T) {
	const rate, burst, cost = 200, 400, 100
	s := start(t, plan{
		routers: 2, engines: 1, engine: model.Options{DecodeStep: time.Millisecond},
		document: fmt.Sprintf("[workspace small]\nrate = %d\nburst = %d\n[key small-1]\nworkspace = small\nsha256 = %s\n", rate, burst, smallKeyHash),
	})
	paused := s.routers[0]
	vm := s.vmEntry(t, paused.name)
	paused.signal(syscall.SIGSTOP)
	s.vms.Remove(vm.Name)
	time.Sleep(ownerPause)
	s.vms.Set(vm)
	paused.signal(syscall.SIGCONT)
	prompt := strings.Repeat("x ", (cost-1)*tokens.BytesPerToken/2)
	began, ran := time.Now(), 0
	for time.Since(began) < time.Second {
		for _, r := range s.routers {
			body := completionBody(prompt, 1, false)
			if got, err := s.send(t.Context(), r, http.MethodPost, "/v1/completions", smallKey, "", body); err == nil && got.status == http.StatusOK {
				ran++
			}
		}
	}
	if bound := burst + int(rate*time.Since(began).Seconds()); ran*cost > bound {
		t.Errorf("%d tokens ran, bound %d", ran*cost, bound)
	}
	eventually(t, 3*time.Second, "the paused router serves again", func() bool {
		return s.tryComplete(t.Context(), paused, "hello") == http.StatusOK
	})
}
