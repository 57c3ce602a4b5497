package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/forward"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/serverbackoff"
)

// memoryStore is an in-memory store with one configuration, a list of servers, and the
// gateways that registered.
type memoryStore struct {
	mu       sync.Mutex
	current  *deployment.Config
	servers  []*deployment.Server
	gateways []string // keys
	version  platform.Version
}

func (s *memoryStore) set(c *deployment.Config, servers ...*deployment.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.servers = c.Index(), slices.Clone(servers)
	s.version++
}

func (s *memoryStore) setServers(servers []*deployment.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = slices.Clone(servers)
	s.version++
}

func (s *memoryStore) Read(context.Context, string) ([]platform.Entry, platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return nil, 0, platform.ErrUnavailable
	}
	entries := []platform.Entry{{Key: "config", Version: s.version}}
	for _, server := range s.servers {
		entries = append(entries, platform.Entry{Key: "servers/" + server.ID, Version: s.version})
	}
	for _, key := range s.gateways {
		entries = append(entries, platform.Entry{Key: key, Version: s.version})
	}
	return entries, s.version, nil
}

func (s *memoryStore) Changes(ctx context.Context, _ string, after platform.Version, _ time.Duration) ([]platform.Event, platform.Version, error) {
	select {
	case <-ctx.Done():
	case <-time.After(20 * time.Millisecond):
	}
	entries, position, err := s.Read(ctx, "")
	var events []platform.Event
	if position > after {
		for _, entry := range entries {
			events = append(events, platform.Event{Entry: entry})
		}
	}
	return events, position, err
}

func (*memoryStore) Get(context.Context, string) (platform.Entry, error) {
	return platform.Entry{}, platform.ErrNotFound
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, _ []byte, _ platform.Version, _ platform.LeaseID) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.HasPrefix(key, follower.GatewayPrefix) && !slices.Contains(s.gateways, key) {
		s.gateways = append(s.gateways, key)
		s.version++
	}
	return max(1, s.version), nil
}

func (*memoryStore) GrantLease(context.Context, time.Duration) (platform.LeaseID, error) {
	return 1, nil
}
func (*memoryStore) RenewLease(context.Context, platform.LeaseID) error { return nil }
func (*memoryStore) Era() platform.Era                                  { return 0 }

func (*memoryStore) RevokeLease(context.Context, platform.LeaseID) error { return nil }

// FromOperator implements follower.Layout.
func (*memoryStore) FromOperator(key string) bool { return !strings.HasPrefix(key, "servers/") }

// ServerID implements follower.Layout.
func (*memoryStore) ServerID(key string) (string, bool) { return strings.CutPrefix(key, "servers/") }

// Decode implements follower.Layout.
func (s *memoryStore) Decode(key string, _ []byte, _ time.Time) (follower.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := strings.CutPrefix(key, "servers/"); ok {
		for _, server := range s.servers {
			if server.ID == id {
				return follower.Item{Server: server}, nil
			}
		}
	}
	return follower.Item{Config: s.current}, nil
}

// testHeaders implements Headers with header names that no platform uses.
type testHeaders struct{}

func (testHeaders) ReadRequest(header http.Header) forward.Metadata {
	metadata := forward.Metadata{ID: header.Get("Request"), Credential: header.Get("Key"), LastEventID: header.Get("Last")}
	header.Del("Key")
	for part := range strings.FieldsSeq(header.Get("Parts")) {
		metadata.Parts = append(metadata.Parts, forward.Part{ID: part, Tokens: 100})
	}
	return metadata
}

func (testHeaders) Instruct(header http.Header, in *backend.Instructions) {
	header.Set("Workspace", in.Workspace)
	header.Set("Last", in.LastEventID)
}

func (testHeaders) Describe(status int, header http.Header) backend.Description {
	d := backend.Description{
		RequestID: header.Get("Request"), Signed: header.Get("Signed") != "", NotRun: header.Get("Not-Run") != "",
		Leaving: header.Get("Leaving") != "", Refused: status == http.StatusServiceUnavailable,
	}
	if d.Refused {
		d.Asked = serverbackoff.Parse(header.Values("Retry-After"))
	}
	return d
}

func (testHeaders) SetRetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", fmt.Sprint(after.Seconds()))
}

func (testHeaders) SetRequestID(header http.Header, id string) { header.Set("Request", id) }

// listenLoopback opens a listener on a free port.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// system is a running gateway with its store.
type system struct {
	store    *memoryStore
	settings *config.Settings
	stop     context.CancelFunc
	done     chan error
	gateway  *Gateway
}

func startSystem(t *testing.T) *system { return startGateway(t, &memoryStore{}, "g1") }

// startGateway starts a gateway on a store that others may share, with further settings.
func startGateway(t *testing.T, store *memoryStore, name string, change ...func(*config.Settings)) *system {
	open := &listeners{clients: listenLoopback(t), readiness: listenLoopback(t), rpc: listenLoopback(t)}
	s := &system{store: store, done: make(chan error, 1), settings: &config.Settings{
		Daemon: config.DaemonSettings{Name: name, AvailabilityZone: "a", RPCAddress: open.rpc.Addr().String(), DrainTimeout: 8 * time.Second},
		Log:    config.LogSettings{Level: "warn", Format: "json"},
		Gateway: config.GatewaySettings{
			HTTPAddress: open.clients.Addr().String(), ReadyAddress: open.readiness.Addr().String(), OrderLease: 3 * time.Second,
			Retries: config.RetrySettings{Ratio: 0.2, Window: 10 * time.Second, Slack: 100}, LimitWait: 50 * time.Millisecond,
		},
	}}
	for _, set := range change {
		set(s.settings)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.gateway = newGateway(s.settings, Platform{
		Store:   func(string) platform.Store { return s.store },
		Layout:  s.store,
		Headers: testHeaders{},
		Reload:  func() (*config.Settings, error) { return s.settings, nil },
	})
	go func() { s.done <- s.gateway.serve(ctx, open, http.NotFoundHandler()) }()
	t.Cleanup(func() {
		cancel()
		if err := <-s.done; err != nil {
			t.Error(err)
		}
	})
	return s
}

func (s *system) readyStatus() int {
	response, err := http.Get("http://" + s.settings.Gateway.ReadyAddress + "/ready")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (s *system) waitReady(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if s.readyStatus() == http.StatusOK {
			time.Sleep(300 * time.Millisecond) // until the token buckets are filled
			return
		}
	}
	t.Fatal("the gateway is not ready after 5 s")
}

func (s *system) send(t *testing.T, method, path, key, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+s.settings.Gateway.HTTPAddress+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "api.example"
	request.Header.Set("Request", "r1")
	request.Header.Set("Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func testConfig(version uint64, kind deployment.Kind) *deployment.Config {
	return &deployment.Config{
		Version: version,
		Routes: []deployment.Route{{
			Name: "r", Host: "api.example", Prefix: "/x/", Kind: kind, MaxAttempts: 2, Timeout: 2 * time.Second, Resumable: true,
			Targets: []deployment.Target{{Service: "s", Weight: 1}},
		}},
		Services:   []deployment.Service{{Name: "s"}},
		Workspaces: []deployment.Workspace{{Name: "w", Keys: []deployment.KeyDigest{deployment.DigestKey("good")}, Rate: 1000, Burst: 1000}},
	}
}

func serverAt(id, address string) *deployment.Server {
	return &deployment.Server{ID: id, Service: "s", Address: address, AvailabilityZone: "a", Slots: 6}
}

func TestRequestsThroughTheGateway(t *testing.T) {
	var seen atomic.Pointer[http.Request]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen.Store(r.Clone(context.Background()))
		w.Header().Set("Signed", "1")
		_, _ = io.Copy(w, r.Body)
	}))
	defer server.Close()
	s := startSystem(t)
	time.Sleep(100 * time.Millisecond)
	if status := s.readyStatus(); status != http.StatusServiceUnavailable {
		t.Errorf("readiness check without a configuration: status %d", status)
	}
	s.store.set(testConfig(1, deployment.Idempotent), serverAt("a", server.Listener.Addr().String()))
	s.waitReady(t)

	cases := []struct {
		name, path, key string
		status          int
	}{
		{"answered", "/x/1?q=%20a", "good", http.StatusOK},
		{"unknown key", "/x/1", "bad", http.StatusUnauthorized},
		{"no key", "/x/1", "", http.StatusUnauthorized},
		{"no route", "/y/1", "good", http.StatusNotFound},
	}
	for _, c := range cases {
		response := s.send(t, http.MethodPost, c.path, c.key, "the body")
		body, _ := io.ReadAll(response.Body)
		if response.StatusCode != c.status || response.Header.Get("Request") == "" && c.status != http.StatusOK {
			t.Errorf("%s: status %d, body %q", c.name, response.StatusCode, body)
		}
		if c.status == http.StatusOK && string(body) != "the body" {
			t.Errorf("%s: body %q", c.name, body)
		}
	}
	got := seen.Load()
	if got.RequestURI != "/x/1?q=%20a" || got.Header.Get("Key") != "" || got.Header.Get("Workspace") != "w" || got.Host != "api.example" {
		t.Errorf("the server got %s for host %s with headers %v", got.RequestURI, got.Host, got.Header)
	}

	withoutKey := testConfig(2, deployment.Idempotent)
	withoutKey.Workspaces[0].Keys = nil
	s.store.set(withoutKey, serverAt("a", server.Listener.Addr().String()))
	time.Sleep(2 * time.Second) // within which a change must be in force
	if response := s.send(t, http.MethodPost, "/x/1", "good", ""); response.StatusCode != http.StatusUnauthorized {
		t.Errorf("withdrawn key: status %d", response.StatusCode)
	}
}

// A stream that the server breaks off ends with an error for the client, after the
// last whole event.
func TestBrokenStreamLooksBroken(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "1")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\nid: 2\nda")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	s := startSystem(t)
	s.store.set(testConfig(1, deployment.Stream), serverAt("a", server.Listener.Addr().String()))
	s.waitReady(t)
	response := s.send(t, http.MethodPost, "/x/1", "good", "")
	body, err := io.ReadAll(response.Body)
	if err == nil || string(body) != "id: 1\ndata: a\n\n" {
		t.Errorf("body %q, error %v", body, err)
	}
}

// A stream that one server breaks off resumes on another after the last whole event.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	var calls atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signed", "1")
		if calls.Add(1) == 1 {
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\nid: 2\nda")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: 2\ndata: after %s\n\n", r.Header.Get("Last"))
	})
	one, two := httptest.NewServer(handler), httptest.NewServer(handler)
	defer one.Close()
	defer two.Close()
	s := startSystem(t)
	s.store.set(testConfig(1, deployment.Stream), serverAt("a", one.Listener.Addr().String()), serverAt("b", two.Listener.Addr().String()))
	s.waitReady(t)
	response := s.send(t, http.MethodPost, "/x/1", "good", "")
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != "id: 1\ndata: a\n\nid: 2\ndata: after 1\n\n" {
		t.Errorf("body %q, error %v", body, err)
	}
}

// A request gets status 504 when its route's time-out has passed.
func TestRouteTimeout(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer server.Close()
	s := startSystem(t)
	s.store.set(testConfig(1, deployment.AtMostOnce), serverAt("a", server.Listener.Addr().String()))
	s.waitReady(t)
	start := time.Now()
	response := s.send(t, http.MethodPost, "/x/1", "good", "x")
	if took := time.Since(start); response.StatusCode != http.StatusGatewayTimeout || took < 1900*time.Millisecond || took > 2500*time.Millisecond {
		t.Errorf("status %d after %v, want 504 after 2 s", response.StatusCode, took)
	}
}

// A planned stop lets running requests finish, fails readiness checks, and asks
// clients to close their connections.
func TestStopCutsNoRequest(t *testing.T) {
	started := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		time.Sleep(1500 * time.Millisecond)
		w.Header().Set("Signed", "1")
		_, _ = io.WriteString(w, "whole")
	}))
	defer server.Close()
	s := startSystem(t)
	s.store.set(testConfig(1, deployment.AtMostOnce), serverAt("a", server.Listener.Addr().String()))
	s.waitReady(t)
	go func() {
		<-started
		s.stop()
	}()
	response := s.send(t, http.MethodPost, "/x/1", "good", "x")
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != "whole" {
		t.Errorf("body %q, error %v", body, err)
	}
	if status := s.readyStatus(); status != http.StatusServiceUnavailable {
		t.Errorf("readiness check of a stopping gateway: status %d", status)
	}
	conn, err := net.Dial("tcp", s.settings.Gateway.HTTPAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET /y HTTP/1.1\r\nHost: api.example\r\n\r\n")
	reply, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || !reply.Close {
		t.Errorf("response %+v, error %v: want Connection: close", reply, err)
	}
}

// Requests that arrive late in a stop, on connections that were idle until then, get a
// complete answer: the response, or that they have not run.
func TestStopUnderLoadAnswersIdleConnections(t *testing.T) {
	const clients = 100
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "1")
		_, _ = io.WriteString(w, "whole")
	}))
	defer server.Close()
	s := startSystem(t)
	s.store.set(testConfig(1, deployment.AtMostOnce), serverAt("a", server.Listener.Addr().String()))
	s.waitReady(t)
	exchange := func(conn net.Conn) (int, error) {
		if _, err := io.WriteString(conn, "POST /x/1 HTTP/1.1\r\nHost: api.example\r\nRequest: r1\r\nKey: good\r\nContent-Length: 1\r\n\r\nx"); err != nil {
			return 0, err
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
	var group sync.WaitGroup
	stopped := make(chan struct{})
	for n := range clients {
		conn, err := net.Dial("tcp", s.settings.Gateway.HTTPAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if status, err := exchange(conn); err != nil || status != http.StatusOK {
			t.Fatal(status, err)
		}
		group.Go(func() {
			<-stopped
			time.Sleep(time.Duration(n) * (balancerDelay + refusePeriod/2) / clients)
			if status, err := exchange(conn); err != nil || status != http.StatusOK && status != http.StatusServiceUnavailable {
				t.Errorf("client %d: status %d, error %v", n, status, err)
			}
		})
	}
	s.stop()
	close(stopped)
	group.Wait()
}

// Gateways share the retry budget and servers' limits with those that they hear of, even if
// the store lists none: all leases may have expired in an outage.
func TestUnlistedGatewaysShareBounds(t *testing.T) {
	store := &memoryStore{}
	one := startGateway(t, store, "g1")
	two := startGateway(t, store, "g2")
	store.set(testConfig(1, deployment.Idempotent))
	one.waitReady(t)
	two.waitReady(t)
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if len(one.gateway.runningGateways(one.gateway.follower.Snapshot())) >= 2 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the gateways don't hear of each other")
		}
	}
	unlisted := &deployment.Snapshot{}
	for _, s := range []*system{one, two} {
		if running := s.gateway.runningGateways(unlisted); len(running) == 0 || len(running) == 1 && running[0] == s.settings.Daemon.RPCAddress {
			t.Errorf("%s counts itself only: %v", s.settings.Daemon.Name, running)
		}
	}
}
