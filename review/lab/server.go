package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in of a backend server of a service. It runs each request for work and
// answers with its receipt; it answers 421 to requests for another instance.
type server struct {
	id, service, address string
	store                *store
	work                 time.Duration
	stream               int // events of an answer; 0: no stream
	gap                  time.Duration
	models               []map[string]any
	slots                int
	quiet                bool                       // notes no runs
	keepAlive            int                        // seconds that an idle channel is kept open; 0: 5
	accept               func(r *http.Request) bool // false: answer 503 with Not-Executed
	onRun                func(r *http.Request, body []byte)
	lose                 func(n int) bool // true: run the n-th request, and reset its channel without an answer

	http    *http.Server
	mu      sync.Mutex
	runs    []run
	stopped bool
	leaving bool // its answers say Connection: close
}

// run is a request that the server has begun to work on.
type run struct {
	id    string
	at    time.Time
	ended time.Time // zero: the server was stopped before
}

func (s *server) start() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = l.Addr().String()
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.http.Serve(l)
	s.announce("ready")
	note("server %s of %s serves at %s and is listed", s.id, s.service, s.address)
}

// leave removes the server's entry. It never reports draining, and goes on serving.
func (s *server) leave() {
	s.setLeaving()
	s.store.remove("servers/" + s.id)
}

func (s *server) setLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// announce writes the server's entry in the store.
func (s *server) announce(state string) {
	if state == "draining" {
		s.setLeaving()
	}
	s.store.put("servers/"+s.id, map[string]any{
		"backend": s.service, "address": s.address, "zone": "jhb-north", "version": "v1", "slots": max(6, s.slots),
		"state": state, "cold_remaining_ms": 0, "seq": 1, "stage": "unified", "models": s.models, "born": 1796467200000,
	})
}

// stop ends the server as a process that exits: its channels break.
func (s *server) stop() {
	note("server %s exits", s.id)
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.http.Close()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("Instance-Id", s.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		if s.isLeaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case "/-/report":
		reply(w, http.StatusOK, map[string]any{"stage": "unified", "models": s.models, "busy": false, "seq": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 87687, "handles": 0})
		return
	}
	if s.isLeaving() {
		h.Set("Connection", "close")
	}
	if s.models != nil {
		h.Set("Weight-Versions", "1")
		if want := r.Header.Get("Expect-Version"); want != "" && want != "1" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("Attempt-Id", id)
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", max(5, s.keepAlive)))
	if s.accept != nil && !s.accept(r) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	n := len(s.runs)
	s.runs = append(s.runs, run{id: id, at: time.Now()})
	s.mu.Unlock()
	if !s.quiet {
		note("server %s begins to run %s", s.id, id)
	}
	if s.onRun != nil {
		s.onRun(r, body)
	}
	h.Set("Response-Signature", "sig-"+s.id+"-"+id)
	if s.lose != nil && s.lose(n) {
		time.Sleep(s.work)
		s.mu.Lock()
		s.runs[n].ended = time.Now()
		s.mu.Unlock()
		note("server %s has run %s, and its answer is lost: the channel is reset", s.id, id)
		conn, _, err := w.(http.Hijacker).Hijack()
		check(err)
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		return
	}
	if s.stream > 0 {
		h.Set("Content-Type", "text/event-stream")
		for i := range s.stream {
			if r.Context().Err() != nil {
				note("server %s drops %s, its channel was closed", s.id, id)
				return
			}
			time.Sleep(s.gap)
			fmt.Fprintf(w, "id: %d\ndata: token\n\n", i+1)
			w.(http.Flusher).Flush()
		}
	} else {
		time.Sleep(s.work)
		fmt.Fprintf(w, "answer of %s to %s", s.id, id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.runs[n].ended = time.Now()
		if !s.quiet {
			note("server %s has run %s", s.id, id)
		}
	}
}

func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}
