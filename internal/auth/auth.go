// Package auth is the filter that finds out whose request it is. It removes the
// caller's key, so that no later part and no backend server sees it.
package auth

import (
	"context"
	"crypto/subtle"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// Filter authenticates requests.
type Filter struct{}

// New returns the filter.
func New() *Filter { return &Filter{} }

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "auth" }

// Handle implements pipeline.Filter.
func (f *Filter) Handle(ctx context.Context, req *request.Request, next request.Handler) (request.Stream, error) {
	credential := req.Credential
	req.Credential = ""
	if req.Route.Access == config.AccessOpen {
		req.Workspace = req.Route.Workspace
		return next.Handle(ctx, req)
	}
	key, err := Check(req.Snapshot.Config, credential)
	if err != nil {
		return nil, err
	}
	req.KeyID = key.ID
	req.Workspace = key.Workspace
	return next.Handle(ctx, req)
}

// Check returns the key that credential is the text of.
func Check(revision *config.Revision, credential string) (*config.Key, error) {
	if credential == "" {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnauthenticated, "no API key given")
	}
	id, _ := config.KeyID(credential)
	key := revision.Document.Key(id)
	digest := config.HashKey(credential)
	if key == nil || subtle.ConstantTimeCompare(digest[:], key.SHA256[:]) != 1 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnauthenticated, "the API key is not valid")
	}
	if revision.KeyWithdrawn(key.ID) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeKeyWithdrawn, "the API key was withdrawn")
	}
	return key, nil
}
