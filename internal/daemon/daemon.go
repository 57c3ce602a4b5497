// Package daemon assembles the parts of wasabigated and runs them until a stop
// is asked for, which cuts no request.
package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/metrics"
	"github.com/wasabigate/wasabigate/internal/node"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/client"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/shard"
	"github.com/wasabigate/wasabigate/internal/tlsconf"
	"github.com/wasabigate/wasabigate/internal/version"
)

var logger = logging.For("daemon")

// readHeaderTimeout bounds how long a caller may take to send a request's head.
const readHeaderTimeout = 10 * time.Second

// base is what both roles build on.
type base struct {
	settings *config.Settings
	kv       platform.KV
	dialer   *rpc.Dialer
	secure   *tlsconf.Files
	metrics  http.Handler
	loop     *control.Loop
	mux      *drpcmux.Mux
}

// part is a role's part of the daemon.
type part interface {
	node.Part
	// changed is called by the control goroutine after each new snapshot. It must
	// not block.
	changed(snapshot *control.Snapshot)
	// handler serves HTTP at the address of httpAddress.
	handler() http.Handler
	httpAddress() string
	// run does background work until ctx ends.
	run(ctx context.Context) error
	// drain lets running requests finish.
	drain(ctx context.Context) error
}

// Run runs the daemon until ctx ends, then drains it.
func Run(ctx context.Context, settings *config.Settings) error {
	if err := logging.Setup(os.Stderr, settings.Log.Level, settings.Log.Format); err != nil {
		return err
	}
	metricsHandler, err := metrics.Setup()
	if err != nil {
		return err
	}
	secure, err := tlsconf.Load(settings.TLS)
	if err != nil {
		return err
	}
	b := &base{
		settings: settings,
		secure:   secure,
		kv:       client.NewKV(settings.Platform.KeyValue, settings.Platform.Timeout),
		dialer:   rpc.NewDialerFunc(secure.DialContext),
		metrics:  metricsHandler,
		mux:      drpcmux.New(),
	}
	defer b.dialer.Close()
	p, err := b.assemble()
	if err != nil {
		return err
	}
	return b.serve(ctx, p)
}

// assemble builds the control loop and the role's part around it.
func (b *base) assemble() (part, error) {
	var p part
	source := &lateSource{}
	options := b.loopOptions(func(s *control.Snapshot) { p.changed(s) })
	var err error
	if b.settings.Daemon.Role == config.RoleRouter {
		limiter := newLimiter(b, source)
		options.Shards = newShardManager(b, limiter)
		b.loop = control.NewLoop(options)
		source.loop = b.loop
		p, err = newRouter(b, limiter)
	} else {
		b.loop = control.NewLoop(options)
		p, err = newSidecar(b)
	}
	if err != nil {
		return nil, err
	}
	service := node.New(b.settings, b.loop, p, version.Version, time.Now().Unix())
	return p, errors.Wrap(wire.DRPCRegisterNode(b.mux, service), "node service")
}

// lateSource is the loop's snapshot for parts that are built before the loop,
// because the loop needs them.
type lateSource struct{ loop *control.Loop }

// Snapshot implements control.Source.
func (s *lateSource) Snapshot() *control.Snapshot { return s.loop.Snapshot() }

func (b *base) loopOptions(onChange func(*control.Snapshot)) control.Options {
	return control.Options{
		Settings:  b.settings,
		KV:        b.kv,
		ConfigKey: configstore.Key(b.settings.Daemon.Environment),
		VMs:       client.NewVMList(b.settings.Platform.VMList, b.settings.Platform.Timeout),
		Peers:     node.Peers{Dialer: b.dialer},
		Codec: control.Codec{
			OpenEnvelope: configstore.Open,
			EncodeTable:  shard.Encode,
			DecodeTable:  shard.Decode,
			Delta:        configstore.Delta,
			ApplyDelta:   configstore.ApplyDelta,
		},
		OnChange: onChange,
	}
}

// serve runs all listeners and background work until ctx ends, then drains.
func (b *base) serve(ctx context.Context, p part) error {
	rpcListener, err := net.Listen("tcp", b.settings.Daemon.RPCAddress)
	if err != nil {
		return errors.Wrap(err, "rpc listener")
	}
	httpListener, err := listenHTTP(p.httpAddress())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: p.handler(), ReadHeaderTimeout: readHeaderTimeout, TLSConfig: b.secure.Callers()}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { b.loop.Run(background); return nil })
	group.Go(func() error { return p.run(background) })
	group.Go(func() error { return rpc.Serve(background, rpcListener, b.mux, b.secure.Server(), logRPCError) })
	if httpListener != nil {
		group.Go(func() error { return ignoreClosed(serveHTTP(server, httpListener)) })
	}
	logger.Info(logging.Fields{"role": string(b.settings.Daemon.Role), "rpc": b.settings.Daemon.RPCAddress, "http": p.httpAddress()}, "daemon started")
	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	b.drain(p, server)
	stop()
	return group.Wait()
}

// drain stops the daemon without cutting a request.
func (b *base) drain(p part, server *http.Server) {
	logger.Info(nil, "draining")
	ctx, cancel := context.WithTimeout(context.Background(), b.settings.Daemon.DrainTimeout)
	defer cancel()
	b.loop.SetDraining(true)
	p.SetDraining(true)
	if err := p.drain(ctx); err != nil {
		logger.Warn(logging.Fields{"error": err.Error()}, "requests cut at the end of the drain timeout")
	}
	if err := server.Shutdown(ctx); err != nil {
		logger.Warn(logging.Fields{"error": err.Error()}, "connections cut at the end of the drain timeout")
	}
	logger.Info(nil, "drained")
}

// listenHTTP returns the HTTP listener, or nil without an address: a sidecar need
// not serve HTTP.
func listenHTTP(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrap(err, "HTTP listener")
}

// serveHTTP serves TLS if the server has a configuration for it.
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
	logger.Debug(logging.Fields{"error": err.Error()}, "rpc connection failed")
}
