package pieces

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/prefix"
)

// exportHot exports the pieces of a prompt that are worth keeping, in the
// background and one prompt at a time. What the rate leaves out has its turn
// with a later use.
func (p *Pieces) exportHot(r *prompt) {
	worth := p.memory.worthKeeping(r)
	if len(worth) == 0 || !p.exporting.TryAcquire(1) {
		return
	}
	p.background.Go(func() {
		defer p.exporting.Release(1)
		for _, i := range worth {
			if !p.exports.Allow() || !p.export(r, i) {
				return
			}
		}
	})
}

// export exports piece i and says whether to go on.
func (p *Pieces) export(r *prompt, i int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	start := time.Now()
	key := r.key(i)
	err := p.copyToStore(ctx, r, i)
	fields := r.fields()
	fields["piece"] = key.id()
	fields["took"] = time.Since(start).String()
	if err == nil || errors.Is(err, platform.ErrConflict) {
		p.memory.stored(key) // a conflict is not tried again soon
	}
	if err != nil {
		fields["error"] = err.Error()
		countExport(resultFailed)
		logger.Info(fields, "hot piece not exported")
		return errors.Is(err, platform.ErrConflict)
	}
	countExport(resultExported)
	logger.Info(fields, "hot piece exported")
	return true
}

// copyToStore is idempotent.
func (p *Pieces) copyToStore(ctx context.Context, r *prompt, i int) error {
	data, err := p.engine.ExportPiece(ctx, r.salt, r.blocks(i))
	if err != nil {
		return err
	}
	return p.store.Put(ctx, platform.Piece{ID: r.key(i).id(), Salt: r.salt, Data: data, Tokens: prefix.PieceTokens})
}
