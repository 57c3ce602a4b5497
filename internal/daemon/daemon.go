// Package daemon assembles the components of wasabigated and runs them until a
// graceful stop, which lets running requests finish.
package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/wasabigate/wasabigate/internal/clientconn"
	"github.com/wasabigate/wasabigate/internal/clientmem"
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/metrics"
	"github.com/wasabigate/wasabigate/internal/node"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/client"
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/shard"
	"github.com/wasabigate/wasabigate/internal/tcplisten"
	"github.com/wasabigate/wasabigate/internal/tlsconf"
	"github.com/wasabigate/wasabigate/internal/version"
)

var logger = logging.For("daemon")

// readHeaderTimeout bounds the time in which a client must send the request header.
const readHeaderTimeout = 10 * time.Second

// idleTimeout is how long an unused connection of a caller stays open.
const idleTimeout = 5 * time.Minute

// connShare: each listener may have a third of the process's descriptors as connections.
const connShare = 3

// base holds what daemons of both roles share.
type base struct {
	settings *config.Settings
	kv       platform.KV
	dialer   *rpc.Dialer
	tlsFiles *tlsconf.Files
	metrics  http.Handler
	memory   *clientmem.Account // of what is held for callers and peers; nil: no limit
	loop     *control.Loop
	mux      *drpcmux.Mux
}

// role is the part of the daemon that depends on its role.
type role interface {
	node.RoleHandler
	// snapshotChanged is called on the control goroutine after each new snapshot.
	// It must not block.
	snapshotChanged(snapshot *control.Snapshot)
	// handler serves HTTP at httpAddress.
	handler() http.Handler
	httpAddress() string
	// run does the background work until ctx ends.
	run(ctx context.Context) error
	// drain waits until the running requests have ended, at most until ctx ends.
	drain(ctx context.Context) error
}

// Run runs the daemon until ctx ends, then drains it.
func Run(ctx context.Context, settings *config.Settings) error {
	if err := logging.Setup(os.Stderr, settings.Log.Level, settings.Log.Format); err != nil {
		return err
	}
	if limit := memoryLimit(settings); limit > 0 {
		debug.SetMemoryLimit(clientmem.SoftHeapLimit(limit))
	}
	metricsHandler, err := metrics.Setup()
	if err != nil {
		return err
	}
	tlsFiles, err := tlsconf.Load(settings.TLS)
	if err != nil {
		return err
	}
	b := &base{
		settings: settings,
		tlsFiles: tlsFiles,
		kv:       client.NewKV(settings.Platform.KeyValue, settings.Platform.Timeout),
		dialer:   rpc.NewDialerFunc(tlsFiles.DialContext),
		metrics:  metricsHandler,
		memory:   clientmem.ForProcess(memoryLimit(settings)),
		mux:      drpcmux.New(),
	}
	defer b.dialer.Close()
	clientconn.RegisterMemoryGauge(b.memory)
	r, err := b.assemble()
	if err != nil {
		return err
	}
	return b.serve(ctx, r)
}

// memoryLimit returns the memory of the process; 0: no limit.
func memoryLimit(settings *config.Settings) int64 {
	if settings.Daemon.Role == config.RoleRouter {
		return settings.Router.MemoryLimit
	}
	return settings.Sidecar.MemoryLimit
}

// assemble builds the control loop and the role.
func (b *base) assemble() (role, error) {
	var r role
	source := &deferredSource{}
	options := b.loopOptions(func(s *control.Snapshot) { r.snapshotChanged(s) })
	var err error
	if b.settings.Daemon.Role == config.RoleRouter {
		limiter := newLimiter(b, source)
		options.Shards = newShardManager(b, limiter)
		options.Quarantine = newQuarantine(source, b.settings.Daemon.RPCAddress)
		b.loop = control.NewLoop(options)
		source.loop = b.loop
		r, err = newRouter(b, limiter, options.Quarantine)
	} else {
		options.Quarantine = quarantine.New(nil)
		b.loop = control.NewLoop(options)
		r, err = newSidecar(b, options.Quarantine)
	}
	if err != nil {
		return nil, err
	}
	service := node.New(b.settings, b.loop, r, version.Version, time.Now().Unix())
	return r, errors.Wrap(wire.DRPCRegisterNode(b.mux, service), "node service")
}

// deferredSource is a control.Source for components that the control loop depends
// on, and which are therefore built before it.
type deferredSource struct{ loop *control.Loop }

// Snapshot implements control.Source.
func (s *deferredSource) Snapshot() *control.Snapshot { return s.loop.Snapshot() }

func (b *base) loopOptions(onChange func(*control.Snapshot)) control.Options {
	return control.Options{
		Settings:  b.settings,
		KV:        b.kv,
		ConfigKey: configstore.Key(b.settings.Daemon.Environment),
		VMs:       client.NewVMList(b.settings.Platform.VMList, b.settings.Platform.Timeout),
		Peers:     node.PeerClient{Dialer: b.dialer},
		Codec: control.Codec{
			OpenEnvelope: configstore.Open,
			EncodeTable:  shard.Encode,
			DecodeTable:  shard.Decode,
			Delta:        configstore.Delta,
			ApplyDelta:   configstore.ApplyDelta,
		},
		RestoreConfig: func(ctx context.Context, inForce *config.Revision) (bool, error) {
			author := "restored by " + b.settings.Daemon.Name
			return configstore.New(b.kv, b.settings.Daemon.Environment).Restore(ctx, inForce, author)
		},
		OnChange: onChange,
	}
}

// serve runs all listeners and the background work until ctx ends or one of them
// fails, then drains.
func (b *base) serve(ctx context.Context, r role) error {
	rpcListener, err := tcplisten.Listen(b.settings.Daemon.RPCAddress)
	if err != nil {
		return errors.Wrap(err, "RPC listener")
	}
	httpListener, err := listenHTTP(r.httpAddress())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: r.handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, TLSConfig: b.tlsFiles.Callers()}
	if httpListener != nil {
		bounded := clientconn.Listen(httpListener, clientconn.Options{Name: "callers", HTTP: true, TLS: server.TLSConfig != nil, MaxConns: clientconn.Descriptors(0) / connShare, Account: b.memory})
		server.ConnState = bounded.OnState
		httpListener = bounded
	}
	rpcListener = clientconn.Listen(rpcListener, clientconn.Options{Name: "rpc", MaxConns: clientconn.Descriptors(0) / connShare, Account: b.memory})
	background, stop := context.WithCancel(context.Background())
	defer stop()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { b.loop.Run(background); return nil })
	group.Go(func() error { return r.run(background) })
	group.Go(func() error { return rpc.Serve(background, rpcListener, b.mux, b.tlsFiles.Server(), logRPCError) })
	if httpListener != nil {
		group.Go(func() error { return ignoreClosed(serveHTTP(server, httpListener)) })
	}
	logger.Info(logging.Fields{"role": string(b.settings.Daemon.Role), "rpc": b.settings.Daemon.RPCAddress, "http": r.httpAddress()}, "daemon started")
	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	b.drain(r, server)
	stop()
	return group.Wait()
}

// drain marks the daemon as draining and waits until running requests have ended, up
// to the drain timeout.
func (b *base) drain(r role, server *http.Server) {
	logger.Info(nil, "draining")
	ctx, cancel := context.WithTimeout(context.Background(), b.settings.Daemon.DrainTimeout)
	defer cancel()
	b.loop.SetDraining(true)
	r.SetDraining(true)
	if err := r.drain(ctx); err != nil {
		logger.Warn(logging.Fields{"error": err.Error()}, "drain not completed; running requests may be aborted")
	}
	if err := server.Shutdown(ctx); err != nil {
		logger.Warn(logging.Fields{"error": err.Error()}, "HTTP server not shut down within the drain timeout; connections may be aborted")
	}
	logger.Info(nil, "drained")
}

// listenHTTP returns the HTTP listener, or nil if the address is empty: HTTP is
// optional for a sidecar.
func listenHTTP(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := tcplisten.Listen(address)
	return listener, errors.Wrap(err, "HTTP listener")
}

// serveHTTP serves with TLS if the server is configured for it.
func serveHTTP(server *http.Server, listener net.Listener) error {
	if server.TLSConfig == nil {
		return server.Serve(listener)
	}
	return server.ServeTLS(listener, "", "")
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "HTTP server")
}

func logRPCError(err error) {
	logger.Debug(logging.Fields{"error": err.Error()}, "RPC connection failed")
}
