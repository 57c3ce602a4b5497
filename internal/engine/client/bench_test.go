package client_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/client"
	"github.com/wasabigate/wasabigate/internal/standin/model"
	"github.com/wasabigate/wasabigate/internal/standin/service"
)

// instantTimeScale is the time scale of an engine that responds without delay.
const instantTimeScale = 1e9

func benchEngine(b *testing.B) *client.Engine {
	e := model.New(model.Options{Loaded: []engine.LoadedWeights{weights}, TimeScale: instantTimeScale})
	b.Cleanup(e.Close)
	c := client.NewEngine(serve(b, func(ctx context.Context, l net.Listener) error { return model.Serve(ctx, e, l) }))
	b.Cleanup(c.CloseIdleConnections)
	return c
}

func BenchmarkState(b *testing.B) {
	c := benchEngine(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.State(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStream reports the time per token of a stream over HTTP, for the stand-in
// and the client together.
func BenchmarkStream(b *testing.B) {
	const streamTokens = 256
	c := benchEngine(b)
	b.ReportAllocs()
	for b.Loop() {
		if got := generate(b.Context(), c, request("a", streamTokens)); got.err != nil {
			b.Fatal(got.err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/streamTokens, "ns/token")
}

func BenchmarkServiceCall(b *testing.B) {
	s := service.New("desk")
	b.Cleanup(s.Close)
	c := client.NewService(serve(b, func(ctx context.Context, l net.Listener) error { return service.Serve(ctx, s, l) }))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Call(b.Context(), engine.CallRequest{RequestID: "a", Method: http.MethodGet, Path: "/jobs/1"}); err != nil {
			b.Fatal(err)
		}
	}
}
