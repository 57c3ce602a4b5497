package logging

import (
	"bytes"
	"sync"
	"testing"
)

// The level changes while others log, as at SIGHUP. The race detector sees whether they read it
// safely.
func TestLevelChangesWhileOthersLog(t *testing.T) {
	var out bytes.Buffer
	if err := Setup(&out, "info", FormatText); err != nil {
		t.Fatal(err)
	}
	logger := For("test")
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 1000 {
				logger.Debug(nil, "hidden or shown")
				_ = Enabled(DebugLevel)
			}
		})
	}
	for i := range 1000 {
		if err := SetLevel([]string{"debug", "error"}[i%2]); err != nil {
			t.Fatal(err)
		}
	}
	group.Wait()
	out.Reset()
	logger.Warn(nil, "hidden")
	logger.Error(nil, "shown")
	if text := out.String(); bytes.Contains(out.Bytes(), []byte("hidden")) || !bytes.Contains(out.Bytes(), []byte("shown")) {
		t.Errorf("at level error: %s", text)
	}
	if err := SetLevel("info"); err != nil {
		t.Fatal(err)
	}
}
