// Package httpapi defines the HTTP/JSON protocol of the platform's services:
// the paths, messages and error codes that clients and simulated services share.
package httpapi

import "github.com/wasabigate/wasabigate/internal/platform"

// Paths of the key-value service.
const (
	PathEntry       = "/v1/kv/entry"         // GET, query: QueryKey
	PathEntries     = "/v1/kv/entries"       // GET, query: QueryPrefix
	PathWatch       = "/v1/kv/watch"         // GET, query: QueryPrefix, QueryAfter
	PathSwap        = "/v1/kv/swap"          // POST SwapRequest
	PathDelete      = "/v1/kv/delete"        // POST DeleteRequest
	PathLeaseGrant  = "/v1/kv/leases/grant"  // POST LeaseRequest
	PathLeaseRenew  = "/v1/kv/leases/renew"  // POST LeaseRequest
	PathLeaseRevoke = "/v1/kv/leases/revoke" // POST LeaseRequest
)

// Paths of the other services.
const (
	PathVMs     = "/v1/vms"     // GET
	PathWeights = "/v1/weights" // GET, query: QueryModel
	PathPiece   = "/v1/piece"   // GET, query: QueryID; POST Piece
)

// HeaderEra is a header of the key-value service's responses: the number of times that it
// was restored from an older copy. The versions in messages are revisions of that era.
const HeaderEra = "Key-Value-Era"

// Names of query parameters.
const (
	QueryKey    = "key"
	QueryPrefix = "prefix"
	QueryAfter  = "after"
	QueryModel  = "model"
	QueryID     = "id"
)

// MaxBodyBytes limits the body of a request to the key-value service: the largest value
// in base64, and room for the other fields.
const MaxBodyBytes = platform.MaxValueSize*4/3 + 64<<10

// Entry is a key with its value.
type Entry struct {
	Key     string           `json:"key"`
	Value   []byte           `json:"value"`
	Version platform.Version `json:"version"`
}

// Entries is the response to a list request.
type Entries struct {
	Entries []Entry `json:"entries"`
}

// SwapRequest is a compare-and-swap request.
type SwapRequest struct {
	Key      string           `json:"key"`
	Value    []byte           `json:"value"`
	Expected platform.Version `json:"expected"`
	Lease    platform.LeaseID `json:"lease,omitempty"`
}

// SwapResponse is the response to a compare-and-swap request.
type SwapResponse struct {
	Version platform.Version `json:"version"`
}

// DeleteRequest is a request to delete a key.
type DeleteRequest struct {
	Key      string           `json:"key"`
	Expected platform.Version `json:"expected"`
}

// LeaseRequest is a request to grant, renew or revoke a lease.
type LeaseRequest struct {
	ID              platform.LeaseID `json:"id,omitempty"`
	TTLMilliseconds int64            `json:"ttl_ms,omitempty"`
}

// LeaseResponse is the response to a request to grant a lease.
type LeaseResponse struct {
	ID platform.LeaseID `json:"id"`
}

// Done is the response to a request that has no result.
type Done struct{}

// WatchLine is one line of a watch: a change, or a heartbeat if both fields are
// empty.
type WatchLine struct {
	Event   *Entry `json:"event,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// VMs is the response of the VM list.
type VMs struct {
	VMs []platform.VM `json:"vms"`
}

// Versions is the response of the weight store.
type Versions struct {
	Weights []platform.Weights `json:"weights"`
}
