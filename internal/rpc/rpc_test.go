package rpc

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// firstFrame sends one frame on each stream and then leaves the stream open until the
// client cancels it, like a sidecar whose last frame was read but not its end.
type firstFrame struct{}

func (firstFrame) HandleRPC(stream drpc.Stream, _ string) error {
	if err := stream.MsgRecv(&wire.ExecuteRequest{}, protoEncoding{}); err != nil {
		return err
	}
	if err := stream.MsgSend(&wire.Frame{Sequence: 1}, protoEncoding{}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

// slowConn delays each write, as on a busy machine.
type slowConn struct {
	net.Conn
	delay func() time.Duration
}

func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(c.delay())
	return c.Conn.Write(p)
}

// TestCancelledStreamDoesNotBreakTheNext cancels streams while writes take about as long
// as a soft cancel may. The next call on the connection must not fail.
func TestCancelledStreamDoesNotBreakTheNext(t *testing.T) {
	const clients, calls = 16, 60
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var server sync.WaitGroup
	server.Go(func() { _ = Serve(ctx, listener, firstFrame{}, nil, nil) })
	defer server.Wait()
	defer stop()
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			dialer := NewDialerFunc(func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return slowConn{conn, func() time.Duration { return 4*time.Millisecond + rand.N(2*time.Millisecond) }}, err
			})
			defer dialer.Close()
			for n := range calls {
				if err := callAndCancel(t.Context(), dialer, listener.Addr().String()); err != nil {
					t.Errorf("call %d: %v", n, err)
					return
				}
			}
		})
	}
	group.Wait()
}

// callAndCancel opens a stream, reads its first frame and cancels it.
func callAndCancel(ctx context.Context, dialer *Dialer, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := wire.NewDRPCBackendClient(dialer.Conn(ctx, address)).Execute(ctx, &wire.ExecuteRequest{})
	if err != nil {
		return errors.Wrap(err, "execute")
	}
	if _, err := stream.Recv(); err != nil {
		return errors.Wrap(err, "receive")
	}
	cancel()
	<-stream.Context().Done() // the connection is in the pool again
	return nil
}

// protoEncoding encodes messages as the generated code does.
type protoEncoding struct{}

func (protoEncoding) Marshal(message drpc.Message) ([]byte, error) {
	return proto.Marshal(message.(proto.Message))
}

func (protoEncoding) Unmarshal(data []byte, message drpc.Message) error {
	return proto.Unmarshal(data, message.(proto.Message))
}

// panicking panics on the first call, like a handler of a malformed message.
type panicking struct{ calls *atomic.Int64 }

func (p panicking) HandleRPC(stream drpc.Stream, _ string) error {
	if p.calls.Add(1) == 1 {
		panic("malformed message")
	}
	return stream.MsgSend(&wire.CancelReply{}, protoEncoding{})
}

// TestPanicEndsOnlyTheCall checks that a call after one that panicked is served.
func TestPanicEndsOnlyTheCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var server sync.WaitGroup
	server.Go(func() { _ = Serve(ctx, listener, panicking{&atomic.Int64{}}, nil, nil) })
	defer server.Wait()
	defer stop()
	dialer := NewDialer(nil)
	defer dialer.Close()
	client := wire.NewDRPCBackendClient(dialer.Conn(ctx, listener.Addr().String()))
	if _, err := client.Cancel(ctx, &wire.CancelRequest{}); err == nil {
		t.Error("the call whose handler panicked succeeded")
	}
	if _, err := client.Cancel(ctx, &wire.CancelRequest{}); err != nil {
		t.Errorf("the next call: %v", err)
	}
}
