package model

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/engine"
)

// Defaults of Options.
const (
	defaultPrefillRate   = 20_000 // tokens per second
	defaultDecodeStep    = 20 * time.Millisecond
	defaultMaxRunning    = 32
	defaultCacheBlocks   = 8192
	defaultLoadTime      = time.Second
	defaultEventLogSize  = 65_536
	defaultModel         = "base"
	defaultWeightVersion = "1"
)

// Options configure an Engine. Zero values are replaced by defaults.
type Options struct {
	Seed         uint64
	Loaded       []engine.LoadedWeights // loaded at each start
	Role         string
	PrefillRate  float64       // tokens per second
	DecodeStep   time.Duration // time per token of a stream
	MaxRunning   int           // concurrent generations
	CacheBlocks  int           // capacity of the prefix cache in blocks
	LoadTime     time.Duration // time to load weights
	StateLag     time.Duration // maximum age of the state that State returns
	EventDelay   time.Duration // time from a cache change to its event
	EventLogSize int           // events retained for late readers
	TimeScale    float64       // simulated seconds per second
	EnforceFence bool          // refuse orders with an old fencing token
	// FirstIncarnation is the incarnation of the first start; each later
	// start adds one. Zero derives it from the clock.
	FirstIncarnation uint64
}

func (o Options) withDefaults() Options {
	if len(o.Loaded) == 0 {
		o.Loaded = []engine.LoadedWeights{{Model: defaultModel, Version: defaultWeightVersion}}
	}
	if o.PrefillRate <= 0 {
		o.PrefillRate = defaultPrefillRate
	}
	if o.DecodeStep <= 0 {
		o.DecodeStep = defaultDecodeStep
	}
	if o.MaxRunning <= 0 {
		o.MaxRunning = defaultMaxRunning
	}
	if o.CacheBlocks <= 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	if o.LoadTime <= 0 {
		o.LoadTime = defaultLoadTime
	}
	if o.EventLogSize <= 0 {
		o.EventLogSize = defaultEventLogSize
	}
	if o.TimeScale <= 0 {
		o.TimeScale = 1
	}
	if o.FirstIncarnation == 0 {
		o.FirstIncarnation = uint64(time.Now().UnixNano())
	}
	return o
}

// scaled returns the real duration of a simulated one.
func (o *Options) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / o.TimeScale)
}

// prefillTime returns the real time to compute n prompt tokens.
func (o *Options) prefillTime(n int) time.Duration {
	return o.scaled(time.Duration(float64(n) / o.PrefillRate * float64(time.Second)))
}
