// Package latecrash provides the filter that notices when the backend server's process ends a
// while after it broke the connection of a request. The router has the failure by then, which
// names no crash; it learns of the crash with the reports that daemons exchange.
package latecrash

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/sidecar/processend"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var logger = logging.For("latecrash")

const (
	// maxWaiting bounds the requests that wait to learn whether the process ended.
	maxWaiting = 64
	// checkTimeout bounds one check whether the process has ended.
	checkTimeout = time.Second
)

// Options configure a Filter.
type Options struct {
	Server     string // name of the backend server
	Quarantine *quarantine.Quarantine
	// Ended reports whether no process serves the backend server's address.
	Ended func(ctx context.Context) bool
	// Incarnation returns that of the engine, which changes with each start; 0: unknown.
	Incarnation func() uint64
	// Numbers counts the ends of processes without an incarnation; nil: nobody else does.
	Numbers *processend.Numbers
	// Leaving reports whether the backend server leaves, so that its end has another cause.
	Leaving func() bool
}

// Filter implements job.Filter. It must be the last one before the executor.
type Filter struct {
	options Options
	waiting atomic.Int32
}

// New returns a Filter.
func New(options Options) *Filter {
	if options.Numbers == nil {
		options.Numbers = new(processend.Numbers)
	}
	return &Filter{options: options}
}

// Name implements job.Filter.
func (*Filter) Name() string { return "latecrash" }

// Handle implements job.Filter.
func (f *Filter) Handle(ctx context.Context, j *job.Job, next job.Handler) (job.Outcome, error) {
	lost := &lostRequest{sent: time.Now()}
	emit := j.Emit
	j.Emit = func(frame *wire.Frame) {
		lost.received(frame)
		emit(frame)
	}
	outcome, err := next.Handle(ctx, j)
	j.Emit = emit
	switch failure := verdict.From(err); {
	case err == nil && succeeded(outcome):
		f.options.Quarantine.RecordSuccess(partsOf(j.Request), time.Now())
	case err != nil && ctx.Err() == nil && failure.Crashed == 0 && errors.Is(err, engine.ErrBroken):
		f.watch(j.Request, lost)
	}
	return outcome, err
}

// succeeded reports whether the backend server has answered whole.
func succeeded(outcome job.Outcome) bool {
	return outcome.GetTail() != nil || outcome.GetReply() != nil && outcome.GetReply().Status < http.StatusInternalServerError
}

// lostRequest is a request whose connection may break.
type lostRequest struct {
	sent        time.Time
	incarnation uint64    // of the engine that began a response; 0: unknown
	began       bool      // the engine has begun a response
	firstToken  time.Time // zero: none came
}

// received records a frame of the response.
func (l *lostRequest) received(frame *wire.Frame) {
	switch {
	case frame.GetHead() != nil:
		l.began, l.incarnation = true, frame.GetHead().GetLoad().GetIncarnation()
	case frame.GetTokens() != nil && l.firstToken.IsZero():
		l.firstToken = time.Now()
	}
}

// watch checks for a while whether the process ends, and records the crash.
func (f *Filter) watch(req *wire.ExecuteRequest, lost *lostRequest) {
	now := time.Now()
	stage, possible := quarantine.StageAt(lost.began, lost.firstToken, now)
	if !possible || f.waiting.Add(1) > maxWaiting {
		f.waiting.Add(-1)
		return
	}
	id, parts, sent, incarnation := req.RequestId, partsOf(req), lost.sent, lost.incarnation
	if incarnation == 0 {
		incarnation = f.options.Incarnation()
	}
	go func() {
		defer f.waiting.Add(-1)
		ended := f.awaitEnd(incarnation)
		if ended {
			f.options.Quarantine.RecordCrash(quarantine.Crash{
				Server: fmt.Sprintf("%s@%d", f.options.Server, f.numberOf(incarnation, sent)), Sent: sent, Ended: now, Stage: stage, Parts: parts,
			}, time.Now())
		}
		logger.Info(logging.Fields{
			logging.FieldRequest: id, "request": parts[0].String(), "stage": stage.String(), "ended": ended, "after_ms": time.Since(now).Milliseconds(),
		}, "connection broke; checked whether the backend server's process ended")
	}()
}

// awaitEnd reports whether the process ends within quarantine.CrashTime.
func (f *Filter) awaitEnd(incarnation uint64) bool {
	for _, pause := range quarantine.CrashChecks {
		time.Sleep(pause)
		switch {
		case f.hasEnded(incarnation):
			return true
		case f.options.Leaving():
			return false
		}
	}
	return false
}

// hasEnded reports whether the process has ended, or another one has taken its place.
func (f *Filter) hasEnded(incarnation uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	current := f.options.Incarnation()
	return f.options.Ended(ctx) || incarnation != 0 && current != 0 && current != incarnation
}

// numberOf returns the number of the process that has ended: its incarnation, as the executor
// tells it, or that of its end.
func (f *Filter) numberOf(incarnation uint64, sent time.Time) uint64 {
	if incarnation != 0 {
		return incarnation
	}
	return f.options.Numbers.Of(sent)
}

// partsOf returns the request as routers know it.
func partsOf(req *wire.ExecuteRequest) []quarantine.Part {
	if g := req.Generation; g != nil {
		return []quarantine.Part{quarantine.RequestOf(g.ServedName, "", "", req.Workspace, []byte(g.Prompt))}
	}
	call := req.GetCall()
	return []quarantine.Part{quarantine.RequestOf(req.Route, call.GetMethod(), call.GetPath(), req.Workspace, call.GetBody())}
}
