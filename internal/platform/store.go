package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted means that the changes after a position are no longer available.
var ErrCompacted = errors.New("history compacted")

// Feed reads the state of a key-value service and polls its changes.
type Feed interface {
	// Read returns the entries under prefix and a position. Changes, called with this
	// position, returns every change that is not in the entries.
	Read(ctx context.Context, prefix string) ([]Entry, Version, error)
	// Changes waits at most wait for a change under prefix after the given position.
	// It returns the changes and the new position, or ErrCompacted, also if the position
	// is of an earlier era.
	Changes(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Event, Version, error)
}

// LinkMeter is a client of a service that measures the link to it.
type LinkMeter interface {
	// IsNarrow reports whether the largest value takes long to arrive.
	IsNarrow() bool
	// IsMeasured reports whether a response has been large enough to tell.
	IsMeasured() bool
}

// LeaseKV is the subset of a key-value service that leases need.
type LeaseKV interface {
	Get(ctx context.Context, key string) (Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Version, lease LeaseID) (Version, error)
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	RenewLease(ctx context.Context, id LeaseID) error
	RevokeLease(ctx context.Context, id LeaseID) error
	// Era returns the latest era seen in the service's responses.
	Era() Era
}

// Store is the subset of a key-value service that a gateway needs.
type Store interface {
	Feed
	LeaseKV
}
