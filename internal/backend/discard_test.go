package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
)

// serveConnections answers every request and counts the connections.
func serveConnections(t *testing.T, answer func(r *http.Request) string) (address string, accepted *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	accepted = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body) // an error shows in the next read
					_, _ = io.WriteString(conn, answer(r))
				}
			}()
		}
	}()
	return listener.Addr().String(), accepted
}

// Invalid responses of one server must not close the idle connections to the others, and the
// connection of such a response must not be used again.
func TestInvalidResponsesCloseOnlyTheirConnections(t *testing.T) {
	sound, accepted := serveConnections(t, func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nRequest: " + r.Header.Get("X-Id") + "\r\nContent-Length: 0\r\n\r\n"
	})
	broken, brokenAccepted := serveConnections(t, func(*http.Request) string {
		return "HTTP/1.1 999 Odd\r\nRequest: r1\r\nContent-Length: 0\r\n\r\n"
	})
	client := NewClient(testCodec{})
	const n = 20
	for i := range n {
		do := func(address string) (*Response, error) {
			call := callTo(address, http.MethodPost, "x")
			call.RequestID = strconv.Itoa(i)
			call.Header = http.Header{"X-Id": {call.RequestID}}
			return client.Do(t.Context(), call)
		}
		if response, err := do(broken); err == nil {
			t.Fatalf("got status %d", response.Status)
		}
		response, err := do(sound)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ReadBody(response, nil); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d connections to the sound server, %d to the broken one", accepted.Load(), brokenAccepted.Load())
	if brokenAccepted.Load() != n {
		t.Errorf("%d connections for %d invalid responses", brokenAccepted.Load(), n)
	}
	if accepted.Load() >= n/2 {
		t.Errorf("%d connections to the sound server", accepted.Load())
	}
}
