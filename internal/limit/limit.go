// Package limit holds every workspace to its rate and burst, counted in tokens
// over all routers. Each workspace's bucket is split into shards; the shard
// table names the router that owns each one. A router that lacks tokens debits
// its peers.
package limit

import (
	"context"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// Limiter draws tokens for requests. It is safe for concurrent use.
type Limiter interface {
	// Acquire draws cost tokens of the workspace's bucket, waiting at most until
	// the limiter's bound or ctx ends. It returns a *verdict.Error with verdict
	// NotRun when the tokens can't be had: CodeCostAboveBurst,
	// CodeRateLimited with a retry time, or CodeStoreUnavailable when no shard
	// is owned by any router.
	Acquire(ctx context.Context, workspace string, cost int64, requestID string) (Grant, error)
}

// Grant is a reservation of tokens.
type Grant interface {
	// Draws says where the tokens were taken from.
	Draws() []*wire.Draw
	// Settle replaces the reservation by the tokens that were used: the rest is
	// refunded, and a surplus is drawn even if a level becomes negative. Only
	// the first call counts.
	Settle(used int64)
}

// Peers reaches the limiters of the other routers.
type Peers interface {
	// Addresses returns the rpc addresses of the other routers.
	Addresses() []string
	Debit(ctx context.Context, address string, req *wire.DebitRequest) (*wire.DebitReply, error)
	Credit(ctx context.Context, address string, req *wire.CreditRequest) (*wire.CreditReply, error)
	Levels(ctx context.Context, address string, req *wire.LevelsRequest) (*wire.LevelsReply, error)
}
