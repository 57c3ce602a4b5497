package client_test

import (
	"net"
	"testing"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/client"
)

// An engine that names no request in its refusals and writes one of them once more does not
// make an order that it carries out count as refused.
func TestUnidentifiedRefusalIsNoAnswerToTheNextOrder(t *testing.T) {
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
			refuseTwice(conn, false)
		}
	}()
	e := client.NewEngine("http://" + listener.Addr().String())
	order := engine.Order{Fence: 1, Load: &engine.LoadedWeights{Model: "badge", Version: "8"}}
	if err := e.Apply(t.Context(), order); !errors.Is(err, engine.ErrRefused) {
		t.Errorf("first order: %v, want a refusal", err)
	}
	if err := e.Apply(t.Context(), order); !errors.Is(err, engine.ErrBroken) {
		t.Errorf("order that is carried out: %v, want an error that it may have been", err)
	}
	e.CloseIdleConnections()
	_ = listener.Close()
	<-served
}
