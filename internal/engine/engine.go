// Package engine defines the interfaces of backend servers: model engines and
// plain services.
package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Errors of engines and services. Implementations wrap them.
var (
	// ErrRefused means that the backend server refused the request; it has not run.
	ErrRefused = errors.New("refused by backend server")
	// ErrUnreachable means that no connection was made; the request has not run.
	ErrUnreachable = errors.New("backend server unreachable")
	// ErrBroken means that the connection broke, or the response was unusable; the
	// request may have run.
	ErrBroken = errors.New("connection to backend server broke")
	// ErrStaleFence means that the order's fencing token is older than one that the
	// engine has seen.
	ErrStaleFence = errors.New("stale fencing number")
	// ErrGap means that cache events were lost.
	ErrGap = errors.New("cache events lost")
)

// Priority is the scheduling priority of a request in an engine. Lower runs first.
type Priority int

// The priorities sent to engines.
const (
	PriorityUrgent     Priority = 0
	PriorityDeferrable Priority = 10
)

// GenerateRequest requests a completion of Prompt followed by Resume.
type GenerateRequest struct {
	RequestID      string   `json:"request_id"`
	Model          string   `json:"model"`
	Adapter        string   `json:"adapter,omitempty"`
	WeightsVersion string   `json:"weights_version"`
	Prompt         string   `json:"prompt"`
	Resume         string   `json:"resume,omitempty"`        // text already generated elsewhere
	ResumeTokens   int      `json:"resume_tokens,omitempty"` // tokens in Resume
	MaxTokens      int      `json:"max_tokens"`              // including ResumeTokens
	Seed           int64    `json:"seed"`
	Temperature    float64  `json:"temperature"`
	Stop           []string `json:"stop,omitempty"`
	CacheSalt      string   `json:"cache_salt"`
	Priority       Priority `json:"priority"`
}

// FinishReason is the reason why a generation ended.
type FinishReason string

// The finish reasons of the OpenAI API that engines return.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Usage counts the tokens of a generation.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"` // prompt tokens found in the cache
	CompletionTokens int `json:"completion_tokens"`
}

// Chunk is one part of a generation's stream. The last chunk has Finish and Usage
// set; a stream that ends without it is incomplete.
type Chunk struct {
	RequestID   string       `json:"request_id"`
	Incarnation uint64       `json:"incarnation"`
	Index       int          `json:"index"` // index of the first token in the completion
	Text        string       `json:"text"`
	Tokens      int          `json:"tokens"`
	Finish      FinishReason `json:"finish,omitempty"`
	Usage       *Usage       `json:"usage,omitempty"`
}

// ChunkStream delivers the chunks of a generation in order.
type ChunkStream interface {
	// Next returns the next chunk, io.EOF after the last one, or an error that
	// wraps ErrBroken.
	Next() (Chunk, error)
	// Close releases the stream. Closing it early does not cancel the generation.
	Close() error
}

// LoadedWeights identifies weights that an engine has loaded.
type LoadedWeights struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
}

// State is an engine's report of its own state. It lags behind the actual state.
type State struct {
	Incarnation    uint64          `json:"incarnation"` // changes with each restart
	Loaded         []LoadedWeights `json:"loaded"`
	Role           string          `json:"role"`
	Fence          uint64          `json:"fence"` // highest fencing token seen
	Running        int             `json:"running"`
	Waiting        int             `json:"waiting"`
	MaxRunning     int             `json:"max_running"`
	PrefillBacklog int             `json:"prefill_backlog"` // tokens waiting for prefill
	CachedBlocks   int             `json:"cached_blocks"`
	CacheCapacity  int             `json:"cache_capacity"` // blocks
	PrefillRate    float64         `json:"prefill_rate"`   // tokens per second
	DecodeStep     time.Duration   `json:"decode_step"`    // time per token of a stream
}

// CacheEvent reports blocks stored in or evicted from an engine's cache.
type CacheEvent struct {
	Sequence    uint64   `json:"sequence"` // consecutive within an incarnation
	Incarnation uint64   `json:"incarnation"`
	Stored      []uint64 `json:"stored,omitempty"`  // block hashes, see package prefix
	Evicted     []uint64 `json:"evicted,omitempty"` // block hashes
}

// Order changes the weights or the role of an engine.
type Order struct {
	Fence  uint64         `json:"fence"`
	Load   *LoadedWeights `json:"load,omitempty"`
	Unload *LoadedWeights `json:"unload,omitempty"`
	Role   string         `json:"role,omitempty"`
}

// Engine is a model engine.
type Engine interface {
	// Generate starts a generation. Errors wrap ErrRefused, ErrUnreachable or
	// ErrBroken.
	Generate(ctx context.Context, req GenerateRequest) (ChunkStream, error)
	// Cancel ends a running generation. It is idempotent.
	Cancel(ctx context.Context, requestID string) error
	// State returns the engine's report of its own state.
	State(ctx context.Context) (State, error)
	// Events delivers the cache events after the given sequence number. The channel
	// is closed when the connection breaks or ctx ends.
	Events(ctx context.Context, after uint64) (<-chan CacheEvent, error)
	// Apply executes an order. Errors wrap ErrStaleFence if the fencing token is
	// stale.
	Apply(ctx context.Context, order Order) error
	// ExportPiece returns the cached data of the given blocks. Errors wrap ErrRefused
	// if one of them is not cached.
	ExportPiece(ctx context.Context, salt string, blocks []uint64) ([]byte, error)
	// ImportPiece adds the data of an exported piece to the cache.
	ImportPiece(ctx context.Context, salt string, blocks []uint64, data []byte) error
}

// CallRequest is a call to a plain service.
type CallRequest struct {
	RequestID string
	Method    string
	Path      string // with query
	Header    http.Header
	Body      []byte
}

// CallReply is the response of a plain service. RequestID is the value of
// HeaderRequestID in the response; it is empty if the service did not echo it.
type CallReply struct {
	RequestID string
	Status    int
	Header    http.Header
	Body      []byte
}

// HeaderRequestID is the header with the request id, in calls to plain services, in
// generations, and in their responses.
const HeaderRequestID = "X-Request-Id"

// HeaderLimit is the header in which a backend server names the requests a second that it
// takes, a decimal number, for as long as it does so.
const HeaderLimit = "X-Request-Limit"

// HeaderLeaving is the header in which a backend server says, in all its answers, that it
// leaves. HeaderInstance names its process, which is another one after a restart.
const (
	HeaderLeaving  = "X-Server-Leaving"
	HeaderInstance = "X-Server-Instance"
)

// Answer is the head of a backend server's response, which says something of the server
// itself, whatever becomes of the response.
type Answer struct {
	Status  int
	Header  http.Header
	Request bool // it answers a generation or a call, not a question or an order of the sidecar
}

// Service is a plain service.
type Service interface {
	// Call sends the request once. Errors wrap ErrUnreachable (not run) or
	// ErrBroken (may have run).
	Call(ctx context.Context, req CallRequest) (CallReply, error)
}
