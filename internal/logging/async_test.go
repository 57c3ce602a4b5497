package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// blockingWriter is a writer that blocks while its mutex is locked.
type blockingWriter struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *blockingWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

func setupAsync(t *testing.T, w *blockingWriter) func() {
	previous := log.Log.(*log.Logger).Handler
	t.Cleanup(func() { log.SetHandler(previous) })
	flush, err := SetupAsync(w, "info", FormatJSON, "g1")
	if err != nil {
		t.Fatal(err)
	}
	return flush
}

func TestLinesNameTheProcess(t *testing.T) {
	w := &blockingWriter{}
	flush := setupAsync(t, w)
	For("relay").Info(Fields{FieldRequest: "r1"}, "placed")
	For("relay").Debug(nil, "hidden")
	For("relay").Warn(nil, "no fields")
	flush()
	if text := w.String(); strings.Count(text, `"process":"g1"`) != 2 || !strings.Contains(text, `"relay: placed"`) || strings.Contains(text, "hidden") {
		t.Error(text)
	}
}

// A blocked writer does not block the process. Lines of failed requests take
// precedence over those of successful ones, and dropped lines are reported.
func TestLoggingNeverBlocks(t *testing.T) {
	w := &blockingWriter{}
	flush := setupAsync(t, w)
	w.mu.Lock()
	start := time.Now()
	for i := range 5 * queueLines {
		For("relay").Info(Fields{FieldRequest: fmt.Sprint(i), "pad": strings.Repeat("x", 200)}, "answered")
	}
	For("relay").Warn(Fields{FieldRequest: "bad"}, "refused")
	if took := time.Since(start); took > 10*time.Second {
		t.Errorf("logging blocked for %v", took)
	}
	w.mu.Unlock()
	flush()
	For("relay").Info(nil, "later")
	flush()
	text := w.String()
	if !strings.Contains(text, `"bad"`) || !strings.Contains(text, "logging: lines lost") {
		t.Error("the refused request's line or the count of dropped lines is missing")
	}
	if lines := strings.Count(text, "relay: answered"); lines < queueLines || lines > 2*queueLines {
		t.Errorf("%d lines were written, want about %d", lines, queueLines)
	}
}

func TestRepeatedLinesAreSummedUp(t *testing.T) {
	var text bytes.Buffer
	handler := json.New(&text)
	var limiter rateLimiter
	start := time.Unix(100, 0)
	written := 0
	entry := func(at time.Time, fields log.Fields) *log.Entry {
		return &log.Entry{Logger: &log.Logger{Handler: handler}, Level: log.WarnLevel, Timestamp: at, Message: "follower: entry passed by", Fields: fields}
	}
	for range 100 {
		if limiter.allow(entry(start, nil)) {
			written++
		}
		if !limiter.allow(entry(start, log.Fields{FieldRequest: "r"})) {
			t.Fatal("a line of a request was suppressed")
		}
	}
	if written != repeatLimit {
		t.Errorf("%d lines, want %d", written, repeatLimit)
	}
	if got := limiter.removeExpired(start.Add(repeatWindow / 2)); len(got) != 0 {
		t.Errorf("summary before the end of the window: %+v", got)
	}
	got := limiter.removeExpired(start.Add(repeatWindow))
	if len(got) != 1 || got[0].Fields["count"] != int64(100-repeatLimit) {
		t.Errorf("%+v", got)
	}
	if !limiter.allow(entry(start.Add(repeatWindow), nil)) {
		t.Error("the first line of a new window was suppressed")
	}
}
