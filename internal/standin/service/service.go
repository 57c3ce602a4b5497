// Package service is a stand-in for a plain service, for tests and demos: a desk
// server that prints badges and looks up attendees, or a job-record server
// that stores certificates and looks up past jobs. It records the calls it
// received and executed, and injects faults.
package service

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/standin/outage"
)

// otherRequestID is the request ID in a reply that CrossIDs affects.
const otherRequestID = "crossed-request"

// Faults are the faults to inject. A number is the count of next calls that the
// fault affects. The zero value injects none.
type Faults struct {
	Down        bool
	CrashBefore int           // crash before the effect
	CrashAfter  int           // crash after the effect
	DownTime    time.Duration // time until the restart after a crash
	CutAfter    int           // break the connection after the effect
	CrossIDs    int           // reply with another request's ID
	Delay       time.Duration // wait between the effect and the reply
	Leaving     bool          // replies say that the service leaves
	Refuse      bool          // calls are refused without an effect
	RetryAfter  string        // seconds that refusals name; empty: none
}

// Service implements engine.Service in process.
type Service struct {
	name   string
	power  outage.Switch
	record record

	mu      sync.Mutex
	faults  Faults
	restart *time.Timer
}

// New returns a running Service. Close stops it.
func New(name string) *Service {
	return &Service{name: name}
}

// Close stops the service permanently.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.power.Crash()
	s.cancelRestart()
}

func (s *Service) cancelRestart() {
	if s.restart != nil {
		s.restart.Stop()
		s.restart = nil
	}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.cancelRestart()
	if faults.Down {
		s.power.Crash()
		return
	}
	s.power.Start()
}

// crash breaks all connections and restarts after DownTime. The records are
// kept.
func (s *Service) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.power.Crash()
	s.cancelRestart()
	s.restart = time.AfterFunc(s.faults.DownTime, s.power.Start)
}

// takeFaults returns the faults of the next call and decrements their counts.
func (s *Service) takeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := Faults{Delay: s.faults.Delay, Leaving: s.faults.Leaving, Refuse: s.faults.Refuse, RetryAfter: s.faults.RetryAfter}
	for _, count := range []struct{ left, taken *int }{
		{&s.faults.CrashBefore, &taken.CrashBefore},
		{&s.faults.CrashAfter, &taken.CrashAfter},
		{&s.faults.CutAfter, &taken.CutAfter},
		{&s.faults.CrossIDs, &taken.CrossIDs},
	} {
		if *count.left > 0 {
			*count.left--
			*count.taken = 1
		}
	}
	return taken
}

// Call implements engine.Service.
func (s *Service) Call(ctx context.Context, call engine.CallRequest) (engine.CallReply, error) {
	crashed := s.power.Crashed()
	if crashed == nil {
		return engine.CallReply{}, errors.Wrap(engine.ErrUnreachable, "service is down")
	}
	faults := s.takeFaults()
	s.record.addCall(call)
	if faults.CrashBefore > 0 {
		s.crash()
		return engine.CallReply{}, errors.Wrap(engine.ErrBroken, "crashed before the effect")
	}
	if faults.Refuse {
		return refusal(call, faults), nil
	}
	reply := s.execute(call)
	if faults.Leaving {
		reply.Header.Set(engine.HeaderLeaving, "1")
	}
	if faults.CrashAfter > 0 {
		s.crash()
	}
	if faults.CutAfter > 0 {
		return engine.CallReply{}, errors.Wrap(engine.ErrBroken, "cut after the effect")
	}
	if faults.CrossIDs > 0 {
		reply.RequestID = otherRequestID
		reply.Header.Set(engine.HeaderRequestID, otherRequestID)
	}
	return reply, await(ctx, crashed, faults.Delay)
}

// refusal returns the reply to a call that has no effect.
func refusal(call engine.CallRequest, faults Faults) engine.CallReply {
	refused := reply(call, http.StatusServiceUnavailable, errorReply{Error: "takes no calls"})
	if faults.RetryAfter != "" {
		refused.Header.Set("Retry-After", faults.RetryAfter)
	}
	if faults.Leaving {
		refused.Header.Set(engine.HeaderLeaving, "1")
	}
	return refused
}

// await waits for d and returns an error if the connection breaks before.
func await(ctx context.Context, crashed <-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-crashed:
		return errors.Wrap(engine.ErrBroken, "crashed after the effect")
	default:
	}
	select {
	case <-timer.C:
		return nil
	case <-crashed:
		return errors.Wrap(engine.ErrBroken, "crashed after the effect")
	case <-ctx.Done():
		return errors.Wrap(engine.ErrBroken, ctx.Err().Error())
	}
}

var _ engine.Service = (*Service)(nil)
