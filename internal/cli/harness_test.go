package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"
	"storj.io/drpc/drpcmux"

	"github.com/wasabigate/wasabigate/internal/configstore"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
	"github.com/wasabigate/wasabigate/internal/standin/vmlist"
)

func TestMain(m *testing.M) {
	// The idle connections of the platform's HTTP client outlive a command.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
}

const startDocument = `[environment]
name = Test

[group engines]
kind = engines

# demo key of w
[workspace w]
rate = 100
burst = 1000

[key k]
workspace = w
sha256 = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f

[route chat]
path = /v1/chat/completions
`

// testEnv is a stand-in platform with fake daemons.
type testEnv struct {
	t    *testing.T
	kv   *kv.Store
	vms  *vmlist.List
	args []string // global flags for the platform
	// serverTLS is the TLS configuration of daemons added from now on; nil means plain text.
	serverTLS *tls.Config
}

func newTestEnv(t *testing.T) *testEnv {
	e := &testEnv{t: t, kv: kv.New(1), vms: vmlist.New()}
	store := httptest.NewServer(kv.Handler(e.kv))
	t.Cleanup(store.Close)
	list := httptest.NewServer(vmlist.Handler(e.vms))
	t.Cleanup(list.Close)
	e.args = []string{"--key-value", store.URL, "--vm-list", list.URL, "--plaintext", "--author", "ann", "--call-timeout", "500ms", "--timeout", "3s"}
	return e
}

// run runs a command against an environment.
func (e *testEnv) run(environment string, args ...string) *commandRun {
	return runProgram(e.t, "", append(append([]string{"--environment", environment}, e.args...), args...)...)
}

// commandRun is the output and exit code of a command.
type commandRun struct {
	t      *testing.T
	code   ExitCode
	stdout string
	stderr string
}

func runProgram(t *testing.T, stdin string, args ...string) *commandRun {
	t.Helper()
	var stdout, stderr bytes.Buffer
	program := &Program{Stdin: strings.NewReader(stdin), Stdout: &stdout, Stderr: &stderr}
	code := program.Run(t.Context(), append([]string{"wasabigate"}, args...))
	return &commandRun{t, code, stdout.String(), stderr.String()}
}

// expect checks the exit code and that the output contains each part.
func (r *commandRun) expect(code ExitCode, parts ...string) *commandRun {
	r.t.Helper()
	if r.code != code {
		r.t.Errorf("exit code %d, want %d\nstdout: %s\nstderr: %s", r.code, code, r.stdout, r.stderr)
	}
	for _, part := range parts {
		if !strings.Contains(r.stdout+r.stderr, part) {
			r.t.Errorf("the output lacks %q\nstdout: %s\nstderr: %s", part, r.stdout, r.stderr)
		}
	}
	return r
}

// decode decodes standard output as JSON.
func (r *commandRun) decode(into any) {
	r.t.Helper()
	if err := json.Unmarshal([]byte(r.stdout), into); err != nil {
		r.t.Fatalf("output %q: %v", r.stdout, err)
	}
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "document.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (e *testEnv) apply(environment, text string) *configstore.State {
	e.t.Helper()
	store := configstore.New(e.kv, environment)
	base, err := store.Read(e.t.Context())
	if err != nil {
		e.t.Fatal(err)
	}
	if _, err := store.Apply(e.t.Context(), base, []byte(text), "test"); err != nil {
		e.t.Fatal(err)
	}
	return e.state(environment)
}

func (e *testEnv) state(environment string) *configstore.State {
	e.t.Helper()
	state, err := configstore.New(e.kv, environment).Read(e.t.Context())
	if err != nil {
		e.t.Fatal(err)
	}
	return state
}

// fakeNode is a daemon that responds with a status set by the test, and applies
// offered documents.
type fakeNode struct {
	wire.DRPCNodeUnimplementedServer
	mu            sync.Mutex
	status        *wire.StatusReply
	ignoresOffers bool // does not apply offered documents
	confirmsLate  bool // responds before it applies an offered document
	hanging       bool // never responds
	drained       bool
	level         string
}

func (n *fakeNode) wait(ctx context.Context) error {
	if n.hanging {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (n *fakeNode) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusReply, error) {
	if err := n.wait(ctx); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status, nil
}

func (n *fakeNode) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	if err := n.wait(ctx); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	revision, err := configstore.Open(request.Document)
	if err != nil {
		return nil, err
	}
	before := n.status.Revisions
	if !n.ignoresOffers {
		n.status.Revisions = &wire.Revisions{Document: revision.Number}
	}
	if n.confirmsLate {
		return &wire.ExchangeReply{Revisions: before}, nil
	}
	return &wire.ExchangeReply{Revisions: n.status.Revisions}, nil
}

func (n *fakeNode) Drain(_ context.Context, request *wire.DrainRequest) (*wire.DrainReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drained = !request.Cancel
	return &wire.DrainReply{Draining: n.drained, Inflight: 7}, nil
}

func (n *fakeNode) SetLogLevel(_ context.Context, request *wire.LogLevelRequest) (*wire.LogLevelReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.level = request.Level
	return &wire.LogLevelReply{Level: request.Level}, nil
}

// add starts a daemon and lists its VM in the group.
func (e *testEnv) add(node *fakeNode, group string) *fakeNode {
	e.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterNode(mux, node); err != nil {
		e.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = rpc.Serve(ctx, listener, mux, e.serverTLS, nil)
	}()
	e.t.Cleanup(func() { cancel(); <-done })
	e.list(node.status.Name, listener.Addr().String(), group)
	return node
}

func (e *testEnv) list(name, address, group string) {
	e.vms.Set(platform.VM{Name: name, Address: address, Group: group, State: platform.VMLive, AvailabilityZone: "a"})
}

// node returns a fake daemon with the state in force.
func node(name, role, environment string, state *configstore.State) *fakeNode {
	return &fakeNode{status: &wire.StatusReply{
		Name:           name,
		Role:           role,
		Zone:           "a",
		Environment:    environment,
		Revisions:      &wire.Revisions{Document: state.Number()},
		DocumentDigest: state.Revision.Digest[:],
		Queue:          &wire.QueueStatus{},
	}}
}
