package verify

import (
	"context"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var logger = logging.For("verify")

// Filter is the filter that checks each request before it may run.
type Filter struct {
	settings    *config.SidecarSettings
	source      control.Source
	onRevisions func(*wire.Revisions)
	draining    func() bool
	loaded      func() []*wire.Weights
	metrics     metrics
}

// Name implements job.Filter.
func (f *Filter) Name() string { return "verify" }

// Handle implements job.Filter. Each refusal is NotRun.
func (f *Filter) Handle(ctx context.Context, j *job.Job, next job.Handler) (job.Outcome, error) {
	if err := f.admit(ctx, j); err != nil {
		f.metrics.addRefused(err.Code)
		logger.Info(logging.Fields{
			"request_id": j.Request.RequestId,
			"workspace":  j.Request.Workspace,
			"code":       string(err.Code),
		}, "request refused")
		return nil, err
	}
	return next.Handle(ctx, j)
}

func (f *Filter) admit(ctx context.Context, j *job.Job) *verdict.Error {
	if f.draining() {
		return refuse(verdict.CodeDraining, "the backend server is leaving")
	}
	return f.checkWithCatchUp(ctx, j.Request.Revisions, func(snapshot *control.Snapshot) *verdict.Error {
		return f.checkAll(snapshot, j)
	})
}

// CheckCaller returns an error unless a key may read the responses of a
// workspace: it must belong to the workspace and not be withdrawn. The empty key
// of open routes passes, because the code that calls CheckCaller compares it with
// the key of the attempt.
func (f *Filter) CheckCaller(ctx context.Context, revisions *wire.Revisions, workspace, keyID string) *verdict.Error {
	if keyID == "" {
		return nil
	}
	return f.checkWithCatchUp(ctx, revisions, func(snapshot *control.Snapshot) *verdict.Error {
		if snapshot.Config == nil {
			return refuse(verdict.CodeStaleDocument, "no document is known yet")
		}
		return checkKey(snapshot.Config, workspace, keyID)
	})
}

// NotifyIfNewer calls OnRevisions if a message carries newer revisions than the
// snapshot, and reports whether they are newer.
func (f *Filter) NotifyIfNewer(revisions *wire.Revisions) bool {
	if !newer(revisions, f.source.Snapshot()) {
		return false
	}
	if f.onRevisions != nil {
		f.onRevisions(revisions)
	}
	return true
}

// checkWithCatchUp runs check against the current snapshot. If the message
// carries newer revisions and newer state could lift the refusal, it waits up to
// catchUpWait for the snapshot to catch up and checks again. A request that
// passes never waits, because its router has checked it against the newer state.
func (f *Filter) checkWithCatchUp(ctx context.Context, revisions *wire.Revisions, check func(*control.Snapshot) *verdict.Error) *verdict.Error {
	behind := f.NotifyIfNewer(revisions)
	err := check(f.source.Snapshot())
	if err == nil || !behind || !mayBeLifted(err) {
		return err
	}
	f.metrics.addCatchUp()
	timer := time.NewTimer(catchUpWait)
	defer timer.Stop()
	ticker := time.NewTicker(catchUpPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-timer.C:
			return f.checkLast(revisions, check)
		case <-ctx.Done():
			return refuse(verdict.CodeCancelled, "the request was cancelled")
		}
		if !newer(revisions, f.source.Snapshot()) {
			return check(f.source.Snapshot())
		}
	}
}

// checkLast runs check a last time. If the snapshot is still older than the
// message and newer state could lift the refusal, it returns CodeStaleDocument,
// so that the router retries on another backend server.
func (f *Filter) checkLast(revisions *wire.Revisions, check func(*control.Snapshot) *verdict.Error) *verdict.Error {
	snapshot := f.source.Snapshot()
	err := check(snapshot)
	if err == nil || !mayBeLifted(err) || !newer(revisions, snapshot) {
		return err
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.CodeStaleDocument, "the sidecar's document is older than the request's")
}

// newer reports whether a message carries newer revisions than the snapshot.
func newer(revisions *wire.Revisions, snapshot *control.Snapshot) bool {
	if revisions == nil {
		return false
	}
	known := snapshot.Revisions()
	return revisions.Document > known.Document || revisions.ShardEpoch > known.ShardEpoch
}

// mayBeLifted reports whether newer state could lift the refusal. A withdrawn key
// stays withdrawn, and a draw that is invalid in one shard table is invalid in
// all later ones.
func mayBeLifted(err *verdict.Error) bool {
	return err.Code != verdict.CodeKeyWithdrawn && err.Code != verdict.CodeStaleShardEpoch
}

func refuse(code verdict.Code, format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, code, format, args...)
}
