package peering

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// counting is a gateway that counts the exchanges that others begin.
type counting struct {
	wire.DRPCGatewaysServer
	exchanges *atomic.Int64
}

func (c counting) Exchange(ctx context.Context, report *wire.GatewayReport) (*wire.GatewayReport, error) {
	c.exchanges.Add(1)
	return c.DRPCGatewaysServer.Exchange(ctx, report)
}

// A gateway that waits for a newer configuration calls the others no more often than usual: its
// link and its processor are what it waits for.
func TestGatewayThatIsBehindDoesNotCallInALoop(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	s := &sharedStore{}
	s.put("op/config", largeConfig(1))
	var exchanges atomic.Int64
	sender := newGatewayServing(ctx, t, s, &group, nil, func(x *Exchange) wire.DRPCGatewaysServer { return counting{x, &exchanges} })
	link := newTestLink(halfOfThinLink)
	thin := newGatewayDialing(ctx, t, s, &group, []string{sender.address}, func(x *Exchange) wire.DRPCGatewaysServer { return x }, rpc.NewDialerFunc(link.dial))
	thin.store.setUnreachable(true)
	begun := time.Now()
	eventually(t, "the configuration", func() bool { return configVersion(thin.follower.Snapshot()) == 1 })
	// both begin one, if each takes the other for the one that is to be called
	usual := 2 * (1 + int64(time.Since(begun)/minInterval))
	if n := exchanges.Load(); n > 2*usual {
		t.Errorf("%d exchanges in %v, want at most %d", n, time.Since(begun).Round(time.Millisecond), 2*usual)
	}
}
