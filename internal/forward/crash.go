package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// quarantineParts returns the shared parts of a request's prompt, and the request itself.
func quarantineParts(service string, req *Request) []quarantine.Part {
	shared := req.Shared()
	parts := make([]quarantine.Part, 0, len(shared)+1)
	for _, part := range shared {
		parts = append(parts, quarantine.PartOf(service, part.ID))
	}
	return append(parts, quarantine.RequestOf(service, req.Method, req.URL.RequestURI(), req.WorkspaceName(), req.Body))
}

// partNames returns the parts as logs show them.
func (r *activeRequest) partNames() []string {
	names := make([]string, len(r.parts))
	for i, part := range r.parts {
		names[i] = part.String()
	}
	return names
}

// checkQuarantine returns the error of a request that is held back, or nil.
func (r *activeRequest) checkQuarantine(ctx context.Context, now time.Time) *verdict.Error {
	decision := r.relay.Quarantine.Check(r.parts, now)
	if decision.Probe && r.relay.ClaimProbe != nil && !r.relay.ClaimProbe(ctx, &decision) {
		decision.Held, decision.Probe = true, false
		decision.RetryAfter = r.relay.Quarantine.EndProbe(decision.Part, quarantine.ProbeClaimed, time.Now())
	}
	if decision.Probe {
		r.probe = decision.Part
	}
	if !decision.Held {
		return nil
	}
	logger.Info(fields{
		logging.FieldRequest: r.req.ID, logging.FieldQuarantined: decision.Part.String(), "retry_after_ms": decision.RetryAfter.Milliseconds(),
	}, "request held back")
	return verdict.New(verdict.NotRun, verdict.CodeQuarantined, "backend servers crash when they answer %s", decision.Part.Describe()).
		WithRetryAfter(decision.RetryAfter)
}

// endProbe ends the probe that the last attempt was, if any.
func (r *activeRequest) endProbe(now time.Time) {
	if r.probe != 0 {
		r.relay.Quarantine.EndProbe(r.probe, quarantine.ProbeUnsent, now)
		r.probe = 0
	}
}

// checkCrash checks whether the process of the last attempt's server has ended, and if so,
// records the crash. A connection that broke for another reason says nothing of the request.
// firstEvent is the time of the response's first event, zero if none came. It must be called
// before the attempt ends: a probe lasts until it is known what became of the server.
func (r *activeRequest) checkCrash(ctx context.Context, firstEvent time.Time) {
	now := time.Now()
	server := r.req.Snapshot.Servers[r.req.Log.Server]
	stage, possible := quarantine.StageAt(r.begun, firstEvent, now)
	if server == nil || ctx.Err() != nil || !possible {
		return
	}
	crash := quarantine.Crash{
		Server: processName(server), Sent: r.sent, Ended: now, Stage: stage, Parts: r.parts,
	}
	entry := fields{
		logging.FieldRequest: r.req.ID, "server": r.req.Log.Server, "incarnation": server.Incarnation, "address": server.Address,
		"sent_age_ms": now.Sub(r.sent).Milliseconds(), "stage": stage.String(), "request": r.parts[len(r.parts)-1].String(),
	}
	relay, probe := r.relay, r.probe
	r.probe = 0
	relay.ends.watch(server, func(ended bool) {
		relay.recordIfEnded(ended, &crash, entry)
		if probe != 0 && !ended {
			relay.Quarantine.EndProbe(probe, quarantine.ProbeBroke, time.Now())
		}
	})
}

// recordIfEnded records a crash if the server's process has ended. It logs entry with the
// outcome.
func (r *Relay) recordIfEnded(ended bool, crash *quarantine.Crash, entry fields) {
	if ended {
		r.Quarantine.RecordCrash(*crash, time.Now())
	}
	r.meters.countCrashCheck(ended)
	entry["ended"], entry["after_ms"] = ended, time.Since(crash.Ended).Milliseconds()
	logger.Info(entry, "connection broke; checked whether its server's process ended")
}

// processName names the process of a server.
func processName(server *deployment.Server) string {
	return fmt.Sprintf("%s@%d", server.ID, server.Incarnation)
}

// processEnded reports whether no process serves an address any more. Those who ask for the same
// process at the same time share one check.
func (r *Relay) processEnded(process, address string) bool {
	ended, _, _ := r.checks.Do(process, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		return r.ProcessEnded(ctx, address), nil
	})
	return ended == true
}
