package queue

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/text"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
)

// BenchmarkDecision measures one arrival, with its wait estimate, and one start
// while requests of many workspaces wait.
func BenchmarkDecision(b *testing.B) {
	for _, workspaces := range []int{5, 270} {
		b.Run(fmt.Sprint("workspaces-", workspaces), func(b *testing.B) {
			q := New(&config.SidecarSettings{MaxConcurrent: 64, QueueLimit: 1 << 20})
			q.lanes[laneUrgent].serviceTime.add(time.Millisecond)
			jobs := make([]*job.Job, workspaces)
			for i := range jobs {
				jobs[i] = &job.Job{Received: time.Now(), Request: &wire.ExecuteRequest{
					Workspace: fmt.Sprint("w", i), PatienceMs: time.Hour.Milliseconds(), Generation: &wire.Generation{Prompt: "four"}}}
			}
			var queued []*waiter
			next := 0
			arrive := func() {
				w, err := q.enqueue(jobs[next%workspaces])
				if err != nil {
					b.Fatal(err)
				}
				queued = append(queued, w)
				next++
			}
			for range 64 + 3*workspaces {
				arrive()
			}
			b.ReportAllocs()
			for b.Loop() {
				arrive()
				i := 0
				for !queued[i].granted {
					i++
				}
				started := queued[i]
				queued[i] = queued[0]
				queued = queued[1:]
				newSlot(q, started, started.enqueued).release()
			}
		})
	}
}

// BenchmarkDecisionLog measures logging one decision.
func BenchmarkDecisionLog(b *testing.B) {
	previous := log.Log.(*log.Logger).Handler
	defer log.SetHandler(previous)
	j := &job.Job{Request: &wire.ExecuteRequest{RequestId: "r1", Workspace: "north"}}
	handlers := map[string]log.Handler{"discard": discard.New(), "text": text.New(io.Discard)}
	for name, handler := range handlers {
		b.Run(name, func(b *testing.B) {
			log.SetHandler(handler)
			b.ReportAllocs()
			for b.Loop() {
				logger.Info(decisionFields(j, laneUrgent), "request started")
			}
		})
	}
}
