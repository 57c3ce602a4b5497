package limit

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/shard"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var errUnreachable = errors.New("peer unreachable")

// network connects Locals within the process. It implements Peers.
type network map[string]*Local

func (n network) Addresses() []string { return nil }

func (n network) Debit(ctx context.Context, address string, req *wire.DebitRequest) (*wire.DebitReply, error) {
	if n[address] == nil {
		return nil, errUnreachable
	}
	return n[address].Debit(ctx, req)
}

func (n network) Credit(ctx context.Context, address string, req *wire.CreditRequest) (*wire.CreditReply, error) {
	if n[address] == nil {
		return nil, errUnreachable
	}
	return n[address].Credit(ctx, req)
}

func (n network) Levels(ctx context.Context, address string, req *wire.LevelsRequest) (*wire.LevelsReply, error) {
	if n[address] == nil {
		return nil, errUnreachable
	}
	return n[address].Levels(ctx, req)
}

// tableOf returns a table in which each owner has a range of shards.
func tableOf(epoch uint64, owners ...string) *shard.Table {
	t := &shard.Table{Epoch: epoch}
	for i := range t.Owners {
		t.Owners[i] = shard.Owner{Address: owners[i*len(owners)/shard.Count], SinceEpoch: epoch}
	}
	return t
}

func revisionOf(workspaces ...config.Workspace) *config.Revision {
	document := &config.Document{Workspaces: workspaces}
	document.BuildIndex()
	return &config.Revision{Number: 1, Document: document}
}

func snapshotOf(table *shard.Table, workspaces ...config.Workspace) *control.Snapshot {
	return &control.Snapshot{
		Config: revisionOf(workspaces...),
		Shards: table,
		View:   membership.NewView(nil),
		Listed: true,
	}
}

// cluster is a set of Locals whose background work the test runs itself.
type cluster struct {
	peers   network
	sources map[string]*control.AtomicSource
}

func newCluster(addresses []string, snapshot *control.Snapshot) *cluster {
	c := &cluster{peers: network{}, sources: map[string]*control.AtomicSource{}}
	for _, address := range addresses {
		c.start(address, snapshot)
	}
	return c
}

func (c *cluster) start(address string, snapshot *control.Snapshot) {
	c.sources[address] = control.NewAtomicSource(snapshot)
	c.peers[address] = New(Options{
		Self:   address,
		Source: c.sources[address],
		Peers:  c.peers,
	})
	c.peers[address].current()
}

// publish publishes a snapshot to all processes.
func (c *cluster) publish(snapshot *control.Snapshot) {
	for address, source := range c.sources {
		source.Publish(snapshot)
		c.peers[address].current()
	}
}

// advance moves the clock of the synctest bubble while all processes send
// heartbeats.
func (c *cluster) advance(d time.Duration) {
	for d > 0 {
		step := min(d, heartbeatInterval)
		d -= step
		time.Sleep(step)
		for _, l := range c.peers {
			l.pauseGuard.heartbeat()
		}
	}
}

func wantCode(t *testing.T, err error, code verdict.Code) {
	t.Helper()
	e := verdict.From(err)
	if e == nil || e.Code != code || e.Verdict != verdict.NotRun {
		t.Fatalf("got error %v, want code %s, not run", err, code)
	}
}
