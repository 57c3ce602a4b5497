package clientbody

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/clientconn"
	"github.com/wasabigate/wasabigate/internal/clientmem"
)

// BenchmarkSmallRequest compares a small request over loopback within the bounds with one of a
// plain server. Its bounds must cost next to nothing.
func BenchmarkSmallRequest(b *testing.B) {
	account := clientmem.New(45 << 20)
	reader := Reader{Listener: "clients", Account: account}
	b.Run("plain", func(b *testing.B) {
		run(b, nil, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(http.MaxBytesReader(w, r.Body, 4<<20)) // the client sends all of it
			_, _ = w.Write(body)
		})
	})
	b.Run("bounded", func(b *testing.B) {
		run(b, account, func(w http.ResponseWriter, r *http.Request) {
			body, held, _ := reader.Read(w, r, 4<<20) // the client sends all of it
			defer held.Release()
			answer := reader.NewResponse(w)
			defer answer.Release()
			_ = answer.Write(w, body) // a failure shows at the client
		})
	})
}

func run(b *testing.B, account *clientmem.Account, handler http.HandlerFunc) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	if account != nil {
		bounded := clientconn.Listen(listener, clientconn.Options{Name: "clients", MaxConns: 100, HTTP: true, HeadTimeout: 10 * time.Second, Account: account})
		server.ConnState = bounded.OnState
		listener = bounded
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	request := []byte("POST /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nContent-Length: 300\r\n\r\n" + strings.Repeat("x", 300))
	responses := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(responses, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body) // the next response shows if some is left
	}
}
