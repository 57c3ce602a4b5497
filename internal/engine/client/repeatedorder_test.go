package client_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/client"
)

// An engine that names no request in its refusals and writes one of them once more does not
// make an order that it carries out count as refused.
func TestUnidentifiedRefusalIsNoAnswerToTheNextOrder(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan int)
	go func() {
		orders, carriedOut := 0, 0
		defer func() { served <- carriedOut }()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			for onConn := 1; ; onConn++ {
				r, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, r.Body) // a broken request shows in the next read
				orders++
				switch {
				case orders == 1:
					_, _ = io.WriteString(conn, refusal)
					continue
				case onConn == 2:
					_, _ = io.WriteString(conn, refusal) // the copy
				}
				carriedOut++
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			}
			_ = conn.Close()
		}
	}()
	e := client.NewEngine("http://" + listener.Addr().String())
	order := engine.Order{Fence: 1, Load: &engine.LoadedWeights{Model: "badge", Version: "8"}}
	if err := e.Apply(t.Context(), order); !errors.Is(err, engine.ErrRefused) {
		t.Errorf("first order: %v, want a refusal", err)
	}
	if err := e.Apply(t.Context(), order); errors.Is(err, engine.ErrRefused) || errors.Is(err, engine.ErrUnreachable) {
		t.Errorf("order that is carried out: %v", err)
	}
	e.CloseIdleConnections()
	_ = listener.Close()
	if n := <-served; n != 1 {
		t.Errorf("%d orders carried out, want 1", n)
	}
}
