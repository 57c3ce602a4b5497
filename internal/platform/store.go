package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted means that the history after a position is no longer available.
var ErrCompacted = errors.New("history compacted")

// Feed reads the state of a key-value service and follows its changes.
type Feed interface {
	// Read returns the entries under prefix, and a position from which Changes
	// misses nothing.
	Read(ctx context.Context, prefix string) ([]Entry, Version, error)
	// Changes waits, at most for the given time, until something under prefix has
	// changed after the position. It returns the changes and the new position, or
	// ErrCompacted.
	Changes(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Event, Version, error)
}

// LeaseKV is the part of a key-value service that leases need.
type LeaseKV interface {
	Get(ctx context.Context, key string) (Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Version, lease LeaseID) (Version, error)
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	RenewLease(ctx context.Context, id LeaseID) error
	RevokeLease(ctx context.Context, id LeaseID) error
}

// Store is what a gateway needs of a key-value service.
type Store interface {
	Feed
	LeaseKV
}
