package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
)

const (
	routerViewInterval  = 500 * time.Millisecond
	sidecarViewInterval = 2 * time.Second
	shardInterval       = time.Second
	retryMin            = 100 * time.Millisecond
	retryMax            = 2 * time.Second
	// configReadInterval bounds how long a silently broken watch goes unseen.
	configReadInterval = 5 * time.Second
	// maxWatchers is the number of routers that watch the key-value service.
	maxWatchers = 5
)

// startWorkers starts the goroutines that do the control loop's input and
// output.
func (l *Loop) startWorkers(ctx context.Context) *sync.WaitGroup {
	workers := &sync.WaitGroup{}
	workers.Go(func() { l.readViews(ctx) })
	workers.Go(func() { l.gossip(ctx) })
	workers.Go(func() { l.pullOnDemand(ctx) })
	workers.Go(func() { l.pushChanges(ctx) })
	if l.options.KV != nil {
		workers.Go(func() { l.followConfig(ctx) })
	}
	if l.options.Shards != nil {
		workers.Go(func() { l.stepShards(ctx) })
	}
	return workers
}

// jittered returns d changed by up to a quarter either way, so that daemons
// started together spread their calls.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}

// readViews reads the VM list at intervals. While the list can't be read, the
// last view stays.
func (l *Loop) readViews(ctx context.Context) {
	interval := sidecarViewInterval
	if l.options.Settings.Daemon.Role == config.RoleRouter {
		interval = routerViewInterval
	}
	for {
		l.readView(ctx)
		if clock.Sleep(ctx, jittered(interval)) != nil {
			return
		}
	}
}

func (l *Loop) readView(ctx context.Context) {
	readAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, l.options.Settings.Platform.Timeout)
	defer cancel()
	vms, err := l.options.VMs.VMs(callCtx)
	if err != nil {
		logger.Debug(logging.Fields{"error": err.Error()}, "VM list not read")
		return
	}
	l.send(viewSeen{vms, l.options.Settings.Daemon.RPCAddress})
	replace(l.viewed, readAt)
}

// stepShards lets the shard manager act on each newly read view.
func (l *Loop) stepShards(ctx context.Context) {
	for {
		var readAt time.Time
		select {
		case <-ctx.Done():
			return
		case readAt = <-l.viewed:
		}
		l.stepShardsOnce(ctx, readAt)
		if clock.Sleep(ctx, jittered(shardInterval)) != nil {
			return
		}
	}
}

func (l *Loop) stepShardsOnce(ctx context.Context, readAt time.Time) {
	l.shardsMu.Lock()
	defer l.shardsMu.Unlock()
	snapshot := l.Snapshot()
	if l.handedBack {
		return
	}
	if snapshot.Shards != nil {
		l.options.Shards.Learn(snapshot.Shards)
	}
	table, err := l.options.Shards.Step(ctx, snapshot.View, readAt)
	if err != nil {
		logger.Debug(logging.Fields{"error": err.Error()}, "shard table not read")
	}
	if table != nil {
		l.send(tableSeen{table})
	}
}

// HandBack gives this router's shards up, at a stop, with the tokens that go with
// them by workspace. The manager takes no step afterwards.
func (l *Loop) HandBack(ctx context.Context, levels map[string]int64) error {
	l.shardsMu.Lock()
	defer l.shardsMu.Unlock()
	l.handedBack = true
	return l.options.Shards.HandBack(ctx, levels)
}

// followConfig keeps up with the document in the key-value service. Only the
// routers that Watches names hold a watch; the others learn from peers, and
// read only until they know a document.
func (l *Loop) followConfig(ctx context.Context) {
	retry := retryMin
	var read platform.Version // of the value that was read last
	for {
		if l.hasConfig() && !l.watches() {
			if !l.waitForChange(ctx) {
				return
			}
			continue
		}
		var err error
		read, err = l.watchConfigOnce(ctx, read)
		if err != nil {
			logger.Debug(logging.Fields{"error": err.Error()}, "document not read from the key-value service")
			retry = min(2*retry, retryMax)
		} else {
			retry = retryMin
		}
		if clock.Sleep(ctx, jittered(retry)) != nil {
			return
		}
	}
}

func (l *Loop) hasConfig() bool { return l.Snapshot().Config != nil }

func (l *Loop) waitForChange(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-l.changed:
		return true
	}
}

// watches says whether this daemon is one of the few routers that watch.
func (l *Loop) watches() bool {
	if l.options.Settings.Daemon.Role != config.RoleRouter {
		return false
	}
	return l.Snapshot().View.RouterRank(l.options.Settings.Daemon.RPCAddress) < maxWatchers
}

// watchConfigOnce reads the document and then follows its changes until the
// watch breaks, or it is time to read again. A value of the version read is known
// already. It returns the version of the last value seen.
func (l *Loop) watchConfigOnce(ctx context.Context, read platform.Version) (platform.Version, error) {
	entry, err := l.readConfig(ctx)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return read, err
	}
	if entry.Version != read {
		l.OfferEnvelope(entry.Value)
		read = entry.Version
	}
	if !l.watches() {
		return read, nil
	}
	watchCtx, cancel := context.WithTimeout(ctx, jittered(configReadInterval))
	defer cancel()
	events, err := l.options.KV.Watch(watchCtx, l.options.ConfigKey, entry.Version)
	if err != nil {
		return read, err
	}
	for change := range events {
		if change.Key == l.options.ConfigKey && !change.Deleted {
			l.OfferEnvelope(change.Value)
			read = change.Version
		}
	}
	return read, nil
}

func (l *Loop) readConfig(ctx context.Context) (platform.Entry, error) {
	callCtx, cancel := context.WithTimeout(ctx, l.options.Settings.Platform.Timeout)
	defer cancel()
	return l.options.KV.Get(callCtx, l.options.ConfigKey)
}
