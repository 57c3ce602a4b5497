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

// gate is a writer that can stop reading.
type gate struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func (g *gate) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

func asyncTo(t *testing.T, g *gate) func() {
	previous := log.Log.(*log.Logger).Handler
	t.Cleanup(func() { log.SetHandler(previous) })
	flush, err := SetupAsync(g, "info", FormatJSON, "g1")
	if err != nil {
		t.Fatal(err)
	}
	return flush
}

func TestLinesNameTheProcess(t *testing.T) {
	g := &gate{}
	flush := asyncTo(t, g)
	For("relay").Info(Fields{FieldRequest: "r1"}, "placed")
	For("relay").Debug(nil, "hidden")
	For("relay").Warn(nil, "no fields")
	flush()
	if text := g.String(); strings.Count(text, `"process":"g1"`) != 2 || !strings.Contains(text, `"relay: placed"`) || strings.Contains(text, "hidden") {
		t.Error(text)
	}
}

// A reader that has stopped reading does not stop the process. What failed requests
// need is kept before what good ones need, and the loss is told.
func TestLoggingNeverBlocks(t *testing.T) {
	g := &gate{}
	flush := asyncTo(t, g)
	g.mu.Lock()
	start := time.Now()
	for i := range 5 * queueLines {
		For("relay").Info(Fields{FieldRequest: fmt.Sprint(i), "pad": strings.Repeat("x", 200)}, "answered")
	}
	For("relay").Warn(Fields{FieldRequest: "bad"}, "refused")
	if took := time.Since(start); took > 10*time.Second {
		t.Errorf("logging blocked for %v", took)
	}
	g.mu.Unlock()
	flush()
	For("relay").Info(nil, "later")
	flush()
	text := g.String()
	if !strings.Contains(text, `"bad"`) || !strings.Contains(text, "logging: lines lost") {
		t.Error("the refused request's line or the count of lost ones is missing")
	}
	if lines := strings.Count(text, "relay: answered"); lines < queueLines || lines > 2*queueLines {
		t.Errorf("%d lines were kept, want about %d", lines, queueLines)
	}
}

func TestRepeatedLinesAreSummedUp(t *testing.T) {
	var text bytes.Buffer
	handler := json.New(&text)
	var r repeats
	start := time.Unix(100, 0)
	written := 0
	entry := func(at time.Time, fields log.Fields) *log.Entry {
		return &log.Entry{Logger: &log.Logger{Handler: handler}, Level: log.WarnLevel, Timestamp: at, Message: "follower: entry passed by", Fields: fields}
	}
	for range 100 {
		if r.admit(entry(start, nil)) {
			written++
		}
		if !r.admit(entry(start, log.Fields{FieldRequest: "r"})) {
			t.Fatal("a request's line is held back")
		}
	}
	if written != repeatLimit {
		t.Errorf("%d lines, want %d", written, repeatLimit)
	}
	if got := r.expired(start.Add(repeatWindow / 2)); len(got) != 0 {
		t.Errorf("summed up early: %+v", got)
	}
	got := r.expired(start.Add(repeatWindow))
	if len(got) != 1 || got[0].Fields["count"] != int64(100-repeatLimit) {
		t.Errorf("%+v", got)
	}
	if !r.admit(entry(start.Add(repeatWindow), nil)) {
		t.Error("a new window holds back its first line")
	}
}
