package systemtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	deadlyBody = "print badge 0"
	// serviceDownTime is how long a plain service is away after a crash.
	serviceDownTime = 300 * time.Millisecond
)

// serviceEnds counts the ends of plain services' processes.
var serviceEnds atomic.Int64

// mortalServer is an HTTP server whose process ends when it begins to run a request with a
// certain body, and starts again after serviceDownTime.
type mortalServer struct {
	address, deadly string
	endTime         time.Duration // from the break of the request's connection to the end
	handler         http.Handler

	mu     sync.Mutex
	server *http.Server // nil: down
	closed bool
}

// serveHTTPUntil serves a handler until the test ends or, if deadly is not empty, a request
// with that body comes.
func serveHTTPUntil(t *testing.T, deadly string, endTime time.Duration, handler http.Handler) string {
	t.Helper()
	if deadly == "" {
		return serveHTTP(t, handler)
	}
	m := &mortalServer{address: freeAddress(), deadly: deadly, endTime: endTime, handler: handler}
	m.start()
	t.Cleanup(func() { m.stop(true) })
	return "http://" + m.address
}

func (m *mortalServer) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	listener, err := net.Listen("tcp", m.address)
	if err != nil || m.closed {
		return // its callers find no process
	}
	server := &http.Server{Handler: m}
	m.server = server
	go func() { _ = server.Serve(listener) }()
}

// stop ends the process with all its connections, for good or for serviceDownTime.
func (m *mortalServer) stop(forGood bool) {
	m.mu.Lock()
	server := m.server
	m.server, m.closed = nil, m.closed || forGood
	m.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	if !forGood {
		serviceEnds.Add(1)
		time.AfterFunc(serviceDownTime, m.start)
	}
}

func (m *mortalServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if string(body) == m.deadly {
		time.Sleep(10 * time.Millisecond)
		if m.endTime > 0 {
			time.AfterFunc(m.endTime, func() { m.stop(false) })
		} else {
			m.stop(false)
		}
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	m.handler.ServeHTTP(w, r)
}

// Repeats of a call that crashes the plain service which runs it stop reaching services
// within 3 s of the third end, but for three probes. Sound calls of the same caller with the
// same path, or with its body, are served. The order of each has a key of its own, so that
// no record of an earlier one holds it back.
func TestCallThatCrashesServices(t *testing.T) { checkDeadlyCall(t, 3, 0) }

// The same if a process takes a while to end after it broke the connection.
func TestCallThatEndsServicesSlowly(t *testing.T) { checkDeadlyCall(t, 20, 400*time.Millisecond) }

// checkDeadlyCall sends the deadly call as each one in every calls, and checks that few end
// services late.
func checkDeadlyCall(t *testing.T, every int, endTime time.Duration) {
	t.Helper()
	const (
		blameTime = 3 * time.Second
		maxEnds   = 3 // later than blameTime
	)
	s := start(t, plan{routers: 3, engines: 1, services: 3, deadlyBody: deadlyBody, endTime: endTime})
	send := func(length time.Duration) map[string]map[int]int {
		var mu sync.Mutex
		var group sync.WaitGroup
		statuses := make(map[string]map[int]int)
		for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
			name, key, body := "same path", s.key, fmt.Sprint("print badge ", n+1)
			if n%every == 0 {
				name, body = "deadly", deadlyBody
			}
			r := s.routers[n%len(s.routers)]
			group.Go(func() {
				status := 0
				if resp, err := s.send(t.Context(), r, http.MethodPost, "/desk/orders", key, fmt.Sprint("order-", n, "-", length), body); err == nil {
					status = resp.status
				}
				mu.Lock()
				defer mu.Unlock()
				if statuses[name] == nil {
					statuses[name] = make(map[int]int)
				}
				statuses[name][status]++
			})
			time.Sleep(30 * time.Millisecond)
		}
		group.Wait()
		return statuses
	}
	serviceEnds.Store(0)
	send(2 * blameTime)
	before := serviceEnds.Load()
	if before == 0 {
		t.Fatal("no service ended")
	}
	statuses := send(blameTime)
	if late := serviceEnds.Load() - before; late > maxEnds {
		t.Errorf("%d services ended later than %v after the third end, %d before; allowed %d", late, blameTime, before, maxEnds)
	}
	sent, served := 0, 0
	for status, n := range statuses["same path"] {
		sent += n
		if status >= http.StatusOK && status < http.StatusMultipleChoices {
			served += n
		}
	}
	if served < sent*9/10 {
		t.Errorf("%d of %d sound calls served: %v", served, sent, statuses["same path"])
	}
	if n := statuses["deadly"][http.StatusServiceUnavailable]; n == 0 {
		t.Errorf("no crashing call was refused as not run: %v", statuses["deadly"])
	}
}
