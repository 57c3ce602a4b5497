package kv

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/standin/web"
)

// Command returns the command that runs the stand-in.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "kv",
		Usage: "run the key-value service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "address to listen on", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of random faults", Value: 1},
			&cli.IntFlag{Name: "reads-per-second", Usage: "limit of reads per second; 0: unlimited"},
			&cli.IntFlag{Name: "writes-per-second", Usage: "limit of writes per second; 0: unlimited"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			store := New(cmd.Uint64("seed"))
			store.SetFaults(Faults{
				ReadsPerSecond:  cmd.Int("reads-per-second"),
				WritesPerSecond: cmd.Int("writes-per-second"),
			})
			return web.Serve(ctx, "kv", cmd.String("listen"), Handler(store))
		},
	}
}
