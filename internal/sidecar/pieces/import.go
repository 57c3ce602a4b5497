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
// until one is not to be had or the budget is spent.
func (p *Pieces) importMissing(ctx context.Context, j *job.Job, r *prompt) {
	load := p.load()
	depth, complete := p.index.Depth(r.chain)
	first := depth / prefix.PieceBlocks
	if !complete {
		first = max(first, p.memory.held(r, load.GetIncarnation()))
	}
	if first >= r.pieces() {
		return
	}
	missingBlocks := len(r.chain) - max(depth, first*prefix.PieceBlocks)
	e := p.cost.estimate(r.pieces()-first, missingBlocks, load.GetPrefillRate())
	p.skipIfPointless(&e, j, r.key(first))
	if e.skip != "" {
		countImport(e.skip, 0)
		logDecision(r, first, 0, &e, e.skip)
		return
	}
	p.importWithin(ctx, r, first, load.GetIncarnation(), &e)
}

// importWithin imports the pieces from the first missing one on, within the
// budget.
func (p *Pieces) importWithin(ctx context.Context, r *prompt, first int, incarnation uint64, e *estimate) {
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

// skipIfPointless shortens the budget to the caller's patience, and gives up if
// the store did not have the first piece a moment ago.
func (p *Pieces) skipIfPointless(e *estimate, j *job.Job, first pieceKey) {
	if e.skip == "" && p.memory.absent(first) {
		e.skip = skipNotKept
	}
	deadline := j.Deadline()
	if e.skip != "" || deadline.IsZero() {
		return
	}
	e.budget = min(e.budget, time.Until(deadline)/2)
	if e.budget <= 0 {
		e.skip = skipLateStart
	}
}

// importFrom returns the number of pieces imported, and why it is not all.
func (p *Pieces) importFrom(ctx context.Context, r *prompt, first int, incarnation uint64) (int, error) {
	for i := first; i < r.pieces(); i++ {
		if err := p.importOnce(ctx, r, i, incarnation); err != nil {
			return i - first, err
		}
	}
	return r.pieces() - first, nil
}

// importOnce imports piece i, or waits for another request's import of it. The
// import ends with the budget of the request that began it.
func (p *Pieces) importOnce(ctx context.Context, r *prompt, i int, incarnation uint64) error {
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

func (p *Pieces) importPiece(ctx context.Context, r *prompt, i int, incarnation uint64) error {
	start := time.Now()
	key := r.key(i)
	err := p.fetchInto(ctx, r, i)
	switch {
	case err == nil:
		p.cost.succeeded(time.Since(start))
		p.memory.imported(key, incarnation)
		countImport(resultImported, prefix.PieceTokens)
	case errors.Is(err, platform.ErrNotFound):
		p.cost.lookedUp(time.Since(start))
		p.memory.missing(r, i)
		countImport(resultNotKept, 0)
	case errors.Is(err, platform.ErrCorrupt), errors.Is(err, errForeign):
		p.cost.lookedUp(time.Since(start))
		p.memory.missing(r, i)
		countImport(resultRejected, 0)
	case errors.Is(ctx.Err(), context.Canceled):
		countImport(resultCancelled, 0)
	case ctx.Err() != nil:
		p.cost.tooSlow(time.Since(start))
		countImport(resultTooSlow, 0)
	default:
		p.cost.failed()
		countImport(resultFailed, 0)
	}
	return err
}

// fetchInto gives the engine piece i from the store, if it is what was asked
// for.
func (p *Pieces) fetchInto(ctx context.Context, r *prompt, i int) error {
	key := r.key(i)
	piece, err := p.store.Get(ctx, key.id())
	if err != nil {
		return err
	}
	if err := check(&piece, key); err != nil {
		return err
	}
	return p.engine.ImportPiece(ctx, r.salt, r.blocks(i), piece.Data)
}

// errForeign means that the store answered with another piece.
var errForeign = errors.New("not the piece that was asked for")

// check compares a piece with the name under which it was asked for. The name
// holds a part of the salt only.
func check(piece *platform.Piece, key pieceKey) error {
	if piece.ID != key.id() {
		return errors.Wrapf(errForeign, "piece %q instead of %q", piece.ID, key.id())
	}
	if piece.Salt != key.salt {
		return errors.Wrapf(errForeign, "piece %q has another salt", piece.ID)
	}
	if piece.Tokens != prefix.PieceTokens || len(piece.Data) == 0 {
		return errors.Wrapf(errForeign, "piece %q has %d tokens in %d bytes", piece.ID, piece.Tokens, len(piece.Data))
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
	if e.skip != "" {
		fields["choice"] = "recompute"
	}
	if reason != "" {
		fields["reason"] = reason
	}
	logger.Info(fields, "import decided")
}
