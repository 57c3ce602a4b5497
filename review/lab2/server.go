package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kept is a part that an engine keeps under a salt.
type kept struct {
	tenant, request string
	version         int
}

// server stands in for a backend server, as PROTOCOL.md tells it.
type server struct {
	id, service, model string // model is empty for a plain service
	address            string
	born               int64
	ended              chan struct{} // closed by a crash
	record             *record
	store              *store

	mu      sync.Mutex
	version int
	seq     int
	busy    bool
	parts   map[string]kept // by salt and id
	seqBeat int
	leaving bool
	manual  bool // the case writes the server's entries
	runs    int
	// handle, if set, answers instead of the server; it returns false to leave it to the server.
	handle func(w http.ResponseWriter, r *http.Request, body []byte) bool
	// others holds what may be fetched from: servers and stores of kept KV cache, by address.
	others map[string]*server
	// pause is the time between two events of a stream.
	pause time.Duration
	web   *http.Server
	// reuse is called when a request uses a part that another request made.
	reuse func(r *http.Request, part string, made kept)
}

func startServer(rec *record, st *store, id, service, model string) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &server{
		id: id, service: service, model: model, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		record: rec, store: st, version: 1, parts: map[string]kept{}, pause: 5 * time.Millisecond, ended: make(chan struct{}),
	}
	s.web = &http.Server{Handler: s}
	go func() { _ = s.web.Serve(listener) }()
	if service == "" {
		return s // a store of kept KV cache is on no list
	}
	s.beat()
	go func() {
		for {
			select {
			case <-s.ended:
				return
			case <-time.After(1200 * time.Millisecond):
				s.mu.Lock()
				manual := s.manual
				s.mu.Unlock()
				if !manual {
					s.beat()
				}
			}
		}
	}()
	return s
}

// crash ends the server at once: its channels break, and it says nothing any more.
func (s *server) crash() {
	close(s.ended)
	_ = s.web.Close()
}

func (s *server) models() []map[string]any {
	if s.model == "" {
		return []map[string]any{}
	}
	return []map[string]any{{"name": s.model, "version": s.version, "adapters": []string{}}}
}

// beat writes the server's entry.
func (s *server) beat() {
	s.store.beat("servers/"+s.id, s.entry())
}

// entry returns the server's next entry.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seqBeat++
	slots, state := 6, "ready"
	if s.model != "" {
		slots = 64
	}
	if s.leaving {
		state = "draining"
	}
	return map[string]any{
		"backend": s.service, "address": s.address, "zone": "jhb-north", "version": "v1", "slots": slots, "state": state,
		"cold_remaining_ms": 0, "stage": "unified", "models": s.models(), "seq": s.seqBeat, "born": s.born,
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		s.mu.Lock()
		report := map[string]any{"stage": "unified", "models": s.models(), "busy": s.busy, "seq": s.seq, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 90000, "handles": 0, "born": s.born}
		s.mu.Unlock()
		reply(w, http.StatusOK, report)
		return
	case "/-/order":
		s.order(w, r)
		return
	case "/healthz":
		w.Header().Set("Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.run(w, r, body)
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Version  int    `json:"version"`
		Expected *int   `json:"expected"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fencing_token"`
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	s.mu.Lock()
	defer s.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case o.Version == s.version:
		status = http.StatusOK
	case s.busy, o.Expected != nil && *o.Expected != s.seq:
		status = http.StatusConflict
	default:
		s.seq++
		s.busy = true
		time.AfterFunc(1200*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.version, s.busy, s.parts = o.Version, false, map[string]kept{}
		})
	}
	s.record.add("server %s: order of %s, fence %d, version %d: %d", s.id, o.Holder, o.Fence, o.Version, status)
	w.WriteHeader(status)
}

// run runs a request.
func (s *server) run(w http.ResponseWriter, r *http.Request, body []byte) {
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if attempt == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	version, busy, handle := s.version, s.busy, s.handle
	s.mu.Unlock()
	if expected := r.Header.Get("Expect-Version"); expected != "" && expected != strconv.Itoa(version) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if busy && s.model != "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.runs++
	s.mu.Unlock()
	s.record.add("server %s: runs %s, %s %s, tenant %q, salt %q", s.id, attempt, r.Method, r.URL.RequestURI(), r.Header.Get("Tenant"), r.Header.Get("Cache-Salt"))
	if handle != nil && handle(w, r, body) {
		return
	}
	w.Header().Set("Response-Signature", s.id+"."+attempt)
	if s.model == "" || r.Header.Get("Model") == "" {
		_, _ = fmt.Fprintf(w, "%s ran %s, %d bytes\n", s.id, attempt, len(body))
		return
	}
	s.prefill(r, version)
	w.Header().Set("Weight-Versions", strconv.Itoa(version))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= 10; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, attempt, i)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(s.pause):
		case <-r.Context().Done():
			return
		}
	}
}

// prefill looks the prompt's parts up in the cache, fetches what it lacks from where the request
// says, reads the rest, and sends the parts to a store if the request says so. A part that is kept is
// not read again if all parts before it are kept too.
func (s *server) prefill(r *http.Request, version int) {
	salt, found := r.Header.Get("Cache-Salt"), true
	source, saveTo := s.others[r.Header.Get("Kv-Fetch")], s.others[r.Header.Get("Kv-Save")]
	own := kept{r.Header.Get("Tenant"), r.Header.Get("Attempt-Id"), version}
	for entry := range strings.SplitSeq(r.Header.Get("Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		key := salt + "\x00" + id
		made, ok := s.part(key)
		if !ok && source != nil {
			if made, ok = source.part(key); ok {
				s.record.add("server %s: fetches part %s from %s", s.id, id, source.id)
			}
		}
		if found = found && ok; found {
			s.record.add("server %s: %s uses part %s that %s of tenant %q made, salt %q", s.id, own.request, id, made.request, made.tenant, salt)
			if s.reuse != nil {
				s.reuse(r, id, made)
			}
		} else {
			made = own
		}
		s.keep(key, made)
		if saveTo != nil {
			if _, there := saveTo.part(key); !there { // a part that a store holds stays as it was first made
				saveTo.keep(key, made)
			}
		}
	}
}

func (s *server) part(key string) (kept, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	made, ok := s.parts[key]
	return made, ok
}

func (s *server) keep(key string, made kept) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts[key] = made
}
