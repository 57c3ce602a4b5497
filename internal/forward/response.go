package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/canary"
	"github.com/wasabigate/wasabigate/internal/clientbody"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/eventstream"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// noResponse ends an attempt that failed without a response.
func (r *activeRequest) noResponse(ctx context.Context, attempt *fleet.Attempt, err error) *verdict.Error {
	failure := verdict.From(err)
	outcome := fleet.Unreachable
	switch {
	case ctx.Err() != nil:
		outcome = fleet.Refused
	case failure.Code == verdict.CodeCancelled: // by the watchdog, not by the client
		failure = verdict.Wrap(failure, failure.Verdict, verdict.CodeBackendFailed, "%s does not respond", r.req.Log.Server)
	}
	switch {
	case failure.Verdict != verdict.NotRun:
		r.setRolloutOutcome(brokenOutcome(ctx, err))
	case ctx.Err() == nil:
		r.setRolloutOutcome(canary.Unreachable)
	}
	if failure.Verdict != verdict.NotRun {
		r.reached++
		r.countExecution()
		r.checkCrash(ctx, time.Time{})
	}
	r.endAttempt(attempt, outcome)
	return r.asTimeout(ctx, failure)
}

// endAttempt records the outcome of an attempt.
func (r *activeRequest) endAttempt(attempt *fleet.Attempt, outcome fleet.Outcome) {
	now := time.Now()
	if outcome != fleet.Succeeded && r.server != nil {
		r.relay.processes.forget(r.server)
	}
	r.relay.meters.countAttempt(outcome)
	attempt.End(outcome, now)
	r.endRollout(outcome, now)
	r.endProbe(now)
}

// countExecution records that a server may have run the request.
func (r *activeRequest) countExecution() {
	r.executions++
	r.mayHaveRun = true
}

// asTimeout turns failure into a time-out if the request's deadline has passed, but not if
// its client has disconnected.
func (r *activeRequest) asTimeout(ctx context.Context, failure *verdict.Error) *verdict.Error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure
	}
	return verdict.Wrap(failure, failure.Verdict, verdict.CodeTimeout, "no answer in time")
}

// handleResponse decides by the status and headers of a response whether it is passed on.
func (r *activeRequest) handleResponse(ctx context.Context, attempt *fleet.Attempt, call *backend.Call, resp *backend.Response, wd *watchdog) (*Response, *verdict.Error) {
	r.trial.End()
	now := time.Now()
	r.relay.Fleet.RecordResponse(call.ServerID, now)
	r.relay.Fleet.RecordWeights(call.ServerID, r.req.Model, resp.WeightsVersion, now)
	if resp.NotRun {
		return nil, r.handleRefusal(attempt, call, resp)
	}
	r.countExecution()
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && (!resp.Signed || resp.Header.Get("Content-Encoding") != "") {
		return nil, r.handleBadResponse(attempt, resp, errors.New("not a backend server's answer"))
	}
	if success && r.req.Route.Kind == deployment.Stream {
		return r.startStream(ctx, attempt, call, resp, wd)
	}
	return r.readWhole(ctx, attempt, resp, success)
}

// handleRefusal ends an attempt whose response guarantees that the request has not run.
func (r *activeRequest) handleRefusal(attempt *fleet.Attempt, call *backend.Call, resp *backend.Response) *verdict.Error {
	_ = resp.Body.Close() // the body is not needed
	outcome := fleet.Refused
	switch {
	case resp.Status != http.StatusMisdirectedRequest:
	case resp.ServerID != "" && resp.ServerID != call.ServerID:
		outcome = fleet.Unreachable
	case call.HasPriority:
		r.relay.Fleet.ForgetWeights(call.ServerID, r.req.Model)
		r.relay.Fleet.MarkSuspect(call.ServerID, time.Now().Add(loadingBackOff))
	}
	r.endAttempt(attempt, outcome)
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%s refused the request with status %d", call.ServerID, resp.Status)
}

// handleBadResponse ends an attempt whose response can't be passed on.
func (r *activeRequest) handleBadResponse(attempt *fleet.Attempt, resp *backend.Response, cause error) *verdict.Error {
	_ = resp.Body.Close() // the body is not needed
	r.endAttempt(attempt, fleet.Failed)
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeBackendFailed, "%s broke off", r.req.Log.Server)
}

// readWhole reads a response that is not a stream to its end.
func (r *activeRequest) readWhole(ctx context.Context, attempt *fleet.Attempt, resp *backend.Response, success bool) (*Response, *verdict.Error) {
	if success {
		r.rollout.attempt.Events(1, time.Now())
	}
	var admit func(int64) error
	if r.req.AdmitResponse != nil {
		admit = func(bytes int64) error { return r.req.AdmitResponse(ctx, bytes) }
	}
	body, err := backend.ReadBody(resp, admit)
	if errors.Is(err, clientbody.ErrNoRoom) {
		r.endAttempt(attempt, fleet.Succeeded) // the server is not to blame
		return nil, r.asTimeout(ctx, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeBackendFailed, "no memory for the response"))
	}
	if err != nil {
		r.setRolloutOutcome(brokenOutcome(ctx, err))
		r.checkCrash(ctx, time.Time{})
		return nil, r.asTimeout(ctx, r.handleBadResponse(attempt, resp, err))
	}
	result := &Response{Status: resp.Status, Header: resp.Header, Body: body}
	if success || resp.Status < http.StatusInternalServerError {
		r.relay.Quarantine.RecordSuccess(r.parts, time.Now())
		r.endAttempt(attempt, fleet.Succeeded)
		return r.checkStatus(result)
	}
	r.endAttempt(attempt, fleet.Failed)
	if _, err := r.checkStatus(result); err != nil {
		return nil, err
	}
	if r.serverError == nil {
		r.serverError = result
	}
	return nil, verdict.New(verdict.Ran, verdict.CodeBackendFailed, "%s answered with status %d", r.req.Log.Server, resp.Status)
}

// checkStatus returns the response, or an error if its status would tell the client that
// the request has not run although it may have.
func (r *activeRequest) checkStatus(resp *Response) (*Response, *verdict.Error) {
	if verdict.PromisesNotRun(resp.Status) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "%s answered with status %d", r.req.Log.Server, resp.Status)
	}
	return resp, nil
}

// startStream waits for the first events of a stream, so that a failure before them can
// still be retried.
func (r *activeRequest) startStream(ctx context.Context, attempt *fleet.Attempt, call *backend.Call, resp *backend.Response, wd *watchdog) (*Response, *verdict.Error) {
	s := &stream{active: r, attempt: attempt, call: call, watchdog: wd, body: resp.Body, reader: eventstream.NewReader(resp.Body)}
	if r.delivered {
		s.follows = eventstream.NewContinuation(r.lastID)
	}
	first, err := s.read()
	if err != nil {
		r.setRolloutOutcome(brokenOutcome(ctx, err))
	} else if r.hasRestarted() {
		err = errors.Errorf("%s has started again", call.ServerID)
		r.setRolloutOutcome(canary.Uncounted)
	}
	if err != nil {
		r.checkCrash(ctx, time.Time{})
		return nil, r.asTimeout(ctx, r.handleBadResponse(attempt, resp, err))
	}
	s.first = &first
	s.recordProgress(&first)
	return &Response{Status: resp.Status, Header: resp.Header, Events: s}, nil
}
