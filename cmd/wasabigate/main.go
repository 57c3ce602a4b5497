// Command wasabigate is the operators' tool: it checks, applies and promotes
// configurations, issues and withdraws keys, and shows the state of the daemons.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	ufcli "github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/cli"
	"github.com/wasabigate/wasabigate/internal/load"
	"github.com/wasabigate/wasabigate/platform"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program := &cli.Program{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Extra:  []*ufcli.Command{load.Command()},

		GatewayConfigs: platform.ConfigFiles{},
	}
	return int(program.Run(ctx, os.Args))
}
