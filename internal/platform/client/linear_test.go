package client

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

// registerCall is a call on one key. Each write writes a distinct value, so a value
// identifies its version.
type registerCall struct {
	read     bool
	expected string // value at the version that the write expects
	value    string // written by a write
}

// registerResult is the result of a call.
type registerResult struct {
	value    string // returned by a read
	writeErr error  // of a write: nil, ErrConflict or ErrOutcomeUnknown
}

// register models a key under reads and compare-and-swaps. A write that returned
// ErrOutcomeUnknown may or may not have taken effect.
var register = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		current := state.(string)
		call := input.(registerCall)
		result := output.(registerResult)
		matches := current == call.expected
		switch {
		case call.read && result.value == current:
			return []any{current}
		case call.read:
			return nil
		case result.writeErr == platform.ErrOutcomeUnknown && matches:
			return []any{current, call.value}
		case result.writeErr == platform.ErrOutcomeUnknown:
			return []any{current}
		case result.writeErr == platform.ErrConflict && !matches:
			return []any{current}
		case result.writeErr == nil && matches:
			return []any{call.value}
		}
		return nil
	},
}).ToModel()

// recorder records the history of all workers.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
}

func (r *recorder) now() int64 { return int64(time.Since(r.start)) }

func (r *recorder) add(worker int, call registerCall, start int64, result registerResult) {
	end := r.now()
	if result.writeErr == platform.ErrOutcomeUnknown {
		end = math.MaxInt64 // may take effect at any later time
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: worker, Input: call, Call: start, Output: result, Return: end})
}

// runWorker alternates reads and swaps. Calls that returned ErrUnavailable had no effect
// and are not recorded.
func (r *recorder) runWorker(ctx context.Context, service platform.KV, worker, calls int) {
	for i := range calls {
		start := r.now()
		entry, err := service.Get(ctx, "k")
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			continue
		}
		r.add(worker, registerCall{read: true}, start, registerResult{value: string(entry.Value)})

		call := registerCall{expected: string(entry.Value), value: fmt.Sprintf("%d.%d", worker, i)}
		start = r.now()
		err = swap(ctx, service, call.value, entry.Version)
		result := registerResult{}
		switch {
		case errors.Is(err, platform.ErrUnavailable):
			continue
		case errors.Is(err, platform.ErrConflict):
			result.writeErr = platform.ErrConflict
		case err != nil:
			result.writeErr = platform.ErrOutcomeUnknown
		}
		r.add(worker, call, start, result)
	}
}

func TestSwapsAreLinearizable(t *testing.T) {
	cases := []struct {
		name           string
		faults         kv.Faults
		timeout        time.Duration
		workers, calls int
		linearizable   bool
	}{
		{"lost responses", kv.Faults{LoseAnswers: 0.2, CutAnswers: 0.1}, callTimeout, 6, 20, true},
		{"delay near the timeout", kv.Faults{Delay: 20 * time.Millisecond}, 21 * time.Millisecond, 4, 15, true},
		{"stale reads are detected", kv.Faults{StaleReads: 1}, callTimeout, 1, 5, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := kv.New(7)
			store.SetFaults(c.faults)
			history := &recorder{start: time.Now()}
			url := serve(t, kv.Handler(store))
			var workers sync.WaitGroup
			for worker := range c.workers {
				client := NewKV(url, c.timeout)
				t.Cleanup(client.Close)
				workers.Go(func() { history.runWorker(t.Context(), client, worker, c.calls) })
			}
			workers.Wait()
			result := porcupine.CheckOperationsTimeout(register, history.history, time.Minute)
			if (result == porcupine.Ok) != c.linearizable {
				t.Errorf("history of %d calls: %v", len(history.history), result)
			}
			t.Logf("%d calls, %v", len(history.history), result)
		})
	}
}
