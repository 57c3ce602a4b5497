package daemon

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

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
	"github.com/wasabigate/wasabigate/internal/retrybudget"
	"github.com/wasabigate/wasabigate/internal/route"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// unlimitedLimiter grants every request.
type unlimitedLimiter struct{}

func (unlimitedLimiter) Acquire(context.Context, string, int64, string) (limit.Grant, error) {
	return emptyGrant{}, nil
}

type emptyGrant struct{}

func (emptyGrant) Draws() []*wire.Draw { return nil }
func (emptyGrant) Settle(int64)        {}

// singleFrameStream is a stream of one frame.
type singleFrameStream struct{ done bool }

func (s *singleFrameStream) Next(context.Context) (*wire.Frame, error) {
	if s.done {
		return nil, io.EOF
	}
	s.done = true
	return &wire.Frame{Sequence: 1, Tail: &wire.Tail{}}, nil
}

func (*singleFrameStream) Close(bool) {}

// BenchmarkChain measures the router's filter chain for a prompt of 500 blocks,
// without dispatch and with a limiter that does nothing.
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
	source := control.NewAtomicSource(&control.Snapshot{Config: &config.Revision{Document: document}, View: membership.NewView(vms)})
	routing, err := route.New(&config.Settings{Router: config.RouterSettings{Policy: route.PolicyPrefixAware}}, source, route.NewTracker(), prefix.NewIndex(10_000))
	if err != nil {
		b.Fatal(err)
	}
	last := pipeline.HandlerFunc[*request.Request, request.Stream](func(context.Context, *request.Request) (request.Stream, error) {
		return &singleFrameStream{}, nil
	})
	chain := pipeline.Chain[*request.Request, request.Stream](last, auth.New(), httpapi.KeyFilter{}, classify.New(),
		limit.NewFilter(unlimitedLimiter{}, source), relay.New(source, nil, retrybudget.New(retrybudget.Bound{}, time.Now())), routing)
	prompt := strings.Repeat("p", 500*prefix.BlockBytes)
	generationRoute := &config.Route{Name: "chat", Class: config.ClassUrgent, Access: config.AccessKey}
	run := func() {
		req := &request.Request{ID: "r", Credential: key, Snapshot: source.Snapshot(), Route: generationRoute,
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
