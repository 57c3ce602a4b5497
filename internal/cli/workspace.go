package cli

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
)

const (
	flagRate     = "rate"
	flagBurst    = "burst"
	flagMaxClass = "max-class"
)

func workspaceCommand() *cli.Command {
	return &cli.Command{
		Name:  "workspace",
		Usage: "create, change and remove workspaces",
		Commands: []*cli.Command{
			{Name: "create", Usage: "add a workspace", ArgsUsage: "NAME", Flags: workspaceFlags(true), Action: action(workspaceCreate)},
			{Name: "set", Usage: "change a workspace", ArgsUsage: "NAME", Flags: workspaceFlags(false), Action: action(workspaceSet)},
			{Name: "remove", Usage: "remove a workspace and withdraw its keys", ArgsUsage: "NAME", Action: action(workspaceRemove)},
		},
	}
}

func workspaceFlags(create bool) []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{Name: flagRate, Usage: "`TOKENS` a second", Required: create},
		&cli.Int64Flag{Name: flagBurst, Usage: "`TOKENS` at once", Required: create},
		&cli.StringFlag{Name: flagMaxClass, Usage: "highest `CLASS`: urgent or deferrable"},
	}
}

// workspaceEntries returns the settings that are given by flags.
func (s *session) workspaceEntries() []config.Entry {
	var entries []config.Entry
	if s.command.IsSet(flagRate) {
		entries = append(entries, config.Entry{Key: "rate", Value: strconv.FormatInt(s.command.Int64(flagRate), 10)})
	}
	if s.command.IsSet(flagBurst) {
		entries = append(entries, config.Entry{Key: "burst", Value: strconv.FormatInt(s.command.Int64(flagBurst), 10)})
	}
	if s.command.IsSet(flagMaxClass) {
		entries = append(entries, config.Entry{Key: "max_class", Value: s.command.String(flagMaxClass)})
	}
	return entries
}

// edit changes the current document and prints the accepted revision.
func (s *session) edit(ctx context.Context, change func(*configstore.State, *config.Editor) ([]string, error)) error {
	result, err := s.update(ctx, change)
	if err != nil {
		return err
	}
	return s.print(s.changeResult(result))
}

// update changes the current document. change edits the text and returns the
// ids of keys to withdraw; it is called again if a newer document appeared.
func (s *session) update(ctx context.Context, change func(*configstore.State, *config.Editor) ([]string, error)) (*configstore.Result, error) {
	store, err := s.store()
	if err != nil {
		return nil, err
	}
	return store.Update(ctx, s.author(), func(base *configstore.State) (*configstore.Change, error) {
		editor := config.NewEditor(base.Revision.Text)
		withdraw, err := change(base, editor)
		if err != nil {
			return nil, err
		}
		return &configstore.Change{Text: editor.Text(), Withdraw: withdraw}, nil
	})
}

func workspaceCreate(ctx context.Context, s *session) error {
	args, err := arguments(s.command, 1)
	if err != nil {
		return err
	}
	return s.edit(ctx, func(base *configstore.State, editor *config.Editor) ([]string, error) {
		if base.Revision.Document.Workspace(args[0]) != nil {
			return nil, fail(ExitRefused, "change it with \"wasabigate workspace set\"", "workspace %s exists", args[0])
		}
		editor.Add(config.KindWorkspace, args[0], s.workspaceEntries()...)
		return nil, nil
	})
}

func workspaceSet(ctx context.Context, s *session) error {
	args, err := arguments(s.command, 1)
	if err != nil {
		return err
	}
	entries := s.workspaceEntries()
	if len(entries) == 0 {
		return usageError(s.command, "give at least one of --%s, --%s and --%s", flagRate, flagBurst, flagMaxClass)
	}
	return s.edit(ctx, func(_ *configstore.State, editor *config.Editor) ([]string, error) {
		return nil, editor.Set(config.KindWorkspace, args[0], entries...)
	})
}

func workspaceRemove(ctx context.Context, s *session) error {
	args, err := arguments(s.command, 1)
	if err != nil {
		return err
	}
	return s.edit(ctx, func(base *configstore.State, editor *config.Editor) ([]string, error) {
		var withdraw []string
		for _, key := range base.Revision.Document.Keys {
			if key.Workspace != args[0] {
				continue
			}
			withdraw = append(withdraw, key.ID)
			if err := editor.Remove(config.KindKey, key.ID); err != nil {
				return nil, err
			}
		}
		return withdraw, editor.Remove(config.KindWorkspace, args[0])
	})
}
