package peering

import (
	"slices"
	"time"

	"github.com/wasabigate/wasabigate/internal/roster"
)

const (
	// startInterval is the time between two looks for gateways to call while this one starts.
	startInterval = 10 * time.Millisecond
	// maxPeersToHear bounds the listed gateways that one calls that starts, beside its seeds.
	maxPeersToHear = 3
)

// shortened returns the interval between two exchanges, which is shorter while this gateway waits
// for others.
func (x *Exchange) shortened(interval time.Duration) time.Duration {
	if x.opts.Follower.IsAwaiting() {
		return startInterval
	}
	return interval
}

// peersToHear returns the gateways of which one must have answered before this one, which starts,
// serves requests: its seeds and some that watch the store.
func (x *Exchange) peersToHear() []string {
	watchers := slices.DeleteFunc(roster.Watchers(x.opts.Follower.Snapshot().Gateways), func(address string) bool { return address == x.opts.Self })
	addresses := append(slices.Clone(x.opts.Seeds), watchers[:min(len(watchers), maxPeersToHear)]...)
	return slices.DeleteFunc(addresses, func(address string) bool { return address == x.opts.Self })
}

// endWait lets this gateway serve requests if it waits for others and one that runs has reported,
// or if all that could be called start too or don't answer.
func (x *Exchange) endWait() {
	if !x.opts.Follower.IsAwaiting() {
		return
	}
	known := x.opts.Follower.Snapshot().Config != nil
	addresses := x.peersToHear()
	x.mu.Lock()
	running, tried := false, known
	for _, p := range x.peers {
		running = running || p.running
	}
	for _, address := range addresses {
		p := x.peers[address]
		tried = tried && p != nil && (p.failing || !p.lastReport.IsZero())
	}
	x.mu.Unlock()
	switch {
	case running:
		x.opts.Follower.GatewaysHeard("one that runs")
	case tried:
		x.opts.Follower.GatewaysHeard("none runs")
	}
}
