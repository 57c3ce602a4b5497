package configstore

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

// applyInput is the input of an Apply operation.
type applyInput struct {
	base uint64
	name string // of the document
}

// applyOutput is the outcome of an Apply operation.
type applyOutput struct {
	conflict bool
	unknown  bool   // may have taken effect at any time after the call
	current  uint64 // revision after the change, or the conflicting one
}

// revisionModel is the model of a register with compare-and-swap by revision.
func revisionModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(1)} },
		Step: func(state, input, output any) []any {
			current, op, out := state.(uint64), input.(applyInput), output.(applyOutput)
			switch {
			case out.unknown && op.base == current:
				return []any{current, current + 1}
			case out.unknown:
				return []any{current}
			case out.conflict && op.base != current:
				return []any{current}
			case !out.conflict && op.base == current && out.current == current+1:
				return []any{current + 1}
			}
			return nil
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v: %+v", input, output) },
	}
	return model.ToModel()
}

// recorder records the operations of concurrent clients.
type recorder struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

func (r *recorder) apply(t *testing.T, client int, store *Store, base *State, name string) {
	call := time.Since(r.start).Nanoseconds()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	result, err := store.Apply(ctx, base, document(name), "test")
	out, end := applyOutput{}, time.Since(r.start).Nanoseconds()
	var conflict *ConflictError
	switch {
	case err == nil:
		out.current = result.Revision.Number
	case errors.As(err, &conflict):
		out.conflict, out.current = true, conflict.Current.Number
	case errors.Is(err, ErrOutcomeUnknown):
		out.unknown, end = true, math.MaxInt64
	default:
		t.Logf("change without effect: %v", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: client, Input: applyInput{base.Number(), name}, Call: call, Output: out, Return: end,
	})
}

func TestChangesAreLinearizable(t *testing.T) {
	cases := append(faultCases, struct {
		name   string
		faults kv.Faults
	}{"delay near the time-out", kv.Faults{Delay: 2 * time.Second, LoseAnswers: 0.5, StaleReads: 0.2}})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkLinearizable(t, c.faults) })
		})
	}
}

func checkLinearizable(t *testing.T, faults kv.Faults) {
	const clients, changes = 5, 6
	service := kv.New(7)
	mustApply(t, New(service, testEnvironment), document("start"))
	service.SetFaults(faults)
	record := &recorder{start: time.Now()}
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() {
			store := New(service, testEnvironment)
			for i := range changes {
				base, err := store.Read(context.Background())
				if err != nil || base.Revision == nil {
					continue // stale read from before the first revision
				}
				record.apply(t, client, store, base, fmt.Sprintf("c%d-%d", client, i))
			}
		})
	}
	group.Wait()
	if len(record.operations) < clients {
		t.Fatalf("only %d operations", len(record.operations))
	}
	if result := porcupine.CheckOperationsTimeout(revisionModel(), record.operations, time.Minute); result != porcupine.Ok {
		t.Errorf("history of %d changes is %s", len(record.operations), result)
	}
}
