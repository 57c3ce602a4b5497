package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
	"github.com/wasabigate/wasabigate/internal/platform"
)

const (
	flagWorkspace = "workspace"
	flagID        = "id"
	// keyIDBytes is the length of the random part of a key id.
	keyIDBytes = 5
)

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "issue, withdraw and list the keys of workspaces",
		Commands: []*cli.Command{
			{Name: "issue", Usage: "issue a key and print it this one time", Flags: []cli.Flag{
				&cli.StringFlag{Name: flagWorkspace, Usage: "`NAME` of the workspace", Required: true},
				&cli.StringFlag{Name: flagID, Usage: "`ID` of the key; none: a random one"},
			}, Action: action(keyIssue)},
			{Name: "withdraw", Usage: "withdraw keys for good, and tell the daemons", ArgsUsage: "ID...", Action: action(keyWithdraw)},
			{Name: "list", Usage: "list the keys", Flags: []cli.Flag{
				&cli.StringFlag{Name: flagWorkspace, Usage: "only those of the workspace with this `NAME`"},
			}, Action: action(keyList)},
		},
	}
}

// issueResult is the result of key issue.
type issueResult struct {
	*changeResult
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
}

func (i *issueResult) writeText(w io.Writer) {
	i.changeResult.writeText(w)
	fmt.Fprintf(w, "key %s of workspace %s; it is not shown again:\n%s\n", i.ID, i.Workspace, i.Key)
}

func keyIssue(ctx context.Context, s *session) error {
	if _, err := arguments(s.command, 0); err != nil {
		return err
	}
	workspace, id := s.command.String(flagWorkspace), s.command.String(flagID)
	if id == "" {
		id = randomKeyID()
	}
	key := config.NewKey(id)
	result, err := s.update(ctx, func(base *configstore.State, editor *config.Editor) ([]string, error) {
		if err := checkNewKey(base.Revision, workspace, id); err != nil {
			return nil, err
		}
		hash := config.HashKey(key)
		editor.Add(config.KindKey, id,
			config.Entry{Key: "workspace", Value: workspace},
			config.Entry{Key: "sha256", Value: hex.EncodeToString(hash[:])})
		return nil, nil
	})
	if errors.Is(err, configstore.ErrOutcomeUnknown) {
		return &commandError{ExitOutcomeUnknown, fmt.Sprintf("if \"wasabigate key list\" shows %s later, withdraw it; then issue another key", id), err}
	}
	if err != nil {
		return err
	}
	return s.print(&issueResult{s.changeResult(result), id, workspace, key})
}

func randomKeyID() string {
	random := make([]byte, keyIDBytes)
	_, _ = rand.Read(random) // never fails: crypto/rand ends the process instead
	return "k" + hex.EncodeToString(random)
}

func checkNewKey(revision *config.Revision, workspace, id string) error {
	switch {
	case revision.Document.Workspace(workspace) == nil:
		return fail(ExitRefused, "see \"wasabigate config show\"", "there is no workspace %q", workspace)
	case revision.KeyWithdrawn(id):
		return errors.Wrap(configstore.ErrKeyWithdrawn, id)
	case revision.Document.Key(id) != nil:
		return fail(ExitRefused, "choose another --id", "key %s exists", id)
	}
	return nil
}

// withdrawResult is the result of key withdraw.
type withdrawResult struct {
	*changeResult
	*pushResult
}

func (r *withdrawResult) writeText(w io.Writer) {
	r.changeResult.writeText(w)
	if r.pushResult == nil {
		return
	}
	fmt.Fprintf(w, "confirmed by %d daemons\n", len(r.Confirmed))
	for _, name := range r.Unconfirmed {
		fmt.Fprintf(w, "not confirmed by %s\n", name)
	}
}

func keyWithdraw(ctx context.Context, s *session) error {
	ids := s.command.Args().Slice()
	if len(ids) == 0 {
		return usageError(s.command, "takes the arguments %s", s.command.ArgsUsage)
	}
	for _, id := range ids {
		if err := config.CheckName(id); err != nil {
			return usageError(s.command, "%v", err)
		}
	}
	store, err := s.store()
	if err != nil {
		return err
	}
	result, err := store.Withdraw(ctx, s.author(), ids...)
	if err != nil {
		return err
	}
	for _, id := range ids {
		if result.Revision.Document.Key(id) == nil {
			s.warn("key %s is not in the document; its id can't be used any more", id)
		}
	}
	return s.pushWithdrawal(ctx, result)
}

// pushWithdrawal pushes the new revision to the daemons directly, because some
// may not reach the key-value service.
func (s *session) pushWithdrawal(ctx context.Context, result *configstore.Result) error {
	out := &withdrawResult{changeResult: s.changeResult(result)}
	if !s.hasDaemonFlags() {
		s.warn("the revision was not pushed to the daemons: give --%s or --%s", flagVMList, flagPeer)
		return s.print(out)
	}
	vms, listErr := s.listDaemons(ctx, s.command.String(flagVMList))
	if listErr != nil {
		s.warn("not all daemons are known: %v", listErr)
	}
	err := s.pushRevision(ctx, vms, result, out)
	if err != nil {
		return err
	}
	if err := s.print(out); err != nil {
		return err
	}
	if listErr != nil || len(out.Unconfirmed) > 0 {
		return exitWith(ExitUnconfirmed)
	}
	return nil
}

func (s *session) pushRevision(ctx context.Context, vms []platform.VM, result *configstore.Result, out *withdrawResult) error {
	var err error
	out.pushResult, err = s.push(ctx, vms, result.Revision.Number, result.Revision.Envelope)
	if err != nil {
		return &commandError{ExitUnconfirmed, "the withdrawal is accepted; run it again with the right flags to tell the daemons", err}
	}
	return nil
}

// keyInfo is a line of key list.
type keyInfo struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Withdrawn bool   `json:"withdrawn"`
}

// keyListResult is the result of key list.
type keyListResult struct {
	Keys []keyInfo `json:"keys"`
}

func (k *keyListResult) writeText(w io.Writer) {
	table := newTable(w)
	fmt.Fprintln(table, "ID\tWORKSPACE\tSTATE")
	for _, key := range k.Keys {
		state := "valid"
		if key.Withdrawn {
			state = "withdrawn"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\n", key.ID, key.Workspace, state)
	}
	_ = table.Flush()
}

func keyList(ctx context.Context, s *session) error {
	if _, err := arguments(s.command, 0); err != nil {
		return err
	}
	store, err := s.store()
	if err != nil {
		return err
	}
	state, err := store.Read(ctx)
	if err != nil {
		return err
	}
	if state.Revision == nil {
		return configstore.ErrNoDocument
	}
	out := &keyListResult{Keys: []keyInfo{}}
	workspace := s.command.String(flagWorkspace)
	for _, key := range state.Revision.Document.Keys {
		if workspace == "" || key.Workspace == workspace {
			out.Keys = append(out.Keys, keyInfo{key.ID, key.Workspace, state.Revision.KeyWithdrawn(key.ID)})
		}
	}
	return s.print(out)
}
