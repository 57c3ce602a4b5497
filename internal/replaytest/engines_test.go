package replaytest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/recording"
	"github.com/wasabigate/wasabigate/internal/standin/model"
	"github.com/wasabigate/wasabigate/internal/tokens"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

const (
	// engineTokensPerSecond is the prefill rate of the users' engines.
	engineTokensPerSecond = 36_000
	// engineBlocks is the cache size of an engine: six parts of 6,300 tokens, so that
	// each of a dozen engines holds some of a few dozen parts and evicts them within
	// seconds.
	engineBlocks = 6 * 6300 / prefix.BlockTokens
	// decodeStep makes eight events take half a second, like a short response.
	decodeStep = 60 * time.Millisecond
	// A transfer takes a fixed time and a time per token, as the placement assumes.
	transferStart       = 6 * time.Millisecond
	transferTokensPerMs = 600
)

// engines are the simulated engines behind the relay. It implements forward.Backend.
type engines struct {
	byAddress map[string]*model.Engine

	mu       sync.Mutex
	computed int64 // prompt tokens that were computed
	moved    int64 // prompt tokens whose KV cache was transferred
}

func newEngines(n int) *engines {
	e := &engines{byAddress: make(map[string]*model.Engine)}
	for i := range n {
		e.byAddress[addressOf(i)] = model.New(model.Options{
			Seed: uint64(i), Loaded: []engine.LoadedWeights{{Model: modelName, Version: "1"}},
			PrefillRate: engineTokensPerSecond, DecodeStep: decodeStep, CacheBlocks: engineBlocks, FirstIncarnation: 1,
		})
	}
	return e
}

func idOf(i int) string      { return fmt.Sprint("e", i) }
func addressOf(i int) string { return idOf(i) + ":1" }

func (e *engines) close() {
	for _, engine := range e.byAddress {
		engine.Close()
	}
}

// Do implements forward.Backend.
func (e *engines) Do(ctx context.Context, call *backend.Call) (*backend.Response, error) {
	var a recording.Arrival
	if err := json.Unmarshal(call.Body, &a); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeBackendFailed, "body")
	}
	e.fetch(ctx, call, &a)
	chunks, err := e.byAddress[call.Address].Generate(ctx, engine.GenerateRequest{
		RequestID: call.RequestID, Model: modelName, WeightsVersion: "1", Prompt: sharedText(&a) + ownText(call.RequestID, a.OwnTokens),
		MaxTokens: int(a.OutputTokens), CacheSalt: call.CacheSalt,
	})
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeBackendFailed, "engine")
	}
	reader, writer := io.Pipe()
	go e.stream(chunks, writer)
	resp := &backend.Response{Status: http.StatusOK, Header: http.Header{}, Body: reader}
	resp.Signed, resp.ServerID, resp.WeightsVersion = true, call.ServerID, 1
	return resp, nil
}

// ended reports whether the engine at an address has crashed and not started again.
func (e *engines) ended(ctx context.Context, address string) bool {
	_, err := e.byAddress[address].State(ctx)
	return err != nil
}

// stream writes an engine's chunks as events.
func (e *engines) stream(chunks engine.ChunkStream, w *io.PipeWriter) {
	defer func() { _ = chunks.Close() }() // never fails
	for n := 1; ; n++ {
		chunk, err := chunks.Next()
		if err == io.EOF {
			_ = w.Close() // never fails
			return
		}
		if err != nil {
			_ = w.CloseWithError(err) // never fails
			return
		}
		if chunk.Usage != nil {
			e.count(int64(chunk.Usage.PromptTokens-chunk.Usage.CachedTokens), 0)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", n); err != nil {
			return // the relay has closed the response
		}
	}
}

// count adds to the numbers of computed and moved prompt tokens.
func (e *engines) count(computed, moved int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.computed += computed
	e.moved += moved
}

// fetch transfers the shared parts from the engine in call.FetchFrom, if it holds them.
func (e *engines) fetch(ctx context.Context, call *backend.Call, a *recording.Arrival) {
	holder := e.byAddress[call.FetchFrom]
	if holder == nil || call.FetchFrom == call.Address {
		return
	}
	blocks := prefix.Chain(nil, call.CacheSalt, sharedText(a))
	piece, err := holder.ExportPiece(ctx, call.CacheSalt, blocks)
	if err != nil {
		return // evicted: the prompt is computed
	}
	time.Sleep(transferStart + time.Duration(a.SharedTokens/transferTokensPerMs)*time.Millisecond)
	if e.byAddress[call.Address].ImportPiece(ctx, call.CacheSalt, blocks, piece) == nil {
		e.count(0, a.SharedTokens)
	}
}

// sharedText returns the text of the shared parts, cut to whole blocks.
func sharedText(a *recording.Arrival) string {
	whole := int(a.SharedTokens) / prefix.BlockTokens * prefix.BlockTokens
	return textOf(a.Part, whole)
}

func ownText(id string, n int64) string { return textOf(id, int(n)) }

// textOf returns a text of n tokens that repeats word.
func textOf(word string, n int) string {
	length := n * tokens.BytesPerToken
	word += " "
	return strings.Repeat(word, length/len(word)+1)[:length]
}
