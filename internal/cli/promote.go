package cli

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/configstore"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	flagFrom         = "from"
	flagFromKeyValue = "from-key-value"
	flagFromVMList   = "from-vm-list"
	defaultFrom      = "trial"
)

func promoteCommand() *cli.Command {
	return &cli.Command{
		Name:  "promote",
		Usage: "put the document that is in force everywhere in trial into this environment, byte for byte",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagFrom, Value: defaultFrom, Usage: "`NAME` of the environment that tried the document"},
			&cli.StringFlag{Name: flagFromKeyValue, Usage: "base `URL` of its key-value service; none: the one of --key-value"},
			&cli.StringFlag{Name: flagFromVMList, Usage: "base `URL` of its VM list; none: the one of --vm-list"},
			&cli.Uint64Flag{Name: flagBase, Usage: "`NUMBER` of the revision to be replaced; needed if it was never in force in the source"},
		},
		Action: action(promote),
	}
}

// promoteResult is the result of config promote.
type promoteResult struct {
	*changeResult
	From         string `json:"from"`
	FromRevision uint64 `json:"from_revision"`
	Daemons      int    `json:"from_daemons"` // daemons of the source that have the document in force
	Diff         string `json:"diff"`
}

func (p *promoteResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "revision %d of %s is in force at all %d daemons\n", p.FromRevision, p.From, p.Daemons)
	fmt.Fprint(w, p.Diff)
	p.changeResult.writeText(w)
}

func promote(ctx context.Context, s *session) error {
	if _, err := arguments(s.command, 0); err != nil {
		return err
	}
	target, err := s.store()
	if err != nil {
		return err
	}
	from := s.command.String(flagFrom)
	if from == s.command.String(flagEnvironment) {
		return usageError(s.command, "--%s and --%s are the same", flagFrom, flagEnvironment)
	}
	source, err := s.storeOf(from, s.command.String(flagFromKeyValue))
	if err != nil {
		return err
	}
	sourceState, err := source.Read(ctx)
	if err != nil {
		return err
	}
	if sourceState.Revision == nil {
		return errors.Wrap(configstore.ErrNoDocument, from)
	}
	daemons, err := s.checkInForce(ctx, from, sourceState)
	if err != nil {
		return err
	}
	base, err := s.promotionBase(ctx, target, sourceState)
	if err != nil {
		return err
	}
	result, err := target.Promote(ctx, base, source, sourceState.Revision.Digest, s.author())
	if err != nil {
		return err
	}
	return s.print(&promoteResult{s.changeResult(result), from, sourceState.Number(), daemons, promotionDiff(base, result)})
}

// promotionDiff returns the difference from the replaced document to the promoted
// one, or "" if there was none before.
func promotionDiff(base *configstore.State, result *configstore.Result) string {
	if base.Revision == nil {
		return ""
	}
	return configstore.Diff(base.Revision.Text, result.Revision.Text)
}

// promotionBase returns the target's state. If the source never had the target's
// document, the promotion would undo changes made only in the target, so the
// operator has to name the revision with --base.
func (s *session) promotionBase(ctx context.Context, target *configstore.Store, sourceState *configstore.State) (*configstore.State, error) {
	if s.command.IsSet(flagBase) {
		return s.base(ctx, target, sourceState.Revision.Text)
	}
	state, err := target.Read(ctx)
	if err != nil || state.Revision == nil || sourceState.HasDigest(state.Revision.Digest) {
		return state, err
	}
	return nil, fail(ExitRefused,
		fmt.Sprintf("take its changes over into %s first, or give --base %d to undo them", s.command.String(flagFrom), state.Number()),
		"revision %d of %s was never in force in %s:\n%s", state.Number(), s.command.String(flagEnvironment),
		s.command.String(flagFrom), configstore.Diff(state.Revision.Text, sourceState.Revision.Text))
}

// checkInForce checks that every listed daemon of the source has exactly this
// revision in force, and returns the number of these daemons.
func (s *session) checkInForce(ctx context.Context, from string, sourceState *configstore.State) (int, error) {
	vms, err := s.sourceDaemons(ctx)
	if err != nil {
		return 0, err
	}
	dialer, err := s.dialer()
	if err != nil {
		return 0, err
	}
	defer func() { _ = dialer.Close() }()
	confirmed := 0
	var reasons []string
	for _, result := range callAll(ctx, s, dialer, vms, status) {
		if result.err == nil && result.reply.Environment != from {
			continue
		}
		if reason := notInForceReason(result, sourceState); reason != "" {
			reasons = append(reasons, fmt.Sprintf("%s: %s", daemonName(result.vm), reason))
			continue
		}
		confirmed++
	}
	return confirmed, notInForceError(from, sourceState.Number(), confirmed, reasons)
}

func (s *session) sourceDaemons(ctx context.Context) ([]platform.VM, error) {
	url := s.command.String(flagFromVMList)
	if url == "" {
		url = s.command.String(flagVMList)
	}
	if url == "" && !s.hasDaemonFlags() {
		return nil, usageError(s.command, "--%s is needed: promote asks the daemons of the source", flagFromVMList)
	}
	return s.listDaemons(ctx, url)
}

// notInForceReason returns why a daemon does not have the revision in force, or "".
func notInForceReason(result callResult[*wire.StatusReply], sourceState *configstore.State) string {
	switch {
	case result.err != nil:
		return "unreachable: " + result.err.Error()
	case result.reply.GetRevisions().GetDocument() != sourceState.Number():
		return fmt.Sprintf("has revision %d", result.reply.GetRevisions().GetDocument())
	case hex.EncodeToString(result.reply.DocumentDigest) != hex.EncodeToString(sourceState.Revision.Digest[:]):
		return "has another document of that revision"
	}
	return ""
}

func notInForceError(from string, revision uint64, confirmed int, reasons []string) error {
	if len(reasons) == 0 && confirmed > 0 {
		return nil
	}
	if len(reasons) == 0 {
		return fail(ExitRefused, "give the VM list of the source with --"+flagFromVMList, "no daemon of %s is listed", from)
	}
	text := fmt.Sprintf("revision %d is not in force everywhere in %s", revision, from)
	for _, line := range reasons {
		text += "\n" + line
	}
	return fail(ExitRefused, "see \"wasabigate status\" for "+from+"; a daemon that is gone leaves the VM list", "%s", text)
}
