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

// maxParallelCalls limits concurrent calls to daemons.
const maxParallelCalls = 128

// callResult is the result of a call to one daemon.
type callResult[T any] struct {
	vm    platform.VM
	reply T
	err   error
}

// callAll calls every daemon in parallel, each within the call timeout. The
// results are in the order of vms.
func callAll[T any](ctx context.Context, s *session, dialer *rpc.Dialer, vms []platform.VM, call func(context.Context, wire.DRPCNodeClient) (T, error)) []callResult[T] {
	results := make([]callResult[T], len(vms))
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for i, vm := range vms {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
			defer cancel()
			reply, err := call(ctx, wire.NewDRPCNodeClient(dialer.Conn(ctx, vm.Address)))
			results[i] = callResult[T]{vm, reply, err}
			return nil
		})
	}
	_ = group.Wait()
	return results
}

func status(ctx context.Context, node wire.DRPCNodeClient) (*wire.StatusReply, error) {
	return node.Status(ctx, &wire.StatusRequest{})
}

// daemonName returns a daemon's name for messages.
func daemonName(vm platform.VM) string {
	if vm.Name == "" {
		return vm.Address
	}
	return vm.Name + " (" + vm.Address + ")"
}

// selectDaemons returns the listed daemons with the given VM names or rpc addresses.
func (s *session) selectDaemons(ctx context.Context, names []string) ([]platform.VM, error) {
	vms, err := s.listDaemons(ctx, s.command.String(flagVMList))
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

// orderResult is the result of an order that was sent to daemons.
type orderResult struct {
	Daemons []daemonOrderResult `json:"daemons"`
}

type daemonOrderResult struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Done     bool   `json:"done"`
	Inflight uint32 `json:"inflight,omitempty"`
	Level    string `json:"level,omitempty"`
	Error    string `json:"error,omitempty"`
}

func (r *orderResult) writeText(w io.Writer) {
	table := newTable(w)
	for _, d := range r.Daemons {
		fmt.Fprintf(table, "%s\t%s\t%s\n", d.Name, d.Address, d.outcome())
	}
	_ = table.Flush()
}

func (d *daemonOrderResult) outcome() string {
	switch {
	case d.Error != "":
		return "not done: " + d.Error
	case d.Level != "":
		return "logs at level " + d.Level
	}
	return fmt.Sprintf("done, %d requests running", d.Inflight)
}

// sendOrders sends an order to daemons and prints the result of each.
func sendOrders(ctx context.Context, s *session, vms []platform.VM, call func(context.Context, wire.DRPCNodeClient) (daemonOrderResult, error)) error {
	dialer, err := s.dialer()
	if err != nil {
		return err
	}
	defer func() { _ = dialer.Close() }()
	out := &orderResult{Daemons: []daemonOrderResult{}}
	code := ExitOK
	for _, result := range callAll(ctx, s, dialer, vms, call) {
		result.reply.Name, result.reply.Address, result.reply.Done = result.vm.Name, result.vm.Address, result.err == nil
		if result.err != nil {
			result.reply.Error = result.err.Error()
			code = ExitUnconfirmed
		}
		out.Daemons = append(out.Daemons, result.reply)
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
	vms, err := s.selectDaemons(ctx, names)
	if err != nil {
		return err
	}
	request := &wire.DrainRequest{Cancel: s.command.Bool(flagCancel)}
	return sendOrders(ctx, s, vms, func(ctx context.Context, node wire.DRPCNodeClient) (daemonOrderResult, error) {
		reply, err := node.Drain(ctx, request)
		return daemonOrderResult{Inflight: reply.GetInflight()}, err
	})
}

// logLevels lists the log levels by increasing severity.
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
	vms, err := s.selectedOrAllDaemons(ctx, s.command.Args().Tail())
	if err != nil {
		return err
	}
	return sendOrders(ctx, s, vms, func(ctx context.Context, node wire.DRPCNodeClient) (daemonOrderResult, error) {
		reply, err := node.SetLogLevel(ctx, &wire.LogLevelRequest{Level: level})
		return daemonOrderResult{Level: reply.GetLevel()}, err
	})
}

func (s *session) selectedOrAllDaemons(ctx context.Context, names []string) ([]platform.VM, error) {
	if len(names) > 0 {
		return s.selectDaemons(ctx, names)
	}
	if !s.hasDaemonFlags() {
		return nil, usageError(s.command, "--%s or --%s is needed", flagVMList, flagPeer)
	}
	return s.listDaemons(ctx, s.command.String(flagVMList))
}

// pushResult lists the daemons that have confirmed a revision and those that have not.
type pushResult struct {
	Confirmed   []string `json:"confirmed"`
	Unconfirmed []string `json:"unconfirmed"`
}

// push offers a revision to every daemon until each has confirmed it, the
// rounds are used up or ctx is done.
func (s *session) push(ctx context.Context, vms []platform.VM, number uint64, envelope []byte) (*pushResult, error) {
	dialer, err := s.dialer()
	if err != nil {
		return nil, err
	}
	defer func() { _ = dialer.Close() }()
	out := &pushResult{Confirmed: []string{}, Unconfirmed: []string{}}
	request := &wire.ExchangeRequest{Revisions: &wire.Revisions{Document: number}, Document: envelope}
	unconfirmed := vms
	backoff := initialPushBackoff
	for range pushRounds {
		unconfirmed = s.pushOnce(ctx, dialer, unconfirmed, request, out)
		if len(unconfirmed) == 0 || clock.Sleep(ctx, backoff) != nil {
			break
		}
		backoff *= 2
	}
	for _, vm := range unconfirmed {
		out.Unconfirmed = append(out.Unconfirmed, daemonName(vm))
	}
	return out, nil
}

// A daemon applies an offered revision after it has responded, so the
// confirmation comes with the response to a later offer.
const (
	pushRounds         = 5
	initialPushBackoff = 100 * time.Millisecond
)

// pushOnce offers the revision once to each daemon and returns those that have
// not confirmed it.
func (s *session) pushOnce(ctx context.Context, dialer *rpc.Dialer, vms []platform.VM, request *wire.ExchangeRequest, out *pushResult) []platform.VM {
	results := callAll(ctx, s, dialer, vms, func(ctx context.Context, node wire.DRPCNodeClient) (*wire.ExchangeReply, error) {
		return node.Exchange(ctx, request)
	})
	var unconfirmed []platform.VM
	for _, result := range results {
		if result.err != nil || result.reply.GetRevisions().GetDocument() < request.Revisions.Document {
			unconfirmed = append(unconfirmed, result.vm)
			continue
		}
		out.Confirmed = append(out.Confirmed, daemonName(result.vm))
	}
	return unconfirmed
}
