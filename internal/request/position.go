package request

import (
	"encoding/base64"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// Position identifies a point in a running stream. Its text form is the SSE ID that a
// caller sends back as Last-Event-ID. It contains no secret: a caller that resumes
// from it must have a key of the same workspace.
type Position struct {
	Workspace string
	RequestID string
	Attempt   uint32
	Sequence  uint64
	Address   string // RPC address of the sidecar that buffers the stream

	// Fields that are equal in all chunks of the stream.
	Model        string
	Chat         bool
	CreatedUnix  int64
	IncludeUsage bool // the caller requested a final chunk with the usage

	// Ended is set if only the end marker follows.
	Ended bool
}

// String returns the text form of the position.
func (p Position) String() string {
	encoded, err := proto.Marshal(&wire.Position{
		Workspace:   p.Workspace,
		RequestId:   p.RequestID,
		Attempt:     p.Attempt,
		Sequence:    p.Sequence,
		Address:     p.Address,
		Model:       p.Model,
		Chat:        p.Chat,
		CreatedUnix: p.CreatedUnix,
		Usage:       p.IncludeUsage,
		Ended:       p.Ended,
	})
	if err != nil {
		return "" // only if a string is not valid UTF-8
	}
	return base64.RawURLEncoding.EncodeToString(encoded)
}

// ParsePosition parses the text form of a position.
func ParsePosition(text string) (Position, error) {
	encoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Position{}, errors.Wrap(err, "decode position")
	}
	var p wire.Position
	if err := proto.Unmarshal(encoded, &p); err != nil {
		return Position{}, errors.Wrap(err, "parse position")
	}
	if p.GetRequestId() == "" || p.GetAddress() == "" {
		return Position{}, errors.New("position without request ID or address")
	}
	return Position{
		Workspace:    p.GetWorkspace(),
		RequestID:    p.GetRequestId(),
		Attempt:      p.GetAttempt(),
		Sequence:     p.GetSequence(),
		Address:      p.GetAddress(),
		Model:        p.GetModel(),
		Chat:         p.GetChat(),
		CreatedUnix:  p.GetCreatedUnix(),
		IncludeUsage: p.GetUsage(),
		Ended:        p.GetEnded(),
	}, nil
}
