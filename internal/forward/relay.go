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
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/placement"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var logger = logging.For("relay")

type fields = logging.Fields

const (
	// refusedSends is how many servers beyond the route's attempts may refuse a
	// request unrun: one that loads weights, one that has just been replaced.
	refusedSends = 2
	// minPatience is the least time that makes another attempt worthwhile: a round
	// trip between availability zones and a short answer.
	minPatience = 20 * time.Millisecond
	// loadingPause is how long a server that refused a request for its weights is
	// passed over: a quarter of the time in which weights load.
	loadingPause = 300 * time.Millisecond
	// retryAfter is told to clients when no server can take a request: the time in
	// which a server that failed is listed as gone, or a queue of prompts is read.
	retryAfter = 400 * time.Millisecond
)

// Budget bounds repeats over all gateways.
type Budget interface {
	Request(service string, now time.Time)
	Repeat(service string, now time.Time) bool
}

// Backend calls backend servers.
type Backend interface {
	Do(ctx context.Context, call *backend.Call) (*backend.Answer, error)
}

// Relay is the last handler of the chain: it sends a request to backend servers
// until one has answered it or none may.
type Relay struct {
	meters meters

	Zone        string
	Source      func() *deployment.Snapshot
	MaxReplaced time.Duration // how long replaced weights may be used
	Fleet       *fleet.Fleet
	Cache       *kvcache.Directory
	Backend     Backend
	Budget      Budget
}

// NewRelay returns a Relay of its parts.
func NewRelay(parts Relay) *Relay {
	parts.meters = newMeters()
	return &parts
}

// Handle implements pipeline.Handler.
func (r *Relay) Handle(ctx context.Context, req *Request) (*Answer, error) {
	service := chooseTarget(req.Route, req.ID)
	if service == "" {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoBackendServer, "the route leads to no service")
	}
	r.Budget.Request(service, time.Now())
	run := &run{relay: r, req: req, service: service, lastID: req.LastEventID}
	return run.answer(ctx)
}

// run is the relay of one request.
type run struct {
	relay   *Relay
	req     *Request
	service string

	tried      map[string]bool
	sends      int // attempts that reached a server
	executions int // of these, those that may have run
	mayHaveRun bool
	failed     *Answer // a server's own failure, to pass on if nothing better comes
	lastID     string  // of the last event that the client has
}

// answer makes attempts until one succeeds.
func (r *run) answer(ctx context.Context) (*Answer, error) {
	for {
		answer, err := r.attempt(ctx)
		if err == nil {
			return answer, nil
		}
		again := r.mayTryAgain(ctx, err)
		r.logFailure(err, again)
		if !again {
			return r.giveUp(err)
		}
	}
}

// logFailure tells why an attempt failed and whether another follows.
func (r *run) logFailure(err *verdict.Error, again bool) {
	logger.Info(fields{
		logging.FieldRequest: r.req.ID, "attempt": r.req.Log.Attempts, "server": r.req.Log.Server, "code": string(err.Code),
		"verdict": err.Verdict.String(), "error": err.Error(), "again": again,
	}, "attempt failed")
}

// giveUp returns the final answer of a request that no server has served.
func (r *run) giveUp(err *verdict.Error) (*Answer, error) {
	if r.failed != nil {
		return r.failed, nil
	}
	if r.mayHaveRun && err.Verdict == verdict.NotRun {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeBackendFailed, "no backend server answered")
	}
	return nil, err
}

// mayTryAgain says whether another server may get the request, and pays for it.
func (r *run) mayTryAgain(ctx context.Context, err *verdict.Error) bool {
	if ctx.Err() != nil || err.Code == verdict.CodeNoBackendServer || !r.hasTime() {
		return false
	}
	if r.executions >= r.req.Route.MaxAttempts || r.sends >= r.req.Route.MaxAttempts+refusedSends {
		return false
	}
	if r.mayHaveRun && !r.req.MayRepeat() {
		return false
	}
	return r.sends == 0 || r.relay.Budget.Repeat(r.service, time.Now())
}

func (r *run) hasTime() bool {
	return r.req.Deadline.IsZero() || time.Until(r.req.Deadline) > minPatience
}

// attempt sends the request to the best server that is left.
func (r *run) attempt(ctx context.Context) (*Answer, *verdict.Error) {
	now := time.Now()
	r.refresh()
	choice, ok := placement.Pick(r.query(now), r.relay.Fleet.View(r.req.Snapshot, r.service, r.req.Model, now))
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoBackendServer, "no backend server of %s can take the request: %v", r.service, choice.Passed).WithRetryAfter(retryAfter)
	}
	call := r.call(&choice, now)
	r.note(&choice, call)
	flight := r.relay.Fleet.Begin(choice.Server.ID, choice.Missing, now)
	watched, dog := r.watch(ctx, now)
	answer, err := r.relay.Backend.Do(watched, call)
	if err != nil {
		dog.end()
		return nil, r.noAnswer(ctx, flight, err)
	}
	r.sends++
	result, failure := r.judge(ctx, flight, call, answer, dog)
	if failure != nil || result.Events == nil {
		dog.end()
	}
	return result, failure
}

// refresh takes the current belief for an attempt that comes after the first, unless
// the service is gone from the configuration.
func (r *run) refresh() {
	if r.req.Log.Attempts == 0 {
		return
	}
	if current := r.relay.Source(); current.Ready() && current.Config.Service(r.service) != nil {
		r.req.Snapshot = current
	}
}

// note remembers the decision for the request's log line.
func (r *run) note(choice *placement.Choice, call *backend.Call) {
	if r.tried == nil {
		r.tried = make(map[string]bool)
	}
	r.tried[choice.Server.ID] = true
	r.req.Log.Attempts++
	r.req.Log.Server = choice.Server.ID
	logger.Info(fields{
		logging.FieldRequest: r.req.ID, "attempt": r.req.Log.Attempts, "server": choice.Server.ID, "address": choice.Server.Address,
		"wait_ms": round(choice.WaitMs), "loss": choice.Loss, "missing": choice.Missing, "home": choice.AtHome(),
		"running": choice.Server.Running, "failures": choice.Server.FailureRate, "weights": call.Weights,
		"fetch_from": call.FetchFrom, "after": call.LastEventID, "position": r.req.Snapshot.Position,
	}, "placed")
}

func round(ms float64) int64 { return int64(ms + 0.5) }

// query describes the request to the placement.
func (r *run) query(now time.Time) *placement.Query {
	q := &placement.Query{Zone: r.relay.Zone, Target: r.req.Route.TargetLatency, MaxReplaced: r.relay.MaxReplaced, Tried: func(id string) bool { return r.tried[id] }}
	service := r.req.Snapshot.Config.Service(r.service)
	if service == nil || service.Engine == nil || r.req.Model == "" {
		return q
	}
	q.Engine = true
	wanted := r.req.Snapshot.Weights[r.req.Model]
	if wanted.Version > 0 {
		q.Replaced = func(weights uint64) time.Duration { return wanted.ReplacedFor(weights, now) }
	}
	for _, part := range r.req.Shared() {
		q.SharedTokens += part.Tokens
		q.HomeKey = part.ID
	}
	q.OwnTokens = max(0, r.req.PromptTokens-q.SharedTokens)
	q.SharedKnown = q.HomeKey == "" || r.relay.Cache.Knows(kvcache.Salt(r.req.Model, wanted.Version, r.req.Workspace), q.HomeKey, now)
	return q
}

// call prepares the attempt at the chosen server.
func (r *run) call(choice *placement.Choice, now time.Time) *backend.Call {
	call := &backend.Call{
		RequestID: r.req.ID,
		Address:   choice.Server.Address,
		Method:    r.req.Method,
		URL:       r.req.URL,
		Host:      r.req.Host,
		Header:    r.req.Header,
		Body:      r.req.Body,
		Instructions: backend.Instructions{
			ServerID:    choice.Server.ID,
			Workspace:   r.req.WorkspaceName(),
			LastEventID: r.lastID,
		},
	}
	if !r.req.Deadline.IsZero() {
		call.Patience = r.req.Deadline.Sub(now)
	}
	if r.req.Model != "" {
		r.instructEngine(call, choice, now)
	}
	return call
}

// instructEngine adds what only engines know.
func (r *run) instructEngine(call *backend.Call, choice *placement.Choice, now time.Time) {
	call.Priority, call.HasPriority = rank(r.req), true
	call.Weights = choice.Server.Weights
	call.CacheSalt = kvcache.Salt(r.req.Model, choice.Server.Weights, r.req.Workspace)
	if len(r.req.Shared()) == 0 || choice.Server.Weights == 0 {
		return
	}
	prompt := promptOf(r.req, call.CacheSalt)
	store := prompt.StoreOf(r.req.Snapshot.Config.KVStores())
	sources := r.relay.Cache.Plan(prompt, holderOf(choice.Server), store, r.usable, now)
	call.FetchFrom, call.SaveTo = sources.FetchFrom, sources.SaveTo
}

// promptOf describes the shared parts of a request's prompt.
func promptOf(req *Request, salt string) *kvcache.Prompt {
	prompt := &kvcache.Prompt{Salt: salt, OwnTokens: req.PromptTokens}
	for _, part := range req.Shared() {
		prompt.Parts = append(prompt.Parts, part.ID)
		prompt.SharedTokens += part.Tokens
		prompt.OwnTokens -= part.Tokens
	}
	return prompt
}

func holderOf(s *placement.Server) kvcache.Holder {
	return kvcache.Holder{ID: s.ID, Address: s.Address}
}

// usable says whether parts may be fetched from a holder: it must be listed still.
func (r *run) usable(holder kvcache.Holder) bool {
	server := r.req.Snapshot.Servers[holder.ID]
	return server != nil && server.Address == holder.Address
}

// priorityRanks is the number of route priorities that fit below one of a
// workspace.
const priorityRanks = 3

// rank joins the priorities of workspace and route: the workspace's goes first.
func rank(req *Request) int {
	if req.Workspace == nil || !req.Workspace.HasPriority {
		return req.Route.Priority
	}
	return req.Workspace.Priority*priorityRanks + min(req.Route.Priority, priorityRanks-1)
}

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

// chooseTarget returns the service that gets the request: by the weights of the
// route's targets, and the same for all attempts of a request.
func chooseTarget(route *deployment.Route, id string) string {
	total := uint64(0)
	for _, target := range route.Targets {
		total += uint64(max(0, target.Weight))
	}
	if total == 0 {
		return ""
	}
	point := hash(id) % total
	for _, target := range route.Targets {
		weight := uint64(max(0, target.Weight))
		if point < weight {
			return target.Service
		}
		point -= weight
	}
	return ""
}
