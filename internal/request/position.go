package request

import (
	"encoding/base64"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// Position is a place in a running stream. Its text is the SSE id that a caller
// sends back as Last-Event-ID. It holds nothing secret: whoever uses it must own
// a key of the same workspace.
type Position struct {
	Workspace string
	RequestID string
	Attempt   uint32
	Sequence  uint64
	Address   string // rpc address of the sidecar that has the stream

	// What all chunks of the stream share.
	Model       string
	Chat        bool
	CreatedUnix int64
	Usage       bool // the caller wants a last chunk with the usage

	// Ended says that nothing follows but the end mark.
	Ended bool
}

// String returns the text of the position.
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
		Usage:       p.Usage,
		Ended:       p.Ended,
	})
	if err != nil {
		return "" // only for strings that are not UTF-8
	}
	return base64.RawURLEncoding.EncodeToString(encoded)
}

// ParsePosition reads the text of a position.
func ParsePosition(text string) (Position, error) {
	encoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Position{}, errors.Wrap(err, "position")
	}
	var p wire.Position
	if err := proto.Unmarshal(encoded, &p); err != nil {
		return Position{}, errors.Wrap(err, "position")
	}
	if p.GetRequestId() == "" || p.GetAddress() == "" {
		return Position{}, errors.New("position: incomplete")
	}
	return Position{
		Workspace:   p.GetWorkspace(),
		RequestID:   p.GetRequestId(),
		Attempt:     p.GetAttempt(),
		Sequence:    p.GetSequence(),
		Address:     p.GetAddress(),
		Model:       p.GetModel(),
		Chat:        p.GetChat(),
		CreatedUnix: p.GetCreatedUnix(),
		Usage:       p.GetUsage(),
		Ended:       p.GetEnded(),
	}, nil
}
