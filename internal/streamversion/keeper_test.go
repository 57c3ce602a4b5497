package streamversion

import (
	"context"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// fakeKV is a store of one key.
type fakeKV struct {
	platform.LeaseKV
	value   []byte
	version platform.Version
	writes  int
	err     error
}

func (f *fakeKV) CompareAndSwap(_ context.Context, _ string, value []byte, expected platform.Version, _ platform.LeaseID) (platform.Version, error) {
	if f.err != nil {
		return 0, f.err
	}
	if expected != f.version {
		return 0, platform.ErrConflict
	}
	f.writes++
	f.value, f.version = value, f.version+1
	return f.version, nil
}

// state returns the service as a gateway sees it that is up to date.
func (f *fakeKV) state(t *testing.T, capacities map[string]int) []ServiceState {
	t.Helper()
	state := ServiceState{Name: "s", Pool: Pool{Era: 1, Versions: capacities}, Capacities: capacities, Lifetime: time.Second}
	if f.value != nil {
		a, err := Decode(f.value)
		if err != nil {
			t.Fatal(err)
		}
		a.Revision = f.version
		state.Pool.Assignment = a
	}
	return []ServiceState{state}
}

// One gateway writes a change; another one only if the first does not, and an old state of
// the store overwrites nothing.
func TestKeepersTakeTurns(t *testing.T) {
	store := &fakeKV{}
	capacities := map[string]int{"v1": 4}
	var stale []ServiceState
	keeper := func(turn int, isStale bool) *Keeper {
		return NewKeeper(KeeperOptions{KV: store, Prefix: "streams/", Turn: func() int { return turn }, Services: func() []ServiceState {
			if isStale {
				return stale
			}
			return store.state(t, capacities)
		}})
	}
	first, second, idle := keeper(0, false), keeper(1, false), keeper(-1, false)
	now := time.Now()
	second.step(t.Context(), now)
	if store.writes != 0 {
		t.Fatal("the second gateway does not wait for its turn")
	}
	first.step(t.Context(), now)
	second.step(t.Context(), now.Add(turnDelay))
	if store.writes != 1 {
		t.Fatalf("%d writes, want the first gateway's", store.writes)
	}
	stale = store.state(t, capacities)
	capacities = map[string]int{"v1": 4, "v2": 4}
	later := now.Add(time.Minute)
	idle.step(t.Context(), later)
	second.step(t.Context(), later)
	second.step(t.Context(), later.Add(turnDelay))
	if store.writes != 2 {
		t.Fatalf("%d writes, want the second gateway's after the first has not written", store.writes)
	}
	stale[0].Capacities = map[string]int{"v3": 4}
	late := keeper(0, true)
	late.step(t.Context(), later)
	if store.writes != 2 {
		t.Error("an old state of the store has overwritten a newer one")
	}
}

// A change whose write failed is written again.
func TestKeeperWritesAgain(t *testing.T) {
	store := &fakeKV{err: platform.ErrOutcomeUnknown}
	k := NewKeeper(KeeperOptions{KV: store, Turn: func() int { return 0 }, Services: func() []ServiceState { return store.state(t, map[string]int{"v1": 1}) }})
	now := time.Now()
	k.step(t.Context(), now)
	store.err = nil
	k.step(t.Context(), now)
	if store.writes != 0 {
		t.Error("written again before a watch can have brought the outcome")
	}
	k.step(t.Context(), now.Add(2*turnDelay))
	if store.writes != 1 {
		t.Errorf("%d writes, want 1", store.writes)
	}
}

// An entry that no gateway can read is replaced, and streams that began before are refused
// for a while.
func TestUnreadableEntryIsReplaced(t *testing.T) {
	for era := range platform.Era(2) {
		store := &fakeKV{value: []byte("{"), version: 7}
		state := ServiceState{Name: "s", Pool: Pool{Assignment: Unreadable(), Era: era}, Capacities: map[string]int{"v1": 1}, Lifetime: time.Second}
		state.Pool.Assignment.Revision = 7
		k := NewKeeper(KeeperOptions{KV: store, Turn: func() int { return 0 }, Services: func() []ServiceState { return []ServiceState{state} }})
		k.step(t.Context(), time.Now())
		a, err := Decode(store.value)
		if err != nil {
			t.Fatalf("era %d: %v", era, err)
		}
		if shares := a.Shares(); shares["v1"] != Slots || a.Unsettled() != Slots {
			t.Errorf("era %d: shares %v, %d slots unsettled", era, shares, a.Unsettled())
		}
	}
}
