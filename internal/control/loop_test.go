package control

import (
	"bytes"
	"context"
	"encoding/binary"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/shard"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
	"github.com/wasabigate/wasabigate/internal/standin/vmlist"
)

const configKey = "config"

// maxPropagationTime bounds how long a withdrawal takes to reach all daemons.
const maxPropagationTime = 3 * time.Second

// envelope returns an envelope or shard table that is only a number, for tests.
func envelope(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

func decodeNumber(encoded []byte) (*config.Revision, error) {
	if len(encoded) != 8 {
		return nil, errors.New("not a number")
	}
	return &config.Revision{Number: binary.BigEndian.Uint64(encoded), Envelope: encoded}, nil
}

func codec() Codec {
	return Codec{
		OpenEnvelope: decodeNumber,
		EncodeTable:  func(table *shard.Table) ([]byte, error) { return envelope(table.Epoch), nil },
		DecodeTable: func(encoded []byte) (*shard.Table, error) {
			revision, err := decodeNumber(encoded)
			if err != nil {
				return nil, err
			}
			return &shard.Table{Epoch: revision.Number}, nil
		},
		Delta:      func(base, target []byte) []byte { return append(base[:8:8], target...) },
		ApplyDelta: applyNumberDelta,
	}
}

// applyNumberDelta applies a delta whose first eight bytes are its base.
func applyNumberDelta(base, delta []byte) ([]byte, error) {
	if !bytes.HasPrefix(delta, base) {
		return nil, errors.New("delta has another base")
	}
	return delta[8:], nil
}

// network connects loops in the same process. An isolated daemon neither reaches
// other daemons nor is reached by them.
type network struct {
	mu       sync.Mutex
	loops    map[string]*Loop
	isolated map[string]bool
	bytes    int
	delay    time.Duration // added to each call
}

// reach returns the loop at address, or nil if self can't reach it.
func (n *network) reach(self, address string) *Loop {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated[self] || n.isolated[address] {
		return nil
	}
	return n.loops[address]
}

func (n *network) add(address string, loop *Loop) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loops[address] = loop
}

func (n *network) reconnect(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.isolated, address)
}

// count adds the bytes of a call's messages, each counted once for its sender and
// once for its receiver.
func (n *network) count(messages ...proto.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, message := range messages {
		n.bytes += 2 * proto.Size(message)
	}
}

func (n *network) resetBytes() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes = 0
}

func (n *network) totalBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

func (n *network) isolate(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = true
}

type peerClient struct {
	network *network
	self    string
}

func (p peerClient) Exchange(_ context.Context, address string, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	peer := p.network.reach(p.self, address)
	if peer == nil {
		return nil, errors.New("unreachable")
	}
	time.Sleep(p.network.delay)
	reply := peer.HandleExchange(req)
	p.network.count(req, reply)
	return reply, nil
}

// cluster is a set of routers and sidecars that run under a fake clock.
type cluster struct {
	kv      *kv.Store
	vms     *vmlist.List
	network *network
	cancels map[string]context.CancelFunc

	codec     Codec
	configKey string
	restore   func(context.Context, *config.Revision) (bool, error)
}

func newCluster() *cluster {
	return &cluster{
		kv:      kv.New(1),
		vms:     vmlist.New(),
		network: &network{loops: make(map[string]*Loop), isolated: make(map[string]bool)},
		cancels: make(map[string]context.CancelFunc),

		codec:     codec(),
		configKey: configKey,
	}
}

func (cl *cluster) start(t *testing.T, address string, role config.Role) *Loop {
	t.Helper()
	group := platform.GroupRouters
	if role == config.RoleSidecar {
		group = "engines"
	}
	cl.vms.Set(platform.VM{Name: address, Address: address, Group: group, State: platform.VMLive})
	loop := NewLoop(Options{
		Settings: &config.Settings{
			Daemon:   config.DaemonSettings{Role: role, RPCAddress: address},
			Platform: config.PlatformSettings{Timeout: 500 * time.Millisecond},
		},
		KV:        cl.kv,
		ConfigKey: cl.configKey,
		VMs:       cl.vms,
		Peers:     peerClient{cl.network, address},
		Codec:     cl.codec,

		RestoreConfig: cl.restore,
	})
	ctx, cancel := context.WithCancel(t.Context())
	cl.network.add(address, loop)
	cl.cancels[address] = cancel
	go loop.Run(ctx)
	return loop
}

func (cl *cluster) stop() {
	for _, cancel := range cl.cancels {
		cancel()
	}
	synctest.Wait()
}

// writeRevision writes a revision to the key-value service.
func (cl *cluster) writeRevision(t *testing.T, number uint64) {
	t.Helper()
	entry, err := cl.kv.Get(t.Context(), configKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		t.Fatal(err)
	}
	if _, err := cl.kv.CompareAndSwap(t.Context(), configKey, envelope(number), entry.Version, 0); err != nil {
		t.Fatal(err)
	}
}

// checkRevisionEverywhere checks that all daemons but the isolated ones have the
// revision.
func (cl *cluster) checkRevisionEverywhere(t *testing.T, number uint64) {
	t.Helper()
	for address, loop := range cl.network.loops {
		if revision := loop.Snapshot().Config; !cl.network.isolated[address] && (revision == nil || revision.Number != number) {
			t.Errorf("%s has %+v, want revision %d", address, revision, number)
		}
	}
}

func startCluster(t *testing.T) *cluster {
	t.Helper()
	cl := newCluster()
	cl.writeRevision(t, 1)
	for _, address := range []string{"r1", "r2", "r3"} {
		cl.start(t, address, config.RoleRouter)
	}
	for _, address := range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"} {
		cl.start(t, address, config.RoleSidecar)
	}
	time.Sleep(10 * time.Second)
	return cl
}

func TestRevisionIsInForceEverywhereInTime(t *testing.T) {
	cases := []struct {
		name     string
		after    func(cl *cluster) // runs right after the revision was written
		isolated string
	}{
		{"no fault", func(*cluster) {}, ""},
		{"key-value service down at once, but one router has read it", func(cl *cluster) {
			time.Sleep(50 * time.Millisecond)
			cl.kv.SetFaults(kv.Faults{Down: true})
		}, ""},
		{"a router can't reach the key-value service or its peers", func(*cluster) {}, "r2"},
		{"VM list down", func(cl *cluster) { cl.vms.SetDown(true) }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := startCluster(t)
				defer cl.stop()
				cl.checkRevisionEverywhere(t, 1)
				cl.network.isolate(c.isolated)
				cl.writeRevision(t, 2)
				c.after(cl)
				time.Sleep(maxPropagationTime)
				cl.checkRevisionEverywhere(t, 2)
			})
		})
	}
}

func TestRevisionNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := startCluster(t)
		defer cl.stop()
		cl.writeRevision(t, 5)
		time.Sleep(maxPropagationTime)
		cl.kv.SetFaults(kv.Faults{StaleReads: 1})
		for _, loop := range cl.network.loops {
			loop.OfferEnvelope(envelope(4))
			loop.OfferEnvelope([]byte("broken"))
			if number := loop.Snapshot().Config.Number; number != 5 {
				t.Errorf("revision %d is in force right after an offer of revision 4, want 5", number)
			}
		}
		time.Sleep(time.Minute)
		cl.checkRevisionEverywhere(t, 5)
	})
}

func TestRestartWithoutTheKeyValueServiceTakesTheHighestRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := startCluster(t)
		defer cl.stop()
		cl.writeRevision(t, 7)
		time.Sleep(maxPropagationTime)
		cl.kv.SetFaults(kv.Faults{Down: true})
		for _, address := range []string{"r1", "r2", "r3"} {
			cl.cancels[address]()
		}
		synctest.Wait()
		began := time.Now()
		for _, address := range []string{"r1", "r2", "r3"} {
			cl.start(t, address, config.RoleRouter)
		}
		for _, address := range []string{"r1", "r2", "r3"} {
			<-cl.network.loops[address].Ready()
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("all routers were ready after %v, want 1s at most", took)
		}
		cl.checkRevisionEverywhere(t, 7)
	})
}

func TestTableOfAPeerIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := startCluster(t)
		defer cl.stop()
		cl.network.loops["r1"].OfferTable(envelope(3))
		cl.network.loops["r1"].OfferTable(envelope(2))
		time.Sleep(maxPropagationTime)
		for address, loop := range cl.network.loops {
			if table := loop.Snapshot().Shards; table == nil || table.Epoch != 3 {
				t.Errorf("%s has table %+v, want epoch 3", address, table)
			}
		}
	})
}
