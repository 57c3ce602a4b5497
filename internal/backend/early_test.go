package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/wasabigate/wasabigate/internal/conntrace"
	"github.com/wasabigate/wasabigate/internal/conntrace/conntracetest"
)

// A part of an answer without a length is not taken for all of it when its server resets the
// connection during the upload and the write of the upload reports the reset.
func TestResetDuringTheUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest: r1\r\n"
	for _, c := range []struct {
		name, answer string
		whole        bool
	}{
		{"no length", head + "\r\npart", false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nRequest: r1\r\n\r\npart", false},
		{"part of its length", head + "Content-Length: 9\r\n\r\npart", false},
		{"part of its chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false},
		{"all of its length", head + "Content-Length: 4\r\n\r\npart", true},
		{"all of its chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := conntracetest.NewEarlyServer(t, func(*http.Request) string { return c.answer })
			client := NewClient(testCodec{})
			client.transport.Load().DialContext = conntrace.Remember(server.DialContext)
			response, err := client.Do(t.Context(), callTo(server.Address, http.MethodPost, strings.Repeat("x", conntracetest.UploadBytes)))
			if err != nil {
				t.Fatal(err)
			}
			if body, err := ReadBody(response, nil); (err == nil) != c.whole {
				t.Errorf("got %q, %v, want whole %v", body, err, c.whole)
			}
		})
	}
}

// An answer without a length is whole if its server closes the connection in order after it has
// read the request, and not whole if the server does so before.
func TestCloseBeforeOrAfterTheUpload(t *testing.T) {
	for _, c := range []struct {
		name   string
		method string
		size   int
		reads  bool
	}{
		{"after a long upload", http.MethodPost, conntracetest.UploadBytes, true},
		{"after a short upload", http.MethodPost, 1, true},
		{"after an upload as large as a buffer", http.MethodPost, 4096, true},
		{"no upload", http.MethodGet, 0, true},
		{"no upload, chunked", http.MethodPut, 0, true},
		{"during a long upload", http.MethodPost, conntracetest.UploadBytes, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			ended := make(chan struct{})
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if c.reads {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest: r1\r\n\r\nbody")
				_ = conn.(*net.TCPConn).CloseWrite()
				<-ended
			}()
			response, err := NewClient(testCodec{}).Do(t.Context(), callTo(listener.Addr().String(), c.method, strings.Repeat("x", c.size)))
			if err != nil {
				t.Fatal(err)
			}
			if body, err := ReadBody(response, nil); (err == nil) != c.reads || c.reads && string(body) != "body" {
				t.Errorf("got %q, %v, want whole %v", body, err, c.reads)
			}
			close(ended)
		})
	}
}

// A response with a length is not lost when its server refuses a long upload and closes the
// connection without reading it, so that a write fails before the response has been read.
func TestRefusalOfAnUpload(t *testing.T) {
	for _, c := range []struct{ name, answer, body string }{
		{"body", "HTTP/1.1 413 Too Large\r\nRequest: r1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", "body"},
		{"chunked body", "HTTP/1.1 413 Too Large\r\nRequest: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body"},
		{"no body", "HTTP/1.1 413 Too Large\r\nRequest: r1\r\nContent-Length: 0\r\n\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 512)); err == nil {
						_, _ = io.WriteString(conn, c.answer)
					}
					_ = conn.Close() // with unread data, which resets the connection
				}
			}()
			client := NewClient(testCodec{})
			upload := strings.Repeat("x", 4<<20)
			for range 10 {
				response, err := client.Do(t.Context(), callTo(listener.Addr().String(), http.MethodPost, upload))
				if err != nil {
					t.Fatal(err)
				}
				if body, err := ReadBody(response, nil); err != nil || response.Status != http.StatusRequestEntityTooLarge || string(body) != c.body {
					t.Fatalf("got status %d, %q, %v", response.Status, body, err)
				}
			}
		})
	}
}
