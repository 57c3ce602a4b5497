package peering

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/streamversion"
)

// A gateway learns from the others where a stream began, also while one of them does not
// respond.
func TestAskOrigin(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	dialer := rpc.NewDialer(nil)
	t.Cleanup(func() { _ = dialer.Close() })
	x := New(Options{Self: "127.0.0.1:1", Dialer: dialer})
	var streams []*streamversion.Decider
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		x.peer(listener.Addr().String()).lastReport = time.Now()
		return listener
	}
	for range 3 {
		listener, decider, mux := listen(), streamversion.NewDecider(), drpcmux.New()
		streams = append(streams, decider)
		if err := wire.DRPCRegisterStreams(mux, OriginServer{Origins: decider}); err != nil {
			t.Fatal(err)
		}
		group.Go(func() { _ = rpc.Serve(ctx, listener, mux, nil, nil) })
	}
	silent := listen()
	streams[1].RecordBegin("s", "r1", "v1", time.Now())
	streams[2].RecordBegin("s", "r2", "", time.Now())
	for id, want := range map[string]struct {
		software string
		known    bool
	}{"r1": {"v1", true}, "r2": {"", true}, "r3": {"", false}} {
		start := time.Now()
		software, known := x.AskOrigin(ctx, "s", id)
		if software != want.software || known != want.known {
			t.Errorf("%s: %q, %v, want %q, %v", id, software, known, want.software, want.known)
		}
		if took := time.Since(start); took > 3*askTimeout {
			t.Errorf("%s: asked for %v", id, took)
		}
	}
	_ = silent.Close()
	group.Go(func() { x.TellOrigins(ctx) })
	x.TellOrigin("s", "r4", "v4")
	eventually(t, "the origin of a stream of another gateway", func() bool {
		told := 0
		for _, decider := range streams {
			if software, known := decider.Origin("s", "r4"); known && software == "v4" {
				told++
			}
		}
		return told == 1
	})
	if _, known := x.AskOrigin(ctx, "other", "r1"); known {
		t.Error("the stream of another service is known")
	}
}
