package route

import (
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// A server is left out for the pause that it reported. A report without one that comes while a
// decision is made leaves out nothing.
func TestPauseOfAServer(t *testing.T) {
	tracker := NewTracker()
	server := tracker.server("a")
	if server.pause(time.Now()) != 0 {
		t.Error("a server without a report is left out")
	}
	decidedAt := time.Now()
	tracker.RecordReport("a", &wire.Load{})
	if pause := server.pause(decidedAt.Add(-time.Second)); pause != 0 {
		t.Errorf("a report without a pause leaves the server out for %v", pause)
	}
	tracker.RecordReport("a", &wire.Load{PauseMs: 2000})
	if pause := server.pause(time.Now().Add(500 * time.Millisecond)); pause < time.Second || pause > 1600*time.Millisecond {
		t.Errorf("pause %v 0.5 s after a report of 2 s", pause)
	}
	if server.pause(time.Now().Add(3*time.Second)) != 0 {
		t.Error("left out after the pause")
	}
}
