package queue

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

func limitAnswer(values ...string) engine.Answer {
	return engine.Answer{Status: http.StatusOK, Request: true, Header: http.Header{http.CanonicalHeaderKey(engine.HeaderLimit): values}}
}

// Requests start at the rate that the backend server named; those that would wait longer
// than maxLimitWait are refused at once.
func TestQueueKeepsToTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(&config.SidecarSettings{MaxConcurrent: 8})
		var mu sync.Mutex
		var starts []time.Time
		handler := pipeline.HandlerFunc[*job.Job, job.Outcome](func(context.Context, *job.Job) (job.Outcome, error) {
			mu.Lock()
			defer mu.Unlock()
			starts = append(starts, time.Now())
			return &wire.Frame{}, nil
		})
		for _, malformed := range []string{"", "-1", "NaN", "1e99"} {
			q.ObserveResponse(limitAnswer(malformed))
		}
		q.ObserveResponse(limitAnswer("2"))
		begun := time.Now()
		refused := 0
		var group sync.WaitGroup
		for range 30 {
			group.Go(func() {
				j := &job.Job{Received: time.Now(), Emit: func(*wire.Frame) {}, Request: &wire.ExecuteRequest{RequestId: "r", PatienceMs: 5000}}
				if _, err := q.Handle(context.Background(), j, handler); err != nil {
					mu.Lock()
					defer mu.Unlock()
					refused++
					if failure := verdict.From(err); failure.Verdict != verdict.NotRun || failure.RetryAfter <= 0 {
						t.Errorf("refused with %v", err)
					}
				}
			})
		}
		synctest.Wait()
		time.Sleep(4 * time.Second)
		mu.Lock()
		if len(starts) < 2 || len(starts) > 1.5*2*4+5 {
			t.Errorf("%d requests started in 4 s at a limit of 2 a second", len(starts))
		}
		if refused < 25 {
			t.Errorf("%d of 30 requests refused at once, though at most five can start within %v", refused, maxLimitWait)
		}
		mu.Unlock()
		group.Wait()
		if late := time.Since(begun); late > 5*time.Second {
			t.Errorf("requests waited for %v", late)
		}
		q.ObserveResponse(engine.Answer{Status: http.StatusOK, Request: true})
		q.ObserveResponse(engine.Answer{Status: http.StatusOK, Request: true})
		if wait := q.limits.Wait(limitedServer, time.Now()); wait != 0 {
			t.Errorf("a wait of %v after the end of the limit", wait)
		}
	})
}
