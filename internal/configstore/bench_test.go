package configstore

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// capacityWorkspaces is the number of workspaces given in the capacity page.
const capacityWorkspaces = 270

func benchEnvelope(withdrawn int) *wire.Envelope {
	text := incompressibleDocument(1, capacityWorkspaces)
	digest := Digest(text)
	envelope := &wire.Envelope{Revision: 7, Digest: digest[:], Document: text, ChangeId: "c", Author: "a"}
	random := randomText(2, withdrawn*5)
	for i := range withdrawn {
		envelope.WithdrawnKeys = append(envelope.WithdrawnKeys, "k"+hex.EncodeToString(random[i*5:i*5+5]))
	}
	return envelope
}

func BenchmarkOpen(b *testing.B) {
	for _, withdrawn := range []int{0, 1000, 10000} {
		b.Run(fmt.Sprintf("withdrawn=%d", withdrawn), func(b *testing.B) {
			value, err := EncodeEnvelope(benchEnvelope(withdrawn))
			if err != nil {
				b.Fatal(err)
			}
			var shared int
			b.ReportAllocs()
			for b.Loop() {
				revision, err := Open(value)
				if err != nil {
					b.Fatal(err)
				}
				shared = len(revision.Envelope)
			}
			b.ReportMetric(float64(len(value)), "value-bytes")
			b.ReportMetric(float64(shared), "envelope-bytes")
		})
	}
}

func BenchmarkDelta(b *testing.B) {
	base := benchEnvelope(0)
	target := benchEnvelope(0)
	target.Revision++
	target.Document = append(target.Document, "[workspace new]\nrate = 1\nburst = 1\n"...)
	from, err := serialize(base)
	if err != nil {
		b.Fatal(err)
	}
	to, err := serialize(target)
	if err != nil {
		b.Fatal(err)
	}
	var delta []byte
	b.Run("make", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			delta = Delta(from, to)
		}
		b.ReportMetric(float64(len(delta)), "delta-bytes")
	})
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := ApplyDelta(from, delta); err != nil {
				b.Fatal(err)
			}
		}
	})
}
