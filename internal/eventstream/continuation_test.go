package eventstream

import (
	"io"
	"strings"
	"testing"
)

// Only events that follow the last one continue a stream.
func TestContinuation(t *testing.T) {
	for text, valid := range map[string]bool{
		"id: 3\ndata: c\n\n":                                      true,
		"id:3\r\ndata:c\r\n\r\nid:7\r\ndata:d\r\n\r\n":            true,
		"weight-versions: 4\nid: 3\nevent: token\ndata: a: b\n\n": true,
		": keep-alive\n\nid: 3\ndata: c\n\n":                      true,
		"id: 3\ndata: c\ndata: d\n\n":                             true,
		"id: 2\ndata: b\n\n":                                      false,
		"id: 1\ndata: a\n\n":                                      false,
		"id: 3\ndata: c\n\nid: 3\ndata: c\n\n":                    false,
		"data: c\n\n":                                             false,
		"id: x\ndata: c\n\n":                                      true,
		"no memory\n\n":                                           false,
		"{\"error\": 1}\n\n":                                      false,
		"HTTP/1.1 500 Internal Server Error\r\nA: b\r\n\r\n":      false,
		"id: 3\ndata: c\n\nHTTP/1.1 503 Full\r\n\r\n":             false,
		"<html>\n\n":                                              false,
	} {
		reader, check := NewReader(strings.NewReader(text)), NewContinuation("2")
		var err error
		for err == nil {
			var batch Batch
			if batch, err = reader.Next(); err == nil {
				err = check.Check(&batch)
			}
		}
		if (err == io.EOF) != valid {
			t.Errorf("%q: %v, want valid %v", text, err, valid)
		}
	}
}
