package follower

import "time"

// A process that starts knows only what the store holds now. What other gateways know beyond that,
// such as which servers have retired, it must hear before it serves requests.

// AwaitGateways keeps snapshots from being ready until GatewaysHeard is called, but for no longer
// than limit after the store was read. It must be called before Run.
func (f *Follower) AwaitGateways(limit time.Duration) {
	f.awaitLimit = limit
	f.awaiting.Store(true)
}

// IsAwaiting reports whether snapshots wait for GatewaysHeard.
func (f *Follower) IsAwaiting() bool { return f.awaiting.Load() }

// GatewaysHeard ends the wait for other gateways. outcome is logged.
func (f *Follower) GatewaysHeard(outcome string) {
	if !f.awaiting.CompareAndSwap(true, false) {
		return
	}
	logger.Info(fields{"waited_ms": time.Since(f.started).Milliseconds(), "outcome": outcome}, "other gateways heard")
	close(f.heard)
}

// limitWait ends the wait for other gateways some time after the first configuration is known.
func (f *Follower) limitWait() {
	if f.state.config != nil && f.awaitLimit > 0 {
		time.AfterFunc(f.awaitLimit, func() { f.GatewaysHeard("none answered in time") })
		f.awaitLimit = 0
	}
}
