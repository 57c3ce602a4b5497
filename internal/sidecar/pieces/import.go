package pieces

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
)

// importMissing imports the pieces of a prompt that the engine lacks, in order,
// until one cannot be imported or the budget is used up.
func (p *Filter) importMissing(ctx context.Context, j *job.Job, r *prompt) {
	load := p.load()
	depth, complete := p.index.Depth(r.chain)
	first := depth / prefix.PieceBlocks
	if !complete {
		first = max(first, p.history.cachedPieces(r, load.GetIncarnation()))
	}
	if first >= r.pieces() {
		return
	}
	missingBlocks := len(r.chain) - max(depth, first*prefix.PieceBlocks)
	e := p.cost.estimate(r.pieces()-first, missingBlocks, load.GetPrefillRate())
	p.applyLimits(&e, j, r.key(first))
	if e.skipReason != "" {
		countImport(e.skipReason, 0)
		logDecision(r, first, 0, &e, e.skipReason)
		return
	}
	p.importWithin(ctx, r, first, load.GetIncarnation(), &e)
}

// importWithin imports the pieces from the first missing one on, within the
// budget, and logs the result.
func (p *Filter) importWithin(ctx context.Context, r *prompt, first int, incarnation uint64, e *estimate) {
	ctx, cancel := context.WithTimeout(ctx, e.budget)
	defer cancel()
	start := time.Now()
	imported, err := p.importFrom(ctx, r, first, incarnation)
	e.expected = time.Since(start)
	recordImport(e.expected)
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	logDecision(r, first, imported, e, reason)
}

// applyLimits skips the import if the store recently lacked the first piece, and
// limits the budget to half of the time until the caller's deadline.
func (p *Filter) applyLimits(e *estimate, j *job.Job, first pieceKey) {
	if e.skipReason == "" && p.history.recentlyMissing(first) {
		e.skipReason = skipNotStored
	}
	deadline := j.Deadline()
	if e.skipReason != "" || deadline.IsZero() {
		return
	}
	e.budget = min(e.budget, time.Until(deadline)/2)
	if e.budget <= 0 {
		e.skipReason = skipDeadline
	}
}

// importFrom imports the pieces from first on. It returns the number of imported
// pieces, and an error if not all were imported.
func (p *Filter) importFrom(ctx context.Context, r *prompt, first int, incarnation uint64) (int, error) {
	for i := first; i < r.pieces(); i++ {
		if err := p.importOnce(ctx, r, i, incarnation); err != nil {
			return i - first, err
		}
	}
	return r.pieces() - first, nil
}

// importOnce imports piece i, or waits for another request's import of it. The
// import is limited by the budget of the request that started it.
func (p *Filter) importOnce(ctx context.Context, r *prompt, i int, incarnation uint64) error {
	key := r.key(i)
	done := p.imports.DoChan(key.salt+key.id(), func() (any, error) {
		return nil, p.importPiece(ctx, r, i, incarnation)
	})
	select {
	case result := <-done:
		return result.Err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (p *Filter) importPiece(ctx context.Context, r *prompt, i int, incarnation uint64) error {
	start := time.Now()
	key := r.key(i)
	err := p.fetchAndImport(ctx, r, i)
	switch {
	case err == nil:
		p.cost.recordImport(time.Since(start))
		p.history.recordImported(key, incarnation)
		countImport(resultImported, prefix.PieceTokens)
	case errors.Is(err, platform.ErrNotFound):
		p.cost.recordMiss(time.Since(start))
		p.history.recordMissing(r, i)
		countImport(resultNotStored, 0)
	case errors.Is(err, platform.ErrCorrupt), errors.Is(err, errWrongPiece):
		p.cost.recordMiss(time.Since(start))
		p.history.recordMissing(r, i)
		countImport(resultRejected, 0)
	case errors.Is(ctx.Err(), context.Canceled):
		countImport(resultCancelled, 0)
	case ctx.Err() != nil:
		p.cost.recordTimeout(time.Since(start))
		countImport(resultTooSlow, 0)
	default:
		p.cost.recordFailure()
		countImport(resultFailed, 0)
	}
	return err
}

// fetchAndImport fetches piece i from the store, checks it and imports it into the
// engine.
func (p *Filter) fetchAndImport(ctx context.Context, r *prompt, i int) error {
	key := r.key(i)
	piece, err := p.store.Get(ctx, key.id())
	if err != nil {
		return err
	}
	if err := checkPiece(&piece, key); err != nil {
		return err
	}
	return p.engine.ImportPiece(ctx, r.salt, r.blocks(i), piece.Data)
}

// errWrongPiece means that the store returned another piece or an invalid one.
var errWrongPiece = errors.New("not the requested piece")

// checkPiece compares a piece with the requested key. It compares the whole salt,
// since the id contains only a part of it.
func checkPiece(piece *platform.Piece, key pieceKey) error {
	if piece.ID != key.id() {
		return errors.Wrapf(errWrongPiece, "piece %q instead of %q", piece.ID, key.id())
	}
	if piece.Salt != key.salt {
		return errors.Wrapf(errWrongPiece, "piece %q has another salt", piece.ID)
	}
	if piece.Tokens != prefix.PieceTokens || len(piece.Data) == 0 {
		return errors.Wrapf(errWrongPiece, "piece %q has %d tokens in %d bytes", piece.ID, piece.Tokens, len(piece.Data))
	}
	return nil
}

func logDecision(r *prompt, first, imported int, e *estimate, reason string) {
	fields := r.fields()
	fields["held"] = first
	fields["imported"] = imported
	fields["recompute"] = e.recompute.String()
	fields["import"] = e.expected.String()
	fields["choice"] = "import"
	if e.skipReason != "" {
		fields["choice"] = "recompute"
	}
	if reason != "" {
		fields["reason"] = reason
	}
	logger.Info(fields, "decided between import and recomputation")
}
