package systemtest

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

// SIGHUPs in series end neither a router nor a sidecar, which reload no settings.
func TestHangupsEndNoProcess(t *testing.T) {
	s := start(t, plan{routers: 1, engines: 1})
	for range 20 {
		s.routers[0].signal(syscall.SIGHUP)
		s.engines[0].sidecar.signal(syscall.SIGHUP)
		time.Sleep(10 * time.Millisecond)
	}
	s.routers[0].checkRunning(t)
	s.engines[0].sidecar.checkRunning(t)
	if status := s.tryComplete(t.Context(), s.routers[0], longPrompt("hangup")); status != http.StatusOK {
		t.Errorf("status %d after the signals", status)
	}
}
