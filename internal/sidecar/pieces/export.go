package pieces

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/prefix"
)

// exportHot exports the pieces of a prompt that are worth storing, in the
// background and one prompt at a time. Pieces over the rate limit are exported
// after a later use.
func (p *Filter) exportHot(r *prompt) {
	worth := p.history.worthStoring(r)
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

// export exports piece i and reports whether to continue with the next one.
func (p *Filter) export(r *prompt, i int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	start := time.Now()
	key := r.key(i)
	err := p.copyToStore(ctx, r, i)
	fields := r.fields()
	fields["piece"] = key.id()
	fields["took"] = time.Since(start).String()
	if err == nil || errors.Is(err, platform.ErrConflict) {
		p.history.recordStored(key) // after a conflict, don't retry before storedFor
	}
	if err != nil {
		fields["error"] = err.Error()
		countExport(resultFailed)
		logger.Info(fields, "cannot export hot piece")
		return errors.Is(err, platform.ErrConflict)
	}
	countExport(resultExported)
	logger.Info(fields, "hot piece exported")
	return true
}

// copyToStore copies piece i from the engine to the store. It is idempotent.
func (p *Filter) copyToStore(ctx context.Context, r *prompt, i int) error {
	data, err := p.engine.ExportPiece(ctx, r.salt, r.blocks(i))
	if err != nil {
		return err
	}
	return p.store.Put(ctx, platform.Piece{ID: r.key(i).id(), Salt: r.salt, Data: data, Tokens: prefix.PieceTokens})
}
