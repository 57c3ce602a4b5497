package client_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/client"
)

// A finished stream is closed although its engine stalls between the last chunk and the end
// marker. Its result would otherwise be held back until the engine goes on.
func TestCloseDoesNotWaitForTheEndMarker(t *testing.T) {
	goOn := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `data: {"request_id":"r1","index":0,"text":"a","tokens":1,"finish":"stop","usage":{}}`+"\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-goOn:
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	defer close(goOn)
	target := client.NewEngine(server.URL)
	defer target.CloseIdleConnections()
	stream, err := target.Generate(t.Context(), engine.GenerateRequest{RequestID: "r1"})
	if err != nil {
		t.Fatal(err)
	}
	if chunk, err := stream.Next(); err != nil || chunk.Finish == "" {
		t.Fatalf("got %+v, %v", chunk, err)
	}
	if _, err := stream.Next(); err != io.EOF {
		t.Fatalf("got %v, want the end", err)
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = stream.Close()
	}()
	select {
	case <-closed:
	case <-time.After(3 * time.Second):
		t.Error("Close waits for the engine")
	}
}
