package configstore

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

// incompressibleDocument returns a document whose size compression hardly reduces.
func incompressibleDocument(seed uint64, workspaces int) []byte {
	random := rand.New(rand.NewPCG(seed, seed))
	var text strings.Builder
	text.Write(document("bulky"))
	for i := range workspaces {
		id := strconv.Itoa(i)
		text.WriteString("[workspace x" + id + "]\nrate = 1\nburst = 1\n[key x" + id + "]\nworkspace = x" + id + "\nsha256 = ")
		for range 64 {
			text.WriteByte("0123456789abcdef"[random.IntN(16)])
		}
		text.WriteString("\n")
	}
	return []byte(text.String())
}

// randomText returns bytes that do not compress.
func randomText(seed uint64, size int) []byte {
	random := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	text := make([]byte, size)
	_, _ = random.Read(text)
	return text
}

func TestEncodeWithinLimitDropsTheOldestFirst(t *testing.T) {
	cases := []struct {
		name               string
		document           int // bytes
		entries, text      int // past revisions, bytes of each
		metadata           int // bytes of each that are not text
		wantTexts, wantAll int
	}{
		{"all fit", 1000, 3, 300_000, 1, 3, 3},
		{"oldest texts dropped", 1000, 5, 300_000, 1, 3, 5},
		{"all texts dropped", 900_000, 3, 300_000, 1, 0, 3},
		{"entries dropped", 900_000, 3, 300_000, 100_000, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			envelope := &wire.Envelope{Revision: 100, Document: randomText(0, c.document)}
			for i := range c.entries {
				envelope.History = append(envelope.History, &wire.PastDocument{
					Revision: uint64(99 - i),
					Document: randomText(uint64(i+1), c.text),
					Digest:   randomText(uint64(i+100), c.metadata),
				})
			}
			value, err := encodeWithinLimit(envelope)
			if err != nil || len(value) > platform.MaxValueSize {
				t.Fatalf("value of %d bytes, error %v", len(value), err)
			}
			checkHistory(t, value, c.wantTexts, c.wantAll)
		})
	}
}

func checkHistory(t *testing.T, value []byte, wantTexts, wantAll int) {
	envelope, err := decodeEnvelope(value)
	if err != nil {
		t.Fatal(err)
	}
	if len(envelope.History) != wantAll {
		t.Errorf("%d past revisions, want %d", len(envelope.History), wantAll)
	}
	for i, p := range envelope.History {
		if p.Revision != uint64(99-i) || (len(p.Document) > 0) != (i < wantTexts) {
			t.Errorf("entry %d: revision %d with %d bytes; want %d texts", i, p.Revision, len(p.Document), wantTexts)
		}
	}
}

func TestEncodeWithinLimitRejectsTooLarge(t *testing.T) {
	envelope := &wire.Envelope{Revision: 1, Document: randomText(1, platform.MaxValueSize+1)}
	if _, err := encodeWithinLimit(envelope); !errors.Is(err, platform.ErrTooLarge) {
		t.Errorf("error %v, want too large", err)
	}
}

func TestPrependHistoryIsBounded(t *testing.T) {
	var history []*wire.PastDocument
	text := make([]byte, 1<<20)
	for i := range uint64(maxHistory + 10) {
		history = prependHistory(&wire.PastDocument{Revision: i + 1, Document: text}, history)
	}
	if len(history) != maxHistory || history[0].Revision != maxHistory+10 {
		t.Errorf("%d entries with revision %d as the newest", len(history), history[0].Revision)
	}
	for i, p := range history {
		if hasText := p.Document != nil; hasText != (i < maxHistoryBytes/len(text)) {
			t.Errorf("entry %d: has a text: %v", i, hasText)
		}
	}
}

func TestRollbackIsANewRevision(t *testing.T) {
	store := New(kv.New(1), testEnvironment)
	mustApply(t, store, document("first"))
	mustApply(t, store, document("second"))
	history, err := store.History(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	result := mustApply(t, store, history[1].Text)
	if result.Revision.Number != 3 || result.Revision.Document.Environment.Name != "first" {
		t.Errorf("revision %d of %q", result.Revision.Number, result.Revision.Document.Environment.Name)
	}
}

func TestOpenRejectsDamagedValues(t *testing.T) {
	store := New(kv.New(1), testEnvironment)
	good := mustApply(t, store, document("good")).Revision
	encoded := func(change func(*wire.Envelope)) []byte {
		envelope, err := decodeEnvelope(good.Envelope)
		if err != nil {
			t.Fatal(err)
		}
		change(envelope)
		value, err := EncodeEnvelope(envelope)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	cut := encoded(func(*wire.Envelope) {})
	cases := []struct {
		name  string
		value []byte
	}{
		{"empty", nil},
		{"cut", cut[:len(cut)-3]},
		{"not an envelope", []byte("\xff\xff\xff")},
		{"changed document", encoded(func(e *wire.Envelope) { e.Document = document("evil") })},
		{"no revision", encoded(func(e *wire.Envelope) { e.Revision = 0 })},
		{"no digest", encoded(func(e *wire.Envelope) { e.Digest = nil })},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Open(c.value); !errors.Is(err, platform.ErrCorrupt) {
				t.Errorf("error %v, want corrupt", err)
			}
		})
	}
}

func TestStoreRejectsTheValueOfAnotherEnvironment(t *testing.T) {
	service := kv.New(1)
	mustApply(t, New(service, testEnvironment), document("x"))
	entry, err := service.Get(t.Context(), Key(testEnvironment))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := service.CompareAndSwap(t.Context(), Key("production"), entry.Value, 0, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := New(service, "production").Read(t.Context()); !errors.Is(err, platform.ErrCorrupt) {
		t.Errorf("error %v, want corrupt", err)
	}
}

// maxDeltaBytes bounds the delta for a change of a few lines. 29,000 changes a day
// then take 3.4% of a daemon's 10 KB per second for control traffic.
const maxDeltaBytes = 1 << 10

func TestDelta(t *testing.T) {
	store := New(kv.New(1), testEnvironment)
	base := mustApply(t, store, incompressibleDocument(1, 270)).Revision
	changed := bytes.Replace(incompressibleDocument(1, 270), []byte("[workspace x100]\nrate = 1\n"), []byte("[workspace x100]\nrate = 2\n"), 1)
	target := mustApply(t, store, append(changed, "[workspace new]\nrate = 1\nburst = 1\n"...)).Revision
	delta := Delta(base.Envelope, target.Envelope)
	if len(delta) > maxDeltaBytes {
		t.Errorf("delta of %d bytes for an envelope of %d", len(delta), len(target.Envelope))
	}
	got, err := ApplyDelta(base.Envelope, delta)
	if err != nil {
		t.Fatal(err)
	}
	opened, err := Open(got)
	if err != nil || opened.Number != 2 || opened.Digest != target.Digest {
		t.Errorf("opened %+v, %v", opened, err)
	}
	if _, err := ApplyDelta(target.Envelope, delta); !errors.Is(err, platform.ErrCorrupt) {
		t.Errorf("another base: error %v, want corrupt", err)
	}
	if _, err := ApplyDelta(base.Envelope, delta[:len(delta)-1]); !errors.Is(err, platform.ErrCorrupt) {
		t.Errorf("cut delta: error %v, want corrupt", err)
	}
}

func TestDiff(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"equal", "a\nb\n", "a\nb\n", ""},
		{"added", "a\nc\n", "a\nb\nc\n", "+b\n"},
		{"removed", "a\nb\nc\n", "a\nc\n", "-b\n"},
		{"two places", "a\nb\nc\nd\n", "x\nb\nc\ny\n", "-a\n+x\n-d\n+y\n"},
		{"from nothing", "", "a\n", "+a\n"},
		{"to nothing", "a\nb", "", "-a\n-b\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := Diff([]byte(c.from), []byte(c.to)); got != c.want {
				t.Errorf("diff %q, want %q", got, c.want)
			}
		})
	}
}

func FuzzOpen(f *testing.F) {
	for _, name := range []string{"consortium", "association"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".ini"))
		if err != nil {
			f.Fatal(err)
		}
		digest := Digest(text)
		envelope := &wire.Envelope{Revision: 1, Digest: digest[:], Document: text, WithdrawnKeys: []string{"k"}}
		value, err := EncodeEnvelope(envelope)
		if err != nil {
			f.Fatal(err)
		}
		serialized, err := serialize(envelope)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(value)
		f.Add(serialized)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		revision, err := Open(value)
		if err != nil {
			return
		}
		again, err := Open(revision.Envelope)
		if err != nil || again.Number != revision.Number || again.Digest != revision.Digest {
			t.Errorf("the envelope of an accepted revision does not open: %v", err)
		}
	})
}
