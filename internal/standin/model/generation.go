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
	req      engine.GenerateRequest
	instance *instance
	stream   *stream
	ctx      context.Context // cancelled by Cancel or a crash
	cancel   context.CancelFunc

	text      *generator
	writer    writer
	completed int // tokens of the completion, including resumed ones
	chain     []uint64
	usage     engine.Usage
}

func newGeneration(inst *instance, req engine.GenerateRequest, s *stream) *generation {
	whole := len(req.Resume) / tokens.BytesPerToken * tokens.BytesPerToken
	g := &generation{req: req, instance: inst, stream: s, text: newGenerator(&req, req.Resume[:whole])}
	g.ctx, g.cancel = context.WithCancel(inst.ctx)
	g.writer = writer{stops: req.Stop, text: []byte(req.Resume[:whole]), emitted: len(req.Resume)}
	g.completed = req.ResumeTokens
	if whole < len(req.Resume) {
		g.completed-- // the partial token is generated again
	}
	g.chain = prefix.Chain(nil, req.CacheSalt, req.Prompt+req.Resume)
	g.usage.PromptTokens = tokens.Count(len(req.Prompt))
	return g
}

// run executes the generation and aborts its stream if it does not complete.
func (g *generation) run() {
	defer g.cancel()
	if !g.execute() {
		g.instance.removeGeneration(g.req.RequestID)
		g.stream.abort()
	}
}

// execute waits for a slot and generates. It reports whether the generation
// completed.
func (g *generation) execute() bool {
	if g.instance.slots.acquire(g.ctx, g.req.Priority) != nil {
		g.instance.backlog.Add(-int64(g.promptTokens()))
		return false
	}
	defer g.instance.slots.release()
	g.instance.running.Add(1)
	defer g.instance.running.Add(-1)
	return g.prefill() && g.instance.pause(g.ctx, g.stream.faults.delay) && !g.crash() && g.decode()
}

// crash reports whether the engine crashes now because of the prompt.
func (g *generation) crash() bool {
	crashes, down := g.instance.faults.crashes(g.req.Prompt)
	if crashes {
		go g.instance.crashEngine(down)
	}
	return crashes
}

// prefill computes the prompt tokens that are not cached. It reports whether it
// completed.
func (g *generation) prefill() bool {
	defer g.instance.backlog.Add(-int64(g.promptTokens()))
	if g.instance.prefill.acquire(g.ctx, g.req.Priority) != nil {
		return false
	}
	defer g.instance.prefill.release()
	cached := g.instance.cache.match(g.chain) * prefix.BlockTokens
	g.usage.CachedTokens = min(cached, g.usage.PromptTokens)
	missing := max(1, g.promptTokens()-cached)
	if !g.instance.pause(g.ctx, g.instance.opts.prefillTime(missing)) {
		return false
	}
	g.instance.cache.store(g.req.CacheSalt, g.chain, g.instance.opts.CacheBlocks)
	return true
}

// promptTokens returns the number of tokens to process before the first new
// one.
func (g *generation) promptTokens() int {
	return tokens.Count(len(g.req.Prompt) + len(g.req.Resume))
}

// decode emits the completion token by token. It reports whether it completed.
func (g *generation) decode() bool {
	start := time.Now()
	step := g.instance.opts.scaled(g.instance.opts.DecodeStep)
	for n := 1; g.completed < g.req.MaxTokens; n++ {
		due := start.Add(time.Duration(n) * step)
		if !g.instance.pause(g.ctx, time.Until(due)) {
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

// finish emits the final chunk. It releases the request ID first, so that the
// reader of the chunk can use it again.
func (g *generation) finish(text string, reason engine.FinishReason) {
	g.instance.removeGeneration(g.req.RequestID)
	g.usage.CompletionTokens = g.completed
	g.emit(text, reason)
}

// emit appends a chunk with text that the writer already counts as emitted.
func (g *generation) emit(text string, reason engine.FinishReason) {
	before := tokens.Count(g.writer.emitted - len(text))
	chunk := engine.Chunk{
		RequestID:   g.req.RequestID,
		Incarnation: g.instance.incarnation,
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
