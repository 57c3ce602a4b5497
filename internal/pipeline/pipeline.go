// Package pipeline defines the filter chain from which the router and the sidecar are
// built. A filter processes a request and calls the next handler, or returns without
// calling it.
package pipeline

import "context"

// Handler processes a request of type Req and returns a result of type Res.
type Handler[Req, Res any] interface {
	Handle(ctx context.Context, req Req) (Res, error)
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc[Req, Res any] func(ctx context.Context, req Req) (Res, error)

// Handle calls f.
func (f HandlerFunc[Req, Res]) Handle(ctx context.Context, req Req) (Res, error) {
	return f(ctx, req)
}

// Filter is one step of a chain. It may call next any number of times: not at all to
// refuse a request, more than once to retry it.
type Filter[Req, Res any] interface {
	// Name is the filter's name in logs and metrics.
	Name() string
	Handle(ctx context.Context, req Req, next Handler[Req, Res]) (Res, error)
}

// Chain returns a handler that runs the filters in the order given and then last.
func Chain[Req, Res any](last Handler[Req, Res], filters ...Filter[Req, Res]) Handler[Req, Res] {
	handler := last
	for i := len(filters) - 1; i >= 0; i-- {
		handler = link[Req, Res]{filter: filters[i], next: handler}
	}
	return handler
}

type link[Req, Res any] struct {
	filter Filter[Req, Res]
	next   Handler[Req, Res]
}

func (l link[Req, Res]) Handle(ctx context.Context, req Req) (Res, error) {
	return l.filter.Handle(ctx, req, l.next)
}
