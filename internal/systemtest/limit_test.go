package systemtest

import (
	"net/http"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/standin/model"
)

// An engine that names a limit gets no more requests from all routers together, and the
// requests go to the other engines.
func TestEngineThatNamesALimit(t *testing.T) {
	const (
		limitApply = 3 * time.Second
		window     = 4 * time.Second
		allowed    = 1.5*4 + 5 // of a limit of 1 a second, in window
	)
	s := start(t, plan{routers: 3, engines: 3, engine: model.Options{DecodeStep: time.Millisecond}})
	limited := s.engines[0]
	limited.engine.SetFaults(model.Faults{Limit: "1"})
	lists := [][]string{{longPrompt("a")}, {longPrompt("b")}, {longPrompt("c")}, {longPrompt("d")}, {longPrompt("e")}, {longPrompt("f")}}
	s.chat(t, limitApply, 15*time.Millisecond, lists)
	before := limited.captured.generations()
	statuses := s.chat(t, window, 15*time.Millisecond, lists)
	if got := limited.captured.generations() - before; got > allowed {
		t.Errorf("the limited engine got %d requests in %v, allowed %v", got, window, allowed)
	}
	served, sent := 0, 0
	for _, counts := range statuses {
		served += counts[http.StatusOK]
		for _, n := range counts {
			sent += n
		}
	}
	if served < sent*95/100 {
		t.Errorf("%d of %d requests served: %v", served, sent, statuses)
	}
}
