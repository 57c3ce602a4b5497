package gateway

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/quarantine"
)

const (
	// weightsAgeKeys is the number of keys that tell the age of a target version.
	weightsAgeKeys = 8
	// weightsAgesInterval is the time between two looks for target versions without keys.
	weightsAgesInterval = 50 * time.Millisecond
	// weightsAgesTurn is how long only the gateways elected so far write the keys.
	weightsAgesTurn = time.Second
	// weightsAgesTimeout bounds the calls for one key.
	weightsAgesTimeout = time.Second
	// reportWait is how long after its start a gateway waits for others to report when
	// target versions were named.
	reportWait = time.Second
)

// weightsAges keeps in the platform's store how long ago target versions of weights were named, so
// that it outlasts all gateways. A gateway that sees a version being named writes keys under
// leases that end one after the other, the last after the deadline for replaced weights. A
// gateway that starts, and gets no report of another one, takes a version for as old as the
// keys that are left allow, and for older than the deadline if none is.
type weightsAges struct {
	deadline time.Duration // 0: nothing is kept
	store    platform.LeaseKV
	self     string
	snapshot func() *deployment.Snapshot
	gateways func(*deployment.Snapshot) []string
	merge    func(context.Context, []follower.TargetReport)

	started time.Time
	atStart map[string]deployment.WeightsVersion // targets of the first snapshot, by model
	due     map[string]time.Time                 // when this gateway saw versions being named, by WeightsAgeKey
}

// run keeps the ages until ctx ends.
func (w *weightsAges) run(ctx context.Context) {
	if w.deadline <= 0 {
		return
	}
	w.due = make(map[string]time.Time)
	for clock.Sleep(ctx, weightsAgesInterval) == nil {
		if snapshot := w.snapshot(); snapshot.Ready() {
			w.step(ctx, snapshot, time.Now())
		}
	}
}

// step writes the keys of versions that were just named, and takes the age of those that were
// named before the start from the keys.
func (w *weightsAges) step(ctx context.Context, snapshot *deployment.Snapshot, now time.Time) {
	if w.atStart == nil {
		w.started, w.atStart = now, make(map[string]deployment.WeightsVersion)
		for model, target := range snapshot.Weights {
			w.atStart[model] = target.Versions[len(target.Versions)-1]
		}
	}
	for model, target := range snapshot.Weights {
		newest := target.Versions[len(target.Versions)-1]
		if first, ok := w.atStart[model]; !ok || first.Version != newest.Version {
			w.keep(ctx, snapshot, deployment.WeightsAgeKey(model, newest.Version), now)
		} else if now.Sub(w.started) >= reportWait && first.Since.Equal(newest.Since) {
			w.assume(ctx, snapshot, model, newest, now)
		}
	}
}

// assume takes the age of a version from the keys.
func (w *weightsAges) assume(ctx context.Context, snapshot *deployment.Snapshot, model string, version deployment.WeightsVersion, now time.Time) {
	age, known := snapshot.WeightsAges[deployment.WeightsAgeKey(model, version.Version)]
	if !known {
		age = w.deadline
	}
	logger.Info(fields{"model": model, "version": version.Version, "age_ms": age.Milliseconds(), "known": known}, "age of target version taken from the store")
	w.merge(ctx, []follower.TargetReport{{Model: model, WeightsVersion: deployment.WeightsVersion{Version: version.Version, Since: now.Add(-age)}}})
	w.atStart[model] = deployment.WeightsVersion{Version: version.Version} // done
}

// keep writes the keys of a version if the store has none and this gateway is elected to.
func (w *weightsAges) keep(ctx context.Context, snapshot *deployment.Snapshot, key string, now time.Time) {
	if _, kept := snapshot.WeightsAges[key]; kept {
		w.due[key] = now.Add(-w.deadline) // not again
	}
	due, ok := w.due[key]
	if !ok {
		due = now
		w.due[key] = due
	}
	turn := int64(now.Sub(due) / weightsAgesTurn)
	if now.Sub(due) >= w.deadline/weightsAgeKeys || !quarantine.Elected(quarantine.PartOf(follower.WeightsAgePrefix, key), turn, w.self, w.gateways(snapshot)) {
		return
	}
	w.due[key] = now.Add(-w.deadline) // this gateway tries once
	var group errgroup.Group          // all gateways may be lost soon
	for i := range weightsAgeKeys {
		group.Go(func() error { return w.write(ctx, key, time.Duration(i+1)*w.deadline/weightsAgeKeys, now.Sub(due)) })
	}
	if err := group.Wait(); err != nil {
		logger.Info(fields{"key": key, "error": err.Error()}, "age of target version not kept")
	}
}

// write writes the key that is there while a version that is already passed old is younger than age.
func (w *weightsAges) write(ctx context.Context, key string, age, passed time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, weightsAgesTimeout)
	defer cancel()
	lease, err := w.store.GrantLease(ctx, age-passed)
	if err != nil {
		return err
	}
	_, err = w.store.CompareAndSwap(ctx, follower.WeightsAgePrefix+key+"/"+strconv.FormatInt(age.Milliseconds(), 10), []byte(w.self), 0, lease)
	return err
}
