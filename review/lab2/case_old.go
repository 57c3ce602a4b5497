package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// old: a write by which a server says that it is ready gets no answer and is executed seconds
// later, after the server has reported that it leaves.
func old(l *lab) bool {
	const drain, late, exit = 2000 * time.Millisecond, 2450 * time.Millisecond, 3500 * time.Millisecond
	l.store.put("op/config", manifest(1,
		[]map[string]any{route("r-print", "/fiti832/", "non_idempotent", "kafi81c", 1500, 100, nil)},
		[]map[string]any{plainService("kafi81c")},
		[]map[string]any{tenant("sese880", "wu3fexd9dnn2ctnfzs98", false)}))
	var leavingAt atomic.Int64 // Unix nanoseconds of the ack
	var arrived, cut atomic.Int64
	var leaver *server
	start := func(id string) *server {
		s := startServer(l.record, l.store, id, "kafi81c", "")
		s.handle = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
			at := leavingAt.Load()
			if s == leaver && at != 0 && time.Since(time.Unix(0, at)) > drain {
				arrived.Add(1)
				l.add("BROKEN: %s reaches %s %v after the ack of its leaving", r.Header.Get("Attempt-Id"), s.id, time.Since(time.Unix(0, at)).Round(time.Millisecond))
			}
			select {
			case <-time.After(60 * time.Millisecond):
			case <-s.ended:
				cut.Add(1)
				l.add("%s is cut as %s exits", r.Header.Get("Attempt-Id"), s.id)
				panic(http.ErrAbortHandler)
			}
			return false
		}
		return s
	}
	leaver = start("i-7f3a91c2")
	start("i-02d9e6b4")
	start("i-50b49983")
	l.startAll()
	stop := make(chan struct{})
	var consumers sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	for i := range 12 {
		consumers.Go(func() {
			g := l.gateways[i%len(l.gateways)]
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				status := l.order(g, fmt.Sprintf("9c41d07b%04x%04x", i, n))
				mu.Lock()
				answers[fmt.Sprint(status)]++
				mu.Unlock()
			}
		})
	}
	leaver.mu.Lock()
	leaver.manual = true
	leaver.mu.Unlock()
	key := "servers/" + leaver.id
	stale, sent := leaver.entry(), time.Now()
	if l.trouble {
		l.add("store: the write of the entry %v gets no answer; it is executed later", stale)
		l.add("%d other writes in the 2 s before it were answered", l.store.writesSince(sent.Add(-2*time.Second)))
	}
	for range 2 { // the server goes on writing
		time.Sleep(1200 * time.Millisecond)
		leaver.beat()
	}
	l.add("the server that is to take its place starts")
	start("i-8e60d01a")
	time.Sleep(time.Until(sent.Add(3300 * time.Millisecond)))
	leaver.mu.Lock()
	leaver.leaving = true
	leaver.mu.Unlock()
	leaver.beat()
	acked := time.Now()
	leavingAt.Store(acked.UnixNano())
	l.add("store: %s is draining, acknowledged", leaver.id)
	go func() {
		for range 2 {
			time.Sleep(1200 * time.Millisecond)
			leaver.beat()
		}
	}()
	until := func(after time.Duration) { time.Sleep(time.Until(acked.Add(after))) }
	until(late)
	if l.trouble {
		l.store.put(key, stale)
		l.add("store: executes the write of %v", stale)
		// The server's next entry, 1.2 s after its last one, is due 3.6 s after the ack.
	}
	until(exit)
	l.store.remove(key)
	l.add("%s exits", leaver.id)
	leaver.crash()
	time.Sleep(time.Second)
	close(stop)
	consumers.Wait()
	l.add("%d requests reached %s later than %v after the ack, %d were cut as it exited; answers by status: %v", arrived.Load(), leaver.id, drain, cut.Load(), answers)
	return arrived.Load() == 0
}
