package client

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
)

// An answer whose status is no status of a final response is that of a broken engine or
// service, and holds no call for longer than its deadline.
func TestImpossibleStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					reader := bufio.NewReader(conn)
					if _, err := http.ReadRequest(reader); err == nil {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: 0\r\n\r\n", status)
						_, _ = conn.Read(make([]byte, 1)) // until the client closes the connection
					}
				}()
			}
		}()
		e, s := NewEngine("http://"+listener.Addr().String()), NewService("http://"+listener.Addr().String())
		for name, call := range map[string]func(ctx context.Context) error{
			"call": func(ctx context.Context) error {
				_, err := s.Call(ctx, engine.CallRequest{RequestID: "r1", Method: http.MethodPost, Path: "/x"})
				return err
			},
			"generation": func(ctx context.Context) error {
				_, err := e.Generate(ctx, engine.GenerateRequest{RequestID: "r1"})
				return err
			},
			"order": func(ctx context.Context) error { return e.Apply(ctx, engine.Order{}) },
			"state": func(ctx context.Context) error { _, err := e.State(ctx); return err },
		} {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			ended := make(chan error, 1)
			go func() { ended <- call(ctx) }()
			select {
			case err := <-ended:
				if !errors.Is(err, engine.ErrBroken) {
					t.Errorf("status %s, %s: got %v, want ErrBroken", status, name, err)
				}
			case <-time.After(3 * time.Second):
				t.Errorf("status %s, %s: goes on after its deadline", status, name)
			}
			cancel()
		}
	}
}
