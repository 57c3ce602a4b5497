// Package httpapi defines the paths and the bodies of the HTTP interface of model
// engines.
package httpapi

// Paths of an engine.
const (
	PathCompletions = "/v1/completions"
	PathState       = "/state"
	PathEvents      = "/events" // ?after=N
	PathOrders      = "/orders"
	PathCancel      = "/cancel"
	PathExport      = "/export"
	PathImport      = "/import"
)

// QueryAfter is the sequence number after which events are delivered.
const QueryAfter = "after"

// ErrorKind is the reason why an engine refused a request.
type ErrorKind string

// The kinds of errors that engines return.
const (
	KindRefused    ErrorKind = "refused"
	KindStaleFence ErrorKind = "stale_fence"
)

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
}

// CancelBody is the body of a cancel request.
type CancelBody struct {
	RequestID string `json:"request_id"`
}

// PieceBody is the body of an export request, its response, and an import
// request. Data is empty in an export request.
type PieceBody struct {
	Salt   string   `json:"salt"`
	Blocks []uint64 `json:"blocks"`
	Data   []byte   `json:"data,omitempty"`
}
