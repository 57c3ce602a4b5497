package forward

import (
	"context"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/streamversion"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// originOf returns the id of the attempt that began the request's stream. It is empty for a
// take-up that does not name it.
func originOf(req *Request) string {
	if continues(req) {
		return req.Resumes
	}
	return req.ID
}

// continues reports whether the client has events of the stream already.
func continues(req *Request) bool {
	return req.resumable() && (req.LastEventID != "" || req.Resumes != "")
}

// resumable reports whether the response is a stream that may be resumed at another server.
func (r *Request) resumable() bool { return r.Route.ResumesStreams() }

// Assignments reads assignments of streams to software versions.
type Assignments interface {
	// Read returns the assignment of a service's streams as it is in the store after the call,
	// nil if there is none, and the era of the store.
	Read(ctx context.Context, service string) (*streamversion.Assignment, platform.Era, error)
}

// OtherGateways knows what other gateways know of streams.
type OtherGateways interface {
	// AskOrigin returns the software version that began a stream, by the id of the request
	// that began it.
	AskOrigin(ctx context.Context, service, id string) (software string, known bool)
	// TellOrigin tells another gateway which software version began a stream.
	TellOrigin(service, id, software string)
}

// readAssignment is an assignment that was read from the store after the request arrived.
type readAssignment struct {
	assignment *streamversion.Assignment
	era        platform.Era
}

// decideSoftware decides at which software version the request may be sent now.
func (r *activeRequest) decideSoftware(snapshot *deployment.Snapshot) streamversion.Decision {
	if !r.req.resumable() {
		return streamversion.Decision{Any: true}
	}
	stream := &streamversion.Stream{
		Service: r.service, ID: r.req.ID, Continues: continues(r.req), Origin: originOf(r.req), Version: r.software,
	}
	return r.relay.Streams.Decide(stream, r.newPool(snapshot))
}

// findOrigin looks for the software version that began the stream if the request is for the
// rest of one that this process does not know: in the assignment of streams as it is in the
// store, and at the other gateways.
func (r *activeRequest) findOrigin(ctx context.Context) {
	if !continues(r.req) {
		return
	}
	decision := r.confirmDecision(ctx)
	unknown := decision.Refusal == streamversion.UnknownOrigin || decision.Refusal == streamversion.NotConfirmed
	if !unknown || r.relay.OtherGateways == nil || originOf(r.req) == "" {
		return
	}
	if software, known := r.relay.OtherGateways.AskOrigin(ctx, r.service, originOf(r.req)); known {
		r.relay.Streams.RecordBegin(r.service, originOf(r.req), software, time.Now())
		_ = r.confirmDecision(ctx) // the version may have come since this gateway's view
	}
}

// confirmDecision decides where the request may be sent. If that depends on the assignment of
// streams as it is in the store, it reads it, once.
func (r *activeRequest) confirmDecision(ctx context.Context) streamversion.Decision {
	decision := r.decideSoftware(r.req.Snapshot)
	if decision.Refusal != streamversion.NotConfirmed || r.confirmed != nil {
		return decision
	}
	assignment, era, err := r.relay.Assignments.Read(ctx, r.service)
	if err != nil {
		logger.Warn(fields{logging.FieldRequest: r.req.ID, "service": r.service, "error": err.Error()}, "assignment of streams not read")
		return decision
	}
	r.confirmed = &readAssignment{assignment: assignment, era: era}
	return r.decideSoftware(r.req.Snapshot)
}

// newPool returns the state of the request's service for a decision.
func (r *activeRequest) newPool(snapshot *deployment.Snapshot) *streamversion.Pool {
	pool := &streamversion.Pool{
		Assignment: snapshot.Streams[r.service], Era: snapshot.Position.Era(), Versions: snapshot.SoftwareOf(r.service),
		Confirmed: r.relay.Assignments == nil, Outdated: r.relay.Outdated != nil && r.relay.Outdated(),
	}
	if tracker := r.relay.Canary; tracker != nil {
		staleness := r.relay.staleness()
		pool.Allowed = func(version string) bool { return tracker.Allows(r.service, version, staleness) }
		pool.Barred = func(version string) bool { return tracker.Barred(r.service, version) }
	}
	if r.confirmed != nil {
		pool.Assignment, pool.Era, pool.Confirmed = r.confirmed.assignment, r.confirmed.era, true
	}
	return pool
}

// refusalOf returns the error of a request that may be sent to no server, by its decision.
func (r *activeRequest) refusalOf(decision *streamversion.Decision) *verdict.Error {
	var failure *verdict.Error
	switch decision.Refusal {
	case streamversion.NotConfirmed:
		failure = verdict.New(verdict.NotRun, verdict.CodeOriginUnknown, "this gateway can't tell yet at which software version of %s the stream may begin or go on", r.service)
	case streamversion.UnknownOrigin:
		failure = verdict.New(verdict.NotRun, verdict.CodeOriginUnknown, "it is not known which software version of %s began the stream", r.service)
	case streamversion.VersionGone:
		failure = verdict.New(verdict.NotRun, verdict.CodeSoftwareGone, "the software version %q of %s, which began the stream, is gone", decision.Version, r.service)
	default:
		failure = verdict.New(verdict.NotRun, verdict.CodeNoBackendServer, "no backend server of %s with software version %q takes requests", r.service, decision.Version)
	}
	return failure.WithRetryAfter(decision.RetryAfter)
}

// hasAlternative reports whether a server of the stream's software version is left for a
// retry.
func (r *activeRequest) hasAlternative() bool {
	if !r.req.resumable() {
		return true
	}
	snapshot := r.relay.Source()
	decision := r.decideSoftware(snapshot)
	return anyServer(snapshot, r.service, func(server *deployment.Server) bool {
		return decision.Allows(server.Software) && !r.tried[server.ID]
	})
}

// anyServer reports whether a server of a service that takes requests fulfils a condition.
func anyServer(snapshot *deployment.Snapshot, service string, condition func(*deployment.Server) bool) bool {
	for _, server := range snapshot.ServersOf(service) {
		if !server.Draining && condition(server) {
			return true
		}
	}
	return false
}

// alternativesTo returns a function that reports whether another server of the software
// version of an attempt's server takes requests. It is safe for concurrent use.
func (r *activeRequest) alternativesTo(server *deployment.Server) func() bool {
	if !r.req.resumable() || server == nil {
		return func() bool { return true }
	}
	return func() bool {
		return anyServer(r.relay.Source(), r.service, func(other *deployment.Server) bool {
			return other.ID != server.ID && other.Software == server.Software
		})
	}
}

// recordEvents records that the client gets events of the last attempt's server.
func (r *activeRequest) recordEvents() {
	if r.software != nil || !r.req.resumable() || r.server == nil {
		return
	}
	r.software = &r.server.Software
	origin := originOf(r.req)
	r.relay.Streams.RecordBegin(r.service, origin, r.server.Software, time.Now())
	if r.relay.OtherGateways == nil || origin == "" {
		return
	}
	// While all streams begin at one version, any gateway can tell.
	if assignment := r.req.Snapshot.Streams[r.service]; assignment == nil || !assignment.Uniform() {
		r.relay.OtherGateways.TellOrigin(r.service, origin, r.server.Software)
	}
}

// hasRestarted reports whether the server of the last attempt is listed as another process
// now, so that its software may have another version than the one it was chosen for.
func (r *activeRequest) hasRestarted() bool {
	if !r.req.resumable() || r.server == nil {
		return false
	}
	listed := r.relay.Source().Servers[r.server.ID]
	return listed != nil && !listed.SameProcess(r.server)
}

// recordDecision records a decision for the request's log line, and counts it if the request
// is for the rest of a stream and was not sent to a server before.
func (r *activeRequest) recordDecision(decision *streamversion.Decision) {
	if !r.req.resumable() {
		return
	}
	r.req.Log.Software = decision.Version
	if continues(r.req) && r.req.Log.Attempts == 0 {
		r.relay.meters.countTakeUp(r.service, decision.Refusal)
	}
}
