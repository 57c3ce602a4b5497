package peering

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// waitLimit is how long a gateway of these tests waits for others at most.
const waitLimit = time.Second

// silentAddress returns an address whose connections are never served.
func silentAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// A gateway that starts is ready once one that runs has told it what it knows, and soon if there
// is none.
func TestGatewayIsReadyBeforeOthersAreHeard(t *testing.T) {
	for _, test := range []struct {
		name        string
		running     bool // another gateway runs
		unreachable []string
		atMost      time.Duration
	}{
		{"one runs", true, nil, waitLimit / 2},
		{"one runs beside others that don't answer", true, []string{silentAddress(t), closedAddress(t)}, waitLimit / 2},
		{"alone", false, nil, waitLimit / 2},
		{"the others have ended", false, []string{closedAddress(t)}, waitLimit / 2},
		{"the others are cut off", false, []string{silentAddress(t)}, waitLimit + callTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			defer group.Wait()
			defer cancel()
			s := &sharedStore{}
			s.put("op/config", "config 1")
			seeds := test.unreachable
			for _, address := range test.unreachable {
				s.put(follower.GatewayPrefix+address+"/1", "{}")
			}
			known := follower.Retired{ID: "s", Incarnation: 1, Sequence: 7, At: time.Now()}
			if test.running {
				a := newGateway(ctx, t, s, &group, nil)
				seeds = append(seeds, a.address)
				eventually(t, "the first configuration", func() bool { return a.follower.Snapshot().Ready() })
				a.follower.MergeRetired(ctx, []follower.Retired{known})
				eventually(t, "what is to be told", func() bool { return len(a.follower.Retired()) > 0 })
			}
			began := time.Now()
			b := newStartingGateway(ctx, t, s, &group, seeds)
			for !b.follower.Snapshot().Ready() {
				if time.Since(began) > test.atMost {
					t.Fatalf("not ready within %v", test.atMost)
				}
				time.Sleep(time.Millisecond)
			}
			if test.running && len(b.follower.Retired()) == 0 {
				t.Error("ready before the gateway that runs was heard")
			}
		})
	}
}

// Gateways that start together don't wait for each other.
func TestGatewaysThatStartTogether(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	s := &sharedStore{}
	s.put("op/config", "config 1")
	began := time.Now()
	a := newStartingGateway(ctx, t, s, &group, nil)
	b := newStartingGateway(ctx, t, s, &group, []string{a.address})
	for !a.follower.Snapshot().Ready() || !b.follower.Snapshot().Ready() {
		if time.Since(began) > waitLimit/2 {
			t.Fatalf("not ready within %v", waitLimit/2)
		}
		time.Sleep(time.Millisecond)
	}
}

// newStartingGateway returns a gateway that waits for others before it is ready.
func newStartingGateway(ctx context.Context, t *testing.T, s *sharedStore, group *sync.WaitGroup, seeds []string) *gateway {
	return newGatewayServing(ctx, t, s, group, seeds, func(x *Exchange) wire.DRPCGatewaysServer {
		x.opts.Follower.AwaitGateways(waitLimit)
		return x
	})
}
