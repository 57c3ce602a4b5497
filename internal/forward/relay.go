package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/deployment"
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
	Pick        Picker // nil: placement.Pick
}

// Picker chooses the backend server of an attempt. It must decide at once.
type Picker func(q *placement.Query, servers []placement.Server) (placement.Choice, bool)

// NewRelay returns a Relay of its parts.
func NewRelay(parts Relay) *Relay {
	parts.meters = newMeters()
	if parts.Pick == nil {
		parts.Pick = placement.Pick
	}
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
	choice, ok := r.relay.Pick(r.query(now), r.relay.Fleet.View(r.req.Snapshot, r.service, r.req.Model, now))
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
	line := fields{
		logging.FieldRequest: r.req.ID, "attempt": r.req.Log.Attempts, "server": choice.Server.ID, "address": choice.Server.Address,
		"wait_ms": round(choice.WaitMs), "loss": choice.Loss, "missing": choice.Missing, "home": choice.AtHome(),
		"running": choice.Server.Running, "failures": choice.Server.FailureRate, "weights": call.Weights,
		"fetch_from": call.FetchFrom, "after": call.LastEventID, "position": r.req.Snapshot.Position,
	}
	if r.req.Log.Attempts == 1 && r.req.Model != "" {
		r.describePrompt(line)
	}
	logger.Info(line, "placed")
}

// describePrompt adds what a replay of the request needs. Parts are told by a hash.
func (r *run) describePrompt(line fields) {
	last, shared, own := r.req.Prompt()
	if last != "" {
		line[logging.FieldPart] = strconv.FormatUint(hash(last), 16)
	}
	line[logging.FieldSharedTokens] = shared
	line[logging.FieldOwnTokens] = own
	line[logging.FieldOutputTokens] = r.req.OutputTokens
	line[logging.FieldTargetMs] = r.req.Route.TargetLatency.Milliseconds()
}

func round(ms float64) int64 { return int64(ms + 0.5) }

func hash(text string) uint64 { return xxhash.Sum64String(text) }

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
