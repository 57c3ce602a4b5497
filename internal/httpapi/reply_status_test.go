package httpapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// replyHandler answers a call with a plain service's reply.
type replyHandler struct{ status int32 }

func (h replyHandler) Handle(context.Context, *request.Request) (request.Stream, error) {
	return &replyStream{&wire.Frame{Reply: &wire.Reply{Status: h.status}}}, nil
}

type replyStream struct{ frame *wire.Frame }

func (s *replyStream) Next(context.Context) (*wire.Frame, error) {
	frame := s.frame
	if frame == nil {
		return nil, io.EOF
	}
	s.frame = nil
	return frame, nil
}

func (*replyStream) Close(bool) {}

// The reply of a plain service that has run the call bears no status that promises the
// contrary, whatever status the service gave.
func TestReplyOfACallThatRanPromisesNothing(t *testing.T) {
	for _, status := range []int32{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		server, _ := newServer(replyHandler{status})
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/desk/orders", http.NoBody))
		if recorder.Header().Get(HeaderVerdict) == verdict.Ran.String() && verdict.PromisesNotRun(recorder.Code) {
			t.Errorf("status %d with verdict %q", recorder.Code, recorder.Header().Get(HeaderVerdict))
		}
	}
}

// A reply whose status is no status of a final response is a failure of the service. Writing it
// would panic, or pass on what callers can't interpret.
func TestReplyWithImpossibleStatus(t *testing.T) {
	for _, status := range []int32{-1, 0, 99, 100, 101, 600, 999} {
		server, _ := newServer(replyHandler{status})
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/desk/orders", http.NoBody))
		if recorder.Code != http.StatusBadGateway || recorder.Header().Get(HeaderVerdict) == verdict.NotRun.String() {
			t.Errorf("status %d: got %d with verdict %q", status, recorder.Code, recorder.Header().Get(HeaderVerdict))
		}
	}
}
