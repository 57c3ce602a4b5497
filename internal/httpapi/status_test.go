package httpapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

type failingHandler struct{ err error }

func (h failingHandler) Handle(context.Context, *request.Request) (request.Stream, error) {
	return nil, h.err
}

// A request that may have run is not answered with a status that promises the contrary,
// whatever the code of its failure.
func TestStatusPromisesNotRunOnlyIfSo(t *testing.T) {
	for _, code := range []verdict.Code{verdict.CodeOverloaded, verdict.CodeNoRoom, verdict.CodeNoBackendServer, verdict.CodeDraining, verdict.CodeRateLimited, verdict.CodeWeightsMismatch, verdict.CodeStoreUnavailable, verdict.CodeQuarantined} {
		for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.Ran, verdict.NotRun} {
			server, _ := newServer(failingHandler{verdict.New(v, code, "failed")})
			recorder := httptest.NewRecorder()
			server.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/desk/lookup/7", nil))
			promises := recorder.Code == http.StatusServiceUnavailable || recorder.Code == http.StatusTooManyRequests
			if promises != (v == verdict.NotRun) {
				t.Errorf("%s, %v: status %d", code, v, recorder.Code)
			}
		}
	}
}
