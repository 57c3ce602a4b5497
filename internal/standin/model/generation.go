package model

import (
	"context"
	"time"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/tokens"
)

// generation is one request in the engine.
type generation struct {
	req    engine.GenerateRequest
	life   *life
	stream *stream
	ctx    context.Context // ends with a cancel or a crash
	cancel context.CancelFunc

	text      *generator
	writer    writer
	completed int // tokens of the completion, including resumed ones
	chain     []uint64
	usage     engine.Usage
}

func newGeneration(l *life, req engine.GenerateRequest, s *stream) *generation {
	whole := len(req.Resume) / tokens.BytesPerToken * tokens.BytesPerToken
	g := &generation{req: req, life: l, stream: s, text: newGenerator(&req, req.Resume[:whole])}
	g.ctx, g.cancel = context.WithCancel(l.ctx)
	g.writer = writer{stops: req.Stop, text: []byte(req.Resume[:whole]), emitted: len(req.Resume)}
	g.completed = req.ResumeTokens
	if whole < len(req.Resume) {
		g.completed--
	}
	g.chain = prefix.Chain(nil, req.CacheSalt, req.Prompt+req.Resume)
	g.usage.PromptTokens = tokens.Count(len(req.Prompt))
	return g
}

// run carries out the generation.
func (g *generation) run() {
	defer g.cancel()
	if !g.runAdmitted() {
		g.life.forget(g.req.RequestID)
		g.stream.abort()
	}
}

// runAdmitted says whether the generation is complete.
func (g *generation) runAdmitted() bool {
	if g.life.slots.acquire(g.ctx, g.req.Priority) != nil {
		g.life.backlog.Add(-int64(g.promptTokens()))
		return false
	}
	defer g.life.slots.release()
	g.life.running.Add(1)
	defer g.life.running.Add(-1)
	return g.prefill() && g.life.pause(g.ctx, g.stream.faults.delay) && g.decode()
}

// prefill computes the prompt tokens that are not cached.
func (g *generation) prefill() bool {
	defer g.life.backlog.Add(-int64(g.promptTokens()))
	if g.life.prefill.acquire(g.ctx, g.req.Priority) != nil {
		return false
	}
	defer g.life.prefill.release()
	cached := g.life.cache.match(g.chain) * prefix.BlockTokens
	g.usage.CachedTokens = min(cached, g.usage.PromptTokens)
	missing := max(1, g.promptTokens()-cached)
	if !g.life.pause(g.ctx, g.life.opts.prefillTime(missing)) {
		return false
	}
	g.life.cache.store(g.req.CacheSalt, g.chain, g.life.opts.CacheBlocks)
	return true
}

// promptTokens counts the tokens that are computed before the first new one.
func (g *generation) promptTokens() int {
	return tokens.Count(len(g.req.Prompt) + len(g.req.Resume))
}

// decode emits the completion token by token.
func (g *generation) decode() bool {
	start := time.Now()
	step := g.life.opts.scaled(g.life.opts.DecodeStep)
	for n := 1; g.completed < g.req.MaxTokens; n++ {
		due := start.Add(time.Duration(n) * step)
		if !g.life.pause(g.ctx, time.Until(due)) {
			return false
		}
		g.completed++
		text, stopped := g.writer.add(g.text.next())
		if stopped {
			g.finish(text, engine.FinishStop)
			return true
		}
		if g.completed == g.req.MaxTokens {
			g.finish(text+g.writer.flush(), engine.FinishLength)
			return true
		}
		if text != "" {
			g.emit(text, "")
		}
	}
	g.finish("", engine.FinishLength)
	return true
}

// finish emits the last chunk. The request id is free again before it.
func (g *generation) finish(text string, reason engine.FinishReason) {
	g.life.forget(g.req.RequestID)
	g.usage.CompletionTokens = g.completed
	g.emit(text, reason)
}

// emit appends a chunk with text, which the writer has counted as emitted.
func (g *generation) emit(text string, reason engine.FinishReason) {
	before := tokens.Count(g.writer.emitted - len(text))
	chunk := engine.Chunk{
		RequestID:   g.req.RequestID,
		Incarnation: g.life.incarnation,
		Index:       before,
		Text:        text,
		Tokens:      tokens.Count(g.writer.emitted) - before,
		Finish:      reason,
	}
	if reason != "" {
		usage := g.usage
		chunk.Usage = &usage
	}
	g.stream.append(chunk)
}
