package peering

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// slowEntries is a gateway that takes a while to send operators' entries, as if they were large.
type slowEntries struct {
	wire.DRPCGatewaysServer
	readers *readers
}

// readers counts, by gateway, the reads of operators' entries from others that run.
type readers struct {
	mu          sync.Mutex
	running     map[string]int
	calls, most int // of any one gateway
}

func (r *readers) begin(reader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	r.running[reader]++
	r.most = max(r.most, r.running[reader])
}

func (r *readers) end(reader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[reader]--
}

func (s *slowEntries) OperatorEntries(ctx context.Context, req *wire.OperatorEntriesRequest) (*wire.OperatorEntriesReply, error) {
	if !req.OperatorsOnly {
		return nil, errTooLarge
	}
	s.readers.begin(req.Sender)
	defer s.readers.end(req.Sender)
	select {
	case <-time.After(2 * callTimeout):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return s.DRPCGatewaysServer.OperatorEntries(ctx, req)
}

// A large configuration takes longer to send than an exchange. It is read from one gateway, not
// from all that have it at the same time, which would fill the link and be cut off each time.
func TestLargeConfigurationIsReadFromOneGateway(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	r := &readers{running: make(map[string]int)}
	s := &sharedStore{}
	s.put("op/config", "config 1")
	s.put("op/version/m", "weights m 1")
	var seeds []string
	for range 6 {
		g := newGatewayServing(ctx, t, s, &group, seeds, func(x *Exchange) wire.DRPCGatewaysServer {
			return &slowEntries{DRPCGatewaysServer: x, readers: r}
		})
		seeds = append(seeds, g.address)
	}
	late := newGateway(ctx, t, s, &group, seeds)
	eventually(t, "the first configuration", func() bool { return late.follower.Snapshot().Ready() && len(late.follower.Snapshot().Gateways) == 7 })
	late.store.setUnreachable(true)
	s.put("op/config", "config 2")
	start := time.Now()
	eventually(t, "the second configuration", func() bool { return late.follower.Snapshot().Config.Version == 2 })
	if took := time.Since(start); took > 3*time.Second { // the required bound for a change
		t.Errorf("the configuration arrived after %v, want at most 3 s", took)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.most != 1 {
		t.Errorf("%d gateways sent it to one at the same time, in %d calls", r.most, r.calls)
	}
}
