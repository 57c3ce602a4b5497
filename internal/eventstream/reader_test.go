package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func readAll(r io.Reader) (raw string, events int, lastID string, err error) {
	reader := NewReader(r)
	for {
		batch, err := reader.Next()
		if err != nil {
			return raw, events, lastID, err
		}
		raw += string(batch.Raw)
		events += batch.Count
		if batch.LastID != "" {
			lastID = batch.LastID
		}
	}
}

func TestReader(t *testing.T) {
	cases := []struct {
		name, in, complete, lastID string
		events                     int
		err                        error
	}{
		{"two events", "id: 1\ndata: a\n\nid:2\ndata: b\n\n", "id: 1\ndata: a\n\nid:2\ndata: b\n\n", "2", 2, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", "1", 1, io.EOF},
		{"a field before the id", "weights: 3\nid: 9\ndata: a\n\n", "weights: 3\nid: 9\ndata: a\n\n", "9", 1, io.EOF},
		{"broken within an event", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", "1", 1, io.ErrUnexpectedEOF},
		{"broken before the end of an event", "id: 1\ndata: a\n", "", "", 0, io.ErrUnexpectedEOF},
		{"empty", "", "", "", 0, io.EOF},
		{"no id", "data: a\n\n", "data: a\n\n", "", 1, io.EOF},
	}
	for _, c := range cases {
		for name, source := range map[string]io.Reader{
			"whole":        strings.NewReader(c.in),
			"byte by byte": iotest.OneByteReader(strings.NewReader(c.in)),
			"data and EOF": iotest.DataErrReader(strings.NewReader(c.in)),
		} {
			raw, events, lastID, err := readAll(source)
			if raw != c.complete || events != c.events || lastID != c.lastID || !errors.Is(err, c.err) {
				t.Errorf("%s, %s: %q, %d events, id %q, %v", c.name, name, raw, events, lastID, err)
			}
		}
	}
}

func TestReaderPassesErrorsOn(t *testing.T) {
	broken := errors.New("reset")
	raw, _, _, err := readAll(io.MultiReader(strings.NewReader("data: a\n\n"), iotest.ErrReader(broken)))
	if raw != "data: a\n\n" || !errors.Is(err, broken) {
		t.Errorf("got events %q, error %v, want the event before the error and then the error", raw, err)
	}
	if _, _, _, err = readAll(endless{}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("an endless event: got error %v, want ErrTooLarge", err)
	}
}

type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// The complete events of a stream are returned unchanged, wherever its reads are split.
func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n", 3)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		unsplit, _, _, _ := readAll(strings.NewReader(text))
		if !strings.HasPrefix(text, unsplit) {
			t.Fatalf("stream %q: got events %q, which are no prefix of it", text, unsplit)
		}
		if cut < 0 || cut > len(text) {
			return
		}
		split, _, _, _ := readAll(io.MultiReader(strings.NewReader(text[:cut]), strings.NewReader(text[cut:])))
		if split != unsplit {
			t.Errorf("%q split at %d gives %q, unsplit %q", text, cut, split, unsplit)
		}
	})
}
