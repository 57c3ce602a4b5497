package client

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/httpapi"
)

// Engine implements engine.Engine over HTTP.
type Engine struct {
	base string
	http *http.Client
	// unnamed is for calls that change something and bear no id, so that a copy of an earlier
	// answer can't be taken for theirs: each has a connection of its own.
	unnamed *http.Client
	// OnResponse is called with the head of each response, if set.
	OnResponse func(engine.Answer)
}

// NewEngine returns a client of the model engine at baseURL.
func NewEngine(baseURL string) *Engine {
	return &Engine{base: strings.TrimSuffix(baseURL, "/"), http: newHTTPClient(true), unnamed: newHTTPClient(false)}
}

// Generate implements engine.Engine. The stream breaks when ctx ends.
func (e *Engine) Generate(ctx context.Context, req engine.GenerateRequest) (engine.ChunkStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := e.post(ctx, httpapi.PathCompletions, req.RequestID, req)
	if err != nil {
		cancel()
		return nil, err
	}
	return newChunkStream(resp.Body, cancel, req.RequestID, req.ResumeTokens), nil
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(ctx context.Context, requestID string) error {
	resp, err := e.post(ctx, httpapi.PathCancel, "", httpapi.CancelBody{RequestID: requestID})
	if err != nil {
		return err
	}
	return finish(resp)
}

// State implements engine.Engine.
func (e *Engine) State(ctx context.Context) (engine.State, error) {
	resp, err := e.get(ctx, httpapi.PathState)
	if err != nil {
		return engine.State{}, err
	}
	var state engine.State
	err = decode(resp, maxStateBytes, &state)
	return state, err
}

// Events implements engine.Engine. A malformed event ends the channel like a
// broken connection.
func (e *Engine) Events(ctx context.Context, after uint64) (<-chan engine.CacheEvent, error) {
	query := url.Values{httpapi.QueryAfter: {strconv.FormatUint(after, 10)}}
	resp, err := e.get(ctx, httpapi.PathEvents+"?"+query.Encode())
	if err != nil {
		return nil, err
	}
	out := make(chan engine.CacheEvent)
	go func() {
		defer close(out)
		defer func() { _ = resp.Body.Close() }()
		readEvents(resp.Body, func(event engine.CacheEvent) bool {
			select {
			case out <- event:
				return true
			case <-ctx.Done():
				return false
			}
		})
	}()
	return out, nil
}

// Apply implements engine.Engine.
func (e *Engine) Apply(ctx context.Context, order engine.Order) error {
	resp, err := e.post(ctx, httpapi.PathOrders, "", order)
	if err != nil {
		return err
	}
	return finish(resp)
}

// ExportPiece implements engine.Engine. A response with another salt or other blocks
// is an error.
func (e *Engine) ExportPiece(ctx context.Context, salt string, blocks []uint64) ([]byte, error) {
	resp, err := e.post(ctx, httpapi.PathExport, "", httpapi.PieceBody{Salt: salt, Blocks: blocks})
	if err != nil {
		return nil, err
	}
	var piece httpapi.PieceBody
	if err := decode(resp, maxPieceBytes, &piece); err != nil {
		return nil, err
	}
	if piece.Salt != salt || !slices.Equal(piece.Blocks, blocks) {
		return nil, errors.Wrap(engine.ErrBroken, "exported piece belongs to another salt or other blocks")
	}
	return piece.Data, nil
}

// ImportPiece implements engine.Engine.
func (e *Engine) ImportPiece(ctx context.Context, salt string, blocks []uint64, data []byte) error {
	resp, err := e.post(ctx, httpapi.PathImport, "", httpapi.PieceBody{Salt: salt, Blocks: blocks, Data: data})
	if err != nil {
		return err
	}
	return finish(resp)
}

var _ engine.Engine = (*Engine)(nil)

// CloseIdleConnections closes the connections that are kept open for later requests.
func (e *Engine) CloseIdleConnections() { e.http.CloseIdleConnections() }
