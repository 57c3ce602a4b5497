package model

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/standin/outage"
)

var logger = logging.For("model-engine")

// Serve serves e on listener until ctx ends. While e is down, its address
// refuses connections.
func Serve(ctx context.Context, e *Engine, listener net.Listener) error {
	return outage.Serve(ctx, &e.power, Handler(e), listener)
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
			&cli.StringFlag{Name: "weights-version", Value: defaultWeightVersion, Usage: "weights version loaded at the start"},
			&cli.Float64Flag{Name: "prefill-rate", Value: defaultPrefillRate, Usage: "prompt tokens computed per second"},
			&cli.DurationFlag{Name: "decode-step", Value: defaultDecodeStep, Usage: "time per generated token"},
			&cli.IntFlag{Name: "max-running", Value: defaultMaxRunning, Usage: "maximum number of concurrent generations"},
			&cli.IntFlag{Name: "cache-blocks", Value: defaultCacheBlocks, Usage: "capacity of the prefix cache in blocks"},
			&cli.DurationFlag{Name: "load-time", Value: defaultLoadTime, Usage: "time to load weights"},
			&cli.DurationFlag{Name: "state-lag", Usage: "maximum age of the reported state"},
			&cli.DurationFlag{Name: "event-delay", Usage: "delay of cache events"},
			&cli.Float64Flag{Name: "time-scale", Value: 1, Usage: "simulated seconds per second"},
			&cli.BoolFlag{Name: "enforce-fence", Value: true, Usage: "refuse orders with an old fencing token"},
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
