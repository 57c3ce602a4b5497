package recording

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"github.com/wasabigate/wasabigate/internal/explain"
)

const logText = `
10.1 g2 {"fields":{"attempt":1,"own_tokens":300,"output_tokens":40,"part":"ab","process":"g2","request_id":"r2","shared_tokens":6300,"target_ms":800},"timestamp":"2026-01-01T00:00:01.250Z","message":"relay: placed"}
10.0 g1 {"fields":{"attempt":1,"own_tokens":20,"output_tokens":8,"process":"g1","request_id":"r1","shared_tokens":0,"target_ms":0},"timestamp":"2026-01-01T00:00:01Z","message":"relay: placed"}
10.2 g1 {"fields":{"attempt":2,"process":"g1","request_id":"r1"},"timestamp":"2026-01-01T00:00:02Z","message":"relay: placed"}
no log line
`

func TestFromLog(t *testing.T) {
	log, err := explain.Read(strings.NewReader(logText))
	if err != nil {
		t.Fatal(err)
	}
	want := []Arrival{
		{AtMs: 0, Gateway: "g1", OwnTokens: 20, OutputTokens: 8},
		{AtMs: 250, Gateway: "g2", Part: "ab", SharedTokens: 6300, OwnTokens: 300, OutputTokens: 40, TargetMs: 800},
	}
	got := FromLog(log)
	if !slices.Equal(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	var file bytes.Buffer
	if err := Write(&file, got); err != nil {
		t.Fatal(err)
	}
	again, err := Read(&file)
	if err != nil || !slices.Equal(again, want) {
		t.Errorf("read again %+v, %v", again, err)
	}
}

func TestReadRefusesOtherLines(t *testing.T) {
	if _, err := Read(strings.NewReader("{\"at_ms\":1}\nbroken\n")); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("%v, want the number of the broken line", err)
	}
}
