package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. It is
// linearizable, keeps all its history and answers at once.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]*item
	history  []event
	leases   map[uint64]*storeLease
	changed  chan struct{} // closed at each change

	// watchers counts the watch calls by the listener that they came to, so that a case can
	// tell which gateway watches the store itself.
	watchers map[string]int
	waiting  map[string]time.Time // since when the caller's watch waits
	cut      chan struct{}        // closed when the store cuts the waiting watches
}

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type event struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]*item{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}), watchers: map[string]int{}, waiting: map[string]time.Time{}, cut: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// listen serves the store on a new loopback address, which also names the caller.
func (s *store) listen(name string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(name, w, r) }))
	return l.Addr().String()
}

// put writes an entry as the operator or a server does, and returns its revision.
func (s *store) put(key string, value any) uint64 {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, base64.StdEncoding.EncodeToString(data), 0)
	s.signal()
	return s.revision
}

// remove deletes an entry.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key] == nil {
		return
	}
	s.revision++
	s.drop(key)
	s.signal()
}

func (s *store) set(key, value string, lease uint64) {
	it := s.items[key]
	if it == nil {
		it = &item{Key: key, Created: s.revision}
		s.items[key] = it
	}
	it.Value, it.Revision, it.Lease = value, s.revision, lease
	s.history = append(s.history, event{Key: key, Value: value, Revision: s.revision, Created: it.Created, Lease: lease})
}

func (s *store) drop(key string) {
	delete(s.items, key)
	s.history = append(s.history, event{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.drop(key)
	}
	s.signal()
}

// watches returns how many watch calls came from a caller so far.
func (s *store) watches(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchers[name]
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

func (s *store) serve(name string, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		if it := s.items[q.Get("key")]; it != nil {
			reply(w, 200, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "as_of": s.revision})
			return
		}
		reply(w, 404, map[string]any{"as_of": s.revision})
	case path == "/-/kv-range":
		s.mu.Lock()
		defer s.mu.Unlock()
		var keys []string
		for key := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		items := []item{}
		for _, key := range keys[:min(len(keys), 500)] {
			items = append(items, *s.items[key])
		}
		reply(w, 200, map[string]any{"items": items, "has_more": len(keys) > 500, "as_of": s.revision})
	case path == "/-/kv-watch":
		s.watch(name, w, r)
	case path == "/-/kv-txn":
		s.txn(w, body)
	case path == "/-/kv-lease":
		var m struct {
			TTL int64 `json:"ttl_ms"`
		}
		json.Unmarshal(body, &m)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revision++
		id := s.revision
		ttl := time.Duration(max(1000, m.TTL)) * time.Millisecond
		s.leases[id] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
		reply(w, 200, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/-/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/-/kv-keep/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			reply(w, 404, map[string]any{})
			return
		}
		l.ends = time.Now().Add(l.ttl)
		reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/-/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == nil {
			reply(w, 404, map[string]any{})
			return
		}
		s.endLease(id)
		reply(w, 200, map[string]any{})
	default:
		reply(w, 404, map[string]any{})
	}
}

func (s *store) watch(name string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	s.mu.Lock()
	s.watchers[name]++
	s.waiting[name] = time.Now()
	cut := s.cut
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waiting, name)
		s.mu.Unlock()
	}()
	for done := false; ; {
		s.mu.Lock()
		events := []event{}
		for i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after }); i < len(s.history); i++ {
			if strings.HasPrefix(s.history[i].Key, q.Get("prefix")) {
				events = append(events, s.history[i])
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			reply(w, 200, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			done = true
		case <-cut:
			panic(http.ErrAbortHandler) // closes the channel without an answer
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, body []byte) {
	var m struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &m) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []item
	met := true
	for _, e := range m.Expected {
		it := s.items[e.Key]
		if it != nil {
			found = append(found, *it)
		}
		if it == nil && e.Revision != 0 || it != nil && it.Revision != e.Revision {
			met = false
		}
	}
	if !met {
		reply(w, 412, map[string]any{"items": found})
		return
	}
	for _, p := range m.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range m.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range m.Remove {
		if s.items[key] != nil {
			s.drop(key)
		}
	}
	s.signal()
	reply(w, 200, map[string]any{"revision": s.revision})
}

// waits returns how long the youngest waiting watch has waited, and the number of waiting ones.
func (s *store) waits() (time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var latest time.Time
	for _, at := range s.waiting {
		if at.After(latest) {
			latest = at
		}
	}
	return time.Since(latest), len(s.waiting)
}

// cutWatches closes the channels of the watches that wait.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}
