package entrysync

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

const key = "op/config"

// routes returns a text of n lines, of which the given ones have changed.
func routes(n int, changed ...int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	var text strings.Builder
	for i := range n {
		hash := random.Uint64()
		for _, c := range changed {
			if c == i {
				hash++
			}
		}
		fmt.Fprintf(&text, "{\"name\":\"r-%d\",\"prefix\":\"/%x/\",\"timeout_ms\":1200}\n", i, hash)
	}
	return []byte(text.String())
}

// receive plays a transfer from one library to another and returns what was sent.
func receive(t *testing.T, from, to *Library, transfer *Transfer, maxParts int) (sent int) {
	t.Helper()
	for n := 0; !transfer.Complete() && n < maxParts; n++ {
		part, err := from.Part(transfer.Next(to))
		if err != nil {
			t.Fatal(err)
		}
		if len(part.Data) > PartBytes {
			t.Fatalf("part of %d bytes", len(part.Data))
		}
		sent += len(part.Data)
		if err := transfer.Accept(part); err != nil {
			t.Fatal(err)
		}
	}
	return sent
}

func TestTransfers(t *testing.T) {
	const all = 1 << 20
	first, second, third := routes(5650), routes(5650, 7), routes(5650, 7, 4000)
	for _, c := range []struct {
		name       string
		from, to   [][]byte
		mostSent   int
		wantChange bool
	}{
		{"a process that has none", [][]byte{first}, nil, 200_000, false},
		{"one change", [][]byte{first, second}, [][]byte{first}, 1000, true},
		{"two changes behind", [][]byte{first, second, third}, [][]byte{first}, 1000, true},
		{"the base is not known to the sender", [][]byte{third}, [][]byte{first}, 200_000, false},
		{"an older base that both have", [][]byte{first, third}, [][]byte{first, second}, 1000, true},
		{"back to an earlier value", [][]byte{first, second, first}, [][]byte{second}, 1000, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			from, to := NewLibrary(), NewLibrary()
			var target Digest
			for _, value := range c.from {
				target = from.Add(key, value)
			}
			for _, value := range c.to {
				to.Add(key, value)
			}
			transfer := NewTransfer(key, target)
			if sent := receive(t, from, to, transfer, all); sent > c.mostSent {
				t.Errorf("%d bytes sent, want at most %d", sent, c.mostSent)
			}
			value, err := transfer.Value(to)
			if err != nil || !bytes.Equal(value, c.from[len(c.from)-1]) {
				t.Fatalf("%d bytes, %v", len(value), err)
			}
			if _, _, isChange := transfer.Received(); isChange != c.wantChange {
				t.Errorf("a change: %v, want %v", isChange, c.wantChange)
			}
		})
	}
}

// A transfer that was interrupted goes on at another gateway that encodes alike, and while newer
// versions come. One whose value the sender does not have is refused.
func TestInterruptedTransfer(t *testing.T) {
	from, other, to := NewLibrary(), NewLibrary(), NewLibrary()
	value := routes(5650)
	target := from.Add(key, value)
	other.Add(key, value)
	transfer := NewTransfer(key, target)
	receive(t, from, to, transfer, 2)
	other.Part(&Request{Key: key, Target: target})
	for i := range maxRecent - 1 {
		other.Add(key, routes(5650, i))
	}
	before, size, _ := transfer.Received()
	if sent := receive(t, other, to, transfer, 1<<20); sent != size-before {
		t.Errorf("%d bytes sent again, want the %d that were left", sent, size-before)
	}
	if got, err := transfer.Value(to); err != nil || !bytes.Equal(got, value) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if _, err := from.Part(NewTransfer(key, DigestOf([]byte("lost"))).Next(to)); !errors.Is(err, ErrUnknown) {
		t.Errorf("a value that is not known: %v", err)
	}
}

// A Library stays within its bounds, and has the newest value whatever its size.
func TestLibraryIsBounded(t *testing.T) {
	l := NewLibrary()
	for i := range 50 {
		value := bytes.Repeat([]byte{byte(i)}, maxRecentBytes/3)
		digest := l.Add(key, value)
		if _, err := l.Part(&Request{Key: key, Target: digest}); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(l.Digests(key)); n != 3 {
		t.Errorf("%d values of a third of the bound are kept", n)
	}
	if len(l.encodings) > maxEncodings {
		t.Errorf("%d encodings", len(l.encodings))
	}
	huge := l.Add(key, make([]byte, 2*maxRecentBytes))
	if digests := l.Digests(key); len(digests) != 1 || digests[0] != huge {
		t.Errorf("after a huge value: %d values", len(digests))
	}
}

func BenchmarkLargeValue(b *testing.B) {
	for _, n := range []int{50, 1500, 6000} {
		first, second := routes(n), routes(n, n/2)
		b.Run(fmt.Sprintf("send change of one of %d", n), func(b *testing.B) {
			for b.Loop() {
				l := NewLibrary()
				base := l.Add(key, first)
				part, err := l.Part(&Request{Key: key, Target: l.Add(key, second), Bases: []Digest{base}})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(part.Size), "wire-bytes")
			}
		})
		b.Run(fmt.Sprintf("send all %d", n), func(b *testing.B) {
			for b.Loop() {
				l := NewLibrary()
				part, err := l.Part(&Request{Key: key, Target: l.Add(key, second)})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(part.Size), "wire-bytes")
			}
		})
		b.Run(fmt.Sprintf("receive change of one of %d", n), func(b *testing.B) {
			from, to := NewLibrary(), NewLibrary()
			from.Add(key, first)
			to.Add(key, first)
			transfer := NewTransfer(key, from.Add(key, second))
			part, err := from.Part(transfer.Next(to))
			if err != nil {
				b.Fatal(err)
			}
			if err := transfer.Accept(part); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := transfer.Value(to); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
