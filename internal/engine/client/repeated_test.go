package client_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/client"
)

// An engine that writes an earlier refusal once more on a kept connection does not make a
// generation that it runs count as not run.
func TestRefusalThatIsWrittenAgain(t *testing.T) {
	for _, identified := range []bool{true, false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan struct{})
		go func() {
			defer close(served)
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				refuseTwice(conn, identified)
			}
		}()
		e := client.NewEngine("http://" + listener.Addr().String())
		if _, err := e.Generate(t.Context(), request("refused", 1)); !errors.Is(err, engine.ErrRefused) {
			t.Errorf("identified %v: first request: %v, want a refusal", identified, err)
		}
		if _, err := e.Generate(t.Context(), request("runs", 1)); !errors.Is(err, engine.ErrBroken) {
			t.Errorf("identified %v: request that runs: %v, want an error that it may have run", identified, err)
		}
		e.CloseIdleConnections()
		_ = listener.Close()
		<-served
	}
}

// refuseTwice refuses the first request on a connection, and writes that refusal again while
// the second one runs.
func refuseTwice(conn net.Conn, identified bool) {
	defer conn.Close()
	header := ""
	if identified {
		header = engine.HeaderRequestID + ": refused\r\n"
	}
	reader := bufio.NewReader(conn)
	for range 2 {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // a broken request shows in the next read
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 4\r\n\r\nfull", header)
	}
	_, _ = reader.ReadByte() // until the client closes the connection
}

// An engine that writes a refusal once more does not make an order that it carries out, which
// bears no id, count as refused.
func TestRefusalIsNoAnswerToACallWithoutAnID(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		var conns sync.WaitGroup
		defer conns.Wait()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { refuseTwice(conn, true) })
		}
	}()
	e := client.NewEngine("http://" + listener.Addr().String())
	if _, err := e.Generate(t.Context(), request("refused", 1)); !errors.Is(err, engine.ErrRefused) {
		t.Errorf("request: %v, want a refusal", err)
	}
	if err := e.Apply(t.Context(), engine.Order{Fence: 1, Load: &engine.LoadedWeights{Model: "badge", Version: "8"}}); !errors.Is(err, engine.ErrBroken) {
		t.Errorf("order: %v, want an error that it may have been carried out", err)
	}
	e.CloseIdleConnections()
	_ = listener.Close()
	<-served
}
