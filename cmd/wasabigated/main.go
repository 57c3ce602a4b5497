// Command wasabigated is the daemon: a router on an entry VM, or a sidecar beside a
// backend server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/daemon"
	"github.com/wasabigate/wasabigate/internal/gateway"
	service "github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rollout"
	"github.com/wasabigate/wasabigate/internal/version"
	"github.com/wasabigate/wasabigate/platform"
)

const (
	flagConfig = "config"
	flagCheck  = "check"
	flagSet    = "set"
)

// hangups gets the SIGHUPs, also those that come before anybody reads it: without a channel
// they would end the process. Roles that reload no settings ignore them.
var hangups = make(chan os.Signal, 1)

func main() {
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wasabigated:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:    "wasabigated",
		Usage:   "router or sidecar daemon",
		Version: version.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagConfig, Usage: "INI file with the daemon's settings", Required: true, Sources: cli.EnvVars(config.SettingsVariable)},
			&cli.StringSliceFlag{Name: flagSet, Usage: "setting that overrides the file, as SECTION.KEY=VALUE"},
			&cli.BoolFlag{Name: flagCheck, Usage: "check the settings and exit"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	settings, err := loadSettings(c)
	if err != nil {
		return err
	}
	if c.Bool(flagCheck) {
		fmt.Println("settings are valid")
		return nil
	}
	if settings.Daemon.Role == config.RoleGateway {
		return gateway.Run(ctx, settings, gateway.Platform{
			Hangups: hangups,
			Reload:  func() (*config.Settings, error) { return loadSettings(c) },
			Store:   func(baseURL string) service.Store { return platform.NewStore(baseURL) },
			Layout:  platform.NewLayout(),
			Headers: platform.Headers{},
			Engines: func(observe rollout.Observe) rollout.Engines { return platform.NewEngines(observe) },

			RolloutStatus: platform.RolloutStatus,
			ShortOfRoom:   platform.ShortOfRoom,
		})
	}
	return daemon.Run(ctx, settings)
}

// loadSettings reads the settings file. Environment variables override the file, and
// flags override environment variables.
func loadSettings(c *cli.Command) (*config.Settings, error) {
	overrides := config.EnvironmentOverrides(os.Environ())
	for _, text := range c.StringSlice(flagSet) {
		override, err := config.ParseOverride(text)
		if err != nil {
			return nil, err
		}
		overrides = append(overrides, override)
	}
	return config.LoadSettings(c.String(flagConfig), overrides)
}
