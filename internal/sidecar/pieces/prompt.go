package pieces

import (
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// pieceBytes is the number of prompt bytes in a piece.
const pieceBytes = prefix.PieceBlocks * prefix.BlockBytes

// pieceKey identifies a piece. The salt differs between workspaces, models,
// adapters and weights versions.
type pieceKey struct {
	salt string
	last uint64 // hash of its last block
}

func (k pieceKey) id() string { return prefix.PieceID(k.salt, k.last) }

// prompt is the part of a request's prompt that consists of whole pieces.
type prompt struct {
	request *wire.ExecuteRequest
	salt    string
	chain   []uint64 // hashes of its blocks
}

// newPrompt returns the prompt of a request, or nil if it has no whole piece.
func newPrompt(req *wire.ExecuteRequest) *prompt {
	g := req.Generation
	if g == nil || len(g.Prompt) < pieceBytes {
		return nil
	}
	seed := prefix.Seed{Workspace: req.Workspace, Model: g.Model, Adapter: g.Adapter, WeightsVersion: g.WeightsVersion}
	salt := seed.Salt()
	whole := len(g.Prompt) / pieceBytes * pieceBytes
	return &prompt{request: req, salt: salt, chain: prefix.Chain(nil, salt, g.Prompt[:whole])}
}

// pieces returns the number of pieces.
func (p *prompt) pieces() int { return len(p.chain) / prefix.PieceBlocks }

// blocks returns the blocks of piece i.
func (p *prompt) blocks(i int) []uint64 {
	return p.chain[i*prefix.PieceBlocks : (i+1)*prefix.PieceBlocks]
}

func (p *prompt) key(i int) pieceKey {
	return pieceKey{salt: p.salt, last: p.chain[(i+1)*prefix.PieceBlocks-1]}
}

func (p *prompt) logFields() logging.Fields {
	return logging.Fields{
		"request_id": p.request.RequestId,
		"workspace":  p.request.Workspace,
		"pieces":     p.pieces(),
	}
}
