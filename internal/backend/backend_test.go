package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/verdict"
)

// testCodec is a Codec with its own header names.
type testCodec struct{}

func (testCodec) Instruct(header http.Header, in *Instructions) {
	header.Set("Workspace", in.Workspace)
}

func (testCodec) Describe(status int, header http.Header) Description {
	idleTimeout := time.Duration(0)
	if header.Get("Keep") != "" {
		idleTimeout, _ = time.ParseDuration(header.Get("Keep"))
	}
	return Description{RequestID: header.Get("Request"), Signed: true, IdleTimeout: idleTimeout}
}

func callTo(address, method, body string) *Call {
	return &Call{
		RequestID: "r1", Address: address, Method: method, URL: &url.URL{Path: "/a/b", RawQuery: "q=1"}, Host: "client.example",
		Header: http.Header{"X-Client": {"kept"}}, Body: []byte(body), Instructions: Instructions{Workspace: "w"},
	}
}

func TestRequestArrivesUnchanged(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "some bytes"} {
			var got string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				content, _ := io.ReadAll(r.Body)
				got = fmt.Sprintln(r.Method, r.RequestURI, r.Host, r.Header.Get("X-Client"), r.Header.Get("Workspace"), string(content), r.Header.Values("User-Agent"), r.Header.Values("Accept-Encoding"))
			}))
			response, err := NewClient(testCodec{}).Do(context.Background(), callTo(server.Listener.Addr().String(), method, body))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := ReadBody(response, nil); err != nil {
				t.Fatal(err)
			}
			if want := fmt.Sprintln(method, "/a/b?q=1", "client.example", "kept", "w", body, []string{}, []string{}); got != want {
				t.Errorf("got %swant %s", got, want)
			}
			server.Close()
		}
	}
}

// rawServer accepts connections and calls serve after each request that it has read.
func rawServer(t *testing.T, serve func(n int64, conn net.Conn, requests *bufio.Reader)) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	requests := &atomic.Int64{}
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
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					serve(requests.Add(1), conn, reader)
				}
			}()
		}
	}()
	return listener.Addr().String(), requests
}

// A request that may have been executed is not sent again, whatever its method and headers:
// they do not show whether a retry is safe.
func TestNothingIsSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions} {
		testSentOnce(t, method, nil)
		for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
			for _, values := range [][]string{{"k"}, {""}, {" "}, {"", "k"}, {}} {
				testSentOnce(t, method, http.Header{name: values})
			}
		}
	}
}

// testSentOnce makes a call on a connection that breaks after a first call.
func testSentOnce(t *testing.T, method string, header http.Header) {
	t.Helper()
	address, requests := rawServer(t, func(n int64, conn net.Conn, _ *bufio.Reader) {
		if n == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		_ = conn.Close() // the reused connection breaks during the second request
	})
	client := NewClient(testCodec{})
	call := callTo(address, method, "")
	if header != nil {
		call.Header = header
	}
	response, err := client.Do(context.Background(), call)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ReadBody(response, nil); err != nil {
		t.Fatal(err)
	}
	call.RequestID = "r2" // with the first id it would be sent on another connection
	_, err = client.Do(context.Background(), call)
	if failure := verdict.From(err); failure == nil || failure.Verdict != verdict.MayHaveRun {
		t.Errorf("%s %v: got %v, want an unknown outcome", method, header, err)
	}
	if n := requests.Load(); n != 2 {
		t.Errorf("%s %v: the server got %d requests, want 2", method, header, n)
	}
}

func TestOutcomes(t *testing.T) {
	closed, _ := net.Listen("tcp", "127.0.0.1:0")
	_ = closed.Close()
	cases := []struct {
		name    string
		serve   func(n int64, conn net.Conn, _ *bufio.Reader)
		address string
		timeout time.Duration
		verdict verdict.Verdict
	}{
		{"connection refused", nil, closed.Addr().String(), time.Second, verdict.NotRun},
		{"closed without a response", func(_ int64, conn net.Conn, _ *bufio.Reader) { _ = conn.Close() }, "", time.Second, verdict.MayHaveRun},
		{"not HTTP", func(_ int64, conn net.Conn, _ *bufio.Reader) { _, _ = io.WriteString(conn, "garbage\r\n\r\n") }, "", time.Second, verdict.MayHaveRun},
		{"no response in time", func(int64, net.Conn, *bufio.Reader) { time.Sleep(time.Second) }, "", 50 * time.Millisecond, verdict.MayHaveRun},
		{"response to another request", func(_ int64, conn net.Conn, _ *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest: r0\r\nContent-Length: 2\r\n\r\nno")
		}, "", time.Second, verdict.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := c.address
			if c.serve != nil {
				address, _ = rawServer(t, c.serve)
			}
			ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
			defer cancel()
			_, err := NewClient(testCodec{}).Do(ctx, callTo(address, http.MethodPost, "x"))
			if failure := verdict.From(err); failure == nil || failure.Verdict != c.verdict {
				t.Errorf("got %v, want verdict %v", err, c.verdict)
			}
		})
	}
}

func TestShortAnswerIsNoAnswer(t *testing.T) {
	address, _ := rawServer(t, func(_ int64, conn net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf")
		_ = conn.Close()
	})
	response, err := NewClient(testCodec{}).Do(context.Background(), callTo(address, http.MethodPost, "x"))
	if err != nil {
		t.Fatal(err)
	}
	if content, err := ReadBody(response, nil); err == nil {
		t.Errorf("truncated response %q was accepted", content)
	}
}

func TestResponseTooLarge(t *testing.T) {
	response := &Response{Body: io.NopCloser(strings.NewReader(strings.Repeat("x", MaxBodyBytes+1)))}
	if _, err := ReadBody(response, nil); err == nil {
		t.Error("a response above the size limit was accepted")
	}
}

// Idle connections are closed before the server closes them.
func TestIdleTimeoutFollowsServers(t *testing.T) {
	client := NewClient(testCodec{})
	for _, c := range []struct{ announced, idle time.Duration }{
		{0, initialIdleTimeout}, {10 * time.Second, 6 * time.Second}, {20 * time.Second, 6 * time.Second}, {5 * time.Second, 3 * time.Second},
	} {
		client.updateIdleTimeout(c.announced)
		if got := client.transport.Load().IdleConnTimeout; got != c.idle {
			t.Errorf("after %v was announced: got %v, want %v", c.announced, got, c.idle)
		}
	}
}

// A second copy of an earlier response, read when the next request waits, is not its
// response, and the connection is not used again. Each client gets its own response or
// an error, and the calls after it succeed.
func TestLateCopyIsNoAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		hasID  func(n int64) bool
		bodies bool
	}{
		{"with the id", func(int64) bool { return true }, true},
		{"with the id, no body", func(int64) bool { return true }, false},
		{"without an id", func(int64) bool { return false }, true},
		{"id sometimes missing", func(n int64) bool { return n%2 == 1 }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			bodyOf := func(n int64) string {
				if !c.bodies {
					return ""
				}
				return fmt.Sprint("body of r", n)
			}
			previous := make(map[net.Conn]int64) // last request on each connection
			var mu sync.Mutex
			address, _ := rawServer(t, func(n int64, conn net.Conn, _ *bufio.Reader) {
				write := func(n int64) {
					header, body := "", bodyOf(n)
					if c.hasID(n) {
						header = fmt.Sprintf("Request: r%d\r\n", n)
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
				}
				mu.Lock()
				defer mu.Unlock()
				if before := previous[conn]; before > 0 {
					write(before) // the late copy
				}
				previous[conn] = n
				write(n)
			})
			client := NewClient(testCodec{})
			served := 0
			for n := int64(1); n <= 8; n++ {
				call := callTo(address, http.MethodPost, "x")
				call.RequestID = fmt.Sprint("r", n)
				response, err := client.Do(context.Background(), call)
				if err != nil {
					if verdict.From(err).Verdict != verdict.MayHaveRun {
						t.Errorf("call %d: %v, want an error that may have run", n, err)
					}
					continue
				}
				served++
				body, err := ReadBody(response, nil)
				if want := bodyOf(n); err != nil || string(body) != want {
					t.Errorf("call %d: got %q, %v, want %q", n, body, err, want)
				}
			}
			if served < 4 { // each connection serves its first request
				t.Errorf("%d of 8 calls served", served)
			}
		})
	}
}

// A server that never repeats ids gets a connection for each request, and every call
// succeeds.
func TestServerWithoutIDs(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }))
	defer server.Close()
	client := NewClient(testCodec{})
	failed := 0
	for range 10 {
		response, err := client.Do(context.Background(), callTo(server.Listener.Addr().String(), http.MethodPost, "x"))
		if err != nil {
			failed++
			continue
		}
		if _, err := ReadBody(response, nil); err != nil {
			t.Fatal(err)
		}
	}
	if failed > 0 {
		t.Errorf("%d of 10 calls failed", failed)
	}
}
