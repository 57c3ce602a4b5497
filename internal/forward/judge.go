package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/eventstream"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// noAnswer judges an attempt without an answer.
func (r *run) noAnswer(ctx context.Context, flight *fleet.Attempt, err error) *verdict.Error {
	failure := verdict.From(err)
	outcome := fleet.Unreachable
	if ctx.Err() != nil {
		outcome = fleet.Refused
	}
	r.end(flight, outcome)
	if failure.Verdict != verdict.NotRun {
		r.sends++
		r.ran()
	}
	return r.timedOut(ctx, failure)
}

// end notes the outcome of an attempt.
func (r *run) end(flight *fleet.Attempt, outcome fleet.Outcome) {
	r.relay.meters.ended(outcome)
	flight.End(outcome, time.Now())
}

// ran notes that a server may have run the request.
func (r *run) ran() {
	r.executions++
	r.mayHaveRun = true
}

// timedOut tells a request whose time is up from one whose client left.
func (r *run) timedOut(ctx context.Context, failure *verdict.Error) *verdict.Error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure
	}
	return verdict.Wrap(failure, failure.Verdict, verdict.CodeTimeout, "no answer in time")
}

// judge decides what an answer's head means.
func (r *run) judge(ctx context.Context, flight *fleet.Attempt, call *backend.Call, answer *backend.Answer, dog *watchdog) (*Answer, *verdict.Error) {
	now := time.Now()
	r.relay.Fleet.SawWeights(call.ServerID, r.req.Model, answer.Weights, now)
	if answer.NotRun {
		return nil, r.refused(flight, call, answer)
	}
	r.ran()
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	if success && (!answer.Signed || answer.Header.Get("Content-Encoding") != "") {
		return nil, r.spoiled(flight, answer, errors.New("not a backend server's answer"))
	}
	if success && r.req.Route.Kind == deployment.Stream {
		return r.stream(ctx, flight, call, answer, dog)
	}
	return r.whole(ctx, flight, answer, success)
}

// refused judges an answer that promises that the request has not run.
func (r *run) refused(flight *fleet.Attempt, call *backend.Call, answer *backend.Answer) *verdict.Error {
	_ = answer.Body.Close() // nothing in it is used
	now := time.Now()
	outcome := fleet.Refused
	switch {
	case answer.Status == http.StatusMisdirectedRequest && answer.ServerID != "" && answer.ServerID != call.ServerID:
		outcome = fleet.Unreachable
	case call.HasPriority:
		if answer.Status == http.StatusMisdirectedRequest {
			r.relay.Fleet.DoubtWeights(call.ServerID, r.req.Model)
		}
		r.relay.Fleet.PassOver(call.ServerID, now.Add(loadingPause))
	}
	r.end(flight, outcome)
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%s refused the request with status %d", call.ServerID, answer.Status).WithRetryAfter(retryAfter)
}

// spoiled judges an answer that can't be passed on.
func (r *run) spoiled(flight *fleet.Attempt, answer *backend.Answer, cause error) *verdict.Error {
	_ = answer.Body.Close() // nothing in it is used
	r.end(flight, fleet.Failed)
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeBackendFailed, "%s broke off", r.req.Log.Server)
}

// whole reads an answer to its end.
func (r *run) whole(ctx context.Context, flight *fleet.Attempt, answer *backend.Answer, success bool) (*Answer, *verdict.Error) {
	body, err := backend.ReadWhole(answer)
	if err != nil {
		return nil, r.timedOut(ctx, r.spoiled(flight, answer, err))
	}
	result := &Answer{Status: answer.Status, Header: answer.Header, Body: body}
	if success || answer.Status < http.StatusInternalServerError {
		r.end(flight, fleet.Succeeded)
		return r.honest(result)
	}
	r.end(flight, fleet.Failed)
	if _, err := r.honest(result); err != nil {
		return nil, err
	}
	if r.failed == nil {
		r.failed = result
	}
	return nil, verdict.New(verdict.Ran, verdict.CodeBackendFailed, "%s answered with status %d", r.req.Log.Server, answer.Status)
}

// honest returns the answer, unless its status would promise that the request has
// not run although it may have.
func (r *run) honest(answer *Answer) (*Answer, *verdict.Error) {
	switch answer.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "%s answered with status %d", r.req.Log.Server, answer.Status)
	}
	return answer, nil
}

// stream waits for the first events.
func (r *run) stream(ctx context.Context, flight *fleet.Attempt, call *backend.Call, answer *backend.Answer, dog *watchdog) (*Answer, *verdict.Error) {
	s := &stream{run: r, flight: flight, dog: dog, body: answer.Body, reader: eventstream.NewReader(answer.Body)}
	first, err := s.reader.Next()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF // a stream without events did not end, it broke off
	}
	if err != nil {
		return nil, r.timedOut(ctx, r.spoiled(flight, answer, err))
	}
	dog.fed()
	flight.Started()
	if len(r.req.Shared()) > 0 {
		r.relay.Cache.Used(&kvcache.Use{
			Salt: call.CacheSalt, Parts: promptOf(r.req, "").Parts, Saved: call.SaveTo != "",
			Holder: kvcache.Holder{ID: call.ServerID, Address: call.Address},
		}, time.Now())
	}
	s.first = &first
	return &Answer{Status: answer.Status, Header: answer.Header, Events: s}, nil
}
