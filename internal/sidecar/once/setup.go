// Package once runs calls at most once if they or their routes are marked so. An
// intent is created in the key-value service before execution, and the reply is
// recorded in it afterwards. A call whose intent exists is never executed again.
package once

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
)

const (
	// storeTimeout is the time-out for the creation of an intent.
	storeTimeout = 2 * time.Second
	// recordWait is the longest time for which a response waits until its
	// record is written or removed.
	recordWait = time.Second
	// recordTimeout bounds the attempts in the background to record a reply or
	// remove an intent.
	recordTimeout = 2 * time.Minute
	// defaultTimeout bounds an execution if the route sets no time-out.
	defaultTimeout = 30 * time.Second
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// keyPrefix is the prefix of the keys of intents in the key-value service.
const keyPrefix = "wasabigate/once/"

// Options configure the filter.
type Options struct {
	KV          platform.KV
	Environment string
}

// New returns the filter.
func New(opts Options) *Filter {
	return &Filter{
		store:   store{kv: opts.KV, leases: newLeases(opts.KV), prefix: keyPrefix + opts.Environment + "/"},
		metrics: newMetrics(),
	}
}
