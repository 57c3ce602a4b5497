package systemtest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wasabigate/wasabigate/internal/standin/kv"
	"github.com/wasabigate/wasabigate/internal/standin/service"
)

// executions returns how often the order ran, over all desk servers.
func (s *system) executions(idempotencyKey string) int {
	total := 0
	for _, v := range s.services {
		for _, execution := range v.service.Executions().All {
			if execution.Body == fmt.Sprintf(`{"badge":%q}`, idempotencyKey) {
				total++
			}
		}
	}
	return total
}

func TestOrderRunsAtMostOnce(t *testing.T) {
	s := start(t, plan{routers: 2, services: 2, engines: 1})
	cases := []struct {
		name   string
		fault  func()
		repair func()
		min    int // fewest executions
	}{
		{"calm", func() {}, func() {}, 1},
		{"service crashes before the effect", func() { s.setServiceFaults(service.Faults{CrashBefore: 1, DownTime: 200 * time.Millisecond}) }, s.clearServiceFaults, 0},
		{"service crashes after the effect", func() { s.setServiceFaults(service.Faults{CrashAfter: 1, DownTime: 200 * time.Millisecond}) }, s.clearServiceFaults, 1},
		{"service's response cut", func() { s.setServiceFaults(service.Faults{CutAfter: 1}) }, s.clearServiceFaults, 1},
		{"service's response crossed", func() { s.setServiceFaults(service.Faults{CrossIDs: 1}) }, s.clearServiceFaults, 1},
		{"links cut while it runs", func() {
			s.setServiceFaults(service.Faults{Delay: 300 * time.Millisecond})
			time.AfterFunc(150*time.Millisecond, s.cutLinks)
		}, s.clearServiceFaults, 1},
		{"key-value service down", func() { s.kv.SetFaults(kv.Faults{Down: true}) }, s.clearKVFaults, 0},
		{"key-value service loses responses", func() { s.kv.SetFaults(kv.Faults{LoseAnswers: 1}) }, s.clearKVFaults, 0},
		{"key-value service slow", func() { s.kv.SetFaults(kv.Faults{Delay: 400 * time.Millisecond}) }, s.clearKVFaults, 0},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			key := fmt.Sprintf("order-%d", i)
			c.fault()
			first, err := s.order(t.Context(), s.routers[0], key)
			if err != nil {
				t.Fatal(err)
			}
			if ran := s.executions(key); first.header.Get("Wasabigate-Verdict") == "not-run" && ran != 0 {
				t.Errorf("verdict not-run, but the order ran %d times", ran)
			}
			c.repair()
			s.retryOrder(t, key)
			if ran := s.executions(key); ran > 1 || ran < c.min {
				t.Errorf("ran %d times; first response %d %s", ran, first.status, first.body)
			}
		})
	}
}

// retryOrder retries an order concurrently through both routers, as callers do.
func (s *system) retryOrder(t *testing.T, key string) {
	t.Helper()
	var group errgroup.Group
	for i := range 6 {
		group.Go(func() error {
			_, err := s.order(t.Context(), s.routers[i%len(s.routers)], key)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

func (s *system) setServiceFaults(faults service.Faults) {
	for _, v := range s.services {
		v.service.SetFaults(faults)
	}
}

func (s *system) clearServiceFaults() {
	time.Sleep(300 * time.Millisecond)
	s.setServiceFaults(service.Faults{})
}

func (s *system) clearKVFaults() { s.kv.SetFaults(kv.Faults{}) }

func (s *system) cutLinks() {
	for _, v := range s.services {
		v.link.Cut()
	}
}

func TestRecordedAnswerIsReplayed(t *testing.T) {
	s := start(t, plan{routers: 2, services: 2, engines: 1})
	first, err := s.order(t.Context(), s.routers[0], "badge-1")
	if err != nil || first.status/100 != 2 {
		t.Fatalf("%+v, %v", first, err)
	}
	for _, r := range s.routers {
		again, err := s.order(t.Context(), r, "badge-1")
		if err != nil || again.status != first.status || again.body != first.body || again.header.Get("Idempotent-Replayed") != "true" {
			t.Errorf("%s: %+v, %v", r.name, again, err)
		}
	}
	other, err := s.send(t.Context(), s.routers[0], http.MethodPost, "/desk/orders", s.key, "badge-1", `{"badge":"another"}`)
	if err != nil || other.status != http.StatusUnprocessableEntity || other.errorCode() != "idempotency_key_reused" {
		t.Errorf("another order under the same key: %+v, %v", other, err)
	}
}
