package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// maxParallelCalls bounds the calls to daemons at one time.
const maxParallelCalls = 128

// answer is what a daemon said to a call.
type answer[T any] struct {
	vm    platform.VM
	reply T
	err   error
}

// askAll calls every daemon in parallel, each within the call timeout. The
// answers are in the order of vms.
func askAll[T any](ctx context.Context, s *session, dialer *rpc.Dialer, vms []platform.VM, call func(context.Context, wire.DRPCNodeClient) (T, error)) []answer[T] {
	answers := make([]answer[T], len(vms))
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for i, vm := range vms {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
			defer cancel()
			reply, err := call(ctx, wire.NewDRPCNodeClient(dialer.Conn(ctx, vm.Address)))
			answers[i] = answer[T]{vm, reply, err}
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

func status(ctx context.Context, node wire.DRPCNodeClient) (*wire.StatusReply, error) {
	return node.Status(ctx, &wire.StatusRequest{})
}

// daemonName names a daemon for people.
func daemonName(vm platform.VM) string {
	if vm.Name == "" {
		return vm.Address
	}
	return vm.Name + " (" + vm.Address + ")"
}

// chosen returns the daemons that the arguments name by VM or rpc address.
func (s *session) chosen(ctx context.Context, names []string) ([]platform.VM, error) {
	vms, err := s.listed(ctx, s.command.String(flagVMList))
	if err != nil {
		return nil, err
	}
	var found []platform.VM
	for _, name := range names {
		i := slices.IndexFunc(vms, func(vm platform.VM) bool { return vm.Name == name || vm.Address == name })
		if i < 0 {
			return nil, fail(ExitRefused, "see \"wasabigate status\"", "no daemon %q is listed", name)
		}
		found = append(found, vms[i])
	}
	return found, nil
}

// told is the result of an order to daemons.
type told struct {
	Daemons []toldDaemon `json:"daemons"`
}

type toldDaemon struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Done     bool   `json:"done"`
	Inflight uint32 `json:"inflight,omitempty"`
	Level    string `json:"level,omitempty"`
	Error    string `json:"error,omitempty"`
}

func (t *told) writeText(w io.Writer) {
	table := newTable(w)
	for _, d := range t.Daemons {
		fmt.Fprintf(table, "%s\t%s\t%s\n", d.Name, d.Address, d.outcome())
	}
	_ = table.Flush()
}

func (d *toldDaemon) outcome() string {
	switch {
	case d.Error != "":
		return "not done: " + d.Error
	case d.Level != "":
		return "logs at level " + d.Level
	}
	return fmt.Sprintf("done, %d requests running", d.Inflight)
}

// tellAll gives an order to daemons and prints what became of it.
func tellAll(ctx context.Context, s *session, vms []platform.VM, call func(context.Context, wire.DRPCNodeClient) (toldDaemon, error)) error {
	dialer, err := s.dialer()
	if err != nil {
		return err
	}
	defer func() { _ = dialer.Close() }()
	out := &told{Daemons: []toldDaemon{}}
	code := ExitOK
	for _, a := range askAll(ctx, s, dialer, vms, call) {
		a.reply.Name, a.reply.Address, a.reply.Done = a.vm.Name, a.vm.Address, a.err == nil
		if a.err != nil {
			a.reply.Error = a.err.Error()
			code = ExitUnconfirmed
		}
		out.Daemons = append(out.Daemons, a.reply)
	}
	if err := s.print(out); err != nil || code == ExitOK {
		return err
	}
	return exitWith(code)
}

const flagCancel = "cancel"

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "let daemons finish their requests and take no new ones",
		ArgsUsage: "DAEMON...",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: flagCancel, Usage: "take new requests again"}},
		Action:    action(drain),
	}
}

func drain(ctx context.Context, s *session) error {
	names := s.command.Args().Slice()
	if len(names) == 0 {
		return usageError(s.command, "takes the arguments %s: names of VMs or rpc addresses", s.command.ArgsUsage)
	}
	vms, err := s.chosen(ctx, names)
	if err != nil {
		return err
	}
	request := &wire.DrainRequest{Cancel: s.command.Bool(flagCancel)}
	return tellAll(ctx, s, vms, func(ctx context.Context, node wire.DRPCNodeClient) (toldDaemon, error) {
		reply, err := node.Drain(ctx, request)
		return toldDaemon{Inflight: reply.GetInflight()}, err
	})
}

// logLevels are the levels in the order of their weight.
var logLevels = []string{"debug", "info", "warn", "error"}

func logLevelCommand() *cli.Command {
	return &cli.Command{
		Name:      "log-level",
		Usage:     "change the log level of daemons until they restart",
		ArgsUsage: "LEVEL [DAEMON...]",
		Action:    action(logLevel),
	}
}

func logLevel(ctx context.Context, s *session) error {
	level := s.command.Args().First()
	if !slices.Contains(logLevels, level) {
		return usageError(s.command, "level %q is not one of %s", level, strings.Join(logLevels, ", "))
	}
	vms, err := s.allOrChosen(ctx, s.command.Args().Tail())
	if err != nil {
		return err
	}
	return tellAll(ctx, s, vms, func(ctx context.Context, node wire.DRPCNodeClient) (toldDaemon, error) {
		reply, err := node.SetLogLevel(ctx, &wire.LogLevelRequest{Level: level})
		return toldDaemon{Level: reply.GetLevel()}, err
	})
}

func (s *session) allOrChosen(ctx context.Context, names []string) ([]platform.VM, error) {
	if len(names) > 0 {
		return s.chosen(ctx, names)
	}
	if !s.reachesDaemons() {
		return nil, usageError(s.command, "--%s or --%s is needed", flagVMList, flagPeer)
	}
	return s.listed(ctx, s.command.String(flagVMList))
}

// pushed says which daemons have a revision in force.
type pushed struct {
	Confirmed   []string `json:"confirmed"`
	Unconfirmed []string `json:"unconfirmed"`
}

// push offers a revision to every daemon until each has it or ctx ends.
func (s *session) push(ctx context.Context, vms []platform.VM, number uint64, envelope []byte) (*pushed, error) {
	dialer, err := s.dialer()
	if err != nil {
		return nil, err
	}
	defer func() { _ = dialer.Close() }()
	out := &pushed{Confirmed: []string{}, Unconfirmed: []string{}}
	request := &wire.ExchangeRequest{Revisions: &wire.Revisions{Document: number}, Document: envelope}
	left := vms
	pause := firstPushPause
	for range pushRounds {
		left = s.pushOnce(ctx, dialer, left, request, out)
		if len(left) == 0 || clock.Sleep(ctx, pause) != nil {
			break
		}
		pause *= 2
	}
	for _, vm := range left {
		out.Unconfirmed = append(out.Unconfirmed, daemonName(vm))
	}
	return out, nil
}

// A daemon takes an offered revision over after it answered, so that the
// confirmation comes with a later answer.
const (
	pushRounds     = 5
	firstPushPause = 100 * time.Millisecond
)

// pushOnce tells the daemons once and returns those that have not confirmed.
func (s *session) pushOnce(ctx context.Context, dialer *rpc.Dialer, vms []platform.VM, request *wire.ExchangeRequest, out *pushed) []platform.VM {
	answers := askAll(ctx, s, dialer, vms, func(ctx context.Context, node wire.DRPCNodeClient) (*wire.ExchangeReply, error) {
		return node.Exchange(ctx, request)
	})
	var left []platform.VM
	for _, a := range answers {
		if a.err != nil || a.reply.GetRevisions().GetDocument() < request.Revisions.Document {
			left = append(left, a.vm)
			continue
		}
		out.Confirmed = append(out.Confirmed, daemonName(a.vm))
	}
	return left
}
