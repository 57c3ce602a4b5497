package systemtest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/httpapi"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
	"github.com/wasabigate/wasabigate/internal/standin/link"
	"github.com/wasabigate/wasabigate/internal/standin/model"
	"github.com/wasabigate/wasabigate/internal/standin/pieces"
	"github.com/wasabigate/wasabigate/internal/standin/service"
	"github.com/wasabigate/wasabigate/internal/standin/vmlist"
)

const (
	environment = "test"
	modelName   = "greeter"
	weights     = "v1"
)

// plan describes the system of a test.
type plan struct {
	routers  int
	engines  int
	services int
	// engine are the options of all model engines.
	engine model.Options
	// vmListLag is the lag of the VM list; the daemons' setting follows it.
	vmListLag time.Duration
	// document is appended to the configuration document.
	document string
	// sidecar is appended to the sidecars' settings.
	sidecar string
	// router is appended to the routers' settings.
	router string
	// deadlyBody is the body of calls that end the process of a plain service; empty: none.
	deadlyBody string
	endTime    time.Duration // from breaking the connection of such a call to the end
	// certificates is the directory of the daemons' certificates; empty: plain
	// text.
	certificates string
	// weightStore is the base URL of the weight store; empty: none.
	weightStore string
}

// system is a running system.
type system struct {
	kv       *kv.Store
	vms      *vmlist.List
	pieces   *pieces.Store
	store    *configstore.Store
	caller   *http.Client
	key      string // of workspace north
	otherKey string // of workspace south
	routers  []*router
	engines  []*engineServer
	services []*serviceServer
}

// router is a router process with the base URL of its HTTP API.
type router struct {
	*process
	url string
}

// server is what all backend servers have in common.
type server struct {
	sidecar  *process
	link     *link.Link // between the routers and its sidecar
	captured *capture
	vm       platform.VM
}

type engineServer struct {
	server
	engine *model.Engine
}

type serviceServer struct {
	server
	service *service.Service
}

// capture records the bytes of the requests that a backend server received.
type capture struct {
	mu   sync.Mutex
	text strings.Builder
	work int // requests other than its own sidecar's queries for state and events
}

// wrap returns a handler that records each request before next handles it.
func (c *capture) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if dump, err := httputil.DumpRequest(r, true); err == nil {
			c.mu.Lock()
			c.text.Write(dump)
			if r.URL.Path != httpapi.PathState && r.URL.Path != httpapi.PathEvents {
				c.work++
			}
			c.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// generations returns the number of requests for a generation so far.
func (c *capture) generations() int {
	return strings.Count(c.String(), "POST "+httpapi.PathCompletions+" ")
}

// workCount returns the number of requests so far that are not queries for state and
// events, which a sidecar makes until it has stopped.
func (c *capture) workCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.work
}

func (c *capture) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.String()
}

// start starts a system and waits until all its routers are ready.
func start(t *testing.T, p plan) *system {
	t.Helper()
	s := &system{
		kv:       kv.New(1),
		vms:      vmlist.New(),
		caller:   http.DefaultClient,
		key:      config.NewKey("north-1"),
		otherKey: config.NewKey("south-1"),
	}
	var err error
	if s.pieces, err = pieces.New(1, pieces.DefaultCapacity); err != nil {
		t.Fatal(err)
	}
	s.store = configstore.New(s.kv, environment)
	s.apply(t, s.document(p))
	kvURL := serveHTTP(t, kv.Handler(s.kv))
	vmsURL := serveHTTP(t, vmlist.Handler(s.vms))
	piecesURL := serveHTTP(t, pieces.Handler(s.pieces))
	settings := func(name, role, address string) string {
		return fmt.Sprintf(daemonSettings, name, role, environment, address, kvURL, vmsURL, piecesURL,
			p.vmListLag+100*time.Millisecond, p.weightStore, tlsSection(p.certificates))
	}
	scheme := "http://"
	if p.certificates != "" {
		scheme = "https://"
		s.caller = secureClient(t, p.certificates)
	}
	for i := range p.engines {
		s.addEngine(t, p, i, settings)
	}
	for i := range p.services {
		s.addService(t, p, i, settings)
	}
	for i := range p.routers {
		s.addRouter(t, p, i, scheme, settings)
	}
	s.vms.SetLag(p.vmListLag)
	for _, r := range s.routers {
		s.awaitReady(t, r)
	}
	return s
}

const daemonSettings = `[daemon]
name = %s
role = %s
availability_zone = zone-1
environment = %s
rpc_address = %s
drain_timeout = 20s
%%s
[platform]
key_value = %s
vm_list = %s
piece_store = %s
vm_list_lag = %s
weight_store = %s
[tls]
%s
[log]
level = info
`

// document returns a configuration document with a route of each kind.
func (s *system) document(p plan) string {
	return fmt.Sprintf(`[environment]
name = test
[model %s]
group = engines
weights_version = %s
context_tokens = 32768
default_max_tokens = 16
[group engines]
kind = engines
[group desk]
kind = service
[workspace north]
rate = 100000
burst = 1000000
[workspace south]
rate = 100000
burst = 1000000
[workspace public]
rate = 1000
burst = 1000
[key north-1]
workspace = north
sha256 = %x
[key south-1]
workspace = south
sha256 = %x
[route chat]
path = /v1/chat/completions
class = urgent
[route completions]
path = /v1/completions
class = urgent
[route lookup]
path = /desk/lookup/*
method = GET
group = desk
strip_prefix = /desk
class = urgent
[route orders]
path = /desk/orders
method = POST
group = desk
strip_prefix = /desk
once = yes
[route rolls]
path = /rolls/jobs/*
method = GET
group = desk
strip_prefix = /rolls
access = open
workspace = public
%s`, modelName, weights, config.HashKey(s.key), config.HashKey(s.otherKey), p.document)
}

// apply stores a configuration document.
func (s *system) apply(t *testing.T, text string) {
	t.Helper()
	base, err := s.store.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.store.Apply(t.Context(), base, []byte(text), "test"); err != nil {
		t.Fatal(err)
	}
}

type settingsFor func(name, role, address string) string

func (s *system) addEngine(t *testing.T, p plan, i int, settings settingsFor) {
	options := p.engine
	options.Seed = uint64(i + 1)
	options.Loaded = []engine.LoadedWeights{{Model: modelName, Version: weights}}
	e := &engineServer{engine: model.New(options)}
	t.Cleanup(e.engine.Close)
	name := fmt.Sprintf("engine-%d", i)
	e.server = s.addServer(t, p, name, "engines", config.GroupEngines, model.Handler(e.engine), settings)
	s.engines = append(s.engines, e)
}

func (s *system) addService(t *testing.T, p plan, i int, settings settingsFor) {
	v := &serviceServer{service: service.New("desk")}
	t.Cleanup(v.service.Close)
	name := fmt.Sprintf("desk-%d", i)
	v.server = s.addServer(t, p, name, "desk", config.GroupService, service.Handler(v.service), settings)
	s.services = append(s.services, v)
}

// addServer starts a backend server's HTTP API and its sidecar, and adds it to the VM
// list.
func (s *system) addServer(t *testing.T, p plan, name, group string, kind config.GroupKind, handler http.Handler, settings settingsFor) server {
	t.Helper()
	address := freeAddress()
	v := server{captured: &capture{}, link: newLink(t, address)}
	backendURL := serveHTTPUntil(t, p.deadlyBody, p.endTime, v.captured.wrap(handler))
	text := fmt.Sprintf(settings(name, "sidecar", address), "admin_address = "+freeAddress())
	text += fmt.Sprintf("[sidecar]\nkind = %s\ngroup = %s\nbackend_url = %s\n%s\n", kind, group, backendURL, p.sidecar)
	v.sidecar = newProcess(t, name, text)
	v.vm = platform.VM{Name: name, Address: v.link.Address(), AvailabilityZone: "zone-1", Group: group, State: platform.VMLive}
	s.vms.Set(v.vm)
	return v
}

func (s *system) addRouter(t *testing.T, p plan, i int, scheme string, settings settingsFor) {
	t.Helper()
	address, httpAddress := freeAddress(), freeAddress()
	name := fmt.Sprintf("router-%d", i)
	text := fmt.Sprintf(settings(name, "router", address), s.peersSetting()) + "[router]\nhttp_address = " + httpAddress + "\nretry_slack = 1000\n" + p.router // faults follow the start at once
	r := &router{process: newProcess(t, name, text), url: scheme + httpAddress}
	s.vms.Set(platform.VM{Name: name, Address: address, AvailabilityZone: "zone-1", Group: platform.GroupRouters, State: platform.VMLive})
	s.routers = append(s.routers, r)
}

// peersSetting lists the sidecars, which a router queries when the platform is
// down.
func (s *system) peersSetting() string {
	var addresses []string
	for _, e := range s.engines {
		addresses = append(addresses, e.link.Address())
	}
	for _, v := range s.services {
		addresses = append(addresses, v.link.Address())
	}
	return "peers = " + strings.Join(addresses, ", ")
}

// awaitReady waits until the router serves a request.
func (s *system) awaitReady(t *testing.T, r *router) {
	t.Helper()
	eventually(t, startTimeout, r.name+" is ready", func() bool {
		status := s.tryComplete(t.Context(), r, "hello")
		return status == http.StatusOK
	})
}

// tryComplete requests a short completion and returns the HTTP status, or 0 on failure.
func (s *system) tryComplete(ctx context.Context, r *router, prompt string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+"/v1/completions", strings.NewReader(completionBody(prompt, 1, false)))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+s.key)
	resp, err := s.caller.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// eventually waits until condition holds.
func eventually(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", timeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func serveHTTP(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// testHost is the loopback address of this test process. Outgoing connections and
// other test processes use other addresses, so no one else takes its ports.
var testHost = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))

const firstPort = 10_000

// lastPort is the last assigned port of testHost, as an offset from firstPort.
var lastPort atomic.Int64

// freeAddress returns an address that no listener has used.
func freeAddress() string {
	return fmt.Sprintf("%s:%d", testHost, firstPort+lastPort.Add(1))
}

// newLink returns a link to target that is closed when the test ends.
func newLink(t *testing.T, target string) *link.Link {
	t.Helper()
	l, err := link.New(freeAddress(), target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}
