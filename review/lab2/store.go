package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store stands in for the platform's store, as PROTOCOL.md tells it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	changed  chan struct{}
	writes   []time.Time // of servers and the system
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.ends) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.change(item{Key: key, Deleted: true})
		}
	}
}

func (s *store) change(i item) uint64 {
	s.revision++
	i.Revision = s.revision
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		i.Created = i.Revision
		if former, ok := s.items[i.Key]; ok {
			i.Created = former.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// put writes as the operator or a server does. It returns after the ack.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: text})
}

// beat writes the entry of a server, which changes when more than its seq changes.
func (s *store) beat(key string, entry map[string]any) {
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, time.Now())
	var former map[string]any
	if json.Unmarshal(s.items[key].Value, &former) == nil && former != nil {
		former["seq"] = entry["seq"]
		if same, _ := json.Marshal(former); string(same) == string(text) {
			return
		}
	}
	s.change(item{Key: key, Value: text})
}

// writesSince returns the number of writes of all callers since a time.
func (s *store) writesSince(t time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.writes {
		if !at.Before(t) {
			n++
		}
	}
	return n
}

// remove removes the entry of a server that has left.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Deleted: true})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if r.URL.Path == "/-/kv-txn" || r.URL.Path == "/-/kv-lease" {
		s.mu.Lock()
		s.writes = append(s.writes, time.Now())
		s.mu.Unlock()
	}
	switch {
	case r.URL.Path == "/-/kv-key":
		s.mu.Lock()
		i, ok := s.items[query.Get("key")]
		asOf := s.revision
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{"as_of": asOf})
			return
		}
		reply(w, http.StatusOK, struct {
			item
			AsOf uint64 `json:"as_of"`
		}{i, asOf})
	case r.URL.Path == "/-/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case r.URL.Path == "/-/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/-/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/-/kv-lease":
		var asked struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&asked)
		ttl := min(max(asked.TTL, 1000), 600000)
		s.mu.Lock()
		s.revision++
		id := s.revision
		s.leases[id] = &lease{time.Duration(ttl) * time.Millisecond, time.Now().Add(time.Duration(ttl) * time.Millisecond)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl})
	case strings.HasPrefix(r.URL.Path, "/-/kv-keep/"), strings.HasPrefix(r.URL.Path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			l.ends = time.Now().Add(l.ttl)
		}
		reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	deadline := time.After(min(wait, 30*time.Second))
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		changed, asOf := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": fmt.Sprint(err)})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, put := range txn.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	current, failed := []item{}, false
	for _, e := range txn.Expected {
		i := s.items[e.Key]
		failed = failed || i.Revision != e.Revision
		if i.Revision != 0 {
			current = append(current, i)
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range txn.Puts {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, put := range txn.Puts {
		s.change(item{Key: put.Key, Value: put.Value, Lease: put.Lease})
	}
	for _, key := range txn.Remove {
		if _, ok := s.items[key]; ok {
			s.change(item{Key: key, Deleted: true})
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
