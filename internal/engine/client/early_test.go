package client

import (
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/conntrace"
	"github.com/wasabigate/wasabigate/internal/conntrace/conntracetest"
	"github.com/wasabigate/wasabigate/internal/engine"
)

// dialOnly makes a client connect to a server that answers early.
func dialOnly(client *http.Client, server *conntracetest.EarlyServer) {
	client.Transport.(*conntrace.Transport).Base.DialContext = conntrace.Remember(server.DialContext)
}

// A call whose server answers before it has read the call, without a length, and resets the
// connection is not taken for one that has been executed.
func TestResetDuringTheUpload(t *testing.T) {
	body := make([]byte, conntracetest.UploadBytes)
	for name, call := range map[string]func(server *conntracetest.EarlyServer) error{
		"call to a plain service": func(server *conntracetest.EarlyServer) error {
			s := NewService("http://" + server.Address)
			dialOnly(s.http, server)
			_, err := s.Call(t.Context(), engine.CallRequest{RequestID: "r1", Method: http.MethodPost, Path: "/x", Body: body})
			return err
		},
		"import of a piece": func(server *conntracetest.EarlyServer) error {
			e := NewEngine("http://" + server.Address)
			dialOnly(e.unnamed, server)
			return e.ImportPiece(t.Context(), "salt", nil, body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := conntracetest.NewEarlyServer(t, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\npart" })
			if err := call(server); !errors.Is(err, engine.ErrBroken) {
				t.Errorf("got %v, want ErrBroken", err)
			}
		})
	}
}
