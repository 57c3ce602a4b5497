// Package fleet keeps what a gateway sees of the backend servers: its own
// requests in flight, those that other gateways tell of, failures, latencies and
// the weights that answers show.
package fleet

import (
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/placement"
)

const (
	// smoothing is the weight of one more outcome in a running average: about the
	// last ten count.
	smoothing = 0.15
	// failureHalfLife is the time after which a past failure counts half, so that a
	// server that got no requests is tried again.
	failureHalfLife = 3 * time.Second
	// suspectTime is how long a server that could not be reached is passed over: two
	// connection time-outs.
	suspectTime = time.Second
	// remoteLife is how long the numbers of another gateway are used.
	remoteLife = time.Second
)

// Load is a gateway's share of a backend server's load.
type Load struct {
	Running       int
	PendingTokens int64
}

// serverState is what is seen of one incarnation.
type serverState struct {
	incarnation  int64
	own          Load
	failures     float64
	failuresAt   time.Time
	latencyMs    float64
	suspectUntil time.Time
	loadingUntil time.Time
	ordered      bool // this gateway gave the order to load
	weights      map[string]sight
}

// sight is a version that the server itself showed.
type sight struct {
	version uint64
	at      time.Time
	heard   bool // from another gateway
}

// remote is what another gateway told.
type remote struct {
	at    time.Time
	loads map[string]Load
}

// Fleet is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	servers map[string]*serverState // by id
	remotes map[string]remote       // by address of the gateway
}

// New returns a Fleet that knows nothing.
func New() *Fleet {
	return &Fleet{servers: make(map[string]*serverState), remotes: make(map[string]remote)}
}

// state returns the entry of a server. The caller holds the lock.
func (f *Fleet) state(id string) *serverState {
	s := f.servers[id]
	if s == nil {
		s = &serverState{weights: make(map[string]sight)}
		f.servers[id] = s
	}
	return s
}

// Forget drops the servers that are no longer listed.
func (f *Fleet) Forget(snapshot *deployment.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.servers {
		listed := snapshot.Servers[id]
		switch {
		case listed == nil && s.own.Running == 0:
			delete(f.servers, id)
		case listed != nil && listed.Incarnation != s.incarnation:
			own := s.own
			f.servers[id] = &serverState{incarnation: listed.Incarnation, own: own, weights: make(map[string]sight)}
		}
	}
}

// Attempt is a request in flight.
type Attempt struct {
	fleet   *Fleet
	id      string
	pending int64
	started time.Time
	done    bool
}

// Begin notes that a request is sent to a server, which has to read pending
// prompt tokens for it.
func (f *Fleet) Begin(id string, pending int64, now time.Time) *Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(id)
	s.own.Running++
	s.own.PendingTokens += pending
	return &Attempt{fleet: f, id: id, pending: pending, started: now}
}

// Started notes that the server has read the prompt.
func (a *Attempt) Started() {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.start(a.fleet.state(a.id))
}

func (a *Attempt) start(s *serverState) {
	s.own.PendingTokens -= a.pending
	a.pending = 0
}

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded   Outcome = iota
	Failed              // the server failed, or broke off
	Unreachable         // the server did not answer
	Refused             // the server refused the request, or nobody can blame it
)

// End notes the outcome. Only the first call counts.
func (a *Attempt) End(outcome Outcome, now time.Time) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	s := a.fleet.state(a.id)
	a.start(s)
	s.own.Running--
	switch outcome {
	case Succeeded:
		s.note(0, now)
		s.noteLatency(now.Sub(a.started))
	case Failed:
		s.note(1, now)
	case Unreachable:
		s.note(1, now)
		s.suspectUntil = now.Add(suspectTime)
	case Refused:
	}
}

// note adds an outcome to the running average of failures.
func (s *serverState) note(failure float64, now time.Time) {
	s.failures = s.failureRate(now)*(1-smoothing) + failure*smoothing
	s.failuresAt = now
}

func (s *serverState) failureRate(now time.Time) float64 {
	age := now.Sub(s.failuresAt)
	if s.failures == 0 || age <= 0 {
		return s.failures
	}
	halves := float64(age) / float64(failureHalfLife)
	return s.failures / (1 + halves*halves)
}

func (s *serverState) noteLatency(d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	if s.latencyMs == 0 {
		s.latencyMs = ms
		return
	}
	s.latencyMs += (ms - s.latencyMs) * smoothing
}

// SawWeights notes the version that a server showed of itself.
func (f *Fleet) SawWeights(id, model string, version uint64, now time.Time) {
	if version == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state(id).weights[model] = sight{version: version, at: now}
}

// DoubtWeights forgets the version that a server showed, after it refused a request
// that expected this version.
func (f *Fleet) DoubtWeights(id, model string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.state(id).weights, model)
}

// SetLoading notes that a server loads weights, or is emptied for that, until
// then. A time that has passed ends that. Other gateways are told.
func (f *Fleet) SetLoading(id string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(id)
	s.loadingUntil, s.ordered = until, true
}

// PassOver prefers others to a server that refused a request, for a moment. If many
// refuse, the refusals count for nothing: they are then no matter of one server.
func (f *Fleet) PassOver(id string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.state(id); s.suspectUntil.Before(until) {
		s.suspectUntil = until
	}
}

// Running returns the requests in flight at a server, from all gateways.
func (f *Fleet) Running(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loadOf(id, f.state(id), time.Now()).Running
}

// Own returns this gateway's share of the load.
func (f *Fleet) Own() map[string]Load {
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

// SetRemote notes what another gateway told of its share.
func (f *Fleet) SetRemote(gateway string, loads map[string]Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remotes[gateway] = remote{at: now, loads: loads}
}

// Note is what a gateway knows of a server before it is listed.
type Note struct {
	Server      string
	Incarnation int64
	Model       string
	Weights     uint64        // 0: not known
	Loading     time.Duration // for which it still refuses requests
}

// Notes returns what other gateways should know: the weights that servers showed
// lately, and which of them load. A server that loads no more is told of, too.
func (f *Fleet) Notes(now time.Time) []Note {
	f.mu.Lock()
	defer f.mu.Unlock()
	var notes []Note
	for id, s := range f.servers {
		loading := max(0, s.loadingUntil.Sub(now))
		if s.ordered && now.Sub(s.loadingUntil) < remoteLife {
			notes = append(notes, Note{Server: id, Incarnation: s.incarnation, Loading: loading})
		}
		for model, seen := range s.weights {
			if now.Sub(seen.at) < remoteLife && !seen.heard {
				notes = append(notes, Note{Server: id, Incarnation: s.incarnation, Model: model, Weights: seen.version})
			}
		}
	}
	return notes
}

// Heard takes in a note of another gateway.
func (f *Fleet) Heard(note Note, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[note.Server]
	if s == nil || s.incarnation != note.Incarnation {
		return
	}
	if note.Model == "" {
		s.loadingUntil = now.Add(min(note.Loading, remoteLife)) // told again while it lasts
		return
	}
	if note.Weights >= s.weights[note.Model].version {
		s.weights[note.Model] = sight{version: note.Weights, at: now, heard: true}
	}
}

// View returns the servers of a service as a placement needs them.
func (f *Fleet) View(snapshot *deployment.Snapshot, service, model string, now time.Time) []placement.Server {
	listed := snapshot.ServersOf(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	view := make([]placement.Server, 0, len(listed))
	for _, server := range listed {
		view = append(view, f.serverView(server, model, now))
	}
	return view
}

// ViewOf returns a server as a placement for the model needs it.
func (f *Fleet) ViewOf(server *deployment.Server, model string, now time.Time) placement.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.serverView(server, model, now)
}

// serverView joins what is listed and what was seen. The caller holds the lock.
func (f *Fleet) serverView(server *deployment.Server, model string, now time.Time) placement.Server {
	s := f.state(server.ID)
	if s.incarnation == 0 {
		s.incarnation = server.Incarnation
	}
	load := f.loadOf(server.ID, s, now)
	return placement.Server{
		ID:            server.ID,
		Address:       server.Address,
		Zone:          server.AvailabilityZone,
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

func (f *Fleet) loadOf(id string, s *serverState, now time.Time) Load {
	load := s.own
	for _, r := range f.remotes {
		if now.Sub(r.at) < remoteLife {
			load.Running += r.loads[id].Running
			load.PendingTokens += r.loads[id].PendingTokens
		}
	}
	return load
}

// weightsOf returns the version that the server showed, if that is newer than the
// listed one. Weights only become newer while a process lives, and the list may be
// as old as an outage of the store.
func (s *serverState) weightsOf(server *deployment.Server, model string) uint64 {
	return max(s.weights[model].version, server.WeightsOf(model))
}
