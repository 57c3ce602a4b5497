package client

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/conntrace"
	"github.com/wasabigate/wasabigate/internal/conntrace/conntracetest"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// A write to which the service answers early, without a length, before it resets the connection
// is not taken for one that was carried out.
func TestResetDuringAWrite(t *testing.T) {
	server := conntracetest.NewEarlyServer(t, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + `{"version":7}` })
	client := NewPieceStore("http://"+server.Address, callTimeout)
	client.http.Transport.(*conntrace.Transport).Base.DialContext = conntrace.Remember(server.DialContext)
	if err := client.Put(t.Context(), platform.Piece{ID: "p", Data: make([]byte, conntracetest.UploadBytes)}); !errors.Is(err, platform.ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrOutcomeUnknown", err)
	}
}

// A response that breaks off after a value, or has another value after it, is not complete.
func TestResponseThatIsNotOneValue(t *testing.T) {
	for _, rest := range []string{"", `{"version":8}`} {
		client := NewKV(serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if rest == "" {
				w.Header().Set("Content-Length", "99")
			}
			_, _ = fmt.Fprint(w, `{"version":7}`, rest)
		})), callTimeout)
		t.Cleanup(client.Close)
		if err := swap(t.Context(), client, "new", 1); !errors.Is(err, platform.ErrOutcomeUnknown) {
			t.Errorf("rest %q: write: %v, want ErrOutcomeUnknown", rest, err)
		}
		if _, err := client.Get(t.Context(), "k"); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("rest %q: read: %v, want ErrUnavailable", rest, err)
		}
	}
}
