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
	routerPollInterval  = 500 * time.Millisecond
	sidecarPollInterval = 2 * time.Second
	reconcileInterval       = time.Second
	minRetryDelay            = 100 * time.Millisecond
	maxRetryDelay            = 2 * time.Second
	// configRereadInterval bounds how long a silently broken watch goes unseen.
	configRereadInterval = 5 * time.Second
	// maxWatchers is the number of routers that watch the key-value service.
	maxWatchers = 5
)

// startWorkers starts the goroutines that do the control loop's input and
// output.
func (l *Loop) startWorkers(ctx context.Context) *sync.WaitGroup {
	workers := &sync.WaitGroup{}
	workers.Go(func() { l.pollVMList(ctx) })
	workers.Go(func() { l.gossip(ctx) })
	workers.Go(func() { l.pullOnDemand(ctx) })
	workers.Go(func() { l.pushChanges(ctx) })
	if l.options.KV != nil {
		workers.Go(func() { l.watchConfig(ctx) })
	}
	if l.options.Shards != nil {
		workers.Go(func() { l.reconcileShards(ctx) })
	}
	return workers
}

// jitter returns d changed by up to a quarter either way, so that daemons
// started together spread their calls.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}

// pollVMList reads the VM list at intervals. While the list can't be read, the
// last view stays.
func (l *Loop) pollVMList(ctx context.Context) {
	interval := sidecarPollInterval
	if l.options.Settings.Daemon.Role == config.RoleRouter {
		interval = routerPollInterval
	}
	for {
		l.pollVMListOnce(ctx)
		if clock.Sleep(ctx, jitter(interval)) != nil {
			return
		}
	}
}

func (l *Loop) pollVMListOnce(ctx context.Context) {
	readAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, l.options.Settings.Platform.Timeout)
	defer cancel()
	vms, err := l.options.VMs.VMs(callCtx)
	if err != nil {
		logger.Debug(logging.Fields{"error": err.Error()}, "VM list not read")
		return
	}
	l.send(viewUpdate{vms, l.options.Settings.Daemon.RPCAddress})
	replace(l.viewReads, readAt)
}

// reconcileShards lets the shard manager act on each newly read view.
func (l *Loop) reconcileShards(ctx context.Context) {
	for {
		var readAt time.Time
		select {
		case <-ctx.Done():
			return
		case readAt = <-l.viewReads:
		}
		l.reconcileShardsOnce(ctx, readAt)
		if clock.Sleep(ctx, jitter(reconcileInterval)) != nil {
			return
		}
	}
}

func (l *Loop) reconcileShardsOnce(ctx context.Context, readAt time.Time) {
	l.shardsMu.Lock()
	defer l.shardsMu.Unlock()
	snapshot := l.Snapshot()
	if l.shardsReleased {
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
		l.send(tableUpdate{table})
	}
}

// ReleaseShards gives this router's shards up, at a stop, with the tokens that go with
// them by workspace. The manager takes no step afterwards.
func (l *Loop) ReleaseShards(ctx context.Context, levels map[string]int64) error {
	l.shardsMu.Lock()
	defer l.shardsMu.Unlock()
	l.shardsReleased = true
	return l.options.Shards.HandBack(ctx, levels)
}

// watchConfig keeps up with the document in the key-value service. Only the
// routers that Watches names hold a watch; the others learn from peers, and
// read only until they know a document.
func (l *Loop) watchConfig(ctx context.Context) {
	retry := minRetryDelay
	var read platform.Version // of the value that was read last
	for {
		if l.hasConfig() && !l.isWatcher() {
			if !l.waitForSnapshot(ctx) {
				return
			}
			continue
		}
		var err error
		read, err = l.watchConfigOnce(ctx, read)
		if err != nil {
			logger.Debug(logging.Fields{"error": err.Error()}, "document not read from the key-value service")
			retry = min(2*retry, maxRetryDelay)
		} else {
			retry = minRetryDelay
		}
		if clock.Sleep(ctx, jitter(retry)) != nil {
			return
		}
	}
}

func (l *Loop) hasConfig() bool { return l.Snapshot().Config != nil }

func (l *Loop) waitForSnapshot(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-l.changed:
		return true
	}
}

// isWatcher says whether this daemon is one of the few routers that watch.
func (l *Loop) isWatcher() bool {
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
	if !l.isWatcher() {
		return read, nil
	}
	watchCtx, cancel := context.WithTimeout(ctx, jitter(configRereadInterval))
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
