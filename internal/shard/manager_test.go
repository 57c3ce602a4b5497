package shard

import (
	"context"
	"io"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

const vmListLag = 2 * time.Second

func TestMain(m *testing.M) {
	if err := logging.Setup(io.Discard, "error", logging.FormatText); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fakeLimiter is a Limiter with fixed levels that records its calls.
type fakeLimiter struct {
	levels    map[string]int64
	restored  int
	suspended bool
	confirmed time.Time
}

func (f *fakeLimiter) Release(uint64, []int) map[string]int64 { return f.levels }
func (f *fakeLimiter) Restore([]int)                          { f.restored++ }
func (f *fakeLimiter) Suspended() bool                        { return f.suspended }
func (f *fakeLimiter) Confirm(seen time.Time)                 { f.confirmed = seen }

func viewOf(addresses ...string) *membership.View {
	var vms []platform.VM
	for _, address := range addresses {
		vms = append(vms, platform.VM{Name: address, Address: address, Group: platform.GroupRouters, State: platform.VMLive})
	}
	return membership.NewView(vms)
}

func newManager(store platform.KV, self string, limiter Limiter) *Manager {
	return NewManager(Options{Self: self, Environment: "test", KV: store, Limiter: limiter, VMListLag: vmListLag})
}

// reconcileAll runs Reconcile of each manager n times, once a second.
func reconcileAll(t *testing.T, n int, view *membership.View, managers ...*Manager) {
	t.Helper()
	for range n {
		for _, m := range managers {
			if _, err := m.Reconcile(context.Background(), view, time.Now()); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
	}
}

func wantOwned(t *testing.T, table *Table, address string, want int) {
	t.Helper()
	if got := len(table.OwnedBy(address)); got != want {
		t.Errorf("%s owns %d shards in epoch %d, want %d", address, got, table.Epoch, want)
	}
}

func TestShardsOfAnUnlistedOwner(t *testing.T) {
	const revoked, claimed = vmListLag + revokeMargin, vmListLag + revokeMargin + quarantineTime
	cases := []struct {
		name    string
		after   time.Duration
		fresh   bool // the view is newly read for each Reconcile
		revoked bool
		claimed bool
	}{
		{"listed until now", 0, true, false, false},
		{"before the revocation", revoked - time.Second, true, false, false},
		{"after the revocation", revoked + time.Second, true, true, false},
		{"after the quarantine", claimed + 2*time.Second, true, true, true},
		{"no newer view", claimed + 2*time.Second, false, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := kv.New(1)
				a, b := newManager(store, "a", nil), newManager(store, "b", nil)
				reconcileAll(t, 3, viewOf("a", "b"), a, b)
				read := time.Now()
				for end := read.Add(c.after); !time.Now().After(end); time.Sleep(time.Second) {
					if c.fresh {
						read = time.Now()
					}
					if _, err := a.Reconcile(context.Background(), viewOf("a"), read); err != nil {
						t.Fatal(err)
					}
				}
				if got := len(a.known.OwnedBy("b")) == 0; got != c.revoked {
					t.Errorf("revoked: %v, want %v", got, c.revoked)
				}
				if got := len(a.known.OwnedBy("a")) == Count; got != c.claimed {
					t.Errorf("claimed: %v, want %v", got, c.claimed)
				}
			})
		})
	}
}

func TestNewRouterGetsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.New(1)
		limiter := &fakeLimiter{levels: map[string]int64{"badges": 103}}
		a, b := newManager(store, "a", limiter), newManager(store, "b", nil)
		reconcileAll(t, 2, viewOf("a"), a)
		reconcileAll(t, 2, viewOf("a", "b"), a, b)
		wantOwned(t, b.known, "a", 32)
		wantOwned(t, b.known, "b", 32)
		var tokens int64
		for i := range b.known.Owners {
			tokens += b.known.Owners[i].Levels["badges"]
		}
		if tokens != 103 {
			t.Errorf("%d tokens were handed over with the shards, want 103", tokens)
		}
	})
}

func TestRouterWithoutProcessGetsNoShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newManager(kv.New(1), "a", nil), (*Manager)(nil)
		reconcileAll(t, 3, viewOf("a", "b"), a)
		wantOwned(t, a.known, "a", Count)
		b = newManager(a.kv, "b", nil)
		reconcileAll(t, 1, viewOf("a", "b"), b, a)
		wantOwned(t, a.known, "a", Count/2)
		reconcileAll(t, int(waitTimeout/time.Second)+1, viewOf("a", "b"), a) // b has crashed
		wantOwned(t, a.known, "a", Count)
		reconcileAll(t, 15, viewOf("a", "b"), b, a)
		wantOwned(t, a.known, "b", Count/2)
	})
}

func TestLeavingRouterGivesUpItsShards(t *testing.T) {
	cases := []struct {
		name string
		view *membership.View
		keep int
	}{
		{"to another", leavingView("a", "b"), 0},
		{"unless it is the last one", leavingView("a"), Count},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := kv.New(1)
				a, b := newManager(store, "a", nil), newManager(store, "b", nil)
				reconcileAll(t, 1, viewOf("a", "b"), a, b)
				reconcileAll(t, 3, c.view, a)
				wantOwned(t, a.known, "a", c.keep)
			})
		})
	}
}

// leavingView returns a view in which the first router is leaving.
func leavingView(addresses ...string) *membership.View {
	view := viewOf(addresses...)
	view.Routers[0].Leaving = true
	return view
}

func TestTokensAreHandedOverOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.New(1)
		a, b := newManager(store, "a", nil), newManager(store, "b", nil)
		reconcileAll(t, 2, viewOf("a", "b"), a, b)
		if err := a.ReleaseAll(context.Background(), map[string]int64{"badges": 10}); err != nil {
			t.Fatal(err)
		}
		reconcileAll(t, 1, viewOf("b"), b)
		wantOwned(t, b.known, "b", Count)
		restarted := newManager(store, "b", nil)
		reconcileAll(t, 1, viewOf("b"), restarted)
		for i := range restarted.known.Owners {
			if len(restarted.known.Owners[i].Levels) > 0 {
				t.Fatalf("shard %d hands over tokens again, to a restarted router", i)
			}
		}
	})
}

func TestOutageKeepsTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.New(1)
		limiter := &fakeLimiter{}
		a := newManager(store, "a", limiter)
		reconcileAll(t, 2, viewOf("a"), a)
		store.SetFaults(kv.Faults{Down: true})
		limiter.suspended = true
		table, err := a.Reconcile(context.Background(), viewOf("a", "b"), time.Now())
		if !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("got error %v, want unavailable", err)
		}
		wantOwned(t, table, "a", Count)
		if !limiter.confirmed.IsZero() {
			t.Error("limiter confirmed during the outage")
		}
	})
}

// A router must not confirm its limiter on a stale read, which shows it as the owner of
// shards that were revoked.
func TestStaleReadDoesNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.New(1)
		limiter := &fakeLimiter{}
		a, b := newManager(store, "a", limiter), newManager(store, "b", nil)
		reconcileAll(t, 2, viewOf("a"), a)
		reconcileAll(t, 8, viewOf("b"), b) // revokes all
		store.SetFaults(kv.Faults{StaleReads: 1})
		limiter.suspended = true
		if _, err := a.Reconcile(context.Background(), viewOf("a", "b"), time.Now()); err == nil {
			t.Error("Reconcile succeeded on a stale read")
		}
		if !limiter.confirmed.IsZero() {
			t.Error("limiter confirmed on a stale read")
		}
		store.SetFaults(kv.Faults{})
		reconcileAll(t, 1, viewOf("a", "b"), a)
		if limiter.confirmed.IsZero() {
			t.Error("limiter not confirmed on a current read")
		}
		if owned := a.known.OwnedBy("a"); len(owned) > 0 {
			t.Errorf("router owns shards %v, which are revoked and in quarantine", owned)
		}
	})
}

func TestDecodeRejectsInvalidTables(t *testing.T) {
	good, err := Encode(&Table{Epoch: 1})
	if err != nil {
		t.Fatal(err)
	}
	future := &Table{Epoch: 1}
	future.Owners[3] = Owner{Address: "a", SinceEpoch: 2}
	late, err := Encode(future)
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{
		"empty": nil, "noise": []byte("noise"), "cut": good[:len(good)-2],
		"65 shards": slices.Concat(good, good[2:4]), "owned since a later epoch": late,
	} {
		if table, err := Decode(data); err == nil {
			t.Errorf("%s: decoded as %+v", name, table)
		}
	}
}
