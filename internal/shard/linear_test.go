package shard

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

// call is a read by one manager, or a write if next is set.
type call struct {
	self string
	next *Table
}

// outcome is the result of a call as its manager got it.
type outcome struct {
	seen    *Table // table returned by a read
	unknown bool   // the write may have taken effect or may still do so
	failed  bool   // without effect
}

// recorder records the calls of one manager in a history.
type recorder struct {
	platform.KV
	self   string
	client int
	log    *history
}

type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (r *recorder) record(began time.Time, in call, out outcome) {
	ended := time.Now()
	if out.unknown {
		ended = began.Add(time.Hour)
	}
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.log.operations = append(r.log.operations, porcupine.Operation{
		ClientId: r.client, Input: in, Call: began.UnixNano(), Output: out, Return: ended.UnixNano(),
	})
}

func (r *recorder) Get(ctx context.Context, key string) (platform.Entry, error) {
	began := time.Now()
	entry, err := r.KV.Get(ctx, key)
	if err == nil {
		table, decodeErr := Decode(entry.Value)
		if decodeErr != nil {
			return entry, decodeErr
		}
		r.record(began, call{self: r.self}, outcome{seen: table})
	}
	return entry, err
}

func (r *recorder) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Version, lease platform.LeaseID) (platform.Version, error) {
	began := time.Now()
	next, err := Decode(value)
	if err != nil {
		return 0, err
	}
	version, err := r.KV.CompareAndSwap(ctx, key, value, expected, lease)
	r.record(began, call{self: r.self, next: next}, outcome{unknown: errors.Is(err, platform.ErrOutcomeUnknown), failed: err != nil})
	return version, err
}

// tableModel is a model of the table that accepts only allowed writes.
var tableModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{&Table{}} },
	Step: func(state, input, output any) []any {
		return nextStates(state.(*Table), input.(call), output.(outcome))
	},
	Equal: func(a, b any) bool { return equal(a.(*Table), b.(*Table)) },
}

// nextStates returns the possible tables after a call.
func nextStates(state *Table, in call, out outcome) []any {
	switch {
	case in.next == nil && equal(state, out.seen):
		return []any{state}
	case in.next == nil:
		return nil
	case out.unknown && allowed(state, in.next, in.self):
		return []any{state, in.next}
	case out.failed:
		return []any{state}
	case allowed(state, in.next, in.self):
		return []any{in.next}
	default:
		return nil
	}
}

func equal(a, b *Table) bool {
	for i := range a.Owners {
		x, y := &a.Owners[i], &b.Owners[i]
		if x.Address != y.Address || x.SinceEpoch != y.SinceEpoch || x.Revoked != y.Revoked {
			return false
		}
	}
	return a.Epoch == b.Epoch
}

// allowed reports whether self may write to over from: it may claim free shards only,
// and may free other routers' shards only as revoked.
func allowed(from, to *Table, self string) bool {
	if equal(from, to) {
		return true
	}
	for i := range from.Owners {
		before, after := &from.Owners[i], &to.Owners[i]
		unchanged := before.Address == after.Address && before.SinceEpoch == after.SinceEpoch
		claims := before.Address == "" && after.Address == self
		frees := before.Address == self && after.Address == ""
		revokes := before.Address != "" && after.Address == "" && after.Revoked
		if !unchanged && (!claims && !frees && !revokes || after.SinceEpoch != to.Epoch) {
			return false
		}
	}
	return to.Epoch == from.Epoch+1
}

func TestTableHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkTableHistory(t, seed) })
		})
	}
}

func checkTableHistory(t *testing.T, seed uint64) {
	store := kv.New(seed)
	log := &history{}
	var group sync.WaitGroup
	for client := range 4 {
		self := fmt.Sprint("router-", client)
		m := newManager(&recorder{KV: store, self: self, client: client, log: log}, self, nil)
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		group.Go(func() { reconcileRandomly(m, random) })
	}
	faults := rand.New(rand.NewPCG(seed, 99))
	for range 15 {
		store.SetFaults(kv.Faults{
			Down: faults.IntN(5) == 0, Delay: time.Duration(faults.IntN(30)) * time.Millisecond, LoseAnswers: 0.3,
		})
		time.Sleep(2 * time.Second)
	}
	group.Wait()
	if len(log.operations) < 40 {
		t.Fatalf("only %d calls were recorded", len(log.operations))
	}
	if !porcupine.CheckOperations(tableModel.ToModel(), log.operations) {
		t.Errorf("%d calls are not linearizable", len(log.operations))
	}
}

// reconcileRandomly calls Reconcile at random intervals while other routers join and
// leave the view.
func reconcileRandomly(m *Manager, random *rand.Rand) {
	for range 3 {
		listed := []string{m.self}
		for other := range 4 {
			if name := fmt.Sprint("router-", other); name != m.self && random.IntN(4) > 0 {
				listed = append(listed, name)
			}
		}
		for range 25 {
			_, _ = m.Reconcile(context.Background(), viewOf(listed...), time.Now())
			time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		}
	}
}
