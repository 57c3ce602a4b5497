// Package limit is a distributed token-bucket rate limiter. It limits every
// workspace to its rate and burst, in tokens summed over all routers. Each
// workspace's bucket is split into shards; the shard table names the router that
// owns each shard. A router that lacks tokens debits its peers.
package limit

import (
	"context"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// Limiter reserves tokens for requests. It is safe for concurrent use.
type Limiter interface {
	// Acquire reserves cost tokens of the workspace's bucket. It waits for them
	// until the limiter's longest wait is over or ctx ends. If the tokens are not
	// available, it returns a *verdict.Error with verdict NotRun:
	// CodeCostAboveBurst, CodeRateLimited with a retry time, or
	// CodeStoreUnavailable when no shard has an owner.
	Acquire(ctx context.Context, workspace string, cost int64, requestID string) (Grant, error)
}

// Grant is a reservation of tokens.
type Grant interface {
	// Draws lists the shards and owners that the tokens were taken from.
	Draws() []*wire.Draw
	// Settle replaces the reservation by the tokens that were used: unused tokens
	// are refunded, and a surplus is charged even if a level becomes negative.
	// Only the first call has an effect.
	Settle(used int64)
}

// Peers calls the limiters of the other routers.
type Peers interface {
	// Addresses returns the RPC addresses of the other routers.
	Addresses() []string
	Debit(ctx context.Context, address string, req *wire.DebitRequest) (*wire.DebitReply, error)
	Credit(ctx context.Context, address string, req *wire.CreditRequest) (*wire.CreditReply, error)
	Levels(ctx context.Context, address string, req *wire.LevelsRequest) (*wire.LevelsReply, error)
}
