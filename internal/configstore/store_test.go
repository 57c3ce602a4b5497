package configstore

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

const testEnvironment = "trial"

func document(name string) []byte {
	return []byte("[environment]\nname = " + name + "\n[workspace w]\nrate = 1\nburst = 10\n" +
		"[key k]\nworkspace = w\nsha256 = " + strings.Repeat("ab", 32) + "\n")
}

func mustApply(t *testing.T, s *Store, text []byte) *Result {
	t.Helper()
	base, err := s.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	result, err := s.Apply(t.Context(), base, text, "test")
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func mustRead(t *testing.T, s *Store) *State {
	t.Helper()
	state, err := s.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return state
}

func addWorkspace(id string) func(*State) (*Change, error) {
	return func(base *State) (*Change, error) {
		section := fmt.Sprintf("[workspace %s]\nrate = 1\nburst = 1\n", id)
		return &Change{Text: append([]byte(string(base.Revision.Text)), section...)}, nil
	}
}

// faultCases are the faults under which concurrent operators are tested.
var faultCases = []struct {
	name   string
	faults kv.Faults
}{
	{"no faults", kv.Faults{}},
	{"lost responses", kv.Faults{LoseAnswers: 0.5}},
	{"all responses lost", kv.Faults{LoseAnswers: 1}},
	{"stale reads", kv.Faults{StaleReads: 0.5}},
	{"throttled", kv.Faults{WritesPerSecond: 5, ReadsPerSecond: 20}},
	{"slow, lost and stale", kv.Faults{Delay: 30 * time.Millisecond, LoseAnswers: 0.3, StaleReads: 0.3}},
}

func TestRacingOperatorsLoseNothing(t *testing.T) {
	const operators, edits = 6, 4
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := kv.New(1)
				// With two revisions, a stale read returns the first one.
				mustApply(t, New(service, testEnvironment), document("first"))
				mustApply(t, New(service, testEnvironment), document("start"))
				service.SetFaults(c.faults)
				var group sync.WaitGroup
				for operator := range operators {
					group.Go(func() { editRepeatedly(t, service, operator, edits) })
				}
				group.Wait()
				service.SetFaults(kv.Faults{})
				state := mustRead(t, New(service, testEnvironment))
				if got := len(state.Revision.Document.Workspaces); got != 1+operators*edits {
					t.Errorf("%d workspaces, want %d", got, 1+operators*edits)
				}
				if state.Number() != 2+operators*edits {
					t.Errorf("revision %d, want %d: one for each change", state.Number(), 2+operators*edits)
				}
			})
		})
	}
}

func editRepeatedly(t *testing.T, service *kv.Store, operator, edits int) {
	store := New(service, testEnvironment)
	for i := range edits {
		if _, err := store.Update(context.Background(), "test", addWorkspace(fmt.Sprintf("w%d-%d", operator, i))); err != nil {
			t.Error(err)
		}
	}
}

func TestStaleAbsenceIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(1)
		mustApply(t, New(service, testEnvironment), document("start"))
		stale := New(&staleAbsentKV{KV: service, remaining: maxAbsentReads - 1}, testEnvironment)
		if _, err := stale.Update(t.Context(), "test", addWorkspace("x")); err != nil {
			t.Error(err)
		}
		stale = New(&staleAbsentKV{KV: service, remaining: maxAbsentReads}, testEnvironment)
		if _, err := stale.Withdraw(t.Context(), "test", "k"); !errors.Is(err, ErrNoDocument) {
			t.Errorf("error %v, want no document", err)
		}
	})
}

// staleAbsentKV returns ErrNotFound for the first reads, as stale reads do.
type staleAbsentKV struct {
	platform.KV
	remaining int
}

func (a *staleAbsentKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	if a.remaining > 0 {
		a.remaining--
		return platform.Entry{}, platform.ErrNotFound
	}
	return a.KV.Get(ctx, key)
}

func TestOutageDelaysAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(1)
		store := New(service, testEnvironment)
		mustApply(t, store, document("start"))
		base := mustRead(t, store)
		service.SetFaults(kv.Faults{Down: true})
		short, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := store.Apply(short, base, document("during"), "test")
		if !errors.Is(err, platform.ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("error %v, want unavailable: nothing was written", err)
		}
		time.AfterFunc(10*time.Second, func() { service.SetFaults(kv.Faults{}) })
		if _, err := store.Apply(t.Context(), base, document("after"), "test"); err != nil {
			t.Error(err)
		}
		if got := mustRead(t, store); got.Number() != 2 || got.Revision.Document.Environment.Name != "after" {
			t.Errorf("revision %d of %q", got.Number(), got.Revision.Document.Environment.Name)
		}
	})
}

func TestLostAnswerIsSettled(t *testing.T) {
	cases := []struct {
		name string
		race bool // another change follows the one whose response was lost
	}{{"current", false}, {"in history", true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := kv.New(1)
				store := New(service, testEnvironment)
				mustApply(t, store, document("start"))
				base := mustRead(t, store)
				lossy := &lostResponseKV{KV: service, after: func() {
					if c.race {
						mustApply(t, store, document("racer"))
					}
				}}
				result, err := New(lossy, testEnvironment).Apply(t.Context(), base, document("mine"), "test")
				if err != nil {
					t.Fatal(err)
				}
				if result.Confirmation != ConfirmedByReadBack || result.Revision.Number != 2 {
					t.Errorf("revision %d, %s", result.Revision.Number, result.Confirmation)
				}
			})
		})
	}
}

// lostResponseKV loses the response to the first write, then calls after.
type lostResponseKV struct {
	platform.KV
	after func()
	lost  bool
}

func (l *lostResponseKV) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Version, lease platform.LeaseID) (platform.Version, error) {
	version, err := l.KV.CompareAndSwap(ctx, key, value, expected, lease)
	if l.lost {
		return version, err
	}
	l.lost = true
	l.after()
	return 0, platform.ErrOutcomeUnknown
}

func TestLostResponseToAConflictIsAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(1)
		store := New(service, testEnvironment)
		mustApply(t, store, document("start"))
		base := mustRead(t, store)
		mustApply(t, store, document("racer"))
		lossy := New(&lostResponseKV{KV: service, after: func() {}}, testEnvironment)
		_, err := lossy.Apply(t.Context(), base, document("mine"), "test")
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			t.Fatalf("error %v, want a conflict", err)
		}
		if conflict.Base != 1 || conflict.Current.Number != 2 || conflict.Diff != "-name = racer\n+name = mine\n" {
			t.Errorf("conflict %+v", conflict)
		}
	})
}

func TestUnknownOutcomeIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(1)
		store := New(service, testEnvironment)
		base := mustRead(t, store)
		lossy := New(&lostResponseKV{KV: service, after: func() { service.SetFaults(kv.Faults{Down: true}) }}, testEnvironment)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if _, err := lossy.Apply(ctx, base, document("mine"), "test"); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("error %v, want an unknown outcome", err)
		}
	})
}

func TestOutcomeIsUnknownIfTheHistoryMissesTheRevision(t *testing.T) {
	lost := &wire.Envelope{Revision: 5, ChangeId: "lost"}
	current := &State{
		Revision: &config.Revision{Number: 300},
		envelope: &wire.Envelope{Revision: 300, History: []*wire.PastDocument{{Revision: 299}, {Revision: 6}}},
	}
	if _, err := resolveOutcome(&State{}, current, lost, true); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("error %v, want an unknown outcome", err)
	}
	current.envelope.History[1].Revision = 5
	var conflict *ConflictError
	if _, err := resolveOutcome(&State{}, current, lost, true); !errors.As(err, &conflict) {
		t.Errorf("error %v, want a conflict: revision 5 was another change", err)
	}
}

func TestApplyRejectsAnInvalidDocument(t *testing.T) {
	store := New(kv.New(1), testEnvironment)
	_, err := store.Apply(t.Context(), &State{}, []byte("[workspace w]\n"), "test")
	var faults config.Faults
	if !errors.As(err, &faults) {
		t.Errorf("error %v, want faults", err)
	}
	if state := mustRead(t, store); state.Revision != nil {
		t.Error("the invalid document was written")
	}
}

func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	store := New(kv.New(1), testEnvironment)
	mustApply(t, store, document("start"))
	result, err := store.Withdraw(t.Context(), "test", "k")
	if err != nil {
		t.Fatal(err)
	}
	if result.Revision.Number != 2 || string(result.Revision.Text) != string(document("start")) {
		t.Errorf("revision %d changed the document", result.Revision.Number)
	}
	again, err := store.Withdraw(t.Context(), "test", "k")
	if err != nil || again.Confirmation != ConfirmedUnchanged || again.Revision.Number != 2 {
		t.Errorf("second withdrawal: %+v, %v", again, err)
	}
	if !mustApply(t, store, document("later")).Revision.KeyWithdrawn("k") {
		t.Error("the withdrawn key is valid after a later change")
	}
}

func TestPromote(t *testing.T) {
	service := kv.New(1)
	trial, production := New(service, testEnvironment), New(service, "production")
	mustApply(t, trial, document("tried"))
	withdrawn, err := trial.Withdraw(t.Context(), "test", "k")
	if err != nil {
		t.Fatal(err)
	}
	mustApply(t, production, document("old"))
	base := mustRead(t, production)

	if _, err := production.Promote(t.Context(), base, trial, [32]byte{1}, "test"); !errors.Is(err, ErrDigestMismatch) {
		t.Errorf("another digest: error %v", err)
	}
	result, err := production.Promote(t.Context(), base, trial, withdrawn.Revision.Digest, "test")
	if err != nil {
		t.Fatal(err)
	}
	if string(result.Revision.Text) != string(document("tried")) || result.Revision.Number != 2 {
		t.Errorf("revision %d: %s", result.Revision.Number, result.Revision.Text)
	}
	if !result.Revision.KeyWithdrawn("k") {
		t.Error("the key withdrawn in trial is valid in production")
	}
	var conflict *ConflictError
	if _, err = production.Promote(t.Context(), base, trial, withdrawn.Revision.Digest, "test"); !errors.As(err, &conflict) {
		t.Errorf("old base: error %v, want a conflict", err)
	}
	if _, err = production.Promote(t.Context(), base, New(service, "none"), [32]byte{}, "test"); !errors.Is(err, ErrNoDocument) {
		t.Errorf("empty source: error %v", err)
	}
}
