package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// The received calls, the executions and the faults are accessible over HTTP.
func TestAdminPaths(t *testing.T) {
	s := New("desk")
	defer s.Close()
	handler := Handler(s)
	send := func(method, path, body string) *httptest.ResponseRecorder {
		req := httptest.NewRequest(method, path, strings.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-Secret", "s3cret")
		req.Header.Set(HeaderIdempotencyKey, "k")
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, req)
		return response
	}
	if response := send(http.MethodPost, PathFaults, `{"cross_ids": 1, "delay_ms": 20}`); response.Code != http.StatusNoContent {
		t.Fatalf("faults: status %d", response.Code)
	}
	start := time.Now()
	if id := send(http.MethodPost, PathOrders, "badge").Header().Get("X-Request-Id"); id != otherRequestID || time.Since(start) < 20*time.Millisecond {
		t.Errorf("id %q after %v", id, time.Since(start))
	}
	send(http.MethodPost, PathCertificates, "badge")
	var executions Executions
	if err := json.Unmarshal(send(http.MethodGet, PathExecutions, "").Body.Bytes(), &executions); err != nil {
		t.Fatal(err)
	}
	if executions.ByKey["k"] != 2 || executions.ByBody["order badge"] != 1 || executions.ByBody["certificate badge"] != 1 {
		t.Errorf("executions %+v", executions)
	}
	if seen := send(http.MethodGet, PathSeen, "").Body.String(); strings.Count(seen, "s3cret") != 2 {
		t.Errorf("seen %s", seen)
	}
}
