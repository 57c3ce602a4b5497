// Command standin runs small stand-ins for the platform's services, the model
// engines and the plain services, for tests and demos.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/standin/certs"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
	"github.com/wasabigate/wasabigate/internal/standin/model"
	"github.com/wasabigate/wasabigate/internal/standin/pieces"
	"github.com/wasabigate/wasabigate/internal/standin/service"
	"github.com/wasabigate/wasabigate/internal/standin/vmlist"
	"github.com/wasabigate/wasabigate/internal/standin/weights"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for tests and demos",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-level", Value: "info"},
			&cli.StringFlag{Name: "log-format", Value: logging.FormatText},
		},
		Before: func(ctx context.Context, cmd *cli.Command) (context.Context, error) {
			return ctx, logging.Setup(os.Stderr, cmd.String("log-level"), cmd.String("log-format"))
		},
		Commands: []*cli.Command{
			kv.Command(),
			vmlist.Command(),
			weights.Command(),
			pieces.Command(),
			model.Command(),
			service.Command(),
			certs.Command(),
		},
	}
}
