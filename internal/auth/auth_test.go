package auth

import (
	"context"
	"testing"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

func revisionWith(withdrawn string, keys ...string) *config.Revision {
	document := &config.Document{}
	for _, key := range keys {
		id, _ := config.KeyID(key)
		document.Keys = append(document.Keys, config.Key{ID: id, Workspace: "of-" + id, SHA256: config.HashKey(key)})
	}
	document.BuildIndex()
	return &config.Revision{Document: document, Withdrawn: map[string]struct{}{withdrawn: {}}}
}

func TestRequestsRunOnlyForTheWorkspaceOfTheirKey(t *testing.T) {
	first, second, withdrawn := config.NewKey("first-1"), config.NewKey("second"), config.NewKey("old")
	revision := revisionWith("old", first, second, withdrawn)
	open := &config.Route{Access: config.AccessOpen, Workspace: "public"}
	closed := &config.Route{Access: config.AccessKey}
	cases := []struct {
		name       string
		route      *config.Route
		credential string
		call       *wire.Call
		workspace  string
		code       verdict.Code
	}{
		{"key", closed, first, nil, "of-first-1", ""},
		{"other key", closed, second, nil, "of-second", ""},
		{"no key", closed, "", nil, "", verdict.CodeUnauthenticated},
		{"id of one key, secret of another", closed, "wg-first-1" + second[len("wg-second"):], nil, "", verdict.CodeUnauthenticated},
		{"unknown key", closed, config.NewKey("third"), nil, "", verdict.CodeUnauthenticated},
		{"withdrawn key", closed, withdrawn, nil, "", verdict.CodeKeyWithdrawn},
		{"open route without key", open, "", nil, "public", ""},
		{"open route ignores a key", open, first, nil, "public", ""},
		{"key in the path", closed, first, &wire.Call{Path: "/lookup?key=" + first}, "", verdict.CodeInvalidRequest},
		{"key in the body", closed, first, &wire.Call{Body: []byte(`{"key":"` + first + `"}`)}, "", verdict.CodeInvalidRequest},
		{"key in another header", closed, first, &wire.Call{Headers: []*wire.Header{{Name: "X-Note", Value: first}}}, "", verdict.CodeInvalidRequest},
		{"key in the path of an open route", open, first, &wire.Call{Path: "/lookup?key=" + first}, "", verdict.CodeInvalidRequest},
		{"key as idempotency key", closed, first, &wire.Call{IdempotencyKey: first}, "", verdict.CodeInvalidRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reached := false
			next := pipeline.HandlerFunc[*request.Request, request.Stream](func(context.Context, *request.Request) (request.Stream, error) {
				reached = true
				return nil, nil
			})
			req := &request.Request{Route: c.route, Credential: c.credential, Call: c.call, Snapshot: &control.Snapshot{Config: revision}}
			_, err := New().Handle(t.Context(), req, next)
			if req.Credential != "" {
				t.Error("the credential was not removed from the request")
			}
			if c.code == "" {
				if err != nil || !reached || req.Workspace != c.workspace {
					t.Errorf("workspace %q, error %v", req.Workspace, err)
				}
				return
			}
			if failure := verdict.From(err); reached || failure == nil || failure.Code != c.code || failure.Verdict != verdict.NotRun {
				t.Errorf("reached %v, error %v, want %s", reached, err, c.code)
			}
		})
	}
}
