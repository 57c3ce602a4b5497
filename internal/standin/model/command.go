package model

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/logging"
)

var logger = logging.For("model-engine")

const (
	listenRetry  = 20 * time.Millisecond
	shutdownTime = 5 * time.Second
)

// Serve serves e on listener until ctx ends. While e is down it accepts no
// connections.
func Serve(ctx context.Context, e *Engine, listener net.Listener) error {
	address := listener.Addr().String()
	for ctx.Err() == nil {
		l, up := e.running()
		if l == nil {
			_ = listener.Close()
			listener = nil
			wait(ctx, up)
			continue
		}
		if listener == nil {
			if listener = listenAgain(ctx, address); listener == nil {
				continue
			}
		}
		if err := serveLife(ctx, e, l, listener); err != nil {
			return err
		}
		listener = nil
	}
	if listener != nil {
		return listener.Close()
	}
	return nil
}

func wait(ctx context.Context, up <-chan struct{}) {
	select {
	case <-up:
	case <-ctx.Done():
	}
}

func listenAgain(ctx context.Context, address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		sleep(ctx, listenRetry)
		return nil
	}
	return listener
}

// serveLife serves until the crash of l or the end of ctx.
func serveLife(ctx context.Context, e *Engine, l *life, listener net.Listener) error {
	server := &http.Server{Handler: Handler(e)}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case <-l.ctx.Done():
		_ = server.Close()
		<-failed
		return nil
	case <-ctx.Done():
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTime)
		defer cancel()
		if server.Shutdown(stop) != nil {
			_ = server.Close()
		}
		<-failed
		return nil
	case err := <-failed:
		return errors.Wrap(err, "serve model engine")
	}
}

// Command returns the command that runs the stand-in.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "model-engine",
		Usage: "run a stand-in of a model engine",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "`ADDR` to listen on"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of random choices"},
			&cli.StringFlag{Name: "model", Value: defaultModel, Usage: "model loaded at the start"},
			&cli.StringSliceFlag{Name: "adapter", Usage: "adapter loaded besides the base model; may be repeated"},
			&cli.StringFlag{Name: "weights-version", Value: defaultWeightVersion, Usage: "version of the weights"},
			&cli.Float64Flag{Name: "prefill-rate", Value: defaultPrefillRate, Usage: "prompt tokens computed per second"},
			&cli.DurationFlag{Name: "decode-step", Value: defaultDecodeStep, Usage: "time per generated token"},
			&cli.IntFlag{Name: "max-running", Value: defaultMaxRunning, Usage: "generations run at once"},
			&cli.IntFlag{Name: "cache-blocks", Value: defaultCacheBlocks, Usage: "capacity of the prefix cache"},
			&cli.DurationFlag{Name: "load-time", Value: defaultLoadTime, Usage: "time to load weights"},
			&cli.DurationFlag{Name: "state-lag", Usage: "age of reported load"},
			&cli.DurationFlag{Name: "event-delay", Usage: "delay of cache events"},
			&cli.Float64Flag{Name: "time-scale", Value: 1, Usage: "simulated seconds per second"},
			&cli.BoolFlag{Name: "enforce-fence", Value: true, Usage: "refuse orders with an old fencing number"},
		},
		Action: runCommand,
	}
}

func runCommand(ctx context.Context, cmd *cli.Command) error {
	listener, err := net.Listen("tcp", cmd.String("listen"))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	e := New(commandOptions(cmd))
	defer e.Close()
	logger.Info(logging.Fields{"address": listener.Addr().String()}, "serving")
	return Serve(ctx, e, listener)
}

func commandOptions(cmd *cli.Command) Options {
	base := engine.LoadedWeights{Model: cmd.String("model"), Version: cmd.String("weights-version")}
	loaded := []engine.LoadedWeights{base}
	for _, adapter := range cmd.StringSlice("adapter") {
		loaded = append(loaded, engine.LoadedWeights{Model: base.Model, Adapter: adapter, Version: base.Version})
	}
	return Options{
		Seed:         cmd.Uint64("seed"),
		Loaded:       loaded,
		PrefillRate:  cmd.Float64("prefill-rate"),
		DecodeStep:   cmd.Duration("decode-step"),
		MaxRunning:   int(cmd.Int("max-running")),
		CacheBlocks:  int(cmd.Int("cache-blocks")),
		LoadTime:     cmd.Duration("load-time"),
		StateLag:     cmd.Duration("state-lag"),
		EventDelay:   cmd.Duration("event-delay"),
		TimeScale:    cmd.Float64("time-scale"),
		EnforceFence: cmd.Bool("enforce-fence"),
	}
}
