package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/forward"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rollout"
	"github.com/wasabigate/wasabigate/internal/roster"
	"github.com/wasabigate/wasabigate/internal/streamversion"
)

const (
	// maxAssignStaleness is the staleness of the state of the store up to which this gateway
	// assigns streams by it.
	maxAssignStaleness = follower.MaxPollInterval + 500*time.Millisecond
	// defaultStreamTime is how long a stream lasts at most on a route without a time-out.
	defaultStreamTime = time.Minute
	// triesFactor bounds how long a client tries to get its whole stream, as a multiple of
	// the route's time-out.
	triesFactor = 2
	// assignmentReadTimeout bounds a read of an assignment.
	assignmentReadTimeout = time.Second
)

// newKeeper returns the keeper of the assignments of streams.
func (g *Gateway) newKeeper() *streamversion.Keeper {
	return streamversion.NewKeeper(streamversion.KeeperOptions{
		KV: g.store, Prefix: follower.StreamsPrefix, Services: g.streamServices, Turn: g.assignTurn,
	})
}

// streamServices returns the services whose streams may be resumed, or nil while the state of
// the store is out of date.
func (g *Gateway) streamServices() []streamversion.ServiceState {
	snapshot := g.follower.Snapshot()
	if !snapshot.Ready() || g.follower.Staleness(time.Now()) > maxAssignStaleness {
		return nil
	}
	lifetimes := streamLifetimes(snapshot.Config)
	states := make([]streamversion.ServiceState, 0, len(lifetimes))
	for _, service := range slices.Sorted(maps.Keys(lifetimes)) {
		state := streamversion.ServiceState{
			Name: service, Lifetime: lifetimes[service], Capacities: make(map[string]int),
			Pool: streamversion.Pool{Assignment: snapshot.Streams[service], Era: snapshot.Position.Era()},
		}
		for _, server := range snapshot.ServersOf(service) {
			if !server.Draining {
				state.Capacities[server.Software] += server.Slots
			}
		}
		if g.canary != nil {
			if capacities, ok := g.canary.Capacities(service); ok {
				state.Capacities, state.Exact = capacities, g.canary.Running(service)
			}
		}
		states = append(states, state)
	}
	return states
}

// streamLifetimes returns how long streams that may be resumed last at most, over all tries of
// their clients, by service.
func streamLifetimes(config *deployment.Config) map[string]time.Duration {
	lifetimes := make(map[string]time.Duration)
	for i := range config.Routes {
		route := &config.Routes[i]
		if !route.ResumesStreams() {
			continue
		}
		lifetime := triesFactor * route.Timeout
		if lifetime <= 0 {
			lifetime = defaultStreamTime
		}
		for _, target := range route.Targets {
			lifetimes[target.Service] = max(lifetimes[target.Service], lifetime)
		}
	}
	return lifetimes
}

// assignTurn returns the position of this gateway among those that watch the store, after them
// if it is not listed, and a negative number if it does not watch.
func (g *Gateway) assignTurn() int {
	listed := g.follower.Snapshot().Gateways
	self := g.settings.Daemon.RPCAddress
	if !roster.Watches(listed, self) {
		return -1
	}
	watchers := roster.Watchers(listed)
	if turn := slices.Index(watchers, self); turn >= 0 {
		return turn
	}
	return len(watchers)
}

// assignmentReader reads assignments of streams from the store. Requests that come during a
// read share the next one, so that each gets one that began after it asked.
type assignmentReader struct {
	kv platform.LeaseKV

	mu      sync.Mutex
	waiting map[string]*assignmentRead // the next read, by service
	reading map[string]bool            // by service
}

// assignmentRead is a read for all who wait for it. done is closed when it has ended.
type assignmentRead struct {
	done       chan struct{}
	assignment *streamversion.Assignment // nil: there is none
	err        error
}

func newAssignmentReader(kv platform.LeaseKV) *assignmentReader {
	return &assignmentReader{kv: kv, waiting: make(map[string]*assignmentRead), reading: make(map[string]bool)}
}

// Read returns the assignment of a service's streams, nil if there is none, and the era of the
// store.
func (a *assignmentReader) Read(ctx context.Context, service string) (*streamversion.Assignment, platform.Era, error) {
	read := a.join(service)
	select {
	case <-read.done:
		return read.assignment, a.kv.Era(), read.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// join returns the next read of a service's assignment.
func (a *assignmentReader) join(service string) *assignmentRead {
	a.mu.Lock()
	defer a.mu.Unlock()
	read := a.waiting[service]
	if read == nil {
		read = &assignmentRead{done: make(chan struct{})}
		a.waiting[service] = read
	}
	if !a.reading[service] {
		a.reading[service] = true
		go a.readAll(service)
	}
	return read
}

// readAll reads the assignment until nobody waits for another read.
func (a *assignmentReader) readAll(service string) {
	for {
		a.mu.Lock()
		read := a.waiting[service]
		delete(a.waiting, service)
		if read == nil {
			delete(a.reading, service)
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		read.assignment, read.err = a.read(service)
		close(read.done)
	}
}

func (a *assignmentReader) read(service string) (*streamversion.Assignment, error) {
	ctx, cancel := context.WithTimeout(context.Background(), assignmentReadTimeout)
	defer cancel()
	entry, err := a.kv.Get(ctx, follower.StreamsPrefix+service)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return streamversion.Decode(entry.Value)
}

// isIsolated reports whether neither the store nor another gateway has confirmed the state for
// longer than streams may begin by an old one, although there are other gateways. While the
// store is down for all, no assignment changes, and the others still report.
func (g *Gateway) isIsolated() bool {
	now := time.Now()
	if g.follower.Staleness(now) <= streamversion.ViewMargin || len(g.exchange.PeersSince(now.Add(-unlistedPeerTTL))) > 0 {
		return false
	}
	return slices.ContainsFunc(g.follower.Snapshot().Gateways, func(gateway deployment.Gateway) bool {
		return gateway.Address != g.settings.Daemon.RPCAddress
	})
}

// processes returns what asks servers which process they are, or nil.
func (g *Gateway) processes() forward.Processes {
	if g.engines == nil {
		return nil
	}
	return engineProcesses{g.engines}
}

// engineProcesses implements forward.Processes by the reports of engines.
type engineProcesses struct{ engines rollout.Engines }

// Incarnation implements forward.Processes.
func (e engineProcesses) Incarnation(ctx context.Context, server *deployment.Server) (int64, error) {
	report, err := e.engines.Report(ctx, server)
	return report.Incarnation, err
}
