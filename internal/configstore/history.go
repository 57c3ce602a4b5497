package configstore

import (
	"sort"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// maxHistory is the number of past revisions that are remembered with digest
	// and change id.
	maxHistory = 256
	// maxHistoryBytes bounds the texts of past documents, before compression.
	maxHistoryBytes = 8 << 20
)

// past returns the history entry of an envelope's current document.
func past(envelope *wire.Envelope) *wire.PastDocument {
	return &wire.PastDocument{
		Revision:     envelope.Revision,
		Digest:       envelope.Digest,
		ChangeId:     envelope.ChangeId,
		Author:       envelope.Author,
		AcceptedUnix: envelope.AcceptedUnix,
		Document:     envelope.Document,
	}
}

// pushHistory returns the history with entry as the newest, within its bounds.
func pushHistory(entry *wire.PastDocument, older []*wire.PastDocument) []*wire.PastDocument {
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

// withoutText returns the entry without the document itself.
func withoutText(p *wire.PastDocument) *wire.PastDocument {
	bare := proto.CloneOf(p)
	bare.Document = nil
	return bare
}

// sealWithin returns the value of an envelope that fits into the key-value
// service. It drops the texts of the oldest past documents first, and then the
// oldest entries.
func sealWithin(envelope *wire.Envelope) ([]byte, error) {
	steps := 2 * len(envelope.History)
	if value, err := sealDropping(envelope, 0); err != nil || len(value) <= platform.MaxValueSize {
		return value, err
	}
	drop := sort.Search(steps, func(n int) bool {
		value, err := sealDropping(envelope, n)
		return err == nil && len(value) <= platform.MaxValueSize
	})
	value, err := sealDropping(envelope, drop)
	if err != nil {
		return nil, err
	}
	if len(value) > platform.MaxValueSize {
		return nil, errors.Wrapf(platform.ErrTooLarge, "the document and the withdrawn keys compress to %d bytes; the limit is %d", len(value), platform.MaxValueSize)
	}
	return value, nil
}

// sealDropping drops the texts of the n oldest entries; what n exceeds the
// entries by, it drops as whole entries.
func sealDropping(envelope *wire.Envelope, n int) ([]byte, error) {
	reduced := withoutHistory(envelope)
	count := len(envelope.History)
	entries := min(count, 2*count-n)
	for i, p := range envelope.History[:entries] {
		if i >= count-n {
			p = withoutText(p)
		}
		reduced.History = append(reduced.History, p)
	}
	return Seal(reduced)
}
