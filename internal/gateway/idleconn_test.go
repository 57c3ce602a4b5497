package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

// Connections that clients leave idle for longer than the configuration allows do not pile up
// until no new one can be taken. Those that are used in time stay open.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const limit = 4 * time.Second
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Signed", "1") }))
	defer server.Close()
	s := startSystem(t)
	config := testConfig(1, deployment.Idempotent)
	config.Limits.IdleTimeout = limit
	s.store.set(config, serverAt("a", server.Listener.Addr().String()))
	s.waitReady(t)
	conn, err := net.Dial("tcp", s.settings.Gateway.HTTPAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 2 {
		if _, err := fmt.Fprintf(conn, "GET /x/1 HTTP/1.1\r\nHost: api.example\r\nKey: good\r\nRequest: r\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("status %d", response.StatusCode)
		}
		time.Sleep(limit * 4 / 5)
	}
	if err := conn.SetReadDeadline(time.Now().Add(2 * limit)); err != nil {
		t.Fatal(err)
	}
	if _, err := reader.ReadByte(); err == nil || err.Error() != "EOF" {
		t.Errorf("got %v, want a closed connection", err)
	}
}
