package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

const (
	crashingPart = "bad"
	// crashesBeforeBlame and blameTime are the users' bound: more than maxLateCrashing
	// requests with the part must not reach servers later than blameTime after
	// crashesBeforeBlame of them have ended.
	crashesBeforeBlame = 5
	blameTime          = 3 * time.Second
	maxLateCrashing    = 3
	// restartTime is how long a crashed server is away.
	restartTime = 700 * time.Millisecond
)

// engines are servers that end when they begin to answer a request with crashingPart, and
// start again after restartTime.
type engines struct {
	store   *memoryStore
	servers []*http.Server
	listed  []*deployment.Server
	deadly  func(*http.Request) bool // whether a request crashes its server
	early   bool                     // a crash comes before the response's head
	pause   time.Duration            // between events

	mu       sync.Mutex
	sound    bool        // the part no longer crashes servers
	crashes  []time.Time // ends of servers
	crashing []time.Time // arrivals of requests with the part
}

func startEngines(t *testing.T, store *memoryStore, count int) *engines {
	e := &engines{store: store, servers: make([]*http.Server, count), pause: 10 * time.Millisecond}
	e.deadly = func(r *http.Request) bool { return strings.Contains(r.Header.Get("Parts"), crashingPart) }
	for i := range count {
		listener := listenLoopback(t)
		e.listed = append(e.listed, serverAt(fmt.Sprint("i", i), listener.Addr().String()))
		e.listed[i].Incarnation = 1
		e.serve(i, listener)
	}
	t.Cleanup(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, server := range e.servers {
			_ = server.Close()
		}
	})
	return e
}

// serve starts a process of a server.
func (e *engines) serve(i int, listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.respond(i, w, r) })}
	e.servers[i] = server
	go func() { _ = server.Serve(listener) }()
}

func (e *engines) respond(i int, w http.ResponseWriter, r *http.Request) {
	crash := e.arrive(r)
	time.Sleep(time.Duration(10+rand.IntN(20)) * time.Millisecond)
	if crash && e.early {
		e.crash(i)
	}
	w.Header().Set("Signed", "1")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // a broken connection shows in the next write
	if crash {
		e.crash(i)
	}
	for n := range 3 {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(e.pause)
	}
}

// arrive records a request and reports whether it crashes the server.
func (e *engines) arrive(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sound || !e.deadly(r) {
		return false
	}
	e.crashing = append(e.crashing, time.Now())
	return true
}

// crash ends the process of a server and starts another later.
func (e *engines) crash(i int) {
	e.mu.Lock()
	server := e.servers[i]
	if server != nil {
		e.servers[i] = nil
		e.crashes = append(e.crashes, time.Now())
		time.AfterFunc(restartTime, func() { e.restart(i) })
	}
	e.mu.Unlock()
	if server != nil {
		_ = server.Close() // closes all connections
	}
	panic(http.ErrAbortHandler)
}

func (e *engines) restart(i int) {
	listener, err := net.Listen("tcp", e.listed[i].Address)
	if err != nil {
		return // the system may have given the port away; the other servers stay
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	again := *e.listed[i]
	again.Incarnation++
	e.listed[i] = &again
	e.serve(i, listener)
	e.store.setServers(e.listed)
}

// lateCrashing returns how many servers ended, and how many crashing requests arrived later
// than blameTime after the first beforeBlame ends.
func (e *engines) lateCrashing(beforeBlame int) (ended, late int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.crashes) < beforeBlame {
		return len(e.crashes), 0
	}
	bound := e.crashes[beforeBlame-1].Add(blameTime)
	for _, at := range e.crashing {
		if at.After(bound) {
			late++
		}
	}
	return len(e.crashes), late
}

// traffic sends requests to random gateways at an even rate.
type traffic struct {
	gateways []*system
	parts    []string // lists of parts, taken in turn; each request has a part of its own as well

	mu       sync.Mutex
	group    sync.WaitGroup
	statuses map[string]map[int]int // by parts; status 0: no whole response
}

func (tr *traffic) run(t *testing.T, length, interval time.Duration) map[string]map[int]int {
	t.Helper()
	tr.statuses = make(map[string]map[int]int)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		parts := tr.parts[n%len(tr.parts)]
		gateway := tr.gateways[rand.IntN(len(tr.gateways))]
		tr.group.Go(func() { tr.record(parts, gateway.generate(fmt.Sprint("r", n), fmt.Sprintf("%s own%d", parts, n))) })
	}
	tr.group.Wait()
	return tr.statuses
}

func (tr *traffic) record(parts string, status int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.statuses[parts] == nil {
		tr.statuses[parts] = make(map[int]int)
	}
	tr.statuses[parts][status]++
}

// generate sends a request with the given parts, and returns its status, or 0 if it got no
// whole response.
func (s *system) generate(id, parts string) int { return s.call(id, "/x/1", "x", parts) }

// call sends a request, and returns its status, or 0 if it got no whole response.
func (s *system) call(id, path, body, parts string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.settings.Gateway.HTTPAddress+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "api.example"
	request.Header.Set("Request", id)
	request.Header.Set("Key", "good")
	request.Header.Set("Parts", parts)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func generationConfig() *deployment.Config {
	c := testConfig(1, deployment.Stream)
	c.Workspaces[0].Rate, c.Workspaces[0].Burst = 0, 0
	return c
}

// Requests with a part that crashes servers stop reaching servers, while requests that
// share their other parts and their caller are served.
func TestPartThatCrashesServers(t *testing.T) {
	store := &memoryStore{}
	e := startEngines(t, store, 8)
	store.set(generationConfig(), e.listed...)
	one, two := startGateway(t, store, "g1"), startGateway(t, store, "g2")
	one.waitReady(t)
	two.waitReady(t)
	tr := traffic{gateways: []*system{one, two}, parts: []string{"system", "system bad", "system doc", "system other", "doc bad doc", "system doc"}}
	tr.run(t, 2*blameTime, 25*time.Millisecond)
	statuses := tr.run(t, blameTime, 25*time.Millisecond)
	ended, late := e.lateCrashing(crashesBeforeBlame)
	if ended == 0 {
		t.Fatal("no server has ended: the part crashes none")
	}
	if late > maxLateCrashing {
		t.Errorf("%d requests with the part arrived later than %v after %d servers had ended with it, %d ended in all; allowed %d",
			late, blameTime, crashesBeforeBlame, ended, maxLateCrashing)
	}
	for _, parts := range []string{"system", "system doc", "system other"} {
		if served, sent := statuses[parts][http.StatusOK], total(statuses[parts]); served < sent*9/10 {
			t.Errorf("%q: %d of %d served: %v", parts, served, sent, statuses[parts])
		}
	}
}

func total(counts map[int]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}
