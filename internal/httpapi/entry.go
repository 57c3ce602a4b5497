package httpapi

import (
	"context"

	"github.com/wasabigate/wasabigate/internal/inflight"
	"github.com/wasabigate/wasabigate/internal/request"
)

type entryKey struct{}

func withEntry(ctx context.Context, entry *inflight.Entry) context.Context {
	return context.WithValue(ctx, entryKey{}, entry)
}

// KeyFilter records each request's key in the registry of running requests. It
// must come after authentication in the chain.
type KeyFilter struct{}

// Name implements pipeline.Filter.
func (KeyFilter) Name() string { return "inflight" }

// Handle implements pipeline.Filter.
func (KeyFilter) Handle(ctx context.Context, req *request.Request, next request.Handler) (request.Stream, error) {
	if entry, ok := ctx.Value(entryKey{}).(*inflight.Entry); ok {
		entry.SetKey(req.KeyID)
	}
	return next.Handle(ctx, req)
}
