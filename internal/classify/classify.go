// Package classify provides the filter that sets a request's model, class, longest
// wait in the queue, and cost in tokens.
package classify

import (
	"context"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/tokens"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// Filter classifies requests.
type Filter struct{}

// New returns the filter.
func New() *Filter { return &Filter{} }

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "classify" }

// Handle implements pipeline.Filter.
func (f *Filter) Handle(ctx context.Context, req *request.Request, next request.Handler) (request.Stream, error) {
	req.Class = class(req)
	if req.MaxQueueWait == 0 {
		req.MaxQueueWait = req.Route.MaxQueueWait
	}
	if req.Generation == nil {
		req.Cost = req.Route.Cost
		return next.Handle(ctx, req)
	}
	if err := f.applyModel(req); err != nil {
		return nil, err
	}
	return next.Handle(ctx, req)
}

// class returns the class that the caller requested, or else the route's default,
// limited by the workspace's highest class.
func class(req *request.Request) config.Class {
	requested := req.Class
	if requested == "" {
		requested = req.Route.Class
	}
	workspace := req.Snapshot.Config.Document.Workspace(req.Workspace)
	if workspace != nil && workspace.MaxClass == config.ClassDeferrable {
		return config.ClassDeferrable
	}
	return requested
}

// applyModel sets the fields that depend on the model, and checks that the request
// fits the model's context.
func (f *Filter) applyModel(req *request.Request) error {
	generation := req.Generation
	model := req.Snapshot.Config.Document.Model(generation.ModelName)
	if model == nil {
		return verdict.New(verdict.NotRun, verdict.CodeModelNotFound, "the model %q does not exist", generation.ModelName)
	}
	generation.Model = model
	generation.WeightsVersion = model.WeightsVersion
	prompt := tokens.Count(len(generation.Prompt))
	if generation.MaxTokens == 0 {
		generation.MaxTokens = min(model.DefaultMaxTokens, max(1, model.ContextTokens-prompt))
	}
	if prompt+generation.MaxTokens > model.ContextTokens {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest,
			"the prompt's %d tokens and %d tokens of completion are more than the model's context of %d tokens",
			prompt, generation.MaxTokens, model.ContextTokens)
	}
	req.Cost = int64(prompt + generation.MaxTokens)
	return nil
}
