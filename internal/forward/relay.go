package forward

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/singleflight"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/canary"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/placement"
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/serveraccess"
	"github.com/wasabigate/wasabigate/internal/serverbackoff"
	"github.com/wasabigate/wasabigate/internal/serverlimit"
	"github.com/wasabigate/wasabigate/internal/streamversion"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var logger = logging.For("relay")

type fields = logging.Fields

const (
	// maxExtraRefusals is how many servers beyond the route's maximum of attempts may
	// refuse a request without running it: one that is loading weights and one that has
	// just been replaced.
	maxExtraRefusals = 2
	// minTimeLeft is the least time before the deadline in which a retry can succeed: a
	// round trip between availability zones and a short response.
	minTimeLeft = 20 * time.Millisecond
	// loadingBackOff is how long a server is avoided after it refused a request because of
	// its weights: a quarter of the time to load weights.
	loadingBackOff = 300 * time.Millisecond
)

// Budget bounds the retries of all gateways together.
type Budget interface {
	RecordRequest(service string, now time.Time)
	AllowRetry(service string, now time.Time) bool
}

// Backend calls backend servers.
type Backend interface {
	Do(ctx context.Context, call *backend.Call) (*backend.Response, error)
}

// Relay is the last handler of the chain. It sends a request to backend servers until
// one has responded or no further attempt is allowed.
type Relay struct {
	meters    meters
	returns   *returns
	gates     *gates
	checks    *singleflight.Group // of servers that broke off, by id and incarnation
	ends      *endWatches
	processes *processChecks

	Zone          string
	Source        func() *deployment.Snapshot
	MaxReplaced   time.Duration // how long replaced weights may still be used
	Fleet         *fleet.Fleet
	Cache         *kvcache.Directory
	Backend       Backend
	Budget        Budget
	Pick          Picker // nil: placement.Pick
	Quarantine    *quarantine.Quarantine
	Limits        *serverlimit.Limits  // nil: new ones
	Access        *serveraccess.Access // nil: a new one with Limits
	Streams       *streamversion.Decider
	Canary        *canary.Tracker      // of rollouts of software versions; nil: there are none
	AdmitByRoom   bool                 // less urgent requests are refused while engines are short of room
	Assignments   Assignments          // nil: those of the snapshots are up to date
	OtherGateways OtherGateways        // nil: there are none
	Processes     Processes            // nil: servers are not asked
	Staleness     func() time.Duration // of snapshots; nil: they are up to date
	// ClaimProbe reports whether this gateway may send the probe of a blamed part, after other
	// gateways were ruled out; nil: it may.
	ClaimProbe func(ctx context.Context, probe *quarantine.Decision) bool
	// Outdated reports whether snapshots may have been out of date for longer than
	// streamversion.ViewMargin; nil: they never are.
	Outdated func() bool
	// ProcessEnded reports whether no process serves an address any more; nil:
	// backend.ProcessEnded.
	ProcessEnded func(ctx context.Context, address string) bool
}

// Picker chooses the backend server of an attempt. It must not block.
type Picker func(q *placement.Query, servers []placement.Server) (placement.Choice, bool)

// NewRelay returns a Relay with the exported fields of config.
func NewRelay(config Relay) *Relay {
	config.meters = newMeters()
	config.returns = newReturns()
	config.gates = newGates()
	config.checks = &singleflight.Group{}
	config.processes = newProcessChecks()
	if config.Pick == nil {
		config.Pick = placement.Pick
	}
	if config.Quarantine == nil {
		config.Quarantine = quarantine.New(nil)
	}
	if config.Limits == nil {
		config.Limits = serverlimit.New("")
	}
	if config.Access == nil {
		source := func() *deployment.Snapshot { return config.Source() }
		config.Access = serveraccess.New(serveraccess.Options{Source: source, Fleet: config.Fleet, Limits: config.Limits, Backoffs: serverbackoff.New()})
	}
	if config.Streams == nil {
		config.Streams = streamversion.NewDecider()
	}
	if config.ProcessEnded == nil {
		config.ProcessEnded = backend.ProcessEnded
	}
	relay := &config
	relay.ends = newEndWatches(config.ProcessEnded, func() *deployment.Snapshot { return relay.Source() })
	return relay
}

// Handle implements pipeline.Handler.
func (r *Relay) Handle(ctx context.Context, req *Request) (*Response, error) {
	service := chooseTarget(req.Route, originOf(req))
	if service == "" {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoBackendServer, "the route leads to no service")
	}
	r.Budget.RecordRequest(service, time.Now())
	if r.Canary != nil {
		r.Canary.Arrive(service, req.Route.Name)
	}
	active := &activeRequest{relay: r, req: req, service: service, lastID: req.LastEventID, sharing: req.Snapshot.Config, parts: quarantineParts(service, req)}
	return active.serve(ctx)
}

// activeRequest is a request while it is relayed.
type activeRequest struct {
	relay   *Relay
	req     *Request
	service string

	tried       map[string]bool
	reached     int // attempts that reached a server
	executions  int // of these, those that may have run
	mayHaveRun  bool
	admitted    bool               // by the gate of the service
	serverError *Response          // a server's 5xx response, passed on if no attempt succeeds
	lastID      string             // id of the last event that the client has received
	delivered   bool               // the client has received events
	reserved    atomic.Bool        // the watchdog has taken a retry from the budget
	begun       bool               // the server of the last attempt has begun a response
	server      *deployment.Server // of the last attempt
	software    *string            // version of the software whose events the client gets; nil: it has got none
	confirmed   *readAssignment    // nil: none was read
	sharing     *deployment.Config // that tells who shares KV cache; the request's workspace is one of it
	parts       []quarantine.Part
	sent        time.Time            // when the last attempt was sent
	probe       quarantine.Part      // the last attempt is a probe of it; 0: it is none
	trial       *serverbackoff.Trial // of the last attempt; nil: none
	rollout     rolloutChoice        // of the last attempt
}

// serve makes attempts until one succeeds or no further one is allowed.
func (r *activeRequest) serve(ctx context.Context) (*Response, error) {
	for {
		resp, err := r.attempt(ctx)
		if err == nil {
			r.relay.returns.of(r.service).Served(time.Now())
			return resp, nil
		}
		retry := r.allowRetry(ctx, err)
		if err.Code != verdict.CodeQuarantined && err.Code != verdict.CodeNoRoom { // already logged
			r.logFailure(err, retry)
		}
		if !retry {
			return r.finalResult(err)
		}
	}
}

// logFailure logs why an attempt failed and whether another follows.
func (r *activeRequest) logFailure(err *verdict.Error, retry bool) {
	entry := fields{
		logging.FieldRequest: r.req.ID, "attempt": r.req.Log.Attempts, "server": r.req.Log.Server, "code": string(err.Code),
		"verdict": err.Verdict.String(), "error": err.Error(), "again": retry, "response_begun": r.begun,
	}
	if err.Verdict != verdict.NotRun {
		entry[logging.FieldParts] = r.partNames()
	}
	logger.Info(entry, "attempt failed")
}

// finalResult returns the response or error of a request of which every attempt failed.
func (r *activeRequest) finalResult(err *verdict.Error) (*Response, error) {
	if r.serverError != nil {
		return r.serverError, nil
	}
	if r.mayHaveRun && err.Verdict == verdict.NotRun {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeBackendFailed, "no backend server answered")
	}
	if mayReturn(err) {
		err.RetryAfter = max(err.RetryAfter, r.relay.returns.of(r.service).Delay(enginePriority(r.req), time.Now()))
	}
	return nil, err
}

// mayReturn reports whether a request that failed has not run and may succeed later.
func mayReturn(err *verdict.Error) bool {
	switch err.Code {
	case verdict.CodeOverloaded, verdict.CodeNoRoom, verdict.CodeNoBackendServer, verdict.CodeBackendFailed:
		return err.Verdict == verdict.NotRun
	}
	return false
}

// allowRetry reports whether the request may be sent to another server, and takes the
// retry from the budget.
func (r *activeRequest) allowRetry(ctx context.Context, err *verdict.Error) bool {
	if ctx.Err() != nil || isFinal(err.Code) || !r.hasTime() {
		return false
	}
	if r.executions >= r.req.Route.MaxAttempts || r.reached >= r.req.Route.MaxAttempts+maxExtraRefusals {
		return false
	}
	if r.mayHaveRun && !r.req.MayRetry() {
		return false
	}
	return r.reached == 0 || r.hasAlternative() && (r.reserved.Swap(false) || r.takeRetry())
}

// isFinal reports whether no other server can take a request that failed with a code.
func isFinal(code verdict.Code) bool {
	switch code {
	case verdict.CodeNoBackendServer, verdict.CodeNoRoom, verdict.CodeQuarantined, verdict.CodeOriginUnknown, verdict.CodeSoftwareGone:
		return true
	}
	return false
}

// takeRetry takes a retry from the budget, if it has one.
func (r *activeRequest) takeRetry() bool {
	allowed := r.relay.Budget.AllowRetry(r.service, time.Now())
	r.relay.meters.countRetry(r.service, allowed)
	return allowed
}

// hasTime reports whether enough time is left before the deadline for a retry.
func (r *activeRequest) hasTime() bool {
	return r.req.Deadline.IsZero() || time.Until(r.req.Deadline) > minTimeLeft
}

// attempt sends the request to the best server that it has not tried yet.
func (r *activeRequest) attempt(ctx context.Context) (*Response, *verdict.Error) {
	now := time.Now()
	if held := r.checkQuarantine(ctx, now); held != nil {
		return nil, held
	}
	r.findOrigin(ctx)
	now = time.Now() // the store and other gateways may have been asked
	r.refreshSnapshot()
	choice, failure := r.chooseServer(now)
	if failure != nil {
		r.endProbe(now)
		return nil, failure
	}
	defer func() { r.trial.End() }()
	if failure := r.checkProcess(ctx, r.req.Snapshot.Servers[choice.Server.ID]); failure != nil {
		r.recordTried(choice.Server.ID)
		r.withdrawCredit()
		r.endProbe(now)
		return nil, failure
	}
	now = time.Now() // the server may have been asked
	if failure := r.beginRollout(&choice, now); failure != nil {
		r.recordTried(choice.Server.ID)
		r.endProbe(now)
		return nil, failure
	}
	call := r.newCall(&choice, now)
	r.recordAttempt(&choice, call)
	attempt := r.relay.Fleet.Begin(choice.Server.ID, choice.PrefillTokens, now)
	attemptCtx, wd := r.startWatchdog(ctx, choice.Server.ID, now)
	r.begun, r.sent = false, now
	resp, err := r.relay.Backend.Do(attemptCtx, call)
	if err != nil {
		wd.stop()
		return nil, r.noResponse(ctx, attempt, err)
	}
	r.reached++
	r.begun = true
	result, failure := r.handleResponse(ctx, attempt, call, resp, wd)
	if failure != nil || result.Events == nil {
		wd.stop()
	}
	return result, failure
}

// chooseServer chooses the server of an attempt, and takes the request to it.
func (r *activeRequest) chooseServer(now time.Time) (placement.Choice, *verdict.Error) {
	decision := r.decideSoftware(r.req.Snapshot)
	r.recordDecision(&decision)
	if decision.Refusal != streamversion.NotRefused {
		return placement.Choice{}, r.refusalOf(&decision)
	}
	servers, wait := r.relay.Access.View(r.req.Snapshot, r.service, r.req.Model, now)
	query := r.placementQuery(now)
	if failure := r.admit(query, servers, now); failure != nil {
		return placement.Choice{}, failure
	}
	r.restrictVersions(query, &decision, now)
	for {
		choice, ok := r.relay.Pick(query, servers)
		if !ok && r.widenVersions(query) {
			continue
		}
		if !ok {
			return choice, verdict.New(verdict.NotRun, verdict.CodeNoBackendServer, "no backend server of %s can take the request: %v", r.service, choice.Excluded).
				WithRetryAfter(wait)
		}
		trial, access := r.relay.Access.Begin(r.req.Snapshot.Servers[choice.Server.ID], now)
		switch access.Reason {
		case serveraccess.Allowed:
			r.trial = trial
			return choice, nil
		case serveraccess.Gone, serveraccess.Leaving:
			choice.Server.Draining = true // since the snapshot was taken
		case serveraccess.Paused:
			choice.Server.Paused = true // a refusal came meanwhile, or another request is the trial
		case serveraccess.Limited:
			choice.Server.Limited = true // another request took what was left
		}
	}
}

// refreshSnapshot takes the current snapshot for an attempt, unless the service has been
// removed from the configuration. The filters before may have waited. The workspace is taken
// from it too, as it may have become isolated since the request arrived.
func (r *activeRequest) refreshSnapshot() {
	current := r.relay.Source()
	if !current.Ready() {
		return
	}
	if current.Config != r.sharing {
		r.sharing, r.req.Workspace = current.Config, current.Config.Successor(r.req.Workspace)
	}
	if current.Config.Service(r.service) != nil {
		r.req.Snapshot = current
	}
}

// recordAttempt records and logs the choice of a server.
func (r *activeRequest) recordAttempt(choice *placement.Choice, call *backend.Call) {
	r.recordTried(choice.Server.ID)
	r.req.Log.Attempts++
	r.req.Log.Server = choice.Server.ID
	r.server = r.req.Snapshot.Servers[choice.Server.ID]
	entry := fields{
		logging.FieldRequest: r.req.ID, "attempt": r.req.Log.Attempts, "server": choice.Server.ID, "address": choice.Server.Address,
		"wait_ms": round(choice.WaitMs), "loss": choice.Loss, "missing": choice.PrefillTokens, "home": choice.AtHome(),
		"running": choice.Server.Running, "failures": choice.Server.FailureRate, "weights": call.WeightsVersion,
		"fetch_from": call.FetchFrom, "after": call.LastEventID, "position": r.req.Snapshot.Position.String(),
	}
	if choice.Server.Speed > 0 {
		entry["speed"] = choice.Server.Speed
	}
	if r.server != nil {
		entry["software"], entry["incarnation"] = r.server.Software, r.server.Incarnation
	}
	if r.relay.Canary != nil {
		entry["rollout"], entry["staleness_ms"] = r.rollout.choice.Reason, r.relay.staleness().Milliseconds()
	}
	if r.req.Resumes != "" {
		entry["resumes"] = r.req.Resumes
	}
	if r.req.Log.Attempts == 1 && r.req.Model != "" {
		r.addPromptFields(entry)
	}
	logger.Info(entry, "placed")
}

func (r *activeRequest) recordTried(id string) {
	if r.tried == nil {
		r.tried = make(map[string]bool)
	}
	r.tried[id] = true
}

// addPromptFields adds the log fields from which the request can be replayed. The shared
// part is logged as a hash.
func (r *activeRequest) addPromptFields(entry fields) {
	last, shared, own := r.req.Prompt()
	if last != "" {
		entry[logging.FieldPart] = strconv.FormatUint(hash(last), 16)
	}
	entry[logging.FieldSharedTokens] = shared
	entry[logging.FieldOwnTokens] = own
	entry[logging.FieldOutputTokens] = r.req.OutputTokens
	entry[logging.FieldTargetMs] = r.req.Route.TargetLatency.Milliseconds()
}

func round(ms float64) int64 { return int64(ms + 0.5) }

func hash(text string) uint64 { return xxhash.Sum64String(text) }

// chooseTarget returns the service of a request, chosen by the weights of the route's
// targets and a hash of the request's id, so that all attempts use the same one. For the rest
// of a stream it is the id of the request that began it.
func chooseTarget(route *deployment.Route, id string) string {
	total := uint64(0)
	for _, target := range route.Targets {
		total += uint64(max(0, target.Weight))
	}
	if total == 0 {
		return ""
	}
	offset := hash(id) % total
	for _, target := range route.Targets {
		weight := uint64(max(0, target.Weight))
		if offset < weight {
			return target.Service
		}
		offset -= weight
	}
	return ""
}
