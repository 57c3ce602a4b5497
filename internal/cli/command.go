// Package cli implements the operators' command-line tool. Every command
// writes its result to standard output, as text or JSON, and errors with a hint
// to standard error; the exit code gives the outcome.
package cli

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
)

// Program is the command-line tool.
type Program struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Extra holds commands of other packages, such as load.
	Extra []*cli.Command
	// GatewayConfigs reads configurations of gateways; nil: config check takes documents only.
	GatewayConfigs GatewayConfigs
}

// Run runs the command line and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string) ExitCode {
	root := p.command()
	err := root.Run(ctx, args)
	return report(p.Stderr, root.String(flagOutput), err)
}

func (p *Program) command() *cli.Command {
	commands := []*cli.Command{
		configCommand(p.GatewayConfigs),
		workspaceCommand(),
		keyCommand(),
		statusCommand(),
		drainCommand(),
		logLevelCommand(),
		explainCommand(),
		recordCommand(),
		versionCommand(),
	}
	root := &cli.Command{
		Name:                  "wasabigate",
		Usage:                 "operate a wasabigate environment",
		Flags:                 globalFlags(),
		Commands:              append(commands, p.Extra...),
		EnableShellCompletion: true,
		Suggest:               true,
		Reader:                p.Stdin,
		Writer:                p.Stdout,
		ErrWriter:             p.Stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {}, // Run reports
		ConfigureShellCompletionCommand: func(completion *cli.Command) {
			completion.Hidden = false
		},
	}
	handleWrongUsage(root)
	return root
}

// handleWrongUsage makes command and its subcommands report wrong usage as usage errors.
func handleWrongUsage(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError(command, "%v", err)
	}
	if command.Action == nil && len(command.Commands) > 0 {
		command.Action = unknownCommand
	}
	for _, child := range command.Commands {
		handleWrongUsage(child)
	}
}

func unknownCommand(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return usageError(command, "there is no command %q", command.Args().First())
	}
	return cli.ShowSubcommandHelp(command)
}

func usageError(command *cli.Command, format string, args ...any) error {
	return fail(ExitUsage, "see \""+command.FullName()+" --help\"", format, args...)
}

// arguments returns the command's arguments, or a usage error if their number is
// not count.
func arguments(command *cli.Command, count int) ([]string, error) {
	if command.Args().Len() != count {
		return nil, usageError(command, "takes %s", argumentsUsage(command))
	}
	return command.Args().Slice(), nil
}

func argumentsUsage(command *cli.Command) string {
	if command.ArgsUsage == "" {
		return "no arguments"
	}
	return "the arguments " + command.ArgsUsage
}
