// Package clientmem accounts for the memory that a process holds for its clients: their
// connections, long heads, bodies, and responses that they have not read yet. It addresses
// crowds of clients that each stay within the limits of a request and together exceed the
// memory of the process. It reads no clock and starts no goroutine.
//
// Small items are covered by the charge of their connection and are not accounted for one by
// one, so an ordinary request costs nothing here and is never refused for lack of memory.
package clientmem

import (
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which an item is covered by its connection's charge.
	SmallBytes = 8 << 10
	// ConnBytes is the charge of a connection: its goroutine, two buffers of 4 KiB and a
	// small head, body and response.
	ConnBytes = 24 << 10
	// mediumBytes is the size above which an item may only use largeShare of the account, so
	// that prompts of usual length find room beside the largest bodies.
	mediumBytes = 128 << 10
	largeShare  = 0.75
	// evictedShare is the part of the account that evicted items may still occupy until
	// their goroutines have dropped them.
	evictedShare = 0.25
	// slowBytes and slowPeriod define a slow item: less progress than this in the period.
	// Twelve clients that share 10 Mbit/s are six times as fast.
	slowBytes  = 16 << 10
	slowPeriod = time.Second
	// An item of largerFactor times the size of another gives way to it after matureAge,
	// although it is not slow.
	largerFactor = 4
	matureAge    = 2 * time.Second
)

// Account is the memory account of a process. A nil Account has no limit. It is safe for
// concurrent use.
type Account struct {
	limit int64

	mu      sync.Mutex
	used    int64 // connections and items, without evicted ones
	evicted int64 // of evicted items that are not released yet
	items   map[*Item]struct{}
}

// New returns an account with a limit in bytes, or nil if the limit is 0.
func New(limit int64) *Account {
	if limit <= 0 {
		return nil
	}
	return &Account{limit: limit, items: make(map[*Item]struct{})}
}

// MaxConns returns the number of connections that fit into half of the account; 0 means no limit.
func (a *Account) MaxConns() int {
	if a == nil {
		return 0
	}
	return int(a.limit / 2 / ConnBytes)
}

// Used returns the bytes that are accounted for, including evicted ones that are not released.
func (a *Account) Used() int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used + a.evicted
}

// OpenConn charges a connection. The caller bounds their number by MaxConns. Items give way to
// connections.
func (a *Account) OpenConn(now time.Time) {
	if a == nil {
		return
	}
	a.mu.Lock()
	a.used += ConnBytes
	var victims []*Item
	for a.used > a.limit {
		victim := a.victimLocked(nil, ConnBytes, now)
		if victim == nil {
			break
		}
		victims = append(victims, a.evictLocked(victim))
	}
	a.mu.Unlock()
	evictAll(victims)
}

// CloseConn removes the charge of a connection.
func (a *Account) CloseConn() {
	if a == nil {
		return
	}
	a.mu.Lock()
	a.used -= ConnBytes
	a.mu.Unlock()
}

// Item is something above SmallBytes that is held for a client. A nil Item has no limit.
type Item struct {
	account *Account
	evict   func()

	// Guarded by account.mu.
	bytes     int64
	began     time.Time
	progress  int64     // bytes at marked
	marked    time.Time // when the last slowBytes of progress were complete
	evictable bool
	evicted   bool
}

// NewItem returns an item of size 0. evict, which must not block, is called at most once, when
// the item has to give way; its owner then drops it and calls Release.
func (a *Account) NewItem(evict func(), now time.Time) *Item {
	if a == nil {
		return nil
	}
	return &Item{account: a, evict: evict, began: now, marked: now, evictable: true}
}

// Resize changes the size of the item. It returns false if there is no room or the item was
// evicted; the item then keeps its size until Release.
func (i *Item) Resize(bytes int64, now time.Time) bool {
	if i == nil {
		return true
	}
	a := i.account
	a.mu.Lock()
	victims, ok := a.resizeLocked(i, bytes, now)
	a.mu.Unlock()
	evictAll(victims)
	return ok
}

func (a *Account) resizeLocked(i *Item, bytes int64, now time.Time) (victims []*Item, ok bool) {
	if i.evicted {
		return nil, false
	}
	limit := a.limit
	if bytes > mediumBytes {
		limit = int64(float64(a.limit) * largeShare)
	}
	need := bytes - i.bytes
	for need > 0 && a.used+need > limit {
		victim := a.victimLocked(i, bytes, now)
		if victim == nil {
			return victims, false
		}
		victims = append(victims, a.evictLocked(victim))
	}
	a.used += need
	i.bytes = bytes
	a.items[i] = struct{}{}
	return victims, true
}

// Progress records how many bytes were received or sent so far. It returns false if the item was
// evicted.
func (i *Item) Progress(bytes int64, now time.Time) bool {
	if i == nil {
		return true
	}
	i.account.mu.Lock()
	defer i.account.mu.Unlock()
	if bytes-i.progress >= slowBytes {
		i.progress, i.marked = bytes, now
	}
	return !i.evicted
}

// SetEvictable says whether the item may be evicted from now on. Its age and its progress are
// counted from now. A request that may have run is not evictable. It returns false if the item was
// evicted before.
func (i *Item) SetEvictable(evictable bool, now time.Time) bool {
	if i == nil {
		return true
	}
	i.account.mu.Lock()
	defer i.account.mu.Unlock()
	i.evictable, i.began, i.marked, i.progress = evictable, now, now, 0
	return !i.evicted
}

// Release removes the item from the account. It may be called more than once.
func (i *Item) Release() {
	if i == nil {
		return
	}
	a := i.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if i.evicted {
		a.evicted -= i.bytes
	} else {
		a.used -= i.bytes
	}
	i.bytes = 0
	delete(a.items, i)
}

// victimLocked returns the largest and slowest item that gives way to one of the given size, or
// nil. Items in progress are not dropped for one of their own size: otherwise a burst of large
// requests would drop each other just before their ends.
func (a *Account) victimLocked(except *Item, bytes int64, now time.Time) *Item {
	room := int64(float64(a.limit)*evictedShare) - a.evicted
	var victim *Item
	var most float64
	for i := range a.items {
		slow := now.Sub(i.marked) >= slowPeriod
		large := i.bytes >= largerFactor*bytes && now.Sub(i.began) >= matureAge
		if i == except || !i.evictable || !slow && !large || i.bytes > room && a.evicted > 0 {
			continue
		}
		if score := float64(i.bytes) * (now.Sub(i.marked) + time.Millisecond).Seconds(); score > most {
			victim, most = i, score
		}
	}
	return victim
}

func (a *Account) evictLocked(i *Item) *Item {
	i.evicted = true
	a.used -= i.bytes
	a.evicted += i.bytes
	delete(a.items, i)
	return i
}

func evictAll(items []*Item) {
	for _, i := range items {
		i.evict()
	}
}
