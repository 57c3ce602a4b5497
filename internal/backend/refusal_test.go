package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/verdict"
)

// refusingServer refuses the first request with each id and runs every other one. It writes
// each refusal a second time: on the connection of the refusal, at the time that copyAt names.
type refusingServer struct {
	copyAt string // "at once", "later" or "next", when the next answer is due

	mu    sync.Mutex
	seen  map[string]int // requests by id
	runs  map[string]int
	due   map[net.Conn]string // copies to be written before the next answer on a connection
	conns int
}

func (s *refusingServer) serve(conn net.Conn, r *http.Request) {
	id := r.Header.Get("Request-Id")
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest: %s\r\nContent-Length: 0\r\n\r\n", id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[id]++
	if s.seen[id] == 1 {
		switch s.copyAt {
		case "at once":
			refusal += refusal
		case "later":
			time.AfterFunc(5*time.Millisecond, func() { _, _ = io.WriteString(conn, refusal) })
		case "next":
			s.due[conn] = refusal
		}
		_, _ = io.WriteString(conn, refusal)
		return
	}
	s.runs[id]++
	_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nRequest: %s\r\nContent-Length: 0\r\n\r\n", s.due[conn], id)
	delete(s.due, conn)
}

func newRefusingServer(t *testing.T, copyAt string) (*refusingServer, string) {
	s := &refusingServer{copyAt: copyAt, seen: make(map[string]int), runs: make(map[string]int), due: make(map[net.Conn]string)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					s.serve(conn, r)
				}
			}()
		}
	}()
	return s, listener.Addr().String()
}

// A copy of a refusal bears the id of its request also when that request is under way again:
// it is not taken for the answer of a request that runs.
func TestCopyOfARefusalDoesNotAnswerTheSameRequest(t *testing.T) {
	for _, copyAt := range []string{"at once", "later", "next"} {
		t.Run(copyAt, func(t *testing.T) {
			server, address := newRefusingServer(t, copyAt)
			client := NewClient(testCodec{})
			served := 0
			var refused []string // by the second answer too
			for n := range 200 {
				call := callTo(address, http.MethodPost, "x")
				call.RequestID = fmt.Sprint("r", n)
				call.Header = http.Header{"Request-Id": {call.RequestID}}
				first, err := client.Do(t.Context(), call)
				if err != nil {
					continue // a copy of an earlier refusal came
				}
				closeBody(first.Body)
				if copyAt == "later" {
					time.Sleep(time.Duration(n%10) * time.Millisecond)
				}
				second, err := client.Do(t.Context(), call)
				if err != nil {
					if verdict.From(err).Verdict != verdict.MayHaveRun {
						t.Errorf("%s: %v", call.RequestID, err)
					}
					continue
				}
				closeBody(second.Body)
				if second.Status == http.StatusServiceUnavailable {
					refused = append(refused, call.RequestID)
					continue
				}
				served++
			}
			time.Sleep(50 * time.Millisecond) // the server has read what was sent
			server.mu.Lock()
			defer server.mu.Unlock()
			for _, id := range refused {
				if server.runs[id] > 0 {
					t.Errorf("%s ran and counts as refused", id)
				}
			}
			if served < 50 {
				t.Errorf("%d of 200 requests served", served)
			}
		})
	}
}

// A request is sent on none of the idle connections that have carried its id.
func TestIDIsSentOnceOnAConnection(t *testing.T) {
	var mu sync.Mutex
	conns := make(map[net.Conn]int)
	var together sync.WaitGroup
	together.Add(8)
	address, _ := rawServer(t, func(n int64, conn net.Conn, _ *bufio.Reader) {
		mu.Lock()
		conns[conn]++
		mu.Unlock()
		if n <= 8 {
			together.Done()
			together.Wait() // each is sent on a connection of its own
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 0\r\n\r\n")
	})
	client := NewClient(testCodec{})
	do := func() {
		response, err := client.Do(t.Context(), callTo(address, http.MethodPost, "x"))
		if err != nil {
			t.Error(err)
			return
		}
		closeBody(response.Body)
	}
	var group sync.WaitGroup
	for range 8 {
		group.Go(do)
	}
	group.Wait()
	for range 3 {
		do()
	}
	mu.Lock()
	defer mu.Unlock()
	for _, n := range conns {
		if n > 1 {
			t.Errorf("a connection carried an id %d times", n)
		}
	}
	if len(conns) != 11 {
		t.Errorf("%d connections for 11 requests with one id", len(conns))
	}
}

// writeWait is how long net/http waits, after a response, for the goroutine that wrote the request;
// it does not keep the connection of one that has not run again by then.
const writeWait = 50 * time.Millisecond

// Requests with different ids share connections, each of which is replaced only after many. A
// process that does not run for writeWait may lose one.
func TestConnectionsAreKept(t *testing.T) {
	server, address := newRefusingServer(t, "")
	client := NewClient(testCodec{})
	stalls, begun := 0, time.Now()
	for n := range 3000 {
		call := callTo(address, http.MethodPost, "x")
		call.RequestID = fmt.Sprint("r", n)
		call.Header = http.Header{"Request-Id": {call.RequestID}}
		response, err := client.Do(t.Context(), call)
		if err != nil {
			t.Fatal(err)
		}
		closeBody(response.Body)
		now := time.Now()
		if now.Sub(begun) >= writeWait {
			stalls++
		}
		begun = now
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.conns > 3+stalls {
		t.Errorf("%d connections for 3000 requests, and %d of them took long", server.conns, stalls)
	}
}

// BenchmarkDo measures a call on a kept connection.
func BenchmarkDo(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request", r.Header.Get("Request-Id"))
	}))
	defer server.Close()
	client := NewClient(testCodec{})
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		call := callTo(server.Listener.Addr().String(), http.MethodPost, "x")
		call.RequestID = strconv.Itoa(n)
		call.Header = http.Header{"Request-Id": {call.RequestID}}
		response, err := client.Do(b.Context(), call)
		if err != nil {
			b.Fatal(err)
		}
		closeBody(response.Body)
	}
}

// A call that ends while it is being connected counts as not run only if the server never gets
// it.
func TestCancelledCallsThatCountAsNotRun(t *testing.T) {
	server, address := newRefusingServer(t, "")
	client := NewClient(testCodec{})
	notRun := make(map[string]bool)
	for n := range 1500 {
		call := callTo(address, http.MethodPost, "x")
		call.RequestID = fmt.Sprint("r", n)
		call.Header = http.Header{"Request-Id": {call.RequestID}}
		ctx, cancel := context.WithCancel(t.Context())
		timer := time.AfterFunc(time.Duration(rand.IntN(400))*time.Microsecond, cancel)
		response, err := client.Do(ctx, call)
		if err == nil {
			closeBody(response.Body)
		} else if verdict.From(err).Verdict == verdict.NotRun {
			notRun[call.RequestID] = true
		}
		timer.Stop()
		cancel()
	}
	time.Sleep(100 * time.Millisecond) // the server has read what was sent
	server.mu.Lock()
	defer server.mu.Unlock()
	for id := range notRun {
		if server.seen[id] > 0 {
			t.Errorf("%s reached the server and counts as not run", id)
		}
	}
	t.Logf("%d calls count as not run, %d requests reached the server", len(notRun), len(server.seen))
}

// A server may refuse a request before it has read the body, and read on. What it reads on the
// connection is the rest of that body or the end of the connection.
func TestRefusalBeforeTheBody(t *testing.T) {
	for _, reads := range []bool{true, false} {
		t.Run(fmt.Sprint("reads on ", reads), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			var mu sync.Mutex
			var faults []string
			heads := make(map[string]int)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						reader := bufio.NewReader(conn)
						for {
							r, err := http.ReadRequest(reader)
							if err != nil {
								if err != io.EOF && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET) {
									mu.Lock()
									faults = append(faults, err.Error())
									mu.Unlock()
								}
								return
							}
							id := r.Header.Get("Request-Id")
							mu.Lock()
							heads[id]++
							mu.Unlock()
							_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nRequest: %s\r\nContent-Length: 0\r\n\r\n", id)
							time.Sleep(time.Duration(rand.IntN(80)) * time.Millisecond)
							if !reads {
								return
							}
							content, err := io.ReadAll(r.Body)
							if wrong := strings.Trim(string(content), id[:1]); wrong != "" {
								mu.Lock()
								faults = append(faults, fmt.Sprintf("%d other bytes in the body of %s, then %v", len(wrong), id, err))
								mu.Unlock()
							}
							if err != nil {
								return
							}
						}
					}()
				}
			}()
			client := NewClient(testCodec{})
			refused := 0
			var group sync.WaitGroup
			for worker := range 2 {
				group.Go(func() {
					for n := range 25 {
						id := fmt.Sprintf("%c-%d-%d", 'a'+rune(n), worker, n)
						call := callTo(listener.Addr().String(), http.MethodPost, strings.Repeat(id[:1], rand.IntN(4<<20)))
						call.RequestID = id
						call.Header = http.Header{"Request-Id": {id}}
						response, err := client.Do(t.Context(), call)
						if err != nil {
							continue // its fate is unknown
						}
						closeBody(response.Body)
						mu.Lock()
						refused++
						mu.Unlock()
					}
				})
			}
			group.Wait()
			time.Sleep(100 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			for _, fault := range faults {
				t.Error(fault)
			}
			for id, n := range heads {
				if n > 1 {
					t.Errorf("%s was sent %d times", id, n)
				}
			}
			if refused == 0 {
				t.Error("no request was refused")
			}
			t.Logf("%d of 50 refused", refused)
		})
	}
}
