package roster

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/shard"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

func gatewayList(addresses ...string) []deployment.Gateway {
	var list []deployment.Gateway
	for _, address := range addresses {
		list = append(list, deployment.Gateway{Address: address})
	}
	return list
}

func ownedShards(table *shard.Table) map[string]int {
	counts := make(map[string]int)
	for i := range table.Owners {
		counts[table.Owners[i].Address]++
	}
	return counts
}

// All gateways derive the same table whatever the order of the list, and each owns the
// same number of shards of each class.
func TestTableIsTheSameEverywhere(t *testing.T) {
	now := time.Unix(100, 0)
	names := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
	first, changed := NewMembers(names[0]).Update(gatewayList(names...), 7, now)
	if !changed || first.Epoch != 7 {
		t.Fatalf("epoch %d, changed %v", first.Epoch, changed)
	}
	for _, self := range names[1:] {
		other, _ := NewMembers(self).Update(gatewayList(names[3], names[1], names[0], names[2]), 9, now)
		if !sameOwners(other, &first.Owners) {
			t.Errorf("%s derives a different table", self)
		}
	}
	for class := range shard.Classes {
		counts := make(map[string]int)
		for i := class; i < shard.Count; i += shard.Classes {
			counts[first.Owners[i].Address]++
		}
		for _, name := range names {
			if counts[name] != shard.PerClass/len(names) {
				t.Errorf("%s owns %d of the %d shards of class %d", name, counts[name], shard.PerClass, class)
			}
		}
	}
}

// A gateway that is no longer listed keeps its shards for absenceGrace, since it may
// still be serving. A new one gets its shards at once.
func TestMembersComeAndGo(t *testing.T) {
	now := time.Unix(100, 0)
	m := NewMembers("a")
	table, _ := m.Update(gatewayList("a", "b"), 1, now)
	epoch := table.Epoch
	if table, changed := m.Update(gatewayList("a"), 5, now.Add(absenceGrace/2)); changed || ownedShards(table)["b"] == 0 {
		t.Errorf("b lost its shards at once: %v", ownedShards(table))
	}
	if table, changed := m.Update(nil, 6, now.Add(absenceGrace/2)); changed || len(ownedShards(table)) != 2 {
		t.Errorf("an empty list takes away shards: %v", ownedShards(table))
	}
	table, changed := m.Update(gatewayList("a"), 6, now.Add(absenceGrace+time.Second))
	if !changed || ownedShards(table)["b"] != 0 || table.Epoch <= epoch {
		t.Errorf("b still owns shards after the grace period: %v, epoch %d after %d", ownedShards(table), table.Epoch, epoch)
	}
	epoch = table.Epoch
	table, changed = m.Update(gatewayList("a", "c"), 2, now.Add(absenceGrace+2*time.Second))
	if !changed || ownedShards(table)["c"] != shard.Count/2 || table.Epoch <= epoch {
		t.Errorf("c does not own half of the shards: %v, epoch %d after %d", ownedShards(table), table.Epoch, epoch)
	}
}

func TestNumberOfWatchersIsBounded(t *testing.T) {
	for _, n := range []int{1, 4, 5, 27, 1500} {
		var addresses []string
		for i := range n {
			addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
		}
		listed, watching := gatewayList(addresses...), 0
		for _, address := range addresses {
			if Watches(listed, address) {
				watching++
			}
		}
		if watching != min(n, maxWatchers) {
			t.Errorf("%d of %d gateways watch", watching, n)
		}
		if !Watches(listed, "10.9.9.9:1") {
			t.Error("a gateway that is not listed does not watch")
		}
	}
}

// fakeKV is a store of keys under leases.
type fakeKV struct {
	mu           sync.Mutex
	leases       map[platform.LeaseID]time.Time
	keys         map[string]platform.LeaseID
	value        []byte // that was written last
	loseResponse bool
	next         platform.LeaseID
}

func (f *fakeKV) listed(prefix string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, lease := range f.keys {
		if strings.HasPrefix(key, prefix) && time.Now().Before(f.leases[lease]) {
			n++
		}
	}
	return n
}

func (f *fakeKV) Get(_ context.Context, key string) (platform.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if lease, ok := f.keys[key]; ok && time.Now().Before(f.leases[lease]) {
		return platform.Entry{Key: key, Version: 1}, nil
	}
	return platform.Entry{}, platform.ErrNotFound
}

func (f *fakeKV) CompareAndSwap(_ context.Context, key string, value []byte, _ platform.Version, lease platform.LeaseID) (platform.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys[key], f.value = lease, value
	if f.loseResponse {
		f.loseResponse = false
		return 0, platform.ErrOutcomeUnknown
	}
	return 1, nil
}

func (f *fakeKV) GrantLease(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	f.leases[f.next] = time.Now().Add(ttl)
	return f.next, nil
}

func (f *fakeKV) RenewLease(_ context.Context, id platform.LeaseID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !time.Now().Before(f.leases[id]) {
		return platform.ErrNotFound
	}
	f.leases[id] = time.Now().Add(leaseTTL)
	return nil
}

func (*fakeKV) Era() platform.Era { return 0 }

func (f *fakeKV) RevokeLease(_ context.Context, id platform.LeaseID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.leases, id)
	return nil
}

// A gateway stays listed exactly once while it runs, also after a lost response to its
// registration and after its lease has expired.
func TestRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &fakeKV{leases: make(map[platform.LeaseID]time.Time), keys: make(map[string]platform.LeaseID), loseResponse: true}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { NewRegistration(kv, "p/", "10.0.0.1:1", nil).Run(ctx) })
		for _, moment := range []string{"after a lost response", "after an expired lease", "much later"} {
			time.Sleep(5 * time.Second)
			if n := kv.listed("p/10.0.0.1:1/"); n != 1 {
				t.Errorf("%s: listed %d times, want once", moment, n)
			}
			if moment == "after a lost response" {
				kv.mu.Lock()
				clear(kv.leases)
				kv.mu.Unlock()
			}
			time.Sleep(time.Minute)
		}
		cancel()
		group.Wait()
		if n := kv.listed("p/"); n != 0 {
			t.Error(fmt.Sprint("listed after the end: ", n))
		}
	})
}

// A gateway whose entry was lost in a restore of the store is listed again before the
// others take over its shards, even if its lease's ID is another gateway's now.
func TestRegistrationLostInARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.New(1)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		time.Sleep(time.Minute)
		for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
			group.Go(func() { NewRegistration(store, "p/", address, nil).Run(ctx) })
		}
		for restores := range 3 {
			time.Sleep(5 * time.Second)
			store.Restore(9 * time.Second)
			time.Sleep(absenceGrace / 2)
			entries, err := store.List(ctx, "p/")
			if err != nil || len(entries) != 2 {
				t.Errorf("%d gateways listed after %d restores, %v, want 2", len(entries), restores+1, err)
			}
			time.Sleep(2 * leaseTTL)
			if entries, err = store.List(ctx, "p/"); err != nil || len(entries) != 2 {
				t.Errorf("%d gateways listed long after %d restores, %v, want 2", len(entries), restores+1, err)
			}
		}
		cancel()
		group.Wait()
	})
}

// A gateway whose link is found to be narrow says so under its one entry, and again when it is wide.
func TestRegistrationOfANarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &fakeKV{leases: make(map[platform.LeaseID]time.Time), keys: make(map[string]platform.LeaseID)}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		var narrow atomic.Bool
		group.Go(func() { NewRegistration(kv, "p/", "10.0.0.1:1", narrow.Load).Run(ctx) })
		for _, want := range []bool{false, true, false} {
			narrow.Store(want)
			time.Sleep(2 * time.Second)
			kv.mu.Lock()
			if deployment.IsNarrow(kv.value) != want {
				t.Errorf("value %s, want narrow %v", kv.value, want)
			}
			kv.mu.Unlock()
			if n := kv.listed("p/"); n != 1 {
				t.Errorf("listed %d times, want once", n)
			}
		}
		cancel()
		group.Wait()
	})
}

// Gateways with narrow links watch the store only if there are not enough others.
func TestWatchersHaveWideLinks(t *testing.T) {
	list := gatewayList("a", "b", "c", "d", "e", "f", "g", "h")
	for i := range list {
		list[i].Narrow = i < 4
	}
	watchers := Watchers(list)
	if len(watchers) != maxWatchers || !slices.Equal(slices.Sorted(slices.Values(watchers[:4])), []string{"e", "f", "g", "h"}) {
		t.Errorf("watchers %v, want the wide ones first", watchers)
	}
	for i := range list {
		list[i].Narrow = true
	}
	if all := Watchers(list); !slices.Equal(all, Watchers(gatewayList("a", "b", "c", "d", "e", "f", "g", "h"))) {
		t.Errorf("all are narrow: watchers %v", all)
	}
}
