package configstore

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

// operator is a state machine of an operator who reads, applies, withdraws and
// promotes while faults of the key-value service come and go.
type operator struct {
	service   *kv.Store
	base      *State // last state read; may be out of date
	highest   uint64
	withdrawn map[string]struct{} // keys withdrawn as of the last Check
}

const operatorTimeout = 10 * time.Second

func (o *operator) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), operatorTimeout)
}

func (o *operator) store() *Store { return New(o.service, testEnvironment) }

// Read replaces the base of the next change.
func (o *operator) Read(t *rapid.T) {
	ctx, cancel := o.context()
	defer cancel()
	state, err := o.store().Read(ctx)
	if err == nil {
		o.base = state
	}
	checkError(t, err)
}

// Apply applies a document to the base, which may be out of date.
func (o *operator) Apply(t *rapid.T) {
	ctx, cancel := o.context()
	defer cancel()
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	_, err := o.store().Apply(ctx, o.base, document(name), "test")
	checkError(t, err)
}

// Withdraw withdraws a key.
func (o *operator) Withdraw(t *rapid.T) {
	ctx, cancel := o.context()
	defer cancel()
	id := fmt.Sprintf("k%d", rapid.IntRange(0, 5).Draw(t, "key"))
	result, err := o.store().Withdraw(ctx, "test", id)
	checkError(t, err)
	if err == nil && !result.Revision.KeyWithdrawn(id) {
		t.Errorf("key %s is valid after its withdrawal", id)
	}
}

// Promote copies the document of another environment.
func (o *operator) Promote(t *rapid.T) {
	ctx, cancel := o.context()
	defer cancel()
	_, err := o.store().Promote(ctx, o.base, New(o.service, "source"), Digest(document("source")), "test")
	checkError(t, err)
}

// Fault replaces the faults of the key-value service.
func (o *operator) Fault(t *rapid.T) {
	o.service.SetFaults(kv.Faults{
		Down:        rapid.IntRange(0, 4).Draw(t, "down") == 0,
		LoseAnswers: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "lose"),
		StaleReads:  rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "stale"),
		Delay:       rapid.SampledFrom([]time.Duration{0, time.Second, 15 * time.Second}).Draw(t, "delay"),
	})
}

// Check reads the state without faults and checks that revisions never decrease and
// that withdrawn keys stay withdrawn.
func (o *operator) Check(t *rapid.T) {
	faults := o.service.Faults()
	o.service.SetFaults(kv.Faults{})
	defer o.service.SetFaults(faults)
	state, err := o.store().Read(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if state.Number() < o.highest {
		t.Errorf("revision went from %d back to %d", o.highest, state.Number())
	}
	o.highest = state.Number()
	for id := range o.withdrawn {
		if !state.Revision.KeyWithdrawn(id) {
			t.Errorf("withdrawn key %s came back in revision %d", id, state.Number())
		}
	}
	o.withdrawn = state.Revision.Withdrawn
	checkChain(t, state)
}

// checkChain checks that the revisions of the history are consecutive.
func checkChain(t *rapid.T, state *State) {
	for i, p := range state.History() {
		if p.Number != state.Number()-uint64(i) {
			t.Errorf("history entry %d is revision %d under revision %d", i, p.Number, state.Number())
		}
	}
}

// checkError allows only the errors that faults and out-of-date bases may cause.
func checkError(t *rapid.T, err error) {
	var conflict *ConflictError
	switch {
	case err == nil, errors.As(err, &conflict), errors.Is(err, ErrOutcomeUnknown):
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, ErrNoDocument):
	default:
		t.Errorf("unexpected error: %v", err)
	}
}

func TestRevisionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := &operator{service: kv.New(rapid.Uint64().Draw(rt, "seed")), base: &State{}}
		inSynctest(t, func() {
			o.applyFirst(rt, testEnvironment, "start")
			o.applyFirst(rt, "source", "source")
			rt.Repeat(rapid.StateMachineActions(o))
		})
	})
}

func (o *operator) applyFirst(t *rapid.T, environment, name string) {
	if _, err := New(o.service, environment).Apply(context.Background(), &State{}, document(name), "test"); err != nil {
		t.Fatal(err)
	}
}

// inSynctest runs check under a fake clock. rapid ends a check by a panic, which it
// must receive on its own goroutine.
func inSynctest(t *testing.T, check func()) {
	var caught any
	synctest.Test(t, func(*testing.T) {
		defer func() { caught = recover() }()
		check()
	})
	if caught != nil {
		panic(caught)
	}
}
