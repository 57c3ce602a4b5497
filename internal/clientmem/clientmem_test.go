package clientmem

import (
	"testing"
	"time"
)

const mib = 1 << 20

var start = time.Unix(1000, 0)

// crowd opens items of a size until one is refused.
func crowd(a *Account, bytes int64, evicted *int) []*Item {
	var items []*Item
	for {
		i := a.NewItem(func() { *evicted++ }, start)
		if !i.Resize(bytes, start) {
			return items
		}
		items = append(items, i)
	}
}

// Bodies that stopped just short of their end fill the account; they give way to a new one, and
// the account does not exceed its limit and what evicted ones still hold.
func TestStalledItemsGiveWay(t *testing.T) {
	a, evicted := New(32*mib), 0
	stalled := crowd(a, 4*mib, &evicted)
	if len(stalled) != 6 || evicted != 0 {
		t.Fatalf("%d items of 4 MiB, %d evicted, want 6 and 0", len(stalled), evicted)
	}
	later := start.Add(slowPeriod)
	if i := a.NewItem(func() {}, later); !i.Resize(4*mib, later) || evicted != 1 {
		t.Errorf("evicted %d, want 1", evicted)
	}
	for range 100 {
		a.NewItem(func() {}, later).Resize(4*mib, later)
	}
	if used := a.Used(); used > 40*mib {
		t.Errorf("%d MiB in use", used/mib)
	}
	for _, i := range stalled {
		i.Release()
		i.Release()
	}
	if a.evicted != 0 {
		t.Errorf("%d bytes of evicted items are left", a.evicted)
	}
}

// Large items that progress keep their room from others of their size, but not from small ones.
// Requests that run are never dropped.
func TestProgressingItemsStay(t *testing.T) {
	a, evicted := New(32*mib), 0
	items := crowd(a, 4*mib, &evicted)
	later := start.Add(3 * time.Second)
	for _, i := range items {
		i.Progress(mib, later)
	}
	if a.NewItem(func() {}, later).Resize(4*mib, later) || evicted != 0 {
		t.Errorf("%d items in progress were dropped", evicted)
	}
	if !a.NewItem(func() {}, later).Resize(100<<10, later) {
		t.Error("a medium item is refused")
	}
	for range a.MaxConns() {
		a.OpenConn(later)
	}
	if evicted == 0 || a.Used() > (32+8+1)*mib { // the limit, a quarter that is evicted, and the medium item
		t.Errorf("%d evicted for connections, %d MiB in use", evicted, a.Used()/mib)
	}
	for _, i := range items {
		i.SetEvictable(false, later)
	}
	before := evicted
	if a.NewItem(func() {}, later.Add(time.Minute)).Resize(8*mib, later.Add(time.Minute)) || evicted != before {
		t.Error("a running request was dropped")
	}
}
