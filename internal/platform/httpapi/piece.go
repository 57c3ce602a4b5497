package httpapi

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// MaxPieceBytes limits the size of a piece encoded as JSON.
const MaxPieceBytes = 64 << 20

// Piece is a stored piece of KV cache with its checksum.
type Piece struct {
	ID     string `json:"id"`
	Salt   string `json:"salt"`
	Data   []byte `json:"data"`
	Tokens int    `json:"tokens"`
	SHA256 []byte `json:"sha256"` // of the other fields
}

// SealPiece adds the checksum to a piece.
func SealPiece(piece platform.Piece) Piece {
	sealed := Piece{ID: piece.ID, Salt: piece.Salt, Data: piece.Data, Tokens: piece.Tokens}
	sealed.SHA256 = sealed.checksum()
	return sealed
}

// Open returns the piece, or ErrCorrupt if its checksum does not match.
func (p Piece) Open() (platform.Piece, error) {
	if !bytes.Equal(p.SHA256, p.checksum()) {
		return platform.Piece{}, errors.Wrapf(platform.ErrCorrupt, "piece %q", p.ID)
	}
	return platform.Piece{ID: p.ID, Salt: p.Salt, Data: p.Data, Tokens: p.Tokens}, nil
}

// checksum covers all fields; each variable-length field is preceded by its length.
func (p Piece) checksum() []byte {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(p.ID), []byte(p.Salt), p.Data} {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		hash.Write(field)
	}
	hash.Write(binary.BigEndian.AppendUint64(nil, uint64(p.Tokens)))
	return hash.Sum(nil)
}
