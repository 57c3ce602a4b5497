package model

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/tokens"
)

const alphabet = "abcdefghijklmnopqrstuvwxyz"

// generator generates the tokens of one completion. The next token depends only
// on the model, adapter, weights version, seed and the whole text before it.
type generator struct {
	digest *xxhash.Digest
}

func newGenerator(req *engine.GenerateRequest, resume string) *generator {
	g := &generator{digest: xxhash.New()}
	var number [8]byte
	for _, part := range []string{req.Model, req.Adapter, req.WeightsVersion} {
		binary.BigEndian.PutUint64(number[:], uint64(len(part)))
		_, _ = g.digest.Write(number[:])
		_, _ = g.digest.WriteString(part)
	}
	binary.BigEndian.PutUint64(number[:], uint64(req.Seed))
	_, _ = g.digest.Write(number[:])
	_, _ = g.digest.WriteString(req.Prompt)
	_, _ = g.digest.WriteString(resume)
	return g
}

// next returns the next token's text: three letters and a space.
func (g *generator) next() string {
	sum := g.digest.Sum64()
	var text [tokens.BytesPerToken]byte
	for i := range text {
		text[i] = alphabet[sum%uint64(len(alphabet))]
		sum /= uint64(len(alphabet))
	}
	text[len(text)-1] = ' '
	_, _ = g.digest.Write(text[:])
	return string(text[:])
}

// writer turns tokens into emitted text. It ends at a stop string and withholds
// text that may be the start of one.
type writer struct {
	stops   []string
	text    []byte // resume and all generated text
	emitted int    // bytes of text that were emitted, including resume
}

// add appends a token. It returns the text to emit and whether a stop string
// was found.
func (w *writer) add(token string) (string, bool) {
	w.text = append(w.text, token...)
	if at := w.firstStop(); at >= 0 {
		return w.emit(max(at, w.emitted)), true
	}
	return w.emit(len(w.text) - w.withheld()), false
}

// flush returns the withheld text.
func (w *writer) flush() string { return w.emit(len(w.text)) }

func (w *writer) emit(end int) string {
	if end <= w.emitted {
		return ""
	}
	text := string(w.text[w.emitted:end])
	w.emitted = end
	return text
}

// firstStop returns the index of the first stop string in the text that has
// not been searched yet, or -1.
func (w *writer) firstStop() int {
	first := -1
	for _, stop := range w.stops {
		from := max(0, len(w.text)-tokens.BytesPerToken-len(stop)+1)
		at := bytes.Index(w.text[from:], []byte(stop))
		if stop == "" || at < 0 {
			continue
		}
		if at += from; first < 0 || at < first {
			first = at
		}
	}
	return first
}

// withheld returns the length of the longest suffix of the text that is a
// prefix of a stop string.
func (w *writer) withheld() int {
	longest := 0
	for _, stop := range w.stops {
		for n := min(len(stop)-1, len(w.text)); n > longest; n-- {
			if bytes.HasSuffix(w.text, []byte(stop[:n])) {
				longest = n
			}
		}
	}
	return longest
}
