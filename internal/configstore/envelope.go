package configstore

import (
	"bytes"
	"crypto/sha256"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/delta"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// maxEnvelopeBytes bounds the size of a serialized envelope before compression.
const maxEnvelopeBytes = 16 << 20

// keyPrefix is the prefix of configuration keys in the key-value service.
const keyPrefix = "wasabigate/config/"

// Key returns the key that holds the configuration of an environment.
func Key(environment string) string { return keyPrefix + environment }

// Delta returns target as a change from base, for a peer that has base. Both are serialized
// envelopes.
func Delta(base, target []byte) []byte { return delta.Make(base, target) }

// ApplyDelta returns the target of a delta. The error wraps platform.ErrCorrupt if the delta is
// damaged or was made from another base.
func ApplyDelta(base, change []byte) ([]byte, error) {
	return delta.Apply(base, change, maxEnvelopeBytes)
}

// Open decodes a value of the key-value service or an envelope from a peer, checks
// its digest and parses the document.
func Open(value []byte) (*config.Revision, error) {
	envelope, err := decodeEnvelope(value)
	if err != nil {
		return nil, err
	}
	return parseRevision(envelope)
}

// EncodeEnvelope serializes and compresses an envelope for the key-value service.
func EncodeEnvelope(envelope *wire.Envelope) ([]byte, error) {
	serialized, err := serialize(envelope)
	if err != nil {
		return nil, err
	}
	return delta.Compress(serialized), nil
}

func serialize(envelope *wire.Envelope) ([]byte, error) {
	serialized, err := proto.MarshalOptions{Deterministic: true}.Marshal(envelope)
	return serialized, errors.Wrap(err, "serialize the envelope")
}

func decodeEnvelope(value []byte) (*wire.Envelope, error) {
	serialized := value
	if bytes.HasPrefix(value, delta.Magic) {
		var err error
		serialized, err = delta.Decompress(value, maxEnvelopeBytes)
		if err != nil {
			return nil, errors.Wrap(err, "read the configuration")
		}
	}
	envelope := &wire.Envelope{}
	if err := proto.Unmarshal(serialized, envelope); err != nil {
		return nil, errors.Wrapf(platform.ErrCorrupt, "read the configuration: %v", err)
	}
	return envelope, nil
}

func parseRevision(envelope *wire.Envelope) (*config.Revision, error) {
	digest := sha256.Sum256(envelope.Document)
	if envelope.Revision == 0 || !bytes.Equal(envelope.Digest, digest[:]) {
		return nil, errors.Wrapf(platform.ErrCorrupt, "configuration revision %d: revision or digest is invalid", envelope.Revision)
	}
	document, err := config.Parse(envelope.Document)
	if err != nil {
		return nil, errors.Wrapf(err, "configuration revision %d", envelope.Revision)
	}
	shared, err := serialize(withoutHistory(envelope))
	if err != nil {
		return nil, err
	}
	return &config.Revision{
		Number:    envelope.Revision,
		Digest:    digest,
		Text:      envelope.Document,
		Document:  document,
		Withdrawn: keySet(envelope.WithdrawnKeys),
		Envelope:  shared,
	}, nil
}

// withoutHistory returns the envelope as daemons exchange it. Only operators read
// the history, from the key-value service.
func withoutHistory(envelope *wire.Envelope) *wire.Envelope {
	return &wire.Envelope{
		Revision:      envelope.Revision,
		Digest:        envelope.Digest,
		ChangeId:      envelope.ChangeId,
		Author:        envelope.Author,
		AcceptedUnix:  envelope.AcceptedUnix,
		Document:      envelope.Document,
		WithdrawnKeys: envelope.WithdrawnKeys,
		Environment:   envelope.Environment,
		Era:           envelope.Era,
	}
}

func keySet(ids []string) map[string]struct{} {
	set := make(map[string]struct{}, len(ids))
	for _, id := range ids {
		set[id] = struct{}{}
	}
	return set
}
