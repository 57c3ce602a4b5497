package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/retrybudget"
)

// rawServer accepts connections and serves the requests of each with handle, which gets the
// number of the request on its connection, from 1.
func rawServer(t *testing.T, handle func(n int, conn net.Conn, r *http.Request)) (address string) {
	listener := listenLoopback(t)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body) // a broken request shows in the next read
					handle(n, conn, r)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// A server that writes an earlier refusal once more on a kept connection does not make the
// gateway promise that the next request has not run, nor run it at another server.
func TestRefusalThatIsWrittenAgain(t *testing.T) {
	for name, refusal := range map[string]string{
		"with a body":    "HTTP/1.1 503 Service Unavailable\r\n%sNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
		"without a body": "HTTP/1.1 503 Service Unavailable\r\n%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, identified := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", with the id ", identified), func(t *testing.T) {
				var mu sync.Mutex
				runs := make(map[string]int)
				run := func(r *http.Request) {
					mu.Lock()
					defer mu.Unlock()
					runs[r.Header.Get("Request")]++
				}
				address := rawServer(t, func(n int, conn net.Conn, r *http.Request) {
					id := r.Header.Get("Request")
					header := fmt.Sprintf("Request: %s\r\n", id)
					if n == 1 && !identified {
						// The server repeats ids in general, else each request has its own connection.
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sSigned: 1\r\nContent-Length: 0\r\n\r\n", header)
						run(r)
						return
					}
					if strings.HasPrefix(id, "refused") {
						if !identified {
							header = ""
						}
						text := fmt.Sprintf(refusal, header)
						_, _ = io.WriteString(conn, text)
						return
					}
					run(r)
					old := ""
					if identified {
						old = "Request: refused-1\r\n"
					}
					_, _ = fmt.Fprintf(conn, refusal, old)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sSigned: 1\r\nContent-Length: 0\r\n\r\n", header)
				})
				s := startSystem(t)
				s.store.set(testConfig(1, deployment.AtMostOnce), serverAt("a", address), serverAt("b", address))
				s.waitReady(t)
				for i := range 20 {
					s.sendWithID(t, fmt.Sprint("first-", i))
					s.sendWithID(t, fmt.Sprint("refused-", i))
					id := fmt.Sprint("order-", i)
					status := s.sendWithID(t, id)
					mu.Lock()
					n := runs[id]
					mu.Unlock()
					promised := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
					if n > 1 || n == 1 && promised {
						t.Errorf("%s ran %d times, the client was told %d", id, n, status)
					}
				}
			})
		}
	}
}

// sendWithID sends an order and returns the status of its response.
func (s *system) sendWithID(t *testing.T, id string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.settings.Gateway.HTTPAddress+"/x/1", strings.NewReader("order"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "api.example"
	request.Header.Set("Request", id)
	request.Header.Set("Key", "good")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body) // only the status matters
	_ = response.Body.Close()
	return response.StatusCode
}

// A stream breaks off, and the next server answers with something else than the rest of its
// events. The client gets the whole events of the first server, and an end that shows that
// the stream is incomplete.
func TestNextServerOfAStreamFails(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n"
		first  = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		broken = ok + "Transfer-Encoding: chunked\r\n\r\n21\r\n" + first + "id" + "\r\n"
	)
	var mu sync.Mutex
	calls, answer := 0, ""
	address := rawServer(t, func(_ int, conn net.Conn, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		calls++
		text := answer
		if calls == 1 {
			text = broken
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	})
	s := startSystem(t)
	s.gateway.budget.SetBound(retrybudget.Bound{}, time.Now())
	s.store.set(testConfig(1, deployment.Stream), serverAt("a", address), serverAt("b", address))
	s.waitReady(t)
	sized := func(head, body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	for name, next := range map[string]string{
		"an error":                           sized("HTTP/1.1 500 Internal Server Error\r\nSigned: 1\r\n", "data: no memory\n\n"),
		"a refusal":                          sized("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n", "data: full\n\n"),
		"a client error":                     sized("HTTP/1.1 400 Bad Request\r\nSigned: 1\r\n", "data: bad\n\n"),
		"an error of another program":        sized("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", "data: proxy error\n\n"),
		"an error with the status of events": sized("HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Type: application/json\r\n", "{\"error\": \"no memory\"}\n\n"),
		"error text as events":               sized(ok, "no memory\n\n"),
		"an error event without an id":       sized(ok, "data: no memory\n\n"),
		"the head of an error":               ok + "\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 9\r\n\r\nno memory",
		"nothing":                            sized(ok, ""),
		"empty lines":                        sized(ok, "\n\n\n"),
		"only a comment":                     sized(ok, ": no memory\n\n"),
		"the stream from its start":          sized(ok, first+"id: 3\ndata: c\n\n"),
		"the last event again":               sized(ok, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			mu.Lock()
			calls, answer = 0, next
			mu.Unlock()
			response := s.send(t, http.MethodPost, "/x/1", "good", "")
			body, err := io.ReadAll(response.Body)
			if string(body) != first || err == nil {
				t.Errorf("body %q, error %v, want %q and an error", body, err, first)
			}
			mu.Lock()
			defer mu.Unlock()
			if calls != 2 {
				t.Errorf("%d calls, want 2", calls)
			}
		})
	}
}
