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
func (f *Filter) importMissing(ctx context.Context, j *job.Job, p *prompt) {
	load := f.load()
	depth, complete := f.index.Depth(p.chain)
	first := depth / prefix.PieceBlocks
	if !complete {
		first = max(first, f.history.cachedPieces(p, load.GetIncarnation()))
	}
	if first >= p.pieces() {
		return
	}
	missingBlocks := len(p.chain) - max(depth, first*prefix.PieceBlocks)
	e := f.cost.estimate(p.pieces()-first, missingBlocks, load.GetPrefillRate())
	f.applyLimits(&e, j, p.key(first))
	if e.skipReason != "" {
		countImport(e.skipReason, 0)
		logDecision(p, first, 0, &e, e.skipReason)
		return
	}
	f.importWithinBudget(ctx, p, first, load.GetIncarnation(), &e)
}

// importWithinBudget imports the pieces from the first missing one on, within the
// estimate's budget, and logs the result.
func (f *Filter) importWithinBudget(ctx context.Context, p *prompt, first int, incarnation uint64, e *estimate) {
	ctx, cancel := context.WithTimeout(ctx, e.budget)
	defer cancel()
	start := time.Now()
	imported, err := f.importFrom(ctx, p, first, incarnation)
	e.expected = time.Since(start)
	recordImport(e.expected)
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	logDecision(p, first, imported, e, reason)
}

// applyLimits skips the import if the store recently lacked the first piece, and
// limits the budget to half of the time until the caller's deadline.
func (f *Filter) applyLimits(e *estimate, j *job.Job, first pieceKey) {
	if e.skipReason == "" && f.history.recentlyMissing(first) {
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
func (f *Filter) importFrom(ctx context.Context, p *prompt, first int, incarnation uint64) (int, error) {
	for i := first; i < p.pieces(); i++ {
		if err := f.importOnce(ctx, p, i, incarnation); err != nil {
			return i - first, err
		}
	}
	return p.pieces() - first, nil
}

// importOnce imports piece i, or waits for another request's import of it. The
// import is limited by the budget of the request that started it.
func (f *Filter) importOnce(ctx context.Context, p *prompt, i int, incarnation uint64) error {
	key := p.key(i)
	done := f.importGroup.DoChan(key.salt+key.id(), func() (any, error) {
		return nil, f.importPiece(ctx, p, i, incarnation)
	})
	select {
	case result := <-done:
		return result.Err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (f *Filter) importPiece(ctx context.Context, p *prompt, i int, incarnation uint64) error {
	start := time.Now()
	key := p.key(i)
	err := f.fetchAndImport(ctx, p, i)
	switch {
	case err == nil:
		f.cost.recordImport(time.Since(start))
		f.history.recordImported(key, incarnation)
		countImport(resultImported, prefix.PieceTokens)
	case errors.Is(err, platform.ErrNotFound):
		f.cost.recordMiss(time.Since(start))
		f.history.recordMissing(p, i)
		countImport(resultNotStored, 0)
	case errors.Is(err, platform.ErrCorrupt), errors.Is(err, errWrongPiece):
		f.cost.recordMiss(time.Since(start))
		f.history.recordMissing(p, i)
		countImport(resultRejected, 0)
	case errors.Is(ctx.Err(), context.Canceled):
		countImport(resultCancelled, 0)
	case ctx.Err() != nil:
		f.cost.recordTimeout(time.Since(start))
		countImport(resultTooSlow, 0)
	default:
		f.cost.recordFailure()
		countImport(resultFailed, 0)
	}
	return err
}

// fetchAndImport fetches piece i from the store, checks it and imports it into the
// engine.
func (f *Filter) fetchAndImport(ctx context.Context, p *prompt, i int) error {
	key := p.key(i)
	piece, err := f.store.Get(ctx, key.id())
	if err != nil {
		return err
	}
	if err := checkPiece(&piece, key); err != nil {
		return err
	}
	return f.engine.ImportPiece(ctx, p.salt, p.blocks(i), piece.Data)
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

func logDecision(p *prompt, first, imported int, e *estimate, reason string) {
	fields := p.logFields()
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
