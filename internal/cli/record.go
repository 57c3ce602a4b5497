package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/recording"
)

func recordCommand() *cli.Command {
	return &cli.Command{
		Name:      "record",
		Usage:     "take the arrivals from gateways' log files, or from the standard input, for a replay",
		ArgsUsage: "[FILE...]",
		Action:    action(func(_ context.Context, s *session) error { return s.record() }),
	}
}

func (s *session) record() error {
	log, err := s.readLogs(s.command.Args().Slice())
	if err != nil {
		return err
	}
	arrivals := recording.FromLog(log)
	if len(arrivals) == 0 {
		return fail(ExitFailure, "pass the log files of gateways at level info", "no log line describes a request for an engine")
	}
	return recording.Write(s.command.Root().Writer, arrivals)
}
