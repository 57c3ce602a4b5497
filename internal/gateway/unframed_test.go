package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/deployment"
)

// rawAnswers serves each connection with one answer of the given bytes, which ends with the
// connection: by a close, or by a reset.
func rawAnswers(t *testing.T, answer string, reset bool) string {
	t.Helper()
	return rawServer(t, func(_ int, conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, answer)
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = clock.Sleep(context.Background(), resetDelay)
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close() // the answer ends with it
	})
}

// resetDelay lets the answer's bytes arrive before the reset, which discards others.
const resetDelay = 50 * time.Millisecond

// Answers without a length or chunks end with their connection. They are complete after a
// close, but not after a reset, and a stream not within an event.
func TestAnswersWithoutLength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n"
	for _, c := range []struct {
		name   string
		kind   deployment.Kind
		answer string
		reset  bool
		status int
		body   string
		broken bool // the client sees that the answer is incomplete
	}{
		{"whole", deployment.Idempotent, head + "whole", false, http.StatusOK, "whole", false},
		{"empty", deployment.Idempotent, head, false, http.StatusOK, "", false},
		{"reset", deployment.Idempotent, head + "who", true, http.StatusBadGateway, "", false},
		{"reset, once only", deployment.AtMostOnce, head + "who", true, http.StatusBadGateway, "", false},
		{"stream", deployment.Stream, head + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, http.StatusOK, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false},
		{"stream that ends within an event", deployment.Stream, head + "id: 1\ndata: a\n\nid: 2\nda", false, http.StatusOK, "id: 1\ndata: a\n\n", true},
		{"stream that ends after a field", deployment.Stream, head + "id: 1\ndata: a\n\nid: 2\ndata: b\n", false, http.StatusOK, "id: 1\ndata: a\n\n", true},
		{"stream that ends within its first event", deployment.Stream, head + "id: 1\nda", false, http.StatusBadGateway, "", false},
		{"stream without events", deployment.Stream, head, false, http.StatusBadGateway, "", false},
		{"stream that is reset", deployment.Stream, head + "id: 1\ndata: a\n\n", true, http.StatusOK, "id: 1\ndata: a\n\n", true},
		{"chunked stream that ends within an event", deployment.Stream,
			"HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n13\r\nid: 1\ndata: a\n\nid: \r\n0\r\n\r\n", false, http.StatusOK, "id: 1\ndata: a\n\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t)
			config := testConfig(1, c.kind)
			config.Routes[0].MaxAttempts, config.Routes[0].Resumable = 1, false
			s.store.set(config, serverAt("a", rawAnswers(t, c.answer, c.reset)))
			s.waitReady(t)
			response := s.send(t, http.MethodPost, "/x/1", "good", "x")
			body, err := io.ReadAll(response.Body)
			if response.StatusCode != c.status || c.status == http.StatusOK && string(body) != c.body || (err != nil) != c.broken {
				t.Errorf("status %d, body %q, error %v", response.StatusCode, body, err)
			}
		})
	}
}
