// Command wasabigate is the operators' tool: it checks, applies and promotes
// configurations, issues and withdraws keys, and shows the state of the daemons.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/wasabigate/wasabigate/internal/cli"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program := &cli.Program{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	return int(program.Run(ctx, os.Args))
}
