package forward

import (
	"context"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// Authenticate sets the workspace of a request from its API key. It removes the key
// from the request, so that no backend server sees it.
type Authenticate struct{}

// Name implements pipeline.Filter.
func (Authenticate) Name() string { return "authenticate" }

// Handle implements pipeline.Filter.
func (Authenticate) Handle(ctx context.Context, req *Request, next Handler) (*Response, error) {
	credential := req.Credential
	req.Credential = ""
	if credential != "" {
		req.Workspace = req.Snapshot.Config.Workspace(deployment.DigestKey(credential))
	}
	if req.Workspace == nil && req.Snapshot.Config.NeedsKeys() && !req.Route.Public {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnauthenticated, "the API key is not valid")
	}
	return next.Handle(ctx, req)
}
