// Package fleet tracks the state of the backend servers as seen by a gateway: its own
// requests in flight and those that other gateways report, failures, latencies, and
// the weights versions that responses report.
package fleet

import (
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/placement"
)

const (
	// smoothing is the weight of a new value in a moving average, which covers about the
	// last ten values.
	smoothing = 0.15
	// failureHalfLife is the time after which past failures count half, so that a server
	// that gets no requests because of them is tried again.
	failureHalfLife = 3 * time.Second
	// suspectTime is how long an unreachable server is suspect: two connection time-outs.
	suspectTime = time.Second
	// remoteTTL is how long a report of another gateway is valid.
	remoteTTL = time.Second
)

// Load is a gateway's share of a backend server's load.
type Load struct {
	Running       int
	PendingTokens int64
}

// serverState is the observed state of one incarnation of a server.
type serverState struct {
	incarnation  int64
	idHash       uint64
	own          Load
	remote       Load    // sum of the other gateways' shares that have not expired
	failures     float64 // moving average at failuresAt, 0 to 1
	failuresAt   time.Time
	latencyMs    float64
	pace         pace
	speed        float64 // relative to the median of the service's servers; 0: not known
	respondedAt  time.Time
	suspectUntil time.Time
	loadingUntil time.Time
	ordered      bool // this gateway ordered the load
	weights      map[string]observedVersion
}

// observedVersion is a weights version that the server itself reported.
type observedVersion struct {
	version    uint64
	observedAt time.Time
	remote     bool // reported by another gateway
}

// remoteLoad is another gateway's share of the load, as it reported it.
type remoteLoad struct {
	expires time.Time
	loads   map[string]Load
}

// Fleet tracks the backend servers. It is safe for concurrent use.
//
// What a placement costs must not grow with the number of gateways. The sum of their
// shares is therefore kept for each server, and changed when a report comes or expires.
type Fleet struct {
	mu      sync.Mutex
	servers map[string]*serverState // by id
	remotes map[string]remoteLoad   // by address of the gateway
	expiry  time.Time               // no report expires before; zero: there is none
	views   map[string]*serviceView // by name of the service
}

// serviceView lists a service's servers in a snapshot together with their states.
type serviceView struct {
	snapshot *deployment.Snapshot
	servers  []viewedServer
	speeds   *speeds
}

// viewedServer is a listed server with its state.
type viewedServer struct {
	listed *deployment.Server
	state  *serverState
}

// New returns a Fleet without servers.
func New() *Fleet {
	return &Fleet{
		servers: make(map[string]*serverState),
		remotes: make(map[string]remoteLoad),
		views:   make(map[string]*serviceView),
	}
}

// state returns the state of a server, which it creates if needed. The caller holds
// the lock.
func (f *Fleet) state(id string) *serverState {
	s := f.servers[id]
	if s == nil {
		s = newServerState(id)
		f.servers[id] = s
	}
	return s
}

func newServerState(id string) *serverState {
	return &serverState{idHash: placement.HashID(id), weights: make(map[string]observedVersion)}
}

// Prune removes the servers that are no longer listed and have no requests in flight,
// and resets those with a new incarnation.
func (f *Fleet) Prune(snapshot *deployment.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.servers {
		listed := snapshot.Servers[id]
		switch {
		case listed == nil && s.own.Running == 0 && s.remote == (Load{}):
			delete(f.servers, id)
		case listed != nil && listed.Incarnation != s.incarnation:
			reset := newServerState(id)
			reset.incarnation, reset.own, reset.remote = listed.Incarnation, s.own, s.remote
			f.servers[id] = reset
		}
	}
	for name, v := range f.views {
		v.snapshot = nil // built again from the new one
		if snapshot.ServersOf(name) == nil {
			delete(f.views, name)
		}
	}
}

// Attempt is a request in flight at a server.
type Attempt struct {
	fleet   *Fleet
	id      string
	pending int64 // tokens still to be prefilled
	started time.Time
	done    bool
}

// Begin records that a request is sent to a server, which has to prefill pending
// tokens for it.
func (f *Fleet) Begin(id string, pending int64, now time.Time) *Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(id)
	s.own.Running++
	s.own.PendingTokens += pending
	return &Attempt{fleet: f, id: id, pending: pending, started: now}
}

// PrefillDone records that the server has prefilled the prompt.
func (a *Attempt) PrefillDone() {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.endPrefill(a.fleet.state(a.id))
}

// endPrefill removes the attempt's pending tokens from the server's load.
func (a *Attempt) endPrefill(s *serverState) {
	s.own.PendingTokens -= a.pending
	a.pending = 0
}

// Outcome is the way in which an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded   Outcome = iota
	Failed              // the server failed, or its response was cut off
	Unreachable         // the server could not be reached or did not respond
	Refused             // the server refused the request, or was not at fault
)

// End records the outcome. Calls after the first have no effect.
func (a *Attempt) End(outcome Outcome, now time.Time) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	s := a.fleet.state(a.id)
	a.endPrefill(s)
	s.own.Running--
	switch outcome {
	case Succeeded:
		s.addOutcome(0, now)
		s.addLatency(now.Sub(a.started))
	case Failed:
		s.addOutcome(1, now)
	case Unreachable:
		s.addOutcome(1, now)
		s.suspectUntil = now.Add(suspectTime)
	case Refused:
	}
}

// addOutcome adds an outcome, 1 for a failure and 0 for none, to the moving average.
func (s *serverState) addOutcome(failure float64, now time.Time) {
	s.failures = s.failureRate(now)*(1-smoothing) + failure*smoothing
	s.failuresAt = now
}

// failureRate returns the moving average of failures, reduced by the time since the last
// outcome: to a half after one failureHalfLife, and to a fifth after two.
func (s *serverState) failureRate(now time.Time) float64 {
	age := now.Sub(s.failuresAt)
	if s.failures == 0 || age <= 0 {
		return s.failures
	}
	halfLives := float64(age) / float64(failureHalfLife)
	return s.failures / (1 + halfLives*halfLives)
}

// addLatency adds a latency to the moving average.
func (s *serverState) addLatency(d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	if s.latencyMs == 0 {
		s.latencyMs = ms
		return
	}
	s.latencyMs += (ms - s.latencyMs) * smoothing
}

// RecordResponse records that a server has begun a response to this gateway.
func (f *Fleet) RecordResponse(id string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state(id).respondedAt = now
}

// RespondedSince reports whether a server has begun a response to this gateway after the
// given time.
func (f *Fleet) RespondedSince(id string, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state(id).respondedAt.After(since)
}

// RecordWeights records the weights version that a server reported. Version 0 is ignored.
func (f *Fleet) RecordWeights(id, model string, version uint64, now time.Time) {
	if version == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state(id).weights[model] = observedVersion{version: version, observedAt: now}
}

// ForgetWeights discards the version that a server reported, after it refused a request
// that expected this version.
func (f *Fleet) ForgetWeights(id, model string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.state(id).weights, model)
}

// SetLoading records that a server loads weights, or is quiesced for that, until the
// given time; a time in the past ends it. It is reported to other gateways.
func (f *Fleet) SetLoading(id string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(id)
	s.loadingUntil, s.ordered = until, true
}

// MarkSuspect makes a server that refused a request suspect until the given time, so that
// others are preferred. It has no effect on placement if most servers are suspect, as
// the refusals then do not depend on the server.
func (f *Fleet) MarkSuspect(id string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.state(id); s.suspectUntil.Before(until) {
		s.suspectUntil = until
	}
}

// Running returns the number of requests in flight at a server, from all gateways.
func (f *Fleet) Running(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireRemotes(time.Now())
	return f.state(id).load().Running
}

// OwnLoad returns this gateway's share of the load, by server id.
func (f *Fleet) OwnLoad() map[string]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := make(map[string]Load, len(f.servers))
	for id, s := range f.servers {
		if s.own != (Load{}) {
			loads[id] = s.own
		}
	}
	return loads
}

// SetRemoteLoad records another gateway's share of the load, by server id.
func (f *Fleet) SetRemoteLoad(gateway string, loads map[string]Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addRemote(f.remotes[gateway].loads, -1)
	f.addRemote(loads, 1)
	f.remotes[gateway] = remoteLoad{expires: now.Add(remoteTTL), loads: loads}
	if f.expiry.IsZero() {
		f.expiry = now.Add(remoteTTL)
	}
}

// addRemote adds a gateway's loads, multiplied by sign, to the sums of the servers. The
// caller holds the lock.
func (f *Fleet) addRemote(loads map[string]Load, sign int) {
	for id, load := range loads {
		s := f.state(id)
		s.remote.Running += sign * load.Running
		s.remote.PendingTokens += int64(sign) * load.PendingTokens
	}
}

// expireRemotes removes the reports that are no longer valid. The caller holds the lock.
func (f *Fleet) expireRemotes(now time.Time) {
	if f.expiry.IsZero() || now.Before(f.expiry) {
		return
	}
	f.expiry = time.Time{}
	for gateway, r := range f.remotes {
		if !now.Before(r.expires) {
			f.addRemote(r.loads, -1)
			delete(f.remotes, gateway)
			continue
		}
		if f.expiry.IsZero() || r.expires.Before(f.expiry) {
			f.expiry = r.expires
		}
	}
}

// load returns the load of a server from all gateways.
func (s *serverState) load() Load {
	return Load{
		Running:       s.own.Running + s.remote.Running,
		PendingTokens: s.own.PendingTokens + s.remote.PendingTokens,
	}
}

// Observation is a change of a server that a gateway has seen before the list of servers
// shows it. With a model, it is the weights version of the server; without one, whether
// the server loads weights.
type Observation struct {
	Server      string
	Incarnation int64
	Model       string
	Weights     uint64        // version of the model's weights; 0 without a model
	Loading     time.Duration // remaining time for which it refuses requests; 0: it no longer loads
}

// Observations returns the state to report to other gateways: the weights versions that
// servers reported recently, and which of them load weights or have just finished.
func (f *Fleet) Observations(now time.Time) []Observation {
	f.mu.Lock()
	defer f.mu.Unlock()
	var observations []Observation
	for id, s := range f.servers {
		loading := max(0, s.loadingUntil.Sub(now))
		if s.ordered && now.Sub(s.loadingUntil) < remoteTTL {
			observations = append(observations, Observation{Server: id, Incarnation: s.incarnation, Loading: loading})
		}
		for model, observed := range s.weights {
			if now.Sub(observed.observedAt) < remoteTTL && !observed.remote {
				observations = append(observations, Observation{Server: id, Incarnation: s.incarnation, Model: model, Weights: observed.version})
			}
		}
	}
	return observations
}

// MergeObservation merges a report of another gateway. It ignores those of other
// incarnations.
func (f *Fleet) MergeObservation(observation Observation, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[observation.Server]
	if s == nil || s.incarnation != observation.Incarnation {
		return
	}
	if observation.Model == "" {
		s.loadingUntil = now.Add(min(observation.Loading, remoteTTL)) // reported repeatedly while it lasts
		return
	}
	if observation.Weights >= s.weights[observation.Model].version {
		s.weights[observation.Model] = observedVersion{version: observation.Weights, observedAt: now, remote: true}
	}
}

// View returns the state of a service's servers for the placement of a request.
func (f *Fleet) View(snapshot *deployment.Snapshot, service, model string, now time.Time) []placement.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireRemotes(now)
	viewed := f.viewOf(snapshot, service)
	viewed.speeds.update(viewed.servers, now)
	view := make([]placement.Server, len(viewed.servers))
	for i := range viewed.servers {
		viewed.servers[i].fill(&view[i], model, now)
		if viewed.speeds.uneven {
			view[i].Speed = viewed.servers[i].state.speed
		}
	}
	return view
}

// viewOf returns the servers of a service with their states. The caller holds the lock.
func (f *Fleet) viewOf(snapshot *deployment.Snapshot, service string) *serviceView {
	v := f.views[service]
	if v == nil || v.snapshot != snapshot {
		previous := v
		v = &serviceView{snapshot: snapshot, speeds: &speeds{}}
		if previous != nil {
			v.speeds = previous.speeds
		}
		for _, server := range snapshot.ServersOf(service) {
			v.servers = append(v.servers, viewedServer{listed: server, state: f.listedState(server)})
		}
		f.views[service] = v
	}
	return v
}

// listedState returns the state of a listed server. The caller holds the lock.
func (f *Fleet) listedState(server *deployment.Server) *serverState {
	s := f.state(server.ID)
	if s.incarnation == 0 {
		s.incarnation = server.Incarnation
	}
	return s
}

// ViewOf returns the state of a server for the placement of a request for the model.
func (f *Fleet) ViewOf(server *deployment.Server, model string, now time.Time) placement.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireRemotes(now)
	viewed := viewedServer{listed: server, state: f.listedState(server)}
	var view placement.Server
	viewed.fill(&view, model, now)
	return view
}

// fill sets view to the listed and observed state. The caller holds the lock of the fleet.
func (v *viewedServer) fill(view *placement.Server, model string, now time.Time) {
	server, s := v.listed, v.state
	load := s.load()
	*view = placement.Server{
		ID:            server.ID,
		IDHash:        s.idHash,
		Address:       server.Address,
		Zone:          server.AvailabilityZone,
		Software:      server.Software,
		Slots:         server.Slots,
		Draining:      server.Draining,
		Cold:          now.Before(server.ColdUntil),
		Loading:       now.Before(s.loadingUntil),
		Suspect:       now.Before(s.suspectUntil),
		Weights:       s.weightsOf(server, model),
		Running:       load.Running,
		PendingTokens: load.PendingTokens,
		FailureRate:   s.failureRate(now),
		LatencyMs:     s.latencyMs,
	}
}

// weightsOf returns the newer of the observed and the listed version. Versions only
// increase within an incarnation, and the list is stale during an outage of the store.
func (s *serverState) weightsOf(server *deployment.Server, model string) uint64 {
	return max(s.weights[model].version, server.WeightsOf(model))
}
