package canary

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/lease"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
)

var logger = logging.For("canary")

type fields = logging.Fields

const (
	// stepInterval is the time between two steps of the owner.
	stepInterval = 50 * time.Millisecond
	// maxLease is the longest lease. An order lasts about 12 s, of which the loss of an owner
	// may take a small part.
	maxLease = 1500 * time.Millisecond
	// renewalsPerLease and marginDivisor divide the lease into renewals and the margin at its end.
	renewalsPerLease = 4
	marginDivisor    = 6
	// acquireDelay bounds the random delay before an attempt to acquire the lease.
	acquireDelay = 200 * time.Millisecond
	// writeTimeout bounds a write of the state or the status.
	writeTimeout = time.Second
	// echoTime is how long a written state may take to come back through the follower before it
	// is taken for lost.
	echoTime = 2 * time.Second
	// retryDelay is the time after a failed write until the next one.
	retryDelay = 200 * time.Millisecond
	// restoreDelay bounds the random delay before a gateway that is not the owner writes a
	// terminal state again that a restored store has lost.
	restoreDelay = 600 * time.Millisecond
)

// Entry is what a gateway knows of a service's rollout.
type Entry struct {
	Service    string
	Configured bool // the service is in the configuration
	Order      *Order
	State      *State
	Revision   platform.Version // of the state's entry in the store; 0: there is none
	Lost       bool             // the store has an older state, or none
}

// Status encodes what operators are told of a state, and the key to write it to.
type Status func(service string, state *State) (key string, value []byte, err error)

// OwnerOptions configure an Owner.
type OwnerOptions struct {
	Self      string
	Lease     time.Duration
	KV        platform.LeaseKV
	Prefix    string // of the states' keys; the name of the service follows
	LeaseKey  string
	Tracker   *Tracker
	Status    Status
	Entries   func() []Entry
	Holder    func() string   // value of the lease key as last seen; empty: none
	Gateways  func() []string // the other gateways that the store lists
	Staleness func() time.Duration
}

// Owner advances the rollouts while this gateway holds the lease. Each write compares the
// entry's revision, so that two owners at once do no harm.
type Owner struct {
	opts        OwnerOptions
	candidate   *lease.Candidate
	term        *lease.Term
	nextAcquire time.Time
	nextRenewal time.Time
	services    map[string]*ownedService
	meters      meters
}

// ownedService is what this process wrote of a service.
type ownedService struct {
	written   *State
	writtenAt time.Time
	status    statusKey // written last
	lostSince time.Time // when the store's loss of the state was seen
	delay     time.Duration
	notBefore time.Time // of the next write, after a failed one
	unknown   Order     // logged
}

// statusKey identifies a status in one era of the store.
type statusKey struct {
	serial uint64
	phase  Phase
	era    platform.Era
	known  bool
}

// NewOwner returns an Owner, to be started by Run.
func NewOwner(opts OwnerOptions) *Owner {
	ttl := min(opts.Lease, maxLease)
	duration := lease.Duration{TTL: ttl, Margin: ttl / marginDivisor}
	return &Owner{
		opts: opts, candidate: lease.NewCandidate(opts.KV, opts.LeaseKey, opts.Self, duration),
		services: make(map[string]*ownedService), meters: newMeters(),
	}
}

// Run advances the rollouts until ctx ends, and then releases the lease.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			o.release(context.WithoutCancel(ctx), "stop")
			return
		case <-ticker.C:
			o.step(ctx, time.Now())
		}
	}
}

// Analyze looks at the evidence until ctx ends, also while this gateway does not hold the lease. It is
// apart from Run, whose calls to the store may take long, and which ends before a stopping gateway has
// completed its requests.
func (o *Owner) Analyze(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for service, finding := range o.opts.Tracker.Step(time.Now()) {
			o.meters.countFinding(service)
			logger.Warn(fields{"service": service, "reason": finding.Reason, "staleness_ms": o.opts.Staleness().Milliseconds()}, "software version found bad")
		}
	}
}

// step writes what is due.
func (o *Owner) step(ctx context.Context, now time.Time) {
	entries := o.opts.Entries()
	owns := len(entries) > 0 && o.holdsLease(ctx, now)
	for i := range entries {
		e := &entries[i]
		s := o.services[e.Service]
		if s == nil {
			s = &ownedService{}
			o.services[e.Service] = s
		}
		o.restore(ctx, e, s, owns, now)
		if owns {
			o.advance(ctx, e, s, now)
		}
	}
}

// restore writes a state again that a restored store has lost. Every gateway does so with a
// terminal one, since the owner may not know it.
func (o *Owner) restore(ctx context.Context, e *Entry, s *ownedService, owns bool, now time.Time) {
	if !e.Lost || e.State == nil {
		s.lostSince = time.Time{}
		return
	}
	if s.lostSince.IsZero() {
		s.lostSince, s.delay = now, rand.N(restoreDelay)
	}
	if now.Before(s.notBefore) || !owns && (!e.State.Phase.Terminal() || now.Sub(s.lostSince) < s.delay) {
		return
	}
	s.lostSince = now
	if o.write(ctx, e, s, e.State, "rollout restored") && e.State.Phase.Terminal() {
		o.writeStatus(ctx, e.Service, e.State, s) // the owner's lease may have been lost with the state
	}
}

// advance writes the next state of a service, and its status.
func (o *Owner) advance(ctx context.Context, e *Entry, s *ownedService, now time.Time) {
	if e.Order != nil && !e.Configured {
		if s.unknown != *e.Order {
			s.unknown = *e.Order
			o.meters.invalid.Add(ctx, 1)
			logger.Warn(fields{"service": e.Service, "to": e.Order.To}, "rollout order for an unknown service; ignored")
		}
		return
	}
	if now.Before(s.notBefore) {
		return
	}
	state := e.State
	if s.written != nil && s.written.Supersedes(state) {
		if now.Sub(s.writtenAt) < echoTime {
			if o.term.Valid() {
				o.writeStatus(ctx, e.Service, s.written, s)
			}
			return // the follower has not seen it yet
		}
		s.written = nil
	}
	if o.term.Valid() {
		o.writeStatus(ctx, e.Service, state, s)
	}
	in, ok := o.opts.Tracker.Input(e.Service, o.opts.Gateways(), o.opts.Staleness(), now)
	if !ok || e.Lost || !sameView(in, e) {
		return
	}
	if next := Next(in); next != nil && o.term.Valid() {
		if o.write(ctx, e, s, next, "rollout advanced") {
			s.written, s.writtenAt = next, time.Now()
			if o.term.Valid() {
				o.writeStatus(ctx, e.Service, next, s)
			}
		}
	}
}

// sameView reports whether the tracker has the order and the state of an entry.
func sameView(in *Input, e *Entry) bool {
	return in.State == e.State && (in.Order == e.Order || in.Order != nil && e.Order != nil && *in.Order == *e.Order)
}

// write writes a state. If the response is lost, the follower shows whether it was written.
func (o *Owner) write(ctx context.Context, e *Entry, s *ownedService, state *State, message string) bool {
	text, err := state.Encode()
	if err != nil {
		logger.Error(fields{"service": e.Service, "error": err.Error()}, "state of a rollout not encoded")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	entry := fields{
		"service": e.Service, "serial": state.Serial, "epoch": state.Epoch, "to": state.Order.To, "phase": state.Phase.String(),
		"exposure": state.Exposure, "elapsed_ms": state.Elapsed.Milliseconds(), "old": state.Old, "barred": state.Barred, "reason": state.Reason,
	}
	if _, err := o.opts.KV.CompareAndSwap(ctx, o.opts.Prefix+e.Service, text, e.Revision, 0); err != nil {
		s.notBefore = time.Now().Add(retryDelay)
		entry["error"] = err.Error()
		logger.Warn(entry, "state of a rollout not written")
		return false
	}
	if s.written == nil || s.written.Phase != state.Phase {
		o.meters.countPhase(e.Service, state.Phase)
	}
	logger.Info(entry, message)
	return true
}

// writeStatus tells operators how far an order is, if it is not known that they have been told.
func (o *Owner) writeStatus(ctx context.Context, service string, state *State, s *ownedService) {
	if state == nil || state.Phase == None {
		return
	}
	key := statusKey{serial: state.Serial, phase: state.Phase, era: o.opts.KV.Era(), known: true}
	if !key.phase.Terminal() {
		key.phase = Observe // one status for all running phases
	}
	if s.status == key {
		return
	}
	name, value, err := o.opts.Status(service, state)
	if err != nil {
		logger.Error(fields{"service": service, "error": err.Error()}, "status of a rollout not encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	current, err := o.opts.KV.Get(ctx, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		s.notBefore = time.Now().Add(retryDelay)
		return
	}
	if err != nil {
		current = platform.Entry{}
	}
	if !bytes.Equal(current.Value, value) {
		if _, err := o.opts.KV.CompareAndSwap(ctx, name, value, current.Version, 0); err != nil {
			s.notBefore = time.Now().Add(retryDelay)
			logger.Warn(fields{"service": service, "error": err.Error()}, "status of a rollout not written")
			return
		}
		logger.Info(fields{"service": service, "to": state.Order.To, "phase": state.Phase.String()}, "status of a rollout written")
	}
	s.status = key
}

// holdsLease reports whether this gateway advances the rollouts. It acquires and renews the
// lease as needed.
func (o *Owner) holdsLease(ctx context.Context, now time.Time) bool {
	if o.term == nil {
		return o.acquire(ctx, now)
	}
	if !o.term.Valid() {
		o.release(ctx, "lease expired")
		return false
	}
	if now.Before(o.nextRenewal) {
		return true
	}
	o.nextRenewal = now.Add(min(o.opts.Lease, maxLease) / renewalsPerLease)
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := o.term.Renew(ctx); errors.Is(err, platform.ErrNotFound) {
		o.release(ctx, "lease lost")
		return false
	}
	return o.term.Valid()
}

// acquire tries to acquire the lease unless another gateway is known to hold it.
func (o *Owner) acquire(ctx context.Context, now time.Time) bool {
	if holder := o.opts.Holder(); holder != "" && !strings.HasPrefix(holder, o.opts.Self+" ") {
		o.nextAcquire = time.Time{}
		return false
	}
	if o.nextAcquire.IsZero() {
		o.nextAcquire = now.Add(rand.N(acquireDelay))
	}
	if now.Before(o.nextAcquire) {
		return false
	}
	o.nextAcquire = now.Add(acquireDelay + rand.N(acquireDelay))
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	term, err := o.candidate.Acquire(ctx)
	if err != nil {
		if !errors.Is(err, lease.ErrRestored) { // logged once by lease
			logger.Debug(fields{"error": err.Error()}, "lease of the rollouts not acquired")
		}
		return false
	}
	o.term, o.nextRenewal = term, now.Add(min(o.opts.Lease, maxLease)/renewalsPerLease)
	clear(o.services) // another owner may have written since
	logger.Info(fields{"fence": uint64(term.Fence())}, "lease of the rollouts acquired")
	return true
}

// release gives up the lease.
func (o *Owner) release(ctx context.Context, reason string) {
	if o.term == nil {
		return
	}
	logger.Info(fields{"fence": uint64(o.term.Fence()), "reason": reason}, "lease of the rollouts given up")
	ended := o.term
	o.term = nil
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	ended.Release(ctx)
}
