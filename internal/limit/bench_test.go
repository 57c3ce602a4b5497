package limit

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"storj.io/drpc/drpcmux"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// workspaceCount is the number of workspaces in regular use.
const workspaceCount = 270

// unlimitedWorkspaces returns workspaces whose limits a benchmark can't reach.
func unlimitedWorkspaces(n int) []config.Workspace {
	workspaces := make([]config.Workspace, n)
	for i := range workspaces {
		workspaces[i] = config.Workspace{Name: fmt.Sprintf("workspace-%03d", i), Rate: 1 << 40, Burst: 1 << 40}
	}
	return workspaces
}

func routerAddresses(owners int) []string {
	addresses := make([]string, owners)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("10.0.0.%d:7000", i)
	}
	return addresses
}

// runWith fills the buckets of l and runs its background work until b ends.
func runWith(b *testing.B, l *Local) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = l.Run(ctx)
		close(done)
	}()
	b.Cleanup(func() { cancel(); <-done })
	l.current()
	for _, bucket := range l.state.Load().buckets {
		bucket.mu.Lock()
		bucket.level = bucket.own.burst
		bucket.mu.Unlock()
	}
}

// ownedWorkspaces returns the names of the workspaces that this router owns shards
// of.
func (l *Local) ownedWorkspaces(workspaces []config.Workspace) []string {
	var names []string
	for _, w := range workspaces {
		if l.state.Load().buckets[w.Name].own.burst > 0 {
			names = append(names, w.Name)
		}
	}
	return names
}

func BenchmarkAcquireOwnTokens(b *testing.B) {
	for _, owners := range []int{1, 3, 64} {
		b.Run(fmt.Sprint("owners ", owners), func(b *testing.B) {
			workspaces := unlimitedWorkspaces(workspaceCount)
			l := New(Options{
				Self:   routerAddresses(owners)[0],
				Source: control.NewAtomicSource(snapshotOf(tableOf(1, routerAddresses(owners)...), workspaces...)),
				Peers:  network{},
			})
			runWith(b, l)
			b.ReportAllocs()
			names := l.ownedWorkspaces(workspaces)
			for i := 0; b.Loop(); i++ {
				if _, err := l.Acquire(context.Background(), names[i%len(names)], 1, "r"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkAcquireAndSettle(b *testing.B) {
	workspaces := unlimitedWorkspaces(workspaceCount)
	l := New(Options{
		Self:   "a",
		Source: control.NewAtomicSource(snapshotOf(tableOf(1, "a", "b", "c"), workspaces...)),
		Peers:  network{},
	})
	runWith(b, l)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		grant, err := l.Acquire(context.Background(), workspaces[i%workspaceCount].Name, 2, "r")
		if err != nil {
			b.Fatal(err)
		}
		grant.Settle(1)
	}
}

func BenchmarkAcquireParallel(b *testing.B) {
	workspaces := unlimitedWorkspaces(workspaceCount)
	l := New(Options{
		Self:   "a",
		Source: control.NewAtomicSource(snapshotOf(tableOf(1, "a", "b", "c"), workspaces...)),
		Peers:  network{},
	})
	runWith(b, l)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			_, _ = l.Acquire(context.Background(), workspaces[i%workspaceCount].Name, 1, "r")
		}
	})
}

// BenchmarkDebit measures a request whose tokens come from a peer, without the
// network.
func BenchmarkDebit(b *testing.B) {
	x := newCluster([]string{"a", "b"}, snapshotOf(tableOf(1, "b"), unlimitedWorkspaces(1)...))
	runWith(b, x.peers["b"])
	b.ReportAllocs()
	for b.Loop() {
		_, err := x.peers["a"].Acquire(context.Background(), "workspace-000", 1, "r")
		if err != nil {
			b.Fatal(err)
		}
	}
}

// remotePeer calls a router over DRPC.
type remotePeer struct {
	network
	client wire.DRPCLimitsClient
}

func (r remotePeer) Debit(ctx context.Context, _ string, req *wire.DebitRequest) (*wire.DebitReply, error) {
	return r.client.Debit(ctx, req)
}

// BenchmarkDebitOverLoopback measures a request whose tokens come from a peer, over
// DRPC on TCP, including both routers' work.
func BenchmarkDebitOverLoopback(b *testing.B) {
	x := newCluster([]string{"a", "b"}, snapshotOf(tableOf(1, "b"), unlimitedWorkspaces(1)...))
	runWith(b, x.peers["b"])
	mux := drpcmux.New()
	if err := wire.DRPCRegisterLimits(mux, x.peers["b"]); err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = rpc.Serve(ctx, listener, mux, nil, nil) }()
	dialer := rpc.NewDialer(nil)
	defer func() { _ = dialer.Close() }()
	x.peers["a"].peers = remotePeer{x.peers, wire.NewDRPCLimitsClient(dialer.Conn(ctx, listener.Addr().String()))}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := x.peers["a"].Acquire(ctx, "workspace-000", 1, "0123456789abcdef0123456789abcdef"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkState reports the memory that a router needs for each workspace.
func BenchmarkState(b *testing.B) {
	for _, owners := range []int{1, 3, 64} {
		b.Run(fmt.Sprint("owners ", owners), func(b *testing.B) {
			source := control.NewAtomicSource(snapshotOf(tableOf(1, routerAddresses(owners)...), unlimitedWorkspaces(workspaceCount)...))
			var kept []*Local
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				l := New(Options{Self: routerAddresses(owners)[0], Source: source, Peers: network{}})
				l.current()
				kept = append(kept, l)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(kept))/workspaceCount, "bytes/workspace")
			runtime.KeepAlive(kept)
		})
	}
}
