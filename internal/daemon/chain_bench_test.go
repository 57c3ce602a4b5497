package daemon

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/apex/log"

	"github.com/wasabigate/wasabigate/internal/auth"
	"github.com/wasabigate/wasabigate/internal/classify"
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/httpapi"
	"github.com/wasabigate/wasabigate/internal/limit"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/relay"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/route"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// freeLimiter grants everything.
type freeLimiter struct{}

func (freeLimiter) Acquire(context.Context, string, int64, string) (limit.Grant, error) {
	return freeGrant{}, nil
}

type freeGrant struct{}

func (freeGrant) Draws() []*wire.Draw { return nil }
func (freeGrant) Settle(int64)        {}

// answered is a stream of one frame.
type answered struct{ done bool }

func (s *answered) Next(context.Context) (*wire.Frame, error) {
	if s.done {
		return nil, io.EOF
	}
	s.done = true
	return &wire.Frame{Sequence: 1, Tail: &wire.Tail{}}, nil
}

func (*answered) Close(bool) {}

// BenchmarkChain is the cost of the router's filters, without the limiter's own
// and without dispatch, for a prompt of 500 blocks.
func BenchmarkChain(b *testing.B) {
	log.SetLevel(log.WarnLevel)
	key := config.NewKey("k")
	document := &config.Document{
		Models:     []config.Model{{Name: "m", Group: "engines", WeightsVersion: "v", ContextTokens: 1 << 16, DefaultMaxTokens: 16}},
		Workspaces: []config.Workspace{{Name: "w", Rate: 1, Burst: 1}},
		Keys:       []config.Key{{ID: "k", Workspace: "w", SHA256: config.HashKey(key)}},
	}
	document.BuildIndex()
	var vms []platform.VM
	for _, name := range strings.Fields("a b c d e f g h i j k l") {
		vms = append(vms, platform.VM{Name: name, Address: name, Group: "engines", State: platform.VMLive})
	}
	cell := control.NewCell(&control.Snapshot{Config: &config.Revision{Document: document}, View: membership.NewView(vms)})
	routing, err := route.New(&config.Settings{Router: config.RouterSettings{Policy: route.PolicyOwn}}, cell, route.NewTracker(), prefix.NewIndex(10_000))
	if err != nil {
		b.Fatal(err)
	}
	last := pipeline.HandlerFunc[*request.Request, request.Stream](func(context.Context, *request.Request) (request.Stream, error) {
		return &answered{}, nil
	})
	chain := pipeline.Chain[*request.Request, request.Stream](last, auth.New(), httpapi.KeyFilter{}, classify.New(),
		limit.NewFilter(freeLimiter{}, cell), relay.New(cell, nil), routing)
	prompt := strings.Repeat("p", 500*prefix.BlockBytes)
	generationRoute := &config.Route{Name: "chat", Class: config.ClassUrgent, Access: config.AccessKey}
	run := func() {
		req := &request.Request{ID: "r", Credential: key, Snapshot: cell.Snapshot(), Route: generationRoute,
			Generation: &request.Generation{ModelName: "m", Prompt: prompt}}
		stream, err := chain.Handle(context.Background(), req)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := stream.Next(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	run() // waits until the router counts as warm
	b.ReportAllocs()
	for b.Loop() {
		run()
	}
}
