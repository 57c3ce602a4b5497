package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/verdict"
)

// hostileServer sends begin and then repeat without end, until its client closes the
// connection. It returns its address and the number of bytes that it could send.
func hostileServer(t *testing.T, begin, repeat string) (address string, sent *atomic.Int64, closed chan struct{}) {
	t.Helper()
	sent, closed = &atomic.Int64{}, make(chan struct{})
	address, _ = rawServer(t, func(_ int64, conn net.Conn, _ *bufio.Reader) {
		defer close(closed)
		_, err := io.WriteString(conn, begin)
		for err == nil {
			var n int
			n, err = io.WriteString(conn, repeat)
			sent.Add(int64(n))
		}
	})
	return address, sent, closed
}

// TestEndlessBytes checks that bytes that are no answer and have no end are given up after
// a bounded number, and that the connection is closed.
func TestEndlessBytes(t *testing.T) {
	const (
		ok       = "HTTP/1.1 200 OK\r\nRequest: r1\r\n"
		chunked  = ok + "Transfer-Encoding: chunked\r\n\r\n"
		timeout  = 3 * time.Second
		maxBytes = 16 << 20 // a body of MaxBodyBytes, and what the kernel buffers
	)
	filler := strings.Repeat("x", 1<<10)
	for _, c := range []struct{ name, begin, repeat string }{
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		{"header lines", ok, "X-Filler: " + filler + "\r\n"},
		{"one header line", ok + "X-Filler: ", filler},
		{"status line", "HTTP/1.1 200 ", filler},
		{"no HTTP", "", filler},
		{"empty lines", "", "\r\n"},
		{"body without a length", ok + "\r\n", filler},
		{"body beyond its length", ok + "Content-Length: 1099511627776\r\n\r\n", filler},
		{"chunks", chunked, "400\r\n" + filler + "\r\n"},
		{"chunk extension", chunked + "400;x=", filler},
		{"chunk size", chunked, "0"},
		{"trailers", chunked + "0\r\n", "X-Filler: " + filler + "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, sent, closed := hostileServer(t, c.begin, c.repeat)
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			response, err := NewClient(testCodec{}).Do(ctx, callTo(address, http.MethodPost, "x"))
			if err == nil {
				_, err = ReadBody(response, nil)
			}
			if err == nil || ctx.Err() != nil {
				t.Errorf("got error %v, context %v, want an error before the deadline", err, ctx.Err())
			}
			select {
			case <-closed:
			case <-time.After(timeout):
				t.Fatal("the connection is still open")
			}
			if n := sent.Load(); n > maxBytes {
				t.Errorf("the server could send %d bytes, want %d at most", n, maxBytes)
			}
		})
	}
}

// TestSlowHeadEndsWithTheAttempt checks that a head that comes byte by byte is read no longer
// than the attempt may take.
func TestSlowHeadEndsWithTheAttempt(t *testing.T) {
	address, _ := rawServer(t, func(_ int64, conn net.Conn, _ *bufio.Reader) {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: ")
		for err == nil {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(conn, "x")
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	start := time.Now()
	if _, err := NewClient(testCodec{}).Do(ctx, callTo(address, http.MethodPost, "x")); err == nil || time.Since(start) > time.Second {
		t.Errorf("got %v after %v, want an error at 300 ms", err, time.Since(start))
	}
}

// TestBrokenOffAnswers checks that an answer that broke off halfway is an error, however its
// end is announced.
func TestBrokenOffAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nRequest: r1\r\n"
	for _, c := range []struct {
		name, response string
		reset, whole   bool
	}{
		{"whole, with length", ok + "Content-Length: 4\r\n\r\nbody", false, true},
		{"whole, chunked", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, true},
		{"whole, ends with its connection", ok + "\r\nbody", false, true},
		{"whole, HTTP/1.0", "HTTP/1.0 200 OK\r\nRequest: r1\r\n\r\nbody", false, true},
		{"shorter than its length", ok + "Content-Length: 5\r\n\r\nbody", false, false},
		{"no last chunk", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false, false},
		{"within a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nbody", false, false},
		{"no end of the last chunk", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", false, false},
		{"no length and reset", ok + "\r\nbody", true, false},
		{"head only in part", ok, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, _ := rawServer(t, func(_ int64, conn net.Conn, _ *bufio.Reader) {
				_, _ = io.WriteString(conn, c.response)
				time.Sleep(50 * time.Millisecond) // the client reads what was sent
				if c.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			})
			response, err := NewClient(testCodec{}).Do(t.Context(), callTo(address, http.MethodPost, "x"))
			var body []byte
			if err == nil {
				body, err = ReadBody(response, nil)
			}
			if c.whole != (err == nil) || c.whole && string(body) != "body" {
				t.Errorf("got %q, %v, want whole %v", body, err, c.whole)
			}
		})
	}
}

// An answer whose server stops in the middle of its head is no answer, wherever it stops.
func TestAnswerThatStopsInItsHead(t *testing.T) {
	for _, line := range []string{"\r\n", "\n"} {
		head := strings.Join([]string{"HTTP/1.1 200 OK", "Request: r1", "Content-Length: 10", "Keep: 1s", "", ""}, line)
		for end := range len(head) {
			address, _ := rawServer(t, func(_ int64, conn net.Conn, _ *bufio.Reader) {
				_, _ = io.WriteString(conn, head[:end])
				_ = conn.Close()
			})
			response, err := NewClient(testCodec{}).Do(t.Context(), callTo(address, http.MethodPost, "x"))
			if err == nil {
				t.Errorf("head %q was taken for an answer with status %d", head[:end], response.Status)
				closeBody(response.Body)
			}
			if failure := verdict.From(err); failure != nil && failure.Verdict != verdict.MayHaveRun {
				t.Errorf("head %q: got %v, want an unknown outcome", head[:end], failure)
			}
		}
	}
}

// A server that answers with another protocol does not hold its request for ever.
func TestAnswerInAnotherProtocol(t *testing.T) {
	closed := make(chan struct{})
	address, _ := rawServer(t, func(_ int64, conn net.Conn, requests *bufio.Reader) {
		defer close(closed)
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nRequest: r1\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
		_, _ = requests.ReadByte() // until the client closes the connection
	})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		response, err := NewClient(testCodec{}).Do(ctx, callTo(address, http.MethodPost, "x"))
		if err == nil {
			_, err = ReadBody(response, nil)
		}
		ended <- err
	}()
	select {
	case err := <-ended:
		if failure := verdict.From(err); failure == nil || failure.Verdict != verdict.MayHaveRun {
			t.Errorf("got %v, want an unknown outcome", err)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the call goes on after its deadline")
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open")
	}
}
