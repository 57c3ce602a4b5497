// Package verify contains the sidecar's last check before a request may run. It
// checks the daemon's state, the key, the route, the shards that tokens were
// drawn from, and the weights.
package verify

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// catchUpWait bounds the wait for a newer document or shard table.
	catchUpWait = 300 * time.Millisecond
	// catchUpPoll is the interval at which the snapshot is read during that wait.
	catchUpPoll = 10 * time.Millisecond
)

// Options configure the filter.
type Options struct {
	Settings *config.SidecarSettings
	Source   control.Source
	// OnRevisions is called with revisions that are newer than the snapshot's.
	// It may be nil.
	OnRevisions func(*wire.Revisions)
	// Draining reports whether the sidecar refuses new requests.
	Draining func() bool
	// Loaded returns the weights that the engine has loaded, or nil if unknown.
	Loaded func() []*wire.Weights
}

// New returns the filter.
func New(opts Options) *Filter {
	return &Filter{
		settings:    opts.Settings,
		source:      opts.Source,
		onRevisions: opts.OnRevisions,
		draining:    opts.Draining,
		loaded:      opts.Loaded,
		metrics:     newMetrics(),
	}
}
