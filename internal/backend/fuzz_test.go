package backend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/conntrace"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// pipeClient returns a client whose connections lead to serve, which gets each request.
func pipeClient(serve func(conn net.Conn, r *http.Request)) *Client {
	client := NewClient(testCodec{})
	dial := conntrace.Remember(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			reader := bufio.NewReader(far)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				serve(far, r)
			}
		}()
		return near, nil
	})
	client.transport.Load().DialContext, client.oneShot.DialContext = dial, dial
	return client
}

// Whatever a server sends, the client gives an answer with a status that can be passed on, with
// the id of the request or none, and of the bytes that were sent; or an error that the request
// may have run. The next request gets its own answer or an error. Nothing is sent twice.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 5\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nRequest: r1\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nRequest: r1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest: r1\r\nTransfer-Encoding: chunked\r\n\r\n-4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
		"HTTP/1.0 200 OK\nRequest: r1\n\nbody",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nRequest: r1\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
		"HTTP/1.1 000 X\r\nRequest: r1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 +99 X\r\nRequest: r1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 999 X\r\nRequest: r1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nRequest: r1\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 304 Not Modified\r\nRequest: r1\r\n\r\nbody",
		"HTTP/1.1 503 Busy\r\nRequest: r1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 Busy\r\nRequest: r1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest: other\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest: r1\r\nRequest: r2\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/2 200\r\n\r\n",
		"\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"",
	} {
		f.Add([]byte(seed), false, false)
		f.Add([]byte(seed), true, true)
	}
	f.Fuzz(func(t *testing.T, answer []byte, keeps, head bool) {
		var mu sync.Mutex
		sent := make(map[string]int)
		var notRun []string // requests of which the client said so
		client := pipeClient(func(conn net.Conn, r *http.Request) {
			id := r.Header.Get("Request-Id")
			mu.Lock()
			sent[id]++
			mu.Unlock()
			if id != "r1" {
				own := "HTTP/1.1 200 OK\r\nRequest: r2\r\nOwn: 1\r\nContent-Length: 3\r\n\r\n"
				if !head {
					own += "own"
				}
				_, _ = io.WriteString(conn, own)
				return
			}
			_, _ = conn.Write(answer)
			if !keeps {
				_ = conn.Close()
			}
		})
		defer func() { client.transport.Load().CloseIdleConnections() }()
		method := http.MethodPost
		if head {
			method = http.MethodHead
		}
		do := func(id string, timeout time.Duration) (*Response, []byte) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			call := callTo("server:80", method, "x")
			call.RequestID, call.Header = id, http.Header{"Request-Id": {id}}
			start := time.Now()
			response, err := client.Do(ctx, call)
			var body []byte
			if err == nil {
				body, err = ReadBody(response, nil)
			} else if verdict.From(err).Verdict != verdict.MayHaveRun {
				if ctx.Err() == nil {
					t.Fatalf("%s: %v, though it was sent", id, err)
				}
				notRun = append(notRun, id) // the time ended before it got a connection
			}
			if waited := time.Since(start); waited > timeout+5*time.Second {
				t.Fatalf("%s took %v", id, waited)
			}
			if err != nil {
				return nil, nil
			}
			if !verdict.IsFinalStatus(response.Status) || response.RequestID != "" && response.RequestID != id {
				t.Fatalf("%s: status %d, id %q", id, response.Status, response.RequestID)
			}
			return response, body
		}
		// A chunked body is not contained in the answer as a whole; its length is.
		if response, body := do("r1", 50*time.Millisecond); response != nil {
			if len(body) > len(answer) || !strings.Contains(strings.ToUpper(string(answer)), "CHUNKED") && !bytes.Contains(answer, body) {
				t.Fatalf("the body %q was not sent", body)
			}
			if length := response.Header.Get("Content-Length"); length != "" && !head && len(body) == 0 && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified && strings.Trim(length, "0") != "" {
				t.Fatalf("length %s without a body", length)
			}
		}
		if response, body := do("r2", 200*time.Millisecond); response != nil && (response.Header.Get("Own") == "" && response.RequestID != "r2" || !head && response.Header.Get("Own") != "" && string(body) != "own") {
			t.Fatalf("the next request got %+v, %q", response, body)
		}
		mu.Lock()
		defer mu.Unlock()
		for _, id := range notRun {
			if sent[id] > 0 {
				t.Fatalf("%s was sent, though the client said that it did not run", id)
			}
		}
		if sent["r1"] != 1 && !slices.Contains(notRun, "r1") || sent["r2"] > 1 {
			t.Fatalf("sent %v", sent)
		}
	})
}
