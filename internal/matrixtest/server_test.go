package matrixtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/client"
	"github.com/wasabigate/wasabigate/internal/engine/httpapi"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar"
	"github.com/wasabigate/wasabigate/internal/sidecar/cacheindex"
	"github.com/wasabigate/wasabigate/internal/sidecar/execute"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/standin/link"
	"github.com/wasabigate/wasabigate/internal/standin/model"
	"github.com/wasabigate/wasabigate/internal/standin/service"
)

// decodeStep is the time per token of the engines.
const decodeStep = 2 * time.Millisecond

// server is a backend server with its sidecar.
type server struct {
	cluster *cluster
	vm      platform.VM
	source  *control.AtomicSource
	sidecar *sidecar.Sidecar
	link    *link.Link
	engine  *model.Engine    // nil beside plain services
	service *service.Service // nil beside engines
	index   *cacheindex.Index

	mu       sync.Mutex
	accepted map[string]int // accepted generations by request ID
	release  chan struct{}  // jobs of the other workspace wait until it is closed
}

func (c *cluster) newEngine(i, slots int) *server {
	s := c.newServer(fmt.Sprintf("engine-%d", i), "engines")
	s.engine = model.New(model.Options{
		Seed:       uint64(i + 1),
		Loaded:     []engine.LoadedWeights{{Model: modelName, Version: weights}},
		DecodeStep: decodeStep,
	})
	c.t.Cleanup(s.engine.Close)
	backend := client.NewEngine(serveHTTP(c.t, s.countAccepted(model.Handler(s.engine))))
	s.index = cacheindex.New()
	c.work.Go(func() { s.index.Run(c.ctx, backend) })
	s.start(sidecar.Options{Engine: backend, Blocks: s.index, Executor: execute.New(backend, nil)}, config.GroupEngines, slots)
	return s
}

func (c *cluster) newService(i, slots int) *server {
	s := c.newServer(fmt.Sprintf("desk-%d", i), "desk")
	s.service = service.New("desk")
	c.t.Cleanup(s.service.Close)
	backend := client.NewService(serveHTTP(c.t, service.Handler(s.service)))
	s.start(sidecar.Options{Executor: execute.New(nil, backend)}, config.GroupService, slots)
	return s
}

func (c *cluster) newServer(name, group string) *server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &server{
		cluster:  c,
		vm:       platform.VM{Name: name, Group: group, State: platform.VMLive},
		source:   control.NewAtomicSource(&control.Snapshot{Config: c.config, Shards: c.table}),
		accepted: make(map[string]int),
	}
}

// start starts the sidecar and its link.
func (s *server) start(options sidecar.Options, kind config.GroupKind, slots int) {
	options.Settings = &config.SidecarSettings{
		Kind:            kind,
		Group:           s.vm.Group,
		MaxConcurrent:   slots,
		QueueLimit:      64,
		StreamRetention: 2 * time.Second,
	}
	options.Source = s.source
	options.KV = stepKV{s.cluster.kv, s.cluster, s}
	options.Environment = environment
	options.Executor = stepExecutor{s, options.Executor}
	s.sidecar = sidecar.New(options)
	mux := drpcmux.New()
	if err := wire.DRPCRegisterBackend(mux, s.sidecar); err != nil {
		s.cluster.t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.cluster.t.Fatal(err)
	}
	s.cluster.work.Go(func() { _ = rpc.Serve(s.cluster.ctx, listener, mux, nil, nil) })
	s.link = newLink(s.cluster.t, listener.Addr().String())
	s.vm.Address = s.link.Address()
}

func serveHTTP(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() { closeServer(server) })
	return server.URL
}

// closeServer closes a server and all its connections, including those that a reader
// of events opens while the server closes: Close would wait for them.
func closeServer(server *httptest.Server) {
	closed := make(chan struct{})
	go func() {
		server.Close()
		close(closed)
	}()
	for {
		server.CloseClientConnections()
		select {
		case <-closed:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// countAccepted counts the generations that the engine accepted, by request ID.
func (s *server) countAccepted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != httpapi.PathCompletions {
			next.ServeHTTP(rw, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		var parsed engine.GenerateRequest
		_ = json.Unmarshal(body, &parsed)
		id, _, _ := strings.Cut(parsed.RequestID, ".")
		next.ServeHTTP(&countedWriter{ResponseWriter: rw, server: s, id: id}, r)
	})
}

// countedWriter counts a generation as accepted when its response starts with status 200.
type countedWriter struct {
	http.ResponseWriter
	server *server
	id     string
}

func (c *countedWriter) WriteHeader(status int) {
	if status == http.StatusOK {
		c.server.mu.Lock()
		c.server.accepted[c.id]++
		c.server.mu.Unlock()
	}
	c.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController flush.
func (c *countedWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// received returns how often the backend server received a request.
func (s *server) received(requestID string) int {
	if s.service == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.accepted[requestID]
	}
	count := 0
	for _, seen := range s.service.Seen() {
		if seen.Header.Get(engine.HeaderRequestID) == requestID {
			count++
		}
	}
	return count
}

// blockOtherJobs blocks jobs of the other workspace until release is called.
func (s *server) blockOtherJobs() (release func()) {
	released := make(chan struct{})
	s.mu.Lock()
	s.release = released
	s.mu.Unlock()
	return sync.OnceFunc(func() {
		s.mu.Lock()
		s.release = nil
		s.mu.Unlock()
		close(released)
	})
}

// stepExecutor injects the faults of the steps of an execution.
type stepExecutor struct {
	server *server
	job.Executor
}

func (x stepExecutor) Handle(ctx context.Context, j *job.Job) (job.Outcome, error) {
	if j.Request.Workspace != probeWorkspace {
		return x.handleAfterRelease(ctx, j)
	}
	s, at := x.server, location{server: x.server}
	emit, tokens := j.Emit, 0
	j.Emit = func(frame *wire.Frame) {
		if frame.GetTokens() != nil {
			tokens++
		}
		if step := frameStep(frame, tokens); step != "" {
			s.cluster.trigger(step, at)
		}
		emit(frame)
	}
	outcome, err := x.Executor.Handle(ctx, j)
	if err == nil {
		s.cluster.trigger(stepLastFrame, at)
	}
	return outcome, err
}

// handleAfterRelease runs a job of the other workspace, after the release if such
// jobs are blocked.
func (x stepExecutor) handleAfterRelease(ctx context.Context, j *job.Job) (job.Outcome, error) {
	x.server.mu.Lock()
	released := x.server.release
	x.server.mu.Unlock()
	if released != nil {
		<-released
	}
	return x.Executor.Handle(ctx, j)
}

// newLink returns a link to target that is closed when the test ends.
func newLink(t *testing.T, target string) *link.Link {
	t.Helper()
	l, err := link.New("127.0.0.1:0", target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}
