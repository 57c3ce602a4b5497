package gateway

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/limit"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/roster"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// rebalanceInterval is the time between two rebalancings of the workspaces' token
	// levels. At 50 ms, rebalancing takes a fifth of a gateway's CPU time at normal load
	// and does not improve service, since a request that lacks tokens fetches them itself.
	rebalanceInterval = 200 * time.Millisecond
	// refusalTime leaves a margin to the 100 ms within which 99 of 100 requests over the
	// rate are to be refused.
	refusalTime = 80 * time.Millisecond
	// confirmInterval is how often the gateway checks whether the limiter is suspended
	// after a pause of the process.
	confirmInterval = 100 * time.Millisecond
	// confirmTimeout is the staleness beyond which a suspended limiter resumes
	// without waiting for the store.
	confirmTimeout = follower.MaxPollInterval + time.Second
)

// limits enforces the workspaces' rate limits together with the other gateways.
type limits struct {
	follower      *follower.Follower
	members       *roster.Members
	controlSource *control.AtomicSource
	local         *limit.Local
	revision      *config.Revision
	source        *deployment.Config // configuration that revision was built from
}

func newLimits(settings *config.Settings, dialer *rpc.Dialer) *limits {
	self := settings.Daemon.RPCAddress
	l := &limits{
		members:       roster.NewMembers(self),
		controlSource: control.NewAtomicSource(&control.Snapshot{View: &membership.View{}}),
	}
	l.local = limit.New(limit.Options{
		Self:              self,
		Source:            l.controlSource,
		Peers:             limit.RPCPeers{Dialer: dialer, List: func() []string { return otherOwners(l.controlSource, self) }},
		Wait:              settings.Gateway.LimitWait,
		RebalanceInterval: rebalanceInterval,
		RefusalTime:       refusalTime,
	})
	return l
}

func (l *limits) register(mux *drpcmux.Mux) error {
	return errors.Wrap(wire.DRPCRegisterLimits(mux, l.local), "register limits service")
}

// update applies a snapshot. peers are the addresses of gateways that were seen
// recently, even if the store does not list them. Only one goroutine calls it.
func (l *limits) update(snapshot *deployment.Snapshot, peers []string, now time.Time) {
	gateways := slices.Clone(snapshot.Gateways)
	for _, address := range peers {
		gateways = append(gateways, deployment.Gateway{Address: address})
	}
	table, changed := l.members.Update(gateways, uint64(snapshot.Position), now)
	if snapshot.Config == nil || !changed && snapshot.Config == l.source {
		return
	}
	if snapshot.Config != l.source {
		l.source = snapshot.Config
		l.revision = limiterRevision(snapshot.Config)
	}
	l.controlSource.Publish(&control.Snapshot{Config: l.revision, Shards: table, View: &membership.View{}, Listed: true})
}

// limiterRevision returns a revision with the part of the configuration that the
// limiter needs.
func limiterRevision(c *deployment.Config) *config.Revision {
	document := &config.Document{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		document.Workspaces = append(document.Workspaces, limiterWorkspace(w))
	}
	document.BuildIndex()
	return &config.Revision{Number: c.Version, Document: document}
}

// limiterWorkspace returns a workspace as the limiter takes it.
func limiterWorkspace(w *deployment.Workspace) config.Workspace {
	micros := int64(math.Round(w.Rate * config.MicrosPerToken))
	if w.Rate > 0 {
		micros = max(micros, 1)
	}
	return config.Workspace{Name: w.Name, Rate: micros / config.MicrosPerToken, RateMicros: micros % config.MicrosPerToken, Burst: w.Capacity()}
}

// run rebalances token levels, and resumes the limiter after a pause of the process
// once the store has confirmed which gateways are listed.
func (l *limits) run(ctx context.Context) {
	go func() {
		ticker := time.NewTicker(confirmInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				l.confirm(now)
			}
		}
	}()
	if err := l.local.Run(ctx); err != nil && ctx.Err() == nil {
		logger.Error(fields{"error": err.Error()}, "limiter stopped")
	}
}

// confirm resumes a suspended limiter if the store has answered since the start of the
// suspension, or if the store has not answered within confirmTimeout.
func (l *limits) confirm(now time.Time) {
	if !l.local.Suspended() {
		return
	}
	staleness := l.follower.Staleness(now)
	if staleness > confirmTimeout {
		staleness = 0
	}
	l.local.Confirm(now.Add(-staleness))
}

// otherOwners returns the RPC addresses of the other gateways that own shards.
func otherOwners(source control.Source, self string) []string {
	table := source.Snapshot().Shards
	if table == nil {
		return nil
	}
	var addresses []string
	for i := range table.Owners {
		address := table.Owners[i].Address
		if address != self && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
