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

// registerCall is a call on one key. Each write has a value of its own, so that
// a value stands for its version.
type registerCall struct {
	read     bool
	expected string // value at the version that a write expects
	value    string // that a write writes
}

// registerAnswer is a call's answer.
type registerAnswer struct {
	value  string // that a read saw
	failed error  // of a write: nil, ErrConflict or ErrUnsure
}

// register is a key under reads and compare-and-swaps. An unsure write may or
// may not have taken effect.
var register = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		held := state.(string)
		call := input.(registerCall)
		answer := output.(registerAnswer)
		matches := held == call.expected
		switch {
		case call.read && answer.value == held:
			return []any{held}
		case call.read:
			return nil
		case answer.failed == platform.ErrUnsure && matches:
			return []any{held, call.value}
		case answer.failed == platform.ErrUnsure:
			return []any{held}
		case answer.failed == platform.ErrConflict && !matches:
			return []any{held}
		case answer.failed == nil && matches:
			return []any{call.value}
		}
		return nil
	},
}).ToModel()

// recorder keeps the history of all workers.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
}

func (r *recorder) now() int64 { return int64(time.Since(r.start)) }

func (r *recorder) add(worker int, call registerCall, start int64, answer registerAnswer) {
	end := r.now()
	if answer.failed == platform.ErrUnsure {
		end = math.MaxInt64 // may take effect at any later time
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: worker, Input: call, Call: start, Output: answer, Return: end})
}

// work reads and swaps in turn. Calls that had no effect leave no trace.
func (r *recorder) work(ctx context.Context, service platform.KV, worker, calls int) {
	for i := range calls {
		start := r.now()
		entry, err := service.Get(ctx, "k")
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			continue
		}
		r.add(worker, registerCall{read: true}, start, registerAnswer{value: string(entry.Value)})

		call := registerCall{expected: string(entry.Value), value: fmt.Sprintf("%d.%d", worker, i)}
		start = r.now()
		err = swap(ctx, service, call.value, entry.Version)
		answer := registerAnswer{}
		switch {
		case errors.Is(err, platform.ErrUnavailable):
			continue
		case errors.Is(err, platform.ErrConflict):
			answer.failed = platform.ErrConflict
		case err != nil:
			answer.failed = platform.ErrUnsure
		}
		r.add(worker, call, start, answer)
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
		{"lost answers", kv.Faults{LoseAnswers: 0.2, CutAnswers: 0.1}, callTimeout, 6, 20, true},
		{"delay near the timeout", kv.Faults{Delay: 20 * time.Millisecond}, 21 * time.Millisecond, 4, 15, true},
		{"stale reads are noticed", kv.Faults{StaleReads: 1}, callTimeout, 1, 5, false},
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
				workers.Go(func() { history.work(t.Context(), client, worker, c.calls) })
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
