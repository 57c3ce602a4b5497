// Package auth provides the filter that authenticates requests. It removes the
// caller's key, so that no later filter and no backend server sees it.
package auth

import (
	"bytes"
	"context"
	"crypto/subtle"
	"slices"
	"strings"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
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
	if credential != "" && leaksCredential(req, credential) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest,
			"the request repeats its API key outside of the header for it, where a backend server would see it")
	}
	if req.Route.Access == config.AccessOpen {
		req.Workspace = req.Route.Workspace
		return next.Handle(ctx, req)
	}
	key, err := Authenticate(req.Snapshot.Config, credential)
	if err != nil {
		return nil, err
	}
	req.KeyID = key.ID
	req.Workspace = key.Workspace
	return next.Handle(ctx, req)
}

// Authenticate returns the key that matches credential, unless it is withdrawn.
func Authenticate(revision *config.Revision, credential string) (*config.Key, error) {
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

// leaksCredential reports whether the part of the request that is sent to a backend
// server contains the credential.
func leaksCredential(req *request.Request, credential string) bool {
	if call := req.Call; call != nil {
		return callContains(call, credential)
	}
	generation := req.Generation
	if generation == nil {
		return false
	}
	return strings.Contains(generation.Prompt, credential) || slices.ContainsFunc(generation.Stop, func(stop string) bool {
		return strings.Contains(stop, credential)
	})
}

// callContains reports whether the path, idempotency key, body or a header of the call
// contains the credential.
func callContains(call *wire.Call, credential string) bool {
	if strings.Contains(call.GetPath(), credential) || strings.Contains(call.GetIdempotencyKey(), credential) {
		return true
	}
	if bytes.Contains(call.GetBody(), []byte(credential)) {
		return true
	}
	return slices.ContainsFunc(call.GetHeaders(), func(header *wire.Header) bool {
		return strings.Contains(header.GetValue(), credential) || strings.Contains(header.GetName(), credential)
	})
}
