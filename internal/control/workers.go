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
	reconcileInterval   = time.Second
	minRetryDelay       = 100 * time.Millisecond
	maxRetryDelay       = 2 * time.Second
	// configRereadInterval bounds how long a watch that fails without an error
	// goes unnoticed.
	configRereadInterval = 5 * time.Second
	// maxWatchers is the number of routers that watch the key-value service.
	maxWatchers = 5
)

// startWorkers starts the goroutines that do the I/O of the control loop.
func (l *Loop) startWorkers(ctx context.Context) *sync.WaitGroup {
	workers := &sync.WaitGroup{}
	workers.Go(func() { l.pollVMList(ctx) })
	workers.Go(func() { l.gossip(ctx) })
	workers.Go(func() { l.pullOnDemand(ctx) })
	workers.Go(func() { l.pushChanges(ctx) })
	workers.Go(func() { l.pushCrashes(ctx) })
	if l.options.KV != nil {
		workers.Go(func() { l.watchConfig(ctx) })
	}
	if l.options.Shards != nil {
		workers.Go(func() { l.reconcileShards(ctx) })
	}
	return workers
}

// jitter returns d varied by up to 25% either way, so that daemons that started
// together do not call at the same time.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}

// pollVMList reads the VM list at intervals. If a read fails, the last view stays
// in use.
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
		logger.Debug(logging.Fields{"error": err.Error()}, "failed to read the VM list")
		return
	}
	l.send(viewUpdate{vms, l.options.Settings.Daemon.RPCAddress})
	replace(l.viewReads, readAt)
}

// reconcileShards runs the shard manager after each new read of the VM list.
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
		l.options.Shards.Merge(snapshot.Shards)
	}
	table, err := l.options.Shards.Reconcile(ctx, snapshot.View, readAt)
	if err != nil {
		logger.Debug(logging.Fields{"error": err.Error()}, "failed to reconcile the shard table")
	}
	if table != nil {
		l.send(tableUpdate{table})
	}
}

// ReleaseShards releases this router's shards at shutdown, along with their tokens
// by workspace. The shard manager does not run afterwards.
func (l *Loop) ReleaseShards(ctx context.Context, levels map[string]int64) error {
	l.shardsMu.Lock()
	defer l.shardsMu.Unlock()
	l.shardsReleased = true
	return l.options.Shards.ReleaseAll(ctx, levels)
}

// watchConfig follows the document in the key-value service. Only the routers that
// isWatcher selects watch it; other daemons get the document from peers, and read
// the key-value service only until they have one.
func (l *Loop) watchConfig(ctx context.Context) {
	delay := minRetryDelay
	var lastRead platform.Version // of the last value read
	for {
		if l.hasConfig() && !l.isWatcher() {
			if !l.waitForSnapshot(ctx) {
				return
			}
			continue
		}
		var err error
		lastRead, err = l.watchConfigOnce(ctx, lastRead)
		if err != nil {
			logger.Debug(logging.Fields{"error": err.Error()}, "failed to read the document from the key-value service")
			delay = min(2*delay, maxRetryDelay)
		} else {
			delay = minRetryDelay
		}
		if clock.Sleep(ctx, jitter(delay)) != nil {
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

// isWatcher reports whether this daemon is one of the maxWatchers routers that
// watch the key-value service.
func (l *Loop) isWatcher() bool {
	if l.options.Settings.Daemon.Role != config.RoleRouter {
		return false
	}
	return l.Snapshot().View.RouterRank(l.options.Settings.Daemon.RPCAddress) < maxWatchers
}

// watchConfigOnce reads the document and then follows its changes until the watch
// ends or a new read is due. A value of version lastRead is already known and is not
// decoded again. It returns the version of the last value seen.
func (l *Loop) watchConfigOnce(ctx context.Context, lastRead platform.Version) (platform.Version, error) {
	entry, err := l.readConfig(ctx)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return lastRead, err
	}
	if entry.Version != lastRead {
		l.OfferEnvelope(entry.Value)
		if err := l.restoreConfig(ctx, lastRead, entry.Version); err != nil {
			return lastRead, err
		}
		lastRead = entry.Version
	}
	if !l.isWatcher() {
		return lastRead, nil
	}
	watchCtx, cancel := context.WithTimeout(ctx, jitter(configRereadInterval))
	defer cancel()
	events, err := l.options.KV.Watch(watchCtx, l.options.ConfigKey, entry.Version)
	if err != nil {
		return lastRead, err
	}
	for change := range events {
		if change.Key == l.options.ConfigKey && !change.Deleted {
			l.OfferEnvelope(change.Value)
			lastRead = change.Version
		}
	}
	return lastRead, nil
}

// restoreConfig writes the document in force to the key-value service again if it was
// restored since the last read, or has no document any more.
func (l *Loop) restoreConfig(ctx context.Context, lastRead, read platform.Version) error {
	if l.options.RestoreConfig == nil || !l.hasConfig() || read != 0 && read.Era() == lastRead.Era() {
		return nil
	}
	inForce := l.Snapshot().Config
	callCtx, cancel := context.WithTimeout(ctx, l.options.Settings.Platform.Timeout)
	defer cancel()
	lost, err := l.options.RestoreConfig(callCtx, inForce)
	if err == nil && lost {
		logger.Warn(logging.Fields{"revision": inForce.Number, "era": uint64(l.options.KV.Era())}, "document written again that a restore of the key-value service lost")
	}
	return err
}

func (l *Loop) readConfig(ctx context.Context) (platform.Entry, error) {
	callCtx, cancel := context.WithTimeout(ctx, l.options.Settings.Platform.Timeout)
	defer cancel()
	return l.options.KV.Get(callCtx, l.options.ConfigKey)
}
