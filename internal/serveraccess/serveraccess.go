// Package serveraccess decides whether a gateway may send something to a backend server. It is
// the one place that knows all of it: what the store lists, what servers and other gateways say,
// failures, limits, and the times for which servers want nothing. Every sender asks it
// when it sends, not before a wait.
package serveraccess

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/placement"
	"github.com/wasabigate/wasabigate/internal/serverbackoff"
	"github.com/wasabigate/wasabigate/internal/serverlimit"
)

var logger = logging.For("serveraccess")

type fields = logging.Fields

// Reason says why a server may not be sent to.
type Reason string

// The reasons. An empty one allows it.
const (
	Allowed Reason = ""
	Gone    Reason = "gone"          // not listed, or another process is
	Leaving Reason = "leaving"       // by the store, its own answers or another gateway
	Paused  Reason = "wants nothing" // it named a time in a refusal
	Limited Reason = "limited"       // it named a limit, which is used up
)

// Decision is whether a server may be sent to.
type Decision struct {
	Reason Reason
	Until  time.Time // when that may change; zero: unknown
}

// Options are what decisions depend on.
type Options struct {
	Source   func() *deployment.Snapshot
	Fleet    *fleet.Fleet
	Limits   *serverlimit.Limits
	Backoffs *serverbackoff.Backoffs
	// OnLeaving is called if a server says that it leaves. It must not block; nil: nothing is.
	OnLeaving func(server *deployment.Server, requestID string)
}

// Access decides whether servers may be sent to. It is safe for concurrent use.
type Access struct{ Options }

// New returns an Access.
func New(options Options) *Access { return &Access{options} }

func keyOf(server *deployment.Server) serverbackoff.Key {
	return serverbackoff.Key{ID: server.ID, Incarnation: server.Incarnation}
}

// View returns the servers of a service for the placement of a request, and the shortest time
// until one that wants nothing now, or has no room in its limit, may get a request; 0: there
// is none.
func (a *Access) View(snapshot *deployment.Snapshot, service, model string, now time.Time) ([]placement.Server, time.Duration) {
	view := a.Fleet.View(snapshot, service, model, now)
	shortest := time.Duration(0)
	shorten := func(wait time.Duration) {
		if wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	for i := range view {
		s := &view[i]
		if s.Draining {
			continue
		}
		if state := a.Backoffs.Check(keyOf(snapshot.Servers[s.ID]), now); state != (serverbackoff.State{}) {
			s.Paused, s.Refusing = state.Blocked, state.Avoided
			if state.Blocked {
				shorten(state.Until.Sub(now))
			}
		}
		if wait := a.Limits.Wait(s.ID, now); wait > 0 {
			s.Limited = true
			shorten(wait)
		}
	}
	return view, shortest
}

// Check decides whether a call other than a request, such as an order or the fetch of
// cached parts, may be sent to a server now.
func (a *Access) Check(server *deployment.Server, now time.Time) Decision {
	listed := a.Source().Servers[server.ID]
	switch {
	case listed == nil || !listed.SameProcess(server):
		return Decision{Reason: Gone}
	case listed.Draining:
		return Decision{Reason: Leaving}
	}
	if state := a.Backoffs.Check(keyOf(server), now); state.Blocked {
		return Decision{Reason: Paused, Until: state.Until}
	}
	return Decision{}
}

// Begin takes a request to a server that View has allowed, and decides whether it may be sent
// now. The trial is to be ended when the server has answered.
func (a *Access) Begin(server *deployment.Server, now time.Time) (*serverbackoff.Trial, Decision) {
	if decision := a.Check(server, now); decision.Reason != Allowed {
		return nil, decision
	}
	trial, ok := a.Backoffs.Begin(keyOf(server), now)
	if !ok {
		return nil, Decision{Reason: Paused, Until: a.Backoffs.Check(keyOf(server), now).Until}
	}
	if !a.Limits.Take(server.ID, now) {
		trial.End()
		return nil, Decision{Reason: Limited, Until: now.Add(a.Limits.Wait(server.ID, now))}
	}
	return trial, Decision{}
}

// Observe records what the head of a response says of its server, whatever becomes of the
// response. sent is when its request was.
func (a *Access) Observe(server *deployment.Server, requestID string, head *backend.Description, sent, now time.Time) {
	if head.ServerID != "" && head.ServerID != server.ID {
		return // of another process at the address
	}
	if head.Leaving && a.OnLeaving != nil {
		a.OnLeaving(server, requestID)
	}
	switch {
	case head.Limit.Named:
		a.Limits.RecordNamed(server.ID, server.Incarnation, head.Limit.PerSecond, now)
	case head.Signed:
		a.Limits.RecordUnnamed(server.ID, server.Incarnation, now)
	}
	switch {
	case head.Refused:
		a.observeRefusal(server, requestID, head.Asked, now)
	case head.Signed:
		a.Backoffs.RecordAccepted(keyOf(server), sent)
	}
}

func (a *Access) observeRefusal(server *deployment.Server, requestID string, asked serverbackoff.Asked, now time.Time) {
	until, extended := a.Backoffs.RecordRefusal(keyOf(server), asked, now)
	switch {
	case asked.Malformed:
		logger.Warn(fields{"server": server.ID, "said_in": requestID, "wait_ms": asked.Wait.Milliseconds()}, "backend server names a malformed time")
	case extended:
		logger.Info(fields{
			"server": server.ID, "incarnation": server.Incarnation, "said_in": requestID,
			logging.FieldWaitUntil: until.UTC().Format(time.RFC3339Nano),
		}, "backend server wants nothing")
	}
}
