package client_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/client"
	"github.com/wasabigate/wasabigate/internal/standin/service"
)

func order(id string) engine.CallRequest {
	return engine.CallRequest{
		RequestID: id, Method: http.MethodPost, Path: service.PathOrders, Body: []byte(`{"badge":"a"}`),
		Header: http.Header{service.HeaderIdempotencyKey: {"key-" + id}},
	}
}

// Every fault must give an error that agrees with its effect: never ErrUnreachable
// for an order that was executed.
func TestServiceContract(t *testing.T) {
	cases := []struct {
		name     string
		faults   service.Faults
		call     engine.CallRequest
		want     error
		status   int
		echoed   string
		executed int
	}{
		{"order", service.Faults{}, order("a"), nil, http.StatusCreated, "a", 1},
		{"lookup", service.Faults{}, engine.CallRequest{RequestID: "a", Method: http.MethodGet, Path: "/lookup/x?y=z"}, nil, http.StatusOK, "a", 0},
		{"unknown path", service.Faults{}, engine.CallRequest{RequestID: "a", Method: http.MethodGet, Path: "/none"}, nil, http.StatusNotFound, "a", 0},
		{"down", service.Faults{Down: true}, order("a"), engine.ErrUnreachable, 0, "", 0},
		{"crash before the effect", service.Faults{CrashBefore: 1, DownTime: time.Hour}, order("a"), engine.ErrBroken, 0, "", 0},
		{"crash after the effect", service.Faults{CrashAfter: 1, DownTime: time.Hour}, order("a"), engine.ErrBroken, 0, "", 1},
		{"cut after the effect", service.Faults{CutAfter: 1}, order("a"), engine.ErrBroken, 0, "", 1},
		{"late response", service.Faults{Delay: downTime}, order("a"), nil, http.StatusCreated, "a", 1},
		{"response after the deadline", service.Faults{Delay: time.Hour}, order("a"), engine.ErrBroken, 0, "", 1},
		{"id of another request", service.Faults{CrossIDs: 1}, order("a"), nil, http.StatusCreated, "crossed-request", 1},
	}
	for _, transport := range transports {
		for _, c := range cases {
			t.Run(transport.name+"/"+c.name, func(t *testing.T) {
				s := service.New("desk")
				t.Cleanup(s.Close)
				target := transport.service(t, s)
				s.SetFaults(c.faults)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				reply, err := target.Call(ctx, c.call)
				if !errors.Is(err, c.want) {
					t.Errorf("got %v, want %v", err, c.want)
				}
				if err == nil && (reply.Status != c.status || reply.RequestID != c.echoed) {
					t.Errorf("got status %d and id %q, want %d and %q", reply.Status, reply.RequestID, c.status, c.echoed)
				}
				if got := len(s.Executions().All); got != c.executed {
					t.Errorf("executed %d times, want %d", got, c.executed)
				}
			})
		}
	}
}

// Guards against net/http resending a call on a reused connection that the server
// closes after reading the request: the server must see each call exactly once.
func TestServiceNeverRepeatsACall(t *testing.T) {
	calls := []engine.CallRequest{
		order("with a body"),
		{RequestID: "g", Method: http.MethodGet, Path: "/jobs/1"},
		{RequestID: "k", Method: http.MethodPost, Path: "/orders", Header: http.Header{"Idempotency-Key": {"k"}}},
	}
	for _, call := range calls {
		var seen atomic.Int64
		base := serve(t, func(ctx context.Context, l net.Listener) error {
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(engine.HeaderRequestID) != "" && seen.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(http.StatusNoContent)
			})
			server := &http.Server{Handler: handler}
			context.AfterFunc(ctx, func() { _ = server.Close() })
			_ = server.Serve(l)
			return nil
		})
		c := client.NewService(base)
		if _, err := c.Call(t.Context(), call); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Call(t.Context(), call); !errors.Is(err, engine.ErrBroken) {
			t.Errorf("%s: got %v, want ErrBroken", call.RequestID, err)
		}
		if seen.Load() != 2 {
			t.Errorf("%s: the server saw %d requests, want 2", call.RequestID, seen.Load())
		}
	}
}

func TestServiceRefusesPathsThatChangeTheHost(t *testing.T) {
	c := client.NewService("http://127.0.0.1:1")
	for _, path := range []string{"", "@127.0.0.2:1/", "lookup"} {
		_, err := c.Call(t.Context(), engine.CallRequest{Method: http.MethodGet, Path: path})
		if !errors.Is(err, engine.ErrRefused) {
			t.Errorf("path %q: got %v, want ErrRefused", path, err)
		}
	}
	if _, err := c.Call(t.Context(), engine.CallRequest{Method: http.MethodGet, Path: "/"}); !errors.Is(err, engine.ErrUnreachable) || strings.Contains(err.Error(), "refused by") {
		t.Errorf("closed port: got %v, want ErrUnreachable", err)
	}
}
