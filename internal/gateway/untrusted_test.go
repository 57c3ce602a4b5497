package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/deployment"
)

// startBounded starts a gateway with 112 MiB and the limits of the users' configuration before a
// server that returns the body of each request.
func startBounded(t *testing.T) *system {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // an incomplete body shows in the response
		w.Header().Set("Signed", "1")
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	s := startGateway(t, &memoryStore{}, "g1", func(settings *config.Settings) { settings.Gateway.MemoryLimit = 112 << 20 })
	config := testConfig(1, deployment.Idempotent)
	config.Limits = deployment.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20}
	s.store.set(config, serverAt("a", server.Listener.Addr().String()))
	s.waitReady(t)
	return s
}

func (s *system) exchange(t *testing.T, head string, body []byte) (*http.Response, []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", s.settings.Gateway.HTTPAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second)) // a failure shows in the read
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /x/1 HTTP/1.1\r\nHost: api.example\r\nRequest: r\r\nKey: good\r\n%s\r\n%s", head, body)
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, content
}

// Requests of the largest size are served, and responses as large, whether framed by length or by
// chunks. A byte more is refused.
func TestLargestRequestsAreServed(t *testing.T) {
	t.Parallel()
	s := startBounded(t)
	fill := "X-Fill: " + strings.Repeat("x", 16<<10-150) + "\r\n"
	body := bytes.Repeat([]byte("b"), 4<<20)
	chunked := append(fmt.Appendf(nil, "%x\r\n", len(body)), append(body, "\r\n0\r\n\r\n"...)...)
	for range 12 { // more than fit into the account at once
		for name, response := range map[string]func() (*http.Response, []byte){
			"length": func() (*http.Response, []byte) {
				return s.exchange(t, fill+fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
			},
			"chunks": func() (*http.Response, []byte) { return s.exchange(t, fill+"Transfer-Encoding: chunked\r\n", chunked) },
		} {
			if got, content := response(); got.StatusCode != http.StatusOK || !bytes.Equal(content, body) {
				t.Fatalf("%s: status %d, %d bytes", name, got.StatusCode, len(content))
			}
		}
	}
	if got, _ := s.exchange(t, fmt.Sprintf("Content-Length: %d\r\n", len(body)+1), nil); got.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d for a body above the limit", got.StatusCode)
	}
	if got, _ := s.exchange(t, fill+fill, nil); got.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d for a head above the limit", got.StatusCode)
	}
	s.checkReleased(t)
}

// A body that stops is refused as not run, not kept for ever.
func TestStalledBodyIsRefused(t *testing.T) {
	t.Parallel()
	s := startBounded(t)
	if got, _ := s.exchange(t, "Content-Length: 100000\r\n", make([]byte, 50000)); got.StatusCode != http.StatusRequestTimeout || !got.Close {
		t.Errorf("status %d, close %v", got.StatusCode, got.Close)
	}
}

// Stalled bodies give way to a body of the same size. They are refused with the time of a retry.
func TestStalledBodiesGiveWay(t *testing.T) {
	t.Parallel()
	s := startBounded(t)
	body := make([]byte, 4<<20)
	stalled := make(chan int, 12)
	for range cap(stalled) {
		go func() {
			got, _ := s.exchange(t, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body[:len(body)-1])
			if got.StatusCode == http.StatusServiceUnavailable && got.Header.Get("Retry-After") == "" {
				t.Error("refused without the time of a retry")
			}
			stalled <- got.StatusCode
		}()
	}
	time.Sleep(3 * time.Second)
	if got, content := s.exchange(t, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body); got.StatusCode != http.StatusOK || len(content) != len(body) {
		t.Errorf("status %d, %d bytes", got.StatusCode, len(content))
	}
	for range cap(stalled) {
		if status := <-stalled; status != http.StatusServiceUnavailable && status != http.StatusRequestTimeout {
			t.Errorf("status %d", status)
		}
	}
	s.checkReleased(t)
}

// checkReleased guards against charges that outlive their connections: they would use up the
// account.
func (s *system) checkReleased(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		used := s.gateway.memory.Used()
		if used == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d bytes are accounted for without clients", used)
		}
	}
}
