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
func (f *Filter) exportHot(p *prompt) {
	worth := f.history.worthStoring(p)
	if len(worth) == 0 || !f.exportSem.TryAcquire(1) {
		return
	}
	f.background.Go(func() {
		defer f.exportSem.Release(1)
		for _, i := range worth {
			if !f.exportLimiter.Allow() || !f.export(p, i) {
				return
			}
		}
	})
}

// export exports piece i and reports whether to continue with the next one.
func (f *Filter) export(p *prompt, i int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	start := time.Now()
	key := p.key(i)
	err := f.copyToStore(ctx, p, i)
	fields := p.logFields()
	fields["piece"] = key.id()
	fields["took"] = time.Since(start).String()
	if err == nil || errors.Is(err, platform.ErrConflict) {
		f.history.recordStored(key) // also after a conflict: don't retry until storedFor has passed
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
func (f *Filter) copyToStore(ctx context.Context, p *prompt, i int) error {
	data, err := f.engine.ExportPiece(ctx, p.salt, p.blocks(i))
	if err != nil {
		return err
	}
	return f.store.Put(ctx, platform.Piece{ID: p.key(i).id(), Salt: p.salt, Data: data, Tokens: prefix.PieceTokens})
}
