package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

// An answer whose status is no status of a final response is a failure of its server: the
// client gets 502, the request is not sent again, and neither the status nor a header makes it
// count as not run.
func TestAnswersWithImpossibleStatus(t *testing.T) {
	runs := make(chan string, 100)
	address := rawServer(t, func(_ int, conn net.Conn, r *http.Request) {
		id := r.Header.Get("Request")
		runs <- id
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nRequest: %s\r\nSigned: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id[:3], id)
	})
	s := startSystem(t)
	s.store.set(testConfig(1, deployment.AtMostOnce), serverAt("a", address), serverAt("b", address))
	s.waitReady(t)
	for _, status := range []string{"000", "001", "099", "+99", "101", "600", "999"} {
		got := s.sendWithID(t, status+"-order")
		if got != http.StatusBadGateway || len(runs) != 1 {
			t.Errorf("status %s: client got %d, %d runs, want 502 and one", status, got, len(runs))
		}
		for len(runs) > 0 {
			<-runs
		}
	}
}
