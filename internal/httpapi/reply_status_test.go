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
