package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/forward"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

type failingHandler struct{ err error }

func (h failingHandler) Handle(context.Context, *forward.Request) (*forward.Response, error) {
	return nil, h.err
}

// A request that may have run is not answered with a status that promises the contrary,
// whatever the code of its failure.
func TestStatusPromisesNotRunOnlyIfSo(t *testing.T) {
	store := &memoryStore{}
	promising := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	for _, code := range []verdict.Code{
		verdict.CodeRateLimited, verdict.CodeOverloaded, verdict.CodeNoRoom, verdict.CodeNoBackendServer, verdict.CodeWeightsMismatch, verdict.CodeStaleDocument, verdict.CodeDraining,
		verdict.CodeStoreUnavailable, verdict.CodeQuarantined, verdict.CodeBackendFailed, verdict.CodeTimeout, verdict.CodeInternal, verdict.CodeStreamLost,
	} {
		for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.Ran, verdict.NotRun} {
			in := newIngress(follower.New(platform.Store(store), store, nil), testHeaders{}, failingHandler{verdict.New(v, code, "failed")}, nil)
			recorder := httptest.NewRecorder()
			in.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/x", nil))
			if slices.Contains(promising, recorder.Code) != (v == verdict.NotRun) {
				t.Errorf("%s, %v: status %d", code, v, recorder.Code)
			}
		}
	}
}
