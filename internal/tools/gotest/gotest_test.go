package gotest

import (
	"strings"
	"testing"
)

// A test binary that was stopped names no test as failed. The output of its running
// test is then part of the package's output.
func TestOutputOfAnUnfinishedTest(t *testing.T) {
	const events = `{"Action":"run","Package":"p","Test":"TestHangs"}
{"Action":"output","Package":"p","Test":"TestHangs","Output":"goroutine 1 [chan receive]\n"}
{"Action":"output","Package":"p","Test":"TestDone","Output":"noise\n"}
{"Action":"pass","Package":"p","Test":"TestDone"}
{"Action":"output","Package":"p","Output":"FAIL p\n"}
{"Action":"fail","Package":"p"}
`
	r := &Results{output: make(map[Name]*strings.Builder), failedPackages: make(map[string]bool)}
	if err := r.read(strings.NewReader(events), nil); err != nil {
		t.Fatal(err)
	}
	output := r.Output("p")
	if !strings.Contains(output, "unfinished: p.TestHangs\ngoroutine 1") || strings.Contains(output, "noise") {
		t.Errorf("output %q", output)
	}
}
