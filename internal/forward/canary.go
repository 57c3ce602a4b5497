package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/canary"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/placement"
	"github.com/wasabigate/wasabigate/internal/streamversion"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// rolloutChoice is what the rollout of the service's software decided for an attempt.
type rolloutChoice struct {
	choice   canary.Choice
	credited bool // a send to the new version was taken from the gateway's credit
	attempt  *canary.Attempt
	outcome  *canary.Outcome // of the attempt; nil: that of the fleet tells
}

func (r *Relay) staleness() time.Duration {
	if r.Staleness == nil {
		return 0
	}
	return r.Staleness()
}

// restrictVersions restricts a query to the servers at which the attempt may be made.
func (r *activeRequest) restrictVersions(query *placement.Query, decision *streamversion.Decision, now time.Time) {
	r.rollout = rolloutChoice{}
	if !decision.Any {
		query.Software = &decision.Version
	}
	if r.relay.Canary == nil {
		return
	}
	if !decision.Any {
		if choice, ok := r.relay.Canary.Concentrate(r.service, decision.Version); ok {
			r.rollout.choice, query.Usable = choice, choice.Allows
		}
		return
	}
	choice, side := r.relay.Canary.Choose(r.service, r.req.Route.Name, r.relay.staleness(), now)
	r.rollout.choice, r.rollout.credited = choice, side == canary.New
	if !choice.Any {
		query.Usable = r.rollout.choice.Allows
	}
}

// widenVersions lets an attempt for which no server was found use others: a stream all servers
// of its version, another request those of the old versions.
func (r *activeRequest) widenVersions(query *placement.Query) bool {
	if r.relay.Canary == nil || query.Usable == nil {
		return false
	}
	if query.Software != nil {
		query.Usable = nil
		return true
	}
	if !r.rollout.credited {
		return false
	}
	r.rollout.credited = false
	choice, ok := r.relay.Canary.Withdraw(r.service, r.req.Route.Name)
	r.rollout.choice = choice
	query.Usable = r.rollout.choice.Allows
	return ok
}

// withdrawCredit gives back the credit of an attempt that is not made.
func (r *activeRequest) withdrawCredit() {
	if r.rollout.credited {
		r.rollout.credited = false
		_, _ = r.relay.Canary.Withdraw(r.service, r.req.Route.Name)
	}
}

// beginRollout records that the attempt is made, or returns an error if it may not be any more.
func (r *activeRequest) beginRollout(choice *placement.Choice, now time.Time) *verdict.Error {
	if r.relay.Canary == nil {
		return nil
	}
	software := choice.Server.Software
	expected := time.Duration(0)
	if service := r.req.Snapshot.Config.Service(r.service); service != nil && service.Engine != nil {
		expected = time.Duration(choice.WaitMs * float64(time.Millisecond))
	}
	attempt, ok := r.relay.Canary.Begin(r.service, r.req.Route.Name, software, choice.Server.ID, expected, r.relay.staleness(), now)
	if !ok {
		r.withdrawCredit()
		r.relay.meters.countRollout(r.service, "withdrawn")
		return verdict.New(verdict.NotRun, verdict.CodeBackendFailed, "the software version %q of %s gets no requests any more", software, r.service)
	}
	if !r.rollout.credited {
		r.relay.Canary.Spend(r.service, r.req.Route.Name, software)
	}
	r.rollout.attempt = attempt
	r.relay.meters.countRollout(r.service, r.rollout.choice.Reason)
	return nil
}

// setRolloutOutcome sets what the attempt's end tells of its server's software version, unless
// the outcome for the fleet tells as much.
func (r *activeRequest) setRolloutOutcome(outcome canary.Outcome) { r.rollout.outcome = &outcome }

// brokenOutcome classifies an attempt whose response broke off with an error.
func brokenOutcome(ctx context.Context, err error) canary.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return canary.Failed
	case ctx.Err() != nil:
		return canary.Uncounted
	case errors.Is(err, context.Canceled):
		return canary.Failed // the watchdog ended it, as the server was silent
	default:
		return canary.Broken
	}
}

// endRollout records the outcome of the attempt for the rollout of its server's software.
func (r *activeRequest) endRollout(outcome fleet.Outcome, now time.Time) {
	attempt, result := r.rollout.attempt, canary.Uncounted
	switch {
	case attempt == nil:
		return
	case r.rollout.outcome != nil:
		result = *r.rollout.outcome
	case outcome == fleet.Succeeded:
		result = canary.Succeeded
	case outcome == fleet.Failed:
		result = canary.Failed
	}
	attempt.End(result, now)
	if result == canary.Broken && attempt.Counted() && r.server != nil {
		go func(key, address string) { attempt.Resolve(r.relay.processEnded(key, address)) }(processName(r.server), r.server.Address)
	}
}
