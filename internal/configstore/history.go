package configstore

import (
	"sort"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// maxHistory is the number of past revisions whose digest and change id are
	// stored.
	maxHistory = 256
	// maxHistoryBytes bounds the total size of past documents before compression.
	maxHistoryBytes = 8 << 20
)

// historyEntry returns the history entry of an envelope's current revision.
func historyEntry(envelope *wire.Envelope) *wire.PastDocument {
	return &wire.PastDocument{
		Revision:     envelope.Revision,
		Digest:       envelope.Digest,
		ChangeId:     envelope.ChangeId,
		Author:       envelope.Author,
		AcceptedUnix: envelope.AcceptedUnix,
		Document:     envelope.Document,
	}
}

// prependHistory returns the history with entry as the newest, trimmed to
// maxHistory and maxHistoryBytes.
func prependHistory(entry *wire.PastDocument, older []*wire.PastDocument) []*wire.PastDocument {
	history := append([]*wire.PastDocument{entry}, older...)
	if len(history) > maxHistory {
		history = history[:maxHistory]
	}
	size := 0
	for i, p := range history {
		size += len(p.Document)
		if size > maxHistoryBytes {
			history[i] = withoutText(p)
		}
	}
	return history
}

// withoutText returns a copy of the entry without its document.
func withoutText(p *wire.PastDocument) *wire.PastDocument {
	clone := proto.CloneOf(p)
	clone.Document = nil
	return clone
}

// encodeWithinLimit encodes an envelope for the key-value service. If the value
// exceeds the size limit, it drops the texts of the oldest past documents first,
// and then the oldest entries.
func encodeWithinLimit(envelope *wire.Envelope) ([]byte, error) {
	steps := 2 * len(envelope.History)
	if value, err := encodeDropping(envelope, 0); err != nil || len(value) <= platform.MaxValueSize {
		return value, err
	}
	drop := sort.Search(steps, func(n int) bool {
		value, err := encodeDropping(envelope, n)
		return err == nil && len(value) <= platform.MaxValueSize
	})
	value, err := encodeDropping(envelope, drop)
	if err != nil {
		return nil, err
	}
	if len(value) > platform.MaxValueSize {
		return nil, errors.Wrapf(platform.ErrTooLarge, "the document and the withdrawn keys compress to %d bytes; the limit is %d", len(value), platform.MaxValueSize)
	}
	return value, nil
}

// encodeDropping encodes an envelope in which n steps have reduced the history. Each
// step drops the text of the oldest entry that has one or, once all texts are
// dropped, the oldest entry.
func encodeDropping(envelope *wire.Envelope, n int) ([]byte, error) {
	reduced := withoutHistory(envelope)
	count := len(envelope.History)
	entries := min(count, 2*count-n)
	for i, p := range envelope.History[:entries] {
		if i >= count-n {
			p = withoutText(p)
		}
		reduced.History = append(reduced.History, p)
	}
	return EncodeEnvelope(reduced)
}
