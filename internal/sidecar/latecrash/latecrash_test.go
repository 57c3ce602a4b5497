package latecrash

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/sidecar/processend"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// The end of a process a while after it broke a connection is a crash, unless the backend
// server leaves or the executor has named the crash itself.
func TestProcessThatEndsSlowly(t *testing.T) {
	broken := verdict.Wrap(engine.ErrBroken, verdict.MayHaveRun, verdict.CodeBackendFailed, "call failed")
	crashed := verdict.Wrap(engine.ErrBroken, verdict.MayHaveRun, verdict.CodeBackendFailed, "call failed")
	crashed.Crashed = 1
	for _, c := range []struct {
		name        string
		err         error
		endsAfter   time.Duration
		incarnation uint64 // of the engine after endsAfter, 1 before
		leaving     bool
		blamed      bool
	}{
		{"ends after a second", broken, time.Second, 1, false, true},
		{"ends after four seconds", broken, 4 * time.Second, 1, false, true},
		{"ends after ten seconds", broken, 10 * time.Second, 1, false, false},
		{"is back at once", broken, time.Hour, 2, false, true},
		{"leaves", broken, time.Second, 1, true, false},
		{"was seen to end", crashed, time.Second, 1, false, false},
		{"refuses", verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full"), time.Second, 1, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var broke atomic.Pointer[time.Time]
				var earlier atomic.Uint64 // incarnations of the processes before
				sinceBreak := func() time.Duration { return time.Since(*broke.Load()) }
				q := quarantine.New(nil)
				filter := New(Options{
					Server: "desk", Quarantine: q, Leaving: func() bool { return c.leaving },
					Ended: func(context.Context) bool { return sinceBreak() >= c.endsAfter },
					Incarnation: func() uint64 {
						if sinceBreak() > 100*time.Millisecond {
							return earlier.Load() + c.incarnation
						}
						return earlier.Load() + 1
					},
				})
				request := &wire.ExecuteRequest{Route: "orders", Workspace: "w", Call: &wire.Call{Method: "POST", Path: "/x", Body: []byte("deadly")}}
				handler := pipeline.Chain[*job.Job, job.Outcome](pipeline.HandlerFunc[*job.Job, job.Outcome](func(context.Context, *job.Job) (job.Outcome, error) {
					now := time.Now()
					broke.Store(&now)
					return nil, c.err
				}), job.Filter(filter))
				for range 3 {
					if _, err := handler.Handle(t.Context(), &job.Job{Request: request, Emit: func(*wire.Frame) {}}); err != c.err {
						t.Fatalf("got %v", err)
					}
					time.Sleep(time.Minute)
					earlier.Add(2)
				}
				if blamed := q.Len() > 0; blamed != c.blamed {
					t.Errorf("blamed: %v, want %v", blamed, c.blamed)
				}
			})
		})
	}
}

// One process that ends is one server, whether its end is noticed at once or late.
func TestOneEndCountsAsOneServer(t *testing.T) {
	for _, c := range []struct {
		name        string
		incarnation uint64 // of the engine; 0: a plain service
	}{{"plain service", 0}, {"engine", 7}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				numbers, q, began := new(processend.Numbers), quarantine.New(nil), time.Now()
				filter := New(Options{
					Server: "desk", Quarantine: q, Numbers: numbers, Leaving: func() bool { return false },
					Incarnation: func() uint64 { return c.incarnation },
					Ended:       func(context.Context) bool { return time.Since(began) >= time.Second },
				})
				broken := verdict.Wrap(engine.ErrBroken, verdict.MayHaveRun, verdict.CodeBackendFailed, "call failed")
				handler := pipeline.Chain[*job.Job, job.Outcome](pipeline.HandlerFunc[*job.Job, job.Outcome](func(context.Context, *job.Job) (job.Outcome, error) {
					return nil, broken
				}), job.Filter(filter))
				request := func(body string) *wire.ExecuteRequest {
					return &wire.ExecuteRequest{Route: "orders", Workspace: "w", Call: &wire.Call{Method: "POST", Path: "/x", Body: []byte(body)}}
				}
				sent := time.Now()
				_, _ = handler.Handle(t.Context(), &job.Job{Request: request("late"), Emit: func(*wire.Frame) {}})
				time.Sleep(time.Second)
				number := c.incarnation // as the executor tells it of a request that is lost as the process ends
				if number == 0 {
					number = numbers.Of(sent)
				}
				server := fmt.Sprintf("desk@%d", number)
				q.RecordCrash(quarantine.Crash{Server: server, Sent: sent, Ended: time.Now(), Parts: partsOf(request("at once"))}, time.Now())
				time.Sleep(5 * time.Second)
				news := q.News(0, time.Now())
				if len(news.GetCrashes()) != 2 {
					t.Fatalf("%d crashes, want 2", len(news.GetCrashes()))
				}
				for _, crash := range news.GetCrashes() {
					if crash.GetServer() != server {
						t.Errorf("a crash of server %s, want %s", crash.GetServer(), server)
					}
				}
			})
		})
	}
}
