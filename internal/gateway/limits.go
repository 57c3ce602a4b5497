package gateway

import (
	"context"
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
	// evenInterval is the time between two evenings of the workspaces' levels. At 50 ms
	// they took a fifth of a gateway's processor time on a calm day, and served no
	// better: a request that lacks tokens asks for them itself.
	evenInterval = 200 * time.Millisecond
	// confirmInterval is the time between two looks whether the limiter rests after a
	// pause of the process.
	confirmInterval = 100 * time.Millisecond
	// confirmAnyway is the silence of the store after which the limiter goes on
	// without a word from it.
	confirmAnyway = follower.MaxPause + time.Second
)

// limits holds the workspaces to their rates, together with the other gateways.
type limits struct {
	follower *follower.Follower
	members  *roster.Members
	cell     *control.Cell
	local    *limit.Local
	revision *config.Revision
	source   *deployment.Config // of the revision
}

func newLimits(settings *config.Settings, dialer *rpc.Dialer) *limits {
	self := settings.Daemon.RPCAddress
	l := &limits{
		members: roster.NewMembers(self),
		cell:    control.NewCell(&control.Snapshot{View: &membership.View{}}),
	}
	l.local = limit.New(limit.Options{
		Self:   self,
		Source: l.cell,
		Peers:  limit.RPCPeers{Dialer: dialer, List: func() []string { return otherOwners(l.cell, self) }},
		Wait:   settings.Gateway.LimitWait,
		Even:   evenInterval,
	})
	return l
}

func (l *limits) register(mux *drpcmux.Mux) error {
	return errors.Wrap(wire.DRPCRegisterLimits(mux, l.local), "limits service")
}

// update takes in a belief, and the gateways that were heard of although they may not
// be listed. One goroutine calls it.
func (l *limits) update(snapshot *deployment.Snapshot, heard []string, now time.Time) {
	gateways := slices.Clone(snapshot.Gateways)
	for _, address := range heard {
		gateways = append(gateways, deployment.Gateway{Address: address})
	}
	table, changed := l.members.Update(gateways, snapshot.Position, now)
	if snapshot.Config == nil || !changed && snapshot.Config == l.source {
		return
	}
	if snapshot.Config != l.source {
		l.source = snapshot.Config
		l.revision = revisionOf(snapshot.Config)
	}
	l.cell.Publish(&control.Snapshot{Config: l.revision, Shards: table, View: &membership.View{}, Listed: true})
}

// revisionOf returns the part of the configuration that the limiter needs.
func revisionOf(c *deployment.Config) *config.Revision {
	document := &config.Document{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		document.Workspaces = append(document.Workspaces, config.Workspace{Name: w.Name, Rate: w.Rate, Burst: max(w.Burst, 1)})
	}
	document.BuildIndex()
	return &config.Revision{Number: c.Version, Document: document}
}

// run evens out levels, and puts the limiter back to work after a pause of the
// process once the store has shown who is listed.
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
		logger.Error(fields{"error": err.Error()}, "limiter ended")
	}
}

func (l *limits) confirm(now time.Time) {
	if !l.local.Suspended() {
		return
	}
	silence := l.follower.Silence(now)
	if silence > confirmAnyway {
		silence = 0
	}
	l.local.Confirm(now.Add(-silence))
}

// otherOwners returns the rpc addresses of the other gateways that own shards.
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
