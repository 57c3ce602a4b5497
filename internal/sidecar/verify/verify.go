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

// Verify is the filter.
type Verify struct {
	settings    *config.SidecarSettings
	source      control.Source
	onRevisions func(*wire.Revisions)
	draining    func() bool
	loaded      func() []*wire.Weights
	metrics     metrics
}

// Name implements job.Filter.
func (v *Verify) Name() string { return "verify" }

// Handle implements job.Filter. Each refusal is NotRun.
func (v *Verify) Handle(ctx context.Context, j *job.Job, next job.Handler) (job.Outcome, error) {
	if err := v.admit(ctx, j); err != nil {
		v.metrics.addRefused(err.Code)
		logger.Info(logging.Fields{
			"request_id": j.Request.RequestId,
			"workspace":  j.Request.Workspace,
			"code":       string(err.Code),
		}, "request refused")
		return nil, err
	}
	return next.Handle(ctx, j)
}

func (v *Verify) admit(ctx context.Context, j *job.Job) *verdict.Error {
	if v.draining() {
		return refuse(verdict.CodeDraining, "the backend server is leaving")
	}
	return v.caughtUp(ctx, j.Request.Revisions, func(snapshot *control.Snapshot) *verdict.Error {
		return v.judge(snapshot, j)
	})
}

// CheckCaller says whether a key may read a workspace's answers: that is, it
// belongs to the workspace and is not withdrawn. The empty key of open routes
// passes, because the caller compares it with the key of the attempt.
func (v *Verify) CheckCaller(ctx context.Context, revisions *wire.Revisions, workspace, keyID string) *verdict.Error {
	if keyID == "" {
		return nil
	}
	return v.caughtUp(ctx, revisions, func(snapshot *control.Snapshot) *verdict.Error {
		if snapshot.Config == nil {
			return refuse(verdict.CodeStaleDocument, "no document is known yet")
		}
		return checkKey(snapshot.Config, workspace, keyID)
	})
}

// Noted tells the control loop of revisions newer than the snapshot's, and says
// whether there were any.
func (v *Verify) Noted(revisions *wire.Revisions) bool {
	if !newer(revisions, v.source.Snapshot()) {
		return false
	}
	if v.onRevisions != nil {
		v.onRevisions(revisions)
	}
	return true
}

// caughtUp judges by the current snapshot. A refusal that newer state could
// lift is judged again until the snapshot has caught up with the message, for a
// bounded time. A request that passes never waits: its router has checked it
// against the newer state.
func (v *Verify) caughtUp(ctx context.Context, revisions *wire.Revisions, judge func(*control.Snapshot) *verdict.Error) *verdict.Error {
	behind := v.Noted(revisions)
	err := judge(v.source.Snapshot())
	if err == nil || !behind || !curable(err) {
		return err
	}
	v.metrics.addCatchUp()
	timer := time.NewTimer(catchUpWait)
	defer timer.Stop()
	ticker := time.NewTicker(catchUpPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-timer.C:
			return v.staleOr(revisions, judge)
		case <-ctx.Done():
			return refuse(verdict.CodeCancelled, "the request was cancelled")
		}
		if !newer(revisions, v.source.Snapshot()) {
			return judge(v.source.Snapshot())
		}
	}
}

// staleOr judges a last time. A refusal for lack of knowledge becomes
// CodeStaleDocument, which the router retries elsewhere.
func (v *Verify) staleOr(revisions *wire.Revisions, judge func(*control.Snapshot) *verdict.Error) *verdict.Error {
	snapshot := v.source.Snapshot()
	err := judge(snapshot)
	if err == nil || !curable(err) || !newer(revisions, snapshot) {
		return err
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.CodeStaleDocument, "the sidecar's document is older than the request's")
}

// newer says whether a message carries newer revisions than the snapshot.
func newer(revisions *wire.Revisions, snapshot *control.Snapshot) bool {
	if revisions == nil {
		return false
	}
	known := snapshot.Revisions()
	return revisions.Document > known.Document || revisions.ShardEpoch > known.ShardEpoch
}

// curable says whether newer state could lift the refusal. A withdrawn key stays
// withdrawn, and a draw that a table refuses is refused by each later one.
func curable(err *verdict.Error) bool {
	return err.Code != verdict.CodeKeyWithdrawn && err.Code != verdict.CodeStaleShardEpoch
}

func refuse(code verdict.Code, format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, code, format, args...)
}
