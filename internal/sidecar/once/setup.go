// Package once runs calls of routes marked once at most once. An intent is
// created in the key-value service before execution, and the reply is recorded
// in it afterwards. A call whose intent exists is never executed again.
package once

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
)

const (
	// storeTimeout bounds the creation of an intent.
	storeTimeout = 2 * time.Second
	// recordWait is how long an answer waits for its record.
	recordWait = time.Second
	// recordTimeout bounds the attempts to record a reply in the background.
	recordTimeout = 2 * time.Minute
	// defaultTimeout bounds an execution when the route names no timeout.
	defaultTimeout = 30 * time.Second
	retryMin       = 20 * time.Millisecond
	retryMax       = time.Second
)

// keyPrefix starts the keys of intents in the key-value service.
const keyPrefix = "wasabigate/once/"

// Options configure the filter.
type Options struct {
	KV          platform.KV
	Environment string
}

// New returns the filter.
func New(opts Options) *Once {
	return &Once{
		store:   store{kv: opts.KV, leases: newLeases(opts.KV), prefix: keyPrefix + opts.Environment + "/"},
		metrics: newMetrics(),
	}
}
