// Package buffer stores the frames of running and finished attempts, so that a
// router whose connection broke, or another router, can read them again. It
// precedes the handler chain, so a job continues when its reader disconnects.
package buffer

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	defaultRetention = 30 * time.Second
	// maxRetainedBytes bounds the memory of the retained frames of finished attempts.
	maxRetainedBytes = 48 << 20
	// maxTombstones bounds the number of tombstones, which mark attempts that
	// were cancelled before they arrived.
	maxTombstones = 4096
)

// Options configure a Table.
type Options struct {
	Settings  *config.SidecarSettings
	Revisions func() *wire.Revisions // set in every frame
}

// New returns an empty Table.
func New(opts Options) *Table {
	retention := opts.Settings.StreamRetention
	if retention <= 0 {
		retention = defaultRetention
	}
	return &Table{
		retention:  retention,
		maxBytes:   maxRetainedBytes,
		revisions:  opts.Revisions,
		metrics:    newMetrics(),
		attempts:   make(map[Key]*Buffer),
		tombstones: make(map[Key]struct{}),
		changed:    make(chan struct{}),
	}
}
