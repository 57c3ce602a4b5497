package model

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/httpapi"
)

// ExportPiece implements engine.Engine.
func (e *Engine) ExportPiece(ctx context.Context, salt string, blocks []uint64) ([]byte, error) {
	inst, err := e.reach(ctx)
	if err != nil {
		return nil, err
	}
	if len(blocks) == 0 || !inst.cache.containsAll(salt, blocks) {
		return nil, refused("not all of the %d blocks are cached under the salt", len(blocks))
	}
	data, err := json.Marshal(httpapi.PieceBody{Salt: salt, Blocks: blocks})
	return data, errors.Wrap(err, "encode piece")
}

// ImportPiece implements engine.Engine. It rejects data that was exported
// under another salt or for other blocks.
func (e *Engine) ImportPiece(ctx context.Context, salt string, blocks []uint64, data []byte) error {
	inst, err := e.reach(ctx)
	if err != nil {
		return err
	}
	var piece httpapi.PieceBody
	if err := json.Unmarshal(data, &piece); err != nil {
		return refused("malformed piece: %v", err)
	}
	if piece.Salt != salt || !slices.Equal(piece.Blocks, blocks) {
		return refused("piece belongs to another salt or other blocks")
	}
	inst.cache.store(salt, blocks, e.opts.CacheBlocks)
	return nil
}

var _ engine.Engine = (*Engine)(nil)
