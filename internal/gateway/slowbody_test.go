package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

// slowRequest is a request whose head and half of its body have been sent.
type slowRequest struct{ conn net.Conn }

func (s *system) beginSlowRequest(t *testing.T) *slowRequest {
	t.Helper()
	conn, err := net.Dial("tcp", s.settings.Gateway.HTTPAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprint(conn, "POST /x/1 HTTP/1.1\r\nHost: api.example\r\nRequest: r1\r\nKey: good\r\nContent-Length: 8\r\n\r\nhalf"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // until the gateway reads the body
	return &slowRequest{conn: conn}
}

// end sends the rest of the body and returns the status of the response.
func (r *slowRequest) end(t *testing.T) *http.Response {
	t.Helper()
	if _, err := fmt.Fprint(r.conn, "rest"); err != nil {
		t.Fatal(err)
	}
	_ = r.conn.SetReadDeadline(time.Now().Add(5 * time.Second)) // a failure shows in the read
	response, err := http.ReadResponse(bufio.NewReader(r.conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	return response
}

// countingServer starts a backend server that counts its requests.
func countingServer(t *testing.T) (address string, count *atomic.Int64) {
	count = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		count.Add(1)
		w.Header().Set("Signed", "1")
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), count
}

// A server that left while the body of a request came slowly does not get the request.
func TestServerLeavesWhileABodyIsRead(t *testing.T) {
	leaving, atLeaving := countingServer(t)
	successor, atSuccessor := countingServer(t)
	s := startSystem(t)
	s.store.set(testConfig(1, deployment.AtMostOnce), serverAt("a", leaving))
	s.waitReady(t)
	request := s.beginSlowRequest(t)
	drained := serverAt("a", leaving)
	drained.Draining = true
	s.store.setServers([]*deployment.Server{drained, serverAt("b", successor)})
	time.Sleep(500 * time.Millisecond)
	if response := request.end(t); response.StatusCode != http.StatusOK || atLeaving.Load() != 0 || atSuccessor.Load() != 1 {
		t.Errorf("status %d, %d requests at the draining server, %d at its successor", response.StatusCode, atLeaving.Load(), atSuccessor.Load())
	}
}

// A request whose body is complete only after the gateway has stopped taking requests is
// refused as not run. Passed on, it would be cut as the process ends.
func TestGatewayStopsWhileABodyIsRead(t *testing.T) {
	address, count := countingServer(t)
	s := startSystem(t)
	s.store.set(testConfig(1, deployment.AtMostOnce), serverAt("a", address))
	s.waitReady(t)
	request := s.beginSlowRequest(t)
	s.gateway.ingress.setDraining()
	s.gateway.ingress.setRefusing()
	response := request.end(t)
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || count.Load() != 0 {
		t.Errorf("status %d, headers %v, %d requests at the server", response.StatusCode, response.Header, count.Load())
	}
}
