package configstore

import (
	"bytes"
	"crypto/sha256"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// maxEnvelopeBytes bounds the size of a serialized envelope before compression.
const maxEnvelopeBytes = 16 << 20

// keyPrefix is the prefix of configuration keys in the key-value service.
const keyPrefix = "wasabigate/config/"

// Key returns the key that holds the configuration of an environment.
func Key(environment string) string { return keyPrefix + environment }

// zstdMagic is the prefix of compressed values. No serialized envelope starts with
// it.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// decoder is shared, since DecodeAll is safe for concurrent use. Encoders are made
// on demand, since daemons compress only deltas.
var decoder = newDecoder()

func newEncoder(options ...zstd.EOption) *zstd.Encoder {
	options = append(options, zstd.WithEncoderConcurrency(1))
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		panic(err) // the options are constant
	}
	return e
}

func newDecoder(options ...zstd.DOption) *zstd.Decoder {
	options = append(options, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxEnvelopeBytes))
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		panic(err) // the options are constant
	}
	return d
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
	return compress(newEncoder(), serialized), nil
}

func compress(e *zstd.Encoder, text []byte) []byte {
	defer func() { _ = e.Close() }()
	return e.EncodeAll(text, nil)
}

func serialize(envelope *wire.Envelope) ([]byte, error) {
	serialized, err := proto.MarshalOptions{Deterministic: true}.Marshal(envelope)
	return serialized, errors.Wrap(err, "serialize the envelope")
}

func decodeEnvelope(value []byte) (*wire.Envelope, error) {
	serialized := value
	if bytes.HasPrefix(value, zstdMagic) {
		var err error
		serialized, err = decoder.DecodeAll(value, nil)
		if err != nil {
			return nil, errors.Wrapf(platform.ErrCorrupt, "decompress the configuration: %v", err)
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
