package cli

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
)

const (
	flagAgainstCurrent = "against-current"
	flagBase           = "base"
	flagRevision       = "revision"
)

func configCommand(gateways GatewayConfigs) *cli.Command {
	revision := &cli.Uint64Flag{Name: flagRevision, Usage: "`NUMBER` of a past revision; none for the current one"}
	return &cli.Command{
		Name:  "config",
		Usage: "check, apply and promote the document of an environment",
		Commands: []*cli.Command{
			{Name: "check", Usage: "check a document for errors and probable mistakes", ArgsUsage: "FILE",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: flagAgainstCurrent, Usage: "also show the changes from the document in force"}},
				Action: action(func(ctx context.Context, s *session) error { return configCheck(ctx, s, gateways) })},
			{Name: "diff", Usage: "compare the document in force with a file", ArgsUsage: "FILE", Flags: []cli.Flag{revision}, Action: action(configDiff)},
			{Name: "apply", Usage: "put a document in force", ArgsUsage: "FILE",
				Flags: []cli.Flag{&cli.Uint64Flag{Name: flagBase, Usage: "`NUMBER` of the revision that the file started from; needed once there is one"}}, Action: action(configApply)},
			promoteCommand(),
			{Name: "history", Usage: "list the accepted revisions", Action: action(configHistory)},
			{Name: "show", Usage: "print a document", Flags: []cli.Flag{revision}, Action: action(configShow)},
		},
	}
}

// readDocument reads the file that the command's argument names; "-" is
// standard input.
func (s *session) readDocument() ([]byte, error) {
	args, err := arguments(s.command, 1)
	if err != nil {
		return nil, err
	}
	if args[0] == "-" {
		text, err := io.ReadAll(io.LimitReader(s.command.Root().Reader, config.MaxDocumentBytes+1))
		return text, errors.Wrap(err, "read the standard input")
	}
	text, err := os.ReadFile(args[0])
	return text, errors.Wrap(err, "read the document")
}

// parse parses a document and sets the source file in its faults.
func (s *session) parse(text []byte) (*config.Document, error) {
	document, err := config.Parse(text)
	return document, s.withSource(err)
}

// withSource sets the source file in faults.
func (s *session) withSource(err error) error {
	var faults config.Faults
	if errors.As(err, &faults) {
		for i := range faults {
			faults[i].Source = s.command.Args().First()
		}
		return faults
	}
	return err
}

// diffResult is the result of config diff.
type diffResult struct {
	Revision uint64 `json:"revision"`
	Diff     string `json:"diff"`
}

func (d *diffResult) writeText(w io.Writer) { fmt.Fprint(w, d.Diff) }

func configDiff(ctx context.Context, s *session) error {
	text, err := s.readDocument()
	if err != nil {
		return err
	}
	entry, err := s.selectedRevision(ctx)
	if err != nil {
		return err
	}
	out := &diffResult{Revision: entry.Number, Diff: configstore.Diff(entry.Text, text)}
	if err := s.print(out); err != nil || out.Diff == "" {
		return err
	}
	return exitWith(ExitDiffers)
}

// selectedRevision returns the revision of --revision, or the current one.
func (s *session) selectedRevision(ctx context.Context) (*configstore.HistoryEntry, error) {
	store, err := s.store()
	if err != nil {
		return nil, err
	}
	history, err := store.History(ctx)
	if err != nil {
		return nil, err
	}
	if len(history) == 0 {
		return nil, configstore.ErrNoDocument
	}
	number := s.command.Uint64(flagRevision)
	if number == 0 {
		return &history[0], nil
	}
	for i := range history {
		if history[i].Number == number && history[i].Text != nil {
			return &history[i], nil
		}
	}
	return nil, fail(ExitRefused, "see \"wasabigate config history\"", "the history does not hold the text of revision %d", number)
}

// changeResult is the result of a command that changes the document.
type changeResult struct {
	Environment  string                   `json:"environment"`
	Revision     uint64                   `json:"revision"`
	Digest       string                   `json:"digest"`
	ChangeID     string                   `json:"change_id"`
	Confirmation configstore.Confirmation `json:"settlement"`
}

func (s *session) changeResult(result *configstore.Result) *changeResult {
	return &changeResult{
		Environment:  s.command.String(flagEnvironment),
		Revision:     result.Revision.Number,
		Digest:       hex.EncodeToString(result.Revision.Digest[:]),
		ChangeID:     result.ChangeID,
		Confirmation: result.Confirmation,
	}
}

func (c *changeResult) writeText(w io.Writer) {
	switch c.Confirmation {
	case configstore.ConfirmedUnchanged:
		fmt.Fprintf(w, "unchanged: revision %d of %s says so already\n", c.Revision, c.Environment)
		return
	case configstore.ConfirmedByReadBack:
		fmt.Fprintln(w, "the answer to the write was lost; reading back showed that it took effect")
	}
	fmt.Fprintf(w, "revision %d of %s is accepted, digest %s\n", c.Revision, c.Environment, c.Digest)
}

func configApply(ctx context.Context, s *session) error {
	text, err := s.readDocument()
	if err != nil {
		return err
	}
	if _, err := s.parse(text); err != nil {
		return err
	}
	store, err := s.store()
	if err != nil {
		return err
	}
	base, err := s.base(ctx, store, text)
	if err != nil {
		return err
	}
	result, err := store.Apply(ctx, base, text, s.author())
	if err != nil {
		return err
	}
	s.warnWithdrawn(result.Revision)
	return s.print(s.changeResult(result))
}

// base returns the current state if it is the one that --base names.
func (s *session) base(ctx context.Context, store *configstore.Store, text []byte) (*configstore.State, error) {
	state, err := store.Read(ctx)
	if err != nil {
		return nil, err
	}
	base := s.command.Uint64(flagBase)
	if state.Number() == base {
		return state, nil
	}
	if state.Revision == nil {
		return nil, fail(ExitRefused, "leave out --base for the first document", "there is no revision %d", base)
	}
	if base == 0 {
		return nil, fail(ExitRefused, "give --base with the revision that your file started from; see \"wasabigate config diff\"",
			"revision %d is in force", state.Number())
	}
	return nil, &configstore.ConflictError{
		Base:    base,
		Current: state.Revision,
		Diff:    configstore.Diff(state.Revision.Text, text),
	}
}

// warnWithdrawn warns about keys in the document that are withdrawn.
func (s *session) warnWithdrawn(revision *config.Revision) {
	for _, key := range revision.Document.Keys {
		if revision.KeyWithdrawn(key.ID) {
			s.warn("key %s stays withdrawn", key.ID)
		}
	}
}

// revisionInfo is a line of config history.
type revisionInfo struct {
	Revision uint64    `json:"revision"`
	Accepted time.Time `json:"accepted"`
	Author   string    `json:"author"`
	Digest   string    `json:"digest"`
	ChangeID string    `json:"change_id"`
	HasText  bool      `json:"has_text"`
}

func newRevisionInfo(entry *configstore.HistoryEntry) revisionInfo {
	return revisionInfo{entry.Number, entry.Accepted, entry.Author, hex.EncodeToString(entry.Digest[:]), entry.ChangeID, entry.Text != nil}
}

// historyResult is the result of config history.
type historyResult struct {
	Revisions []revisionInfo `json:"revisions"`
}

func (h *historyResult) writeText(w io.Writer) {
	table := newTable(w)
	fmt.Fprintln(table, "REVISION\tACCEPTED\tAUTHOR\tDIGEST\tCHANGE\tTEXT")
	for _, r := range h.Revisions {
		text := "kept"
		if !r.HasText {
			text = "dropped"
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%.12s\t%s\t%s\n", r.Revision, r.Accepted.Format(time.RFC3339), r.Author, r.Digest, r.ChangeID, text)
	}
	_ = table.Flush()
}

func configHistory(ctx context.Context, s *session) error {
	if _, err := arguments(s.command, 0); err != nil {
		return err
	}
	store, err := s.store()
	if err != nil {
		return err
	}
	history, err := store.History(ctx)
	if err != nil {
		return err
	}
	out := &historyResult{Revisions: []revisionInfo{}}
	for i := range history {
		out.Revisions = append(out.Revisions, newRevisionInfo(&history[i]))
	}
	return s.print(out)
}

// showResult is the result of config show.
type showResult struct {
	revisionInfo
	Text string `json:"text"`
}

func (r *showResult) writeText(w io.Writer) { fmt.Fprint(w, r.Text) }

func configShow(ctx context.Context, s *session) error {
	if _, err := arguments(s.command, 0); err != nil {
		return err
	}
	entry, err := s.selectedRevision(ctx)
	if err != nil {
		return err
	}
	if s.command.String(flagOutput) == outputText {
		s.warn("this is revision %d; apply a changed text with --base %d", entry.Number, entry.Number)
	}
	return s.print(&showResult{newRevisionInfo(entry), string(entry.Text)})
}
