package execute

import (
	"context"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// cancelTimeout is the time-out for cancelling a generation.
const cancelTimeout = 500 * time.Millisecond

// generate runs a generation, emits the head and the tokens, and returns the
// tail.
func (x *executor) generate(ctx context.Context, j *job.Job) (job.Outcome, *verdict.Error) {
	incarnation, failed := x.checkWeights(ctx, j.Request.Generation)
	if failed != nil {
		return nil, failed
	}
	start := time.Now()
	req := generateRequest(j.Request)
	w := newWatchdog(ctx, x.engine, incarnation)
	defer w.stop()
	stream, err := x.engine.Generate(w.ctx, req)
	if err != nil {
		if x.crashed(ctx, err, incarnation) {
			return nil, crashError(ctx, err, incarnation, "engine crashed before the generation began")
		}
		x.cancelIfMayHaveRun(ctx, req.RequestID, err)
		return nil, backendError(ctx, err, "generation did not start")
	}
	defer func() { _ = stream.Close() }()
	j.Emit(&wire.Frame{Head: head(j, incarnation)})
	r := reader{stream: stream, watchdog: w, emit: j.Emit, start: start}
	last, err := r.readAll(ctx)
	if err != nil {
		if x.crashed(ctx, err, incarnation) {
			return nil, crashError(ctx, w.withCause(err), incarnation, "engine crashed after %d tokens", r.tokens)
		}
		x.cancelIfMayHaveRun(ctx, req.RequestID, err)
		return nil, backendError(ctx, w.withCause(err), "generation broke after %d tokens", r.tokens)
	}
	return &wire.Frame{Tail: tail(&last)}, nil
}

// crashed reports whether the engine has ended, or started again, after the connection of a
// generation broke. An engine that only does not respond may be alive.
func (x *executor) crashed(ctx context.Context, err error, incarnation uint64) bool {
	if ctx.Err() != nil || !errors.Is(err, engine.ErrBroken) {
		return false
	}
	stateCtx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := x.engine.State(stateCtx)
	if err != nil {
		return stateCtx.Err() == nil
	}
	return state.Incarnation != incarnation
}

// crashError returns the error of a generation under which the engine crashed.
func crashError(ctx context.Context, err error, incarnation uint64, format string, args ...any) *verdict.Error {
	failure := backendError(ctx, err, format, args...)
	failure.Crashed = incarnation
	return failure
}

// checkWeights returns the incarnation of the engine if it has loaded the
// weights. A chunk of another incarnation may come from other weights.
func (x *executor) checkWeights(ctx context.Context, g *wire.Generation) (uint64, *verdict.Error) {
	stateCtx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := x.engine.State(stateCtx)
	if err != nil {
		unsent := errors.Wrap(engine.ErrUnreachable, err.Error())
		return 0, backendError(ctx, unsent, "engine does not report its state")
	}
	want := engine.LoadedWeights{Model: g.Model, Adapter: g.Adapter, Version: g.WeightsVersion}
	if !slices.Contains(state.Loaded, want) {
		return 0, verdict.New(verdict.NotRun, verdict.CodeWeightsMismatch,
			"weights %s %s version %s are not loaded", g.Model, g.Adapter, g.WeightsVersion)
	}
	return state.Incarnation, nil
}

func generateRequest(req *wire.ExecuteRequest) engine.GenerateRequest {
	g := req.Generation
	seed := prefix.Seed{Workspace: req.Workspace, Model: g.Model, Adapter: g.Adapter, WeightsVersion: g.WeightsVersion}
	return engine.GenerateRequest{
		RequestID:      attemptID(req),
		Model:          g.Model,
		Adapter:        g.Adapter,
		WeightsVersion: g.WeightsVersion,
		Prompt:         g.Prompt,
		Resume:         g.Resume,
		ResumeTokens:   int(g.ResumeTokens),
		MaxTokens:      int(g.MaxTokens),
		Seed:           g.Seed,
		Temperature:    g.Temperature,
		Stop:           g.Stop,
		CacheSalt:      seed.Salt(),
		Priority:       priority(req.Priority),
	}
}

// attemptID returns the request id for the engine. It is unique for each attempt,
// so that chunks of an earlier attempt can't be mistaken for chunks of this one.
func attemptID(req *wire.ExecuteRequest) string {
	return req.RequestId + "." + strconv.FormatUint(uint64(req.Attempt), 10)
}

func priority(p wire.Priority) engine.Priority {
	if p == wire.Priority_PRIORITY_DEFERRABLE {
		return engine.PriorityDeferrable
	}
	return engine.PriorityUrgent
}

func head(j *job.Job, incarnation uint64) *wire.Head {
	g := j.Request.Generation
	return &wire.Head{
		Load:           &wire.Load{Incarnation: incarnation},
		CreatedUnix:    j.Request.CreatedUnix,
		Chat:           g.Chat,
		Model:          g.ServedName,
		QueuedMs:       j.QueueWait.Milliseconds(),
		ResumeTokens:   g.ResumeTokens,
		WeightsVersion: g.WeightsVersion,
	}
}

func tail(last *engine.Chunk) *wire.Tail {
	return &wire.Tail{
		FinishReason:     string(last.Finish),
		PromptTokens:     uint32(last.Usage.PromptTokens),
		CachedTokens:     uint32(last.Usage.CachedTokens),
		CompletionTokens: uint32(last.Usage.CompletionTokens),
		Load:             &wire.Load{Incarnation: last.Incarnation},
	}
}

// reader reads the chunks of one stream and emits them as frames.
type reader struct {
	stream   engine.ChunkStream
	watchdog *watchdog
	emit     func(*wire.Frame)
	start    time.Time
	tokens   int
}

// readAll reads the stream to its end and returns the last chunk. It returns an
// error if the stream ends without a finish reason and usage.
func (r *reader) readAll(ctx context.Context) (engine.Chunk, error) {
	var last engine.Chunk
	for first := true; ; first = false {
		chunk, err := r.stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return last, err
		}
		if want := r.watchdog.incarnation; chunk.Incarnation != want {
			return last, errors.Wrapf(engine.ErrBroken, "engine restarted: incarnation %d after %d", chunk.Incarnation, want)
		}
		r.watchdog.chunkReceived()
		if first {
			recordFirstToken(ctx, time.Since(r.start))
		}
		r.emitTokens(&chunk)
		last = chunk
	}
	if last.Finish == "" || last.Usage == nil {
		return last, errors.Wrap(engine.ErrBroken, "stream ended without a finish reason")
	}
	return last, nil
}

func (r *reader) emitTokens(chunk *engine.Chunk) {
	if chunk.Text == "" && chunk.Tokens == 0 {
		return
	}
	r.tokens += chunk.Tokens
	r.emit(&wire.Frame{Tokens: &wire.Tokens{Text: chunk.Text, Count: uint32(chunk.Tokens)}})
}

// cancelIfMayHaveRun cancels a generation that the engine may have started and
// that is no longer read.
func (x *executor) cancelIfMayHaveRun(ctx context.Context, id string, cause error) {
	if errors.Is(cause, engine.ErrUnreachable) || errors.Is(cause, engine.ErrRefused) {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	if err := x.engine.Cancel(ctx, id); err != nil {
		logger.Debug(logging.Fields{"engine_request_id": id, "error": err.Error()}, "cannot cancel generation")
	}
}
