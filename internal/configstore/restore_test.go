package configstore

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

// A change that was accepted stays in force after a restore of the service lost it, and its
// number is never given to another document.
func TestRestoreOfARevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(1)
		s := New(service, testEnvironment)
		mustApply(t, s, document("first"))
		time.Sleep(10 * time.Second)
		lost := mustApply(t, s, document("second"))
		service.Restore(5 * time.Second)
		if got := mustRead(t, s).Number(); got != 1 {
			t.Fatalf("the restored service has revision %d, want 1", got)
		}
		for _, wantLost := range []bool{true, false} {
			restored, err := s.Restore(t.Context(), lost.Revision, "r1")
			if err != nil || restored != wantLost {
				t.Fatalf("restored %v, %v, want %v", restored, err, wantLost)
			}
			state := mustRead(t, s)
			if state.Number() != 2 || state.Revision.Digest != lost.Revision.Digest || len(state.History()) != 2 {
				t.Errorf("revision %d with %d in the history, want 2 and 2", state.Number(), len(state.History()))
			}
		}
		if next := mustApply(t, s, document("third")).Revision.Number; next <= revisionsPerRestore {
			t.Errorf("revision %d after a restore, want a number that no lost revision had", next)
		}
		if again := mustApply(t, s, document("fourth")).Revision.Number; again != 2*1+1+revisionsPerRestore+1 {
			t.Errorf("revision %d, want the one after", again)
		}
	})
}

// An operator's change accepted after the restore, before the lost one was written again,
// is in force everywhere: it has the higher number.
func TestChangeBeforeALostRevisionIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(1)
		s := New(service, testEnvironment)
		mustApply(t, s, document("first"))
		time.Sleep(10 * time.Second)
		mustApply(t, s, document("second"))
		withdrawn, err := s.Withdraw(t.Context(), "test", "k")
		if err != nil {
			t.Fatal(err)
		}
		service.Restore(5 * time.Second)
		accepted := mustApply(t, s, document("later"))
		if accepted.Revision.Number <= withdrawn.Revision.Number {
			t.Errorf("revision %d accepted after a restore, %d before", accepted.Revision.Number, withdrawn.Revision.Number)
		}
		if lost, err := s.Restore(t.Context(), withdrawn.Revision, "r1"); err != nil || !lost {
			t.Fatalf("lost %v, %v", lost, err)
		}
		state := mustRead(t, s)
		if state.Revision.Digest != accepted.Revision.Digest || !state.Revision.KeyWithdrawn("k") {
			t.Errorf("document of revision %d, withdrawn keys %v; want the accepted one without key k", state.Number(), state.Revision.Withdrawn)
		}
	})
}

// An operator whose change is based on what a restore lost is told of the conflict.
func TestChangeBasedOnALostRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(1)
		s := New(service, testEnvironment)
		mustApply(t, s, document("first"))
		time.Sleep(10 * time.Second)
		mustApply(t, s, document("second"))
		base := mustRead(t, s)
		service.Restore(5 * time.Second)
		if _, err := s.Apply(t.Context(), base, document("third"), "test"); err == nil {
			t.Error("a change based on a lost revision was accepted")
		}
	})
}
