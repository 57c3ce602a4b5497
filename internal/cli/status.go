package cli

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "ask every daemon for its state; the exit code says healthy, degraded or down",
		Action: action(showStatus),
	}
}

// Health is the overall health of an environment.
type Health string

// The states of health.
const (
	HealthOK       Health = "healthy"
	HealthDegraded Health = "degraded" // serving, with problems
	HealthDown     Health = "down"     // some requests can't be served
)

var exitCodeByHealth = map[Health]ExitCode{
	HealthOK:       ExitOK,
	HealthDegraded: ExitDegraded,
	HealthDown:     ExitDown,
}

// fleetStatus is the result of status.
type fleetStatus struct {
	Health   Health         `json:"health"`
	Revision uint64         `json:"revision"` // newest one known
	Problems []string       `json:"problems"`
	Daemons  []daemonStatus `json:"daemons"`
}

// daemonStatus is the state of one daemon.
type daemonStatus struct {
	Name             string       `json:"name"`
	Address          string       `json:"address"`
	Role             string       `json:"role,omitempty"`
	AvailabilityZone string       `json:"availability_zone,omitempty"`
	Group            string       `json:"group,omitempty"` // in the VM list
	Leaving          bool         `json:"leaving"`
	Draining         bool         `json:"draining"`
	Reachable        bool         `json:"reachable"`
	Error            string       `json:"error,omitempty"`
	Version          string       `json:"version,omitempty"`
	Environment      string       `json:"environment,omitempty"`
	Revision         uint64       `json:"revision"`
	ShardEpoch       uint64       `json:"shard_epoch"`
	Urgent           uint32       `json:"queued_urgent"`
	Deferrable       uint32       `json:"queued_deferrable"`
	OldestSeconds    float64      `json:"oldest_wait_seconds"`
	DrainSeconds     float64      `json:"projected_drain_seconds"`
	PileUp           bool         `json:"pile_up"`
	Inflight         uint32       `json:"inflight"`
	Shards           uint32       `json:"shards"`
	UnlistedServers  uint32       `json:"unlisted_servers"`
	Controller       bool         `json:"controller"`
	StartedUnix      int64        `json:"started_unix,omitempty"`
	CachedState      *cachedState `json:"belief,omitempty"` // of a gateway
}

func newDaemonStatus(result callResult[*wire.StatusReply]) daemonStatus {
	d := daemonStatus{
		Name:             result.vm.Name,
		Address:          result.vm.Address,
		AvailabilityZone: result.vm.AvailabilityZone,
		Group:            result.vm.Group,
		Leaving:          result.vm.State == platform.VMLeaving,
	}
	if result.err != nil {
		d.Error = result.err.Error()
		return d
	}
	d.fill(result.reply)
	return d
}

func (d *daemonStatus) fill(reply *wire.StatusReply) {
	queue := reply.GetQueue()
	d.Reachable = true
	d.Name = reply.Name
	d.Role = reply.Role
	d.AvailabilityZone = reply.Zone
	d.Draining = reply.Draining
	d.Version = reply.Version
	d.Environment = reply.Environment
	d.Revision = reply.GetRevisions().GetDocument()
	d.ShardEpoch = reply.GetRevisions().GetShardEpoch()
	d.Urgent = queue.GetUrgent()
	d.Deferrable = queue.GetDeferrable()
	d.OldestSeconds = seconds(queue.GetOldestMs())
	d.DrainSeconds = seconds(queue.GetDrainMs())
	d.PileUp = queue.GetPileUp()
	d.Inflight = reply.Inflight
	d.Shards = reply.Shards
	d.UnlistedServers = reply.UnlistedServers
	d.Controller = reply.Controller
	d.StartedUnix = reply.StartedUnix
	if reply.Belief != nil {
		d.CachedState = newCachedState(reply.Belief)
	}
}

func seconds(milliseconds int64) float64 {
	return (time.Duration(milliseconds) * time.Millisecond).Seconds()
}

func showStatus(ctx context.Context, s *session) error {
	if _, err := arguments(s.command, 0); err != nil {
		return err
	}
	if !s.hasDaemonFlags() {
		return usageError(s.command, "--%s or --%s is needed", flagVMList, flagPeer)
	}
	dialer, err := s.dialer()
	if err != nil {
		return err
	}
	defer func() { _ = dialer.Close() }()
	var findings assessment
	vms, err := s.listDaemons(ctx, s.command.String(flagVMList))
	if err != nil {
		findings.degraded("the VM list can't be read: %v", err)
	}
	out := &fleetStatus{Daemons: []daemonStatus{}}
	for _, result := range callAll(ctx, s, dialer, vms, status) {
		out.Daemons = append(out.Daemons, newDaemonStatus(result))
	}
	accepted := s.acceptedRevision(ctx, &findings)
	out.assess(&findings, accepted, s.command.String(flagEnvironment))
	if err := s.print(out); err != nil || out.Health == HealthOK {
		return err
	}
	return exitWith(exitCodeByHealth[out.Health])
}

// acceptedRevision returns the revision in the key-value service, or nil if
// the flags don't name it or it can't be read.
func (s *session) acceptedRevision(ctx context.Context, findings *assessment) *config.Revision {
	if s.command.String(flagKeyValue) == "" || s.command.String(flagEnvironment) == "" {
		return nil
	}
	store, err := s.store()
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
	defer cancel()
	state, err := store.Read(ctx)
	switch {
	case err != nil:
		findings.degraded("the key-value service can't be read: %v", err)
		return nil
	case state.Revision == nil:
		findings.down("%v", configstore.ErrNoDocument)
	}
	return state.Revision
}
