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

// promoted is the result of config promote.
type promoted struct {
	*accepted
	From         string `json:"from"`
	FromRevision uint64 `json:"from_revision"`
	Daemons      int    `json:"from_daemons"` // that have the document in force
	Diff         string `json:"diff"`
}

func (p *promoted) writeText(w io.Writer) {
	fmt.Fprintf(w, "revision %d of %s is in force at all %d daemons\n", p.FromRevision, p.From, p.Daemons)
	fmt.Fprint(w, p.Diff)
	p.accepted.writeText(w)
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
	tried, err := source.Read(ctx)
	if err != nil {
		return err
	}
	if tried.Revision == nil {
		return errors.Wrap(configstore.ErrNoDocument, from)
	}
	daemons, err := s.inForce(ctx, from, tried)
	if err != nil {
		return err
	}
	base, err := s.promotionBase(ctx, target, tried)
	if err != nil {
		return err
	}
	result, err := target.Promote(ctx, base, source, tried.Revision.Digest, s.author())
	if err != nil {
		return err
	}
	return s.print(&promoted{s.accepted(result), from, tried.Number(), daemons, diffTo(base, result)})
}

// diffTo returns what the promotion changed; nothing for a first document.
func diffTo(base *configstore.State, result *configstore.Result) string {
	if base.Revision == nil {
		return ""
	}
	return configstore.Diff(base.Revision.Text, result.Revision.Text)
}

// promotionBase returns the target's state. A document that the source never
// had holds changes that the promotion would undo, so that the operator has to
// name its revision.
func (s *session) promotionBase(ctx context.Context, target *configstore.Store, tried *configstore.State) (*configstore.State, error) {
	if s.command.IsSet(flagBase) {
		return s.base(ctx, target, tried.Revision.Text)
	}
	state, err := target.Read(ctx)
	if err != nil || state.Revision == nil || tried.HasDigest(state.Revision.Digest) {
		return state, err
	}
	return nil, fail(ExitRefused,
		fmt.Sprintf("take its changes over into %s first, or give --base %d to undo them", s.command.String(flagFrom), state.Number()),
		"revision %d of %s was never in force in %s:\n%s", state.Number(), s.command.String(flagEnvironment),
		s.command.String(flagFrom), configstore.Diff(state.Revision.Text, tried.Revision.Text))
}

// inForce checks that every listed daemon of the source has the very revision
// in force, and returns their number.
func (s *session) inForce(ctx context.Context, from string, tried *configstore.State) (int, error) {
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
	var missing []string
	for _, a := range askAll(ctx, s, dialer, vms, status) {
		if a.err == nil && a.reply.Environment != from {
			continue
		}
		if reason := notInForce(a, tried); reason != "" {
			missing = append(missing, fmt.Sprintf("%s: %s", daemonName(a.vm), reason))
			continue
		}
		confirmed++
	}
	return confirmed, refusal(from, tried.Number(), confirmed, missing)
}

func (s *session) sourceDaemons(ctx context.Context) ([]platform.VM, error) {
	url := s.command.String(flagFromVMList)
	if url == "" {
		url = s.command.String(flagVMList)
	}
	if url == "" && !s.reachesDaemons() {
		return nil, usageError(s.command, "--%s is needed: promote asks the daemons of the source", flagFromVMList)
	}
	return s.listed(ctx, url)
}

// notInForce says why a daemon does not count, or nothing.
func notInForce(a answer[*wire.StatusReply], tried *configstore.State) string {
	switch {
	case a.err != nil:
		return "unreachable: " + a.err.Error()
	case a.reply.GetRevisions().GetDocument() != tried.Number():
		return fmt.Sprintf("has revision %d", a.reply.GetRevisions().GetDocument())
	case hex.EncodeToString(a.reply.DocumentDigest) != hex.EncodeToString(tried.Revision.Digest[:]):
		return "has another document of that revision"
	}
	return ""
}

func refusal(from string, revision uint64, confirmed int, missing []string) error {
	if len(missing) == 0 && confirmed > 0 {
		return nil
	}
	if len(missing) == 0 {
		return fail(ExitRefused, "give the VM list of the source with --"+flagFromVMList, "no daemon of %s is listed", from)
	}
	text := fmt.Sprintf("revision %d is not in force everywhere in %s", revision, from)
	for _, line := range missing {
		text += "\n" + line
	}
	return fail(ExitRefused, "see \"wasabigate status\" for "+from+"; a daemon that is gone leaves the VM list", "%s", text)
}
