package canary

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reportTTL is how long a gateway counts as heard of after its last report.
	reportTTL = 2 * time.Second
	// peerTTL is how long the last report of a silent gateway is remembered, so that its counts
	// are not added twice when it returns.
	peerTTL = 10 * time.Minute
	// maxPeers bounds the gateways whose reports are remembered.
	maxPeers = 4096
	// maxPending bounds the failures of which it is not known yet whether a fault of the network
	// caused them.
	maxPending = 1024
	// downTime is how long a server that could not be reached is not exposed, if others can be.
	downTime = 2 * time.Second
	// maxOpen bounds the attempts that are watched for their first byte or event.
	maxOpen = 8192
	// gapEvents is the number of events after which the mean time between them is counted.
	gapEvents = 8
	// prefillFloor is added to the expected time to the first event of an engine, of which
	// estimates are too rough below it.
	prefillFloor = 30 * time.Millisecond
	// ratioUnit is the time that stands for a response in exactly the expected time.
	ratioUnit = 100 * time.Millisecond
)

// Report is what a gateway tells the others of an order.
type Report struct {
	Service  string
	Serial   uint64
	Age      time.Duration // since the order arrived
	Phase    Phase         // that the sender follows; None while its state is stale
	OnOld    int           // requests that it has at old servers
	Finding  Finding
	Evidence *Evidence // cumulative
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Uncounted Outcome = iota // refused as not run, or cancelled by the client
	Succeeded
	Failed
	Broken      // the connection broke; Resolve says whether the server's process ended
	Unreachable // there was no connection, so that the request has not run
)

// Tracker is what one process knows of the orders of all services. It is safe for concurrent
// use.
type Tracker struct {
	bounds Bounds

	mu       sync.Mutex
	services map[string]*service
}

// service is the knowledge of one service.
type service struct {
	view     View
	standing standing
	versions []string  // in service
	stable   time.Time // when versions changed
	running  map[string]int
	down     map[string]time.Time // servers of the new version that could not be reached, and until when

	serial    uint64
	order     Order
	orderSeen time.Time // when the order of the view arrived here, or earlier by an age that was heard
	phase     Phase
	phaseSeen time.Time
	gate      gate
	own       *Evidence
	total     *Evidence // with that of the other gateways
	faults    faults
	pending   []pendingFailure
	open      map[*Attempt]struct{} // counted attempts without a first byte or event
	analysis  analysis
	finding   Finding
	peers     map[string]*peerReport
}

type peerReport struct {
	at       time.Time
	phase    Phase
	onOld    int
	age      time.Duration // of the last evidence
	evidence *Evidence
}

type pendingFailure struct {
	route string
	side  Side
	at    time.Time
}

// NewTracker returns a Tracker that knows no services.
func NewTracker(bounds Bounds) *Tracker {
	return &Tracker{bounds: bounds, services: make(map[string]*service)}
}

// Update sets the views of all services.
func (t *Tracker) Update(views map[string]*View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.services, func(name string, _ *service) bool { return views[name] == nil })
	for name, view := range views {
		s := t.services[name]
		if s == nil {
			s = &service{running: make(map[string]int), down: make(map[string]time.Time), stable: now}
			s.reset(t.bounds)
			t.services[name] = s
		}
		s.update(view, t.bounds, now)
	}
}

func (s *service) reset(bounds Bounds) {
	s.gate, s.own, s.total = gate{}, NewEvidence(), NewEvidence()
	s.faults, s.pending, s.analysis, s.finding = faults{}, nil, newAnalysis(bounds), Finding{}
	s.peers, s.open = make(map[string]*peerReport), make(map[*Attempt]struct{})
}

func (s *service) update(view *View, bounds Bounds, now time.Time) {
	if versions := versionsOf(view.Servers); !slices.Equal(versions, s.versions) {
		s.versions, s.stable = versions, now
	}
	maps.DeleteFunc(s.down, func(_ string, until time.Time) bool { return !now.Before(until) })
	s.view = *view
	s.derive(bounds)
	state := view.State
	switch {
	case view.Order != nil && *view.Order != s.order:
		s.order, s.orderSeen = *view.Order, now
	case view.Order == nil && state != nil && state.Order != s.order:
		s.order, s.orderSeen = state.Order, now
	}
	if state == nil {
		return
	}
	if state.Serial != s.serial {
		s.serial, s.phase = state.Serial, None
		s.reset(bounds)
	}
	if state.Phase != s.phase {
		s.phase, s.phaseSeen = state.Phase, now
	}
	if state.Phase.Terminal() {
		clear(s.peers) // their counts are not needed any more
	}
	if state.Order == s.order {
		s.heardAge(state.Elapsed, now)
	}
}

// derive derives the standing from the view.
func (s *service) derive(bounds Bounds) {
	s.standing = newStanding(&s.view, bounds.Share, func(id string) bool {
		_, down := s.down[id]
		return down
	})
}

// heardAge moves back the time at which the order arrived.
func (s *service) heardAge(age time.Duration, now time.Time) {
	if at := now.Add(-age); at.Before(s.orderSeen) {
		s.orderSeen = at
	}
}

// counts reports whether an order is running whose evidence is collected.
func (s *service) counts() bool { return s.view.State != nil && s.view.State.Phase.running() }

// sideOf returns the side of a version, and whether it has one.
func (s *service) sideOf(version string) (Side, bool) {
	state := s.view.State
	switch {
	case state == nil || state.Phase == None:
		return Old, false
	case version == state.Order.To:
		return New, true
	}
	return Old, slices.Contains(state.Old, version)
}

// Arrive counts a client's request, which grants the new version a fraction of a send.
func (t *Tracker) Arrive(serviceName, route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[serviceName]; s != nil && s.standing.phase == Observe {
		s.gate.arrive(route, s.standing.exposure)
	}
}

// Choose chooses where the attempt of a request that is not bound to a version may be made, and
// takes the credit that it needs. staleness is that of the view.
func (t *Tracker) Choose(serviceName, route string, staleness time.Duration, now time.Time) (Choice, Side) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil {
		return Choice{Any: true, Reason: "unknown_service"}, Old
	}
	return s.standing.decide(&s.gate, route, s.finding.Bad, staleness, now.Sub(s.phaseSeen), s.order.Duration)
}

// Withdraw gives back the credit of a choice of the new side that led to no attempt, and
// returns the choice of the old side. ok is false if no old server may be used.
func (t *Tracker) Withdraw(serviceName, route string) (choice Choice, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil {
		return Choice{}, false
	}
	s.gate.refund(route)
	if !s.standing.mayUseOld(0) {
		return Choice{}, false
	}
	return Choice{versions: s.standing.old, Reason: "no_new_server"}, true
}

// Spend takes the credit of an attempt that is bound to the new version.
func (t *Tracker) Spend(serviceName, route, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[serviceName]; s != nil && s.standing.phase == Observe && version == s.standing.new {
		s.gate.spend(route)
	}
}

// Allows reports whether streams that are bound to a version may be sent to it now.
func (t *Tracker) Allows(serviceName, version string, staleness time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	return s == nil || s.standing.allows(version, s.finding.Bad, staleness)
}

// Barred reports whether a version gets no further requests.
func (t *Tracker) Barred(serviceName, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	return s != nil && s.standing.isBarred(version, s.finding.Bad)
}

// Capacities returns the capacities by which streams are to be assigned to versions while an
// order, or what became of one, decides. ok is false if it does not.
func (t *Tracker) Capacities(serviceName string) (capacities map[string]int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil || s.standing.open {
		return nil, false
	}
	return s.standing.capacities(s.view.Servers, s.finding.Bad), true
}

// shareUnit is the sum of the capacities while a new version has a share.
const shareUnit = 1 << 20

// capacities returns the capacities of the versions that may begin streams.
func (st *standing) capacities(servers []Server, bad bool) map[string]int {
	old, total := make(map[string]int), 0
	for i := range servers {
		if slices.Contains(st.old, servers[i].Software) {
			old[servers[i].Software] += max(1, servers[i].Slots)
			total += max(1, servers[i].Slots)
		}
	}
	if st.new == "" || bad || st.newGone {
		return old
	}
	if st.oldGone || st.phase != Observe {
		return map[string]int{st.new: 1}
	}
	part := int(st.exposure * shareUnit)
	for version, slots := range old {
		old[version] = (shareUnit - part) * slots / total
	}
	old[st.new] = part
	return old
}

// Concentrate returns the servers of a version at which streams that are bound to it are to be
// made: of a new version, those that are exposed. ok is false if there is no such preference.
func (t *Tracker) Concentrate(serviceName, version string) (choice Choice, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil || version != s.standing.new || s.standing.exposed == nil {
		return Choice{}, false
	}
	return Choice{versions: []string{version}, servers: s.standing.exposed, Reason: "stream"}, true
}

// Running returns the version of a running order, empty if there is none.
func (t *Tracker) Running(serviceName string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[serviceName]; s != nil {
		return s.standing.new
	}
	return ""
}

// Attempt is an attempt of which the outcome is to be recorded. Its methods are not safe for
// concurrent use, except Resolve. A nil Attempt records nothing.
type Attempt struct {
	tracker  *Tracker
	service  *service
	serial   uint64
	route    string
	version  string
	id       string // of the server
	server   uint64 // hash of it
	side     Side
	counted  bool
	began    time.Time
	expected time.Duration
	first    time.Time
	late     bool // its time to the first byte or event has been counted; guarded by the tracker
	events   int
	ended    bool
	brokenAt time.Time
}

// Begin records that an attempt is made at a server. expected is the time to the first event
// that is expected of an engine; 0: not known. ok is false if the attempt may not be made any
// more: a phase, or a finding, came after the choice.
func (t *Tracker) Begin(serviceName, route, version, server string, expected, staleness time.Duration, now time.Time) (attempt *Attempt, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil {
		return nil, true
	}
	if !s.standing.allows(version, s.finding.Bad, staleness) {
		return nil, false
	}
	a := &Attempt{tracker: t, service: s, serial: s.serial, route: route, version: version, id: server, server: xxhash.Sum64String(server), began: now, expected: expected}
	a.side, a.counted = s.sideOf(version)
	a.counted = a.counted && s.counts()
	s.running[version]++
	if a.counted && len(s.open) < maxOpen {
		s.open[a] = struct{}{}
	}
	return a, true
}

// Counted reports whether the attempt's outcome is evidence.
func (a *Attempt) Counted() bool { return a != nil && a.counted }

// Events records that events, or the first byte of another response, have come.
func (a *Attempt) Events(n int, now time.Time) {
	if a == nil || n <= 0 {
		return
	}
	if a.first.IsZero() {
		a.first = now
		a.recordFirst(now.Sub(a.began))
		return
	}
	before := a.events
	a.events += n
	if before < gapEvents && a.events >= gapEvents {
		a.record(func(c *Counts) { c.Gaps.Add(now.Sub(a.first) / time.Duration(a.events)) })
	}
}

// recordFirst counts the time to the first byte or event, unless it was counted as late before.
func (a *Attempt) recordFirst(d time.Duration) {
	a.record(func(c *Counts) {
		if !a.late {
			c.First.Add(a.normalize(d))
		}
	})
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.late = true
	delete(a.service.open, a)
}

// countLate counts the attempts of both sides that have waited for their first byte or event for
// so long that they are slow: those of a version that never responds end too late.
func (s *service) countLate(now time.Time) {
	limits := make(map[string]float64, len(s.total.Routes))
	for route, counts := range s.total.Routes {
		if limit, ok := slowLimit(&counts[Old].First); ok {
			limits[route] = limit
		}
	}
	for a := range s.open {
		waited := a.normalize(now.Sub(a.began))
		if limit, ok := limits[a.route]; !ok || float64(bucketOf(waited)) <= limit {
			continue
		}
		a.late = true
		delete(s.open, a)
		s.own.Counts(a.route)[a.side].First.Add(waited)
		s.total.Counts(a.route)[a.side].First.Add(waited)
	}
}

// normalize relates a time to the first event to the expected one: the servers of a new version
// have no cached prompts.
func (a *Attempt) normalize(d time.Duration) time.Duration {
	if a.expected <= 0 {
		return d
	}
	return time.Duration(float64(d) / float64(a.expected+prefillFloor) * float64(ratioUnit))
}

// record changes the counts of the attempt's route and side, if they still matter.
func (a *Attempt) record(change func(c *Counts)) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if !a.counted || a.serial != a.service.serial {
		return
	}
	change(&a.service.own.Counts(a.route)[a.side])
	change(&a.service.total.Counts(a.route)[a.side])
}

// End records the outcome of the attempt. It may be called again without effect.
func (a *Attempt) End(outcome Outcome, now time.Time) {
	if a == nil || a.ended {
		return
	}
	a.ended = true
	t, s := a.tracker, a.service
	t.mu.Lock()
	delete(s.open, a)
	if s.running[a.version]--; s.running[a.version] <= 0 {
		delete(s.running, a.version)
	}
	t.mu.Unlock()
	switch outcome {
	case Succeeded:
		a.record(func(c *Counts) { c.Responses++ })
		a.recordFault(false, now)
	case Failed:
		a.fail(now)
	case Broken:
		a.brokenAt = now
		a.recordFault(true, now)
	case Unreachable:
		a.recordDown(now)
	}
}

// recordDown makes others than the attempt's server exposed.
func (a *Attempt) recordDown(now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	s := a.service
	if _, known := s.down[a.id]; !known && a.side == New && a.counted && len(s.down) < len(s.view.Servers) {
		s.down[a.id] = now.Add(downTime)
		s.derive(a.tracker.bounds)
	}
}

func (a *Attempt) recordFault(failed bool, now time.Time) {
	if a.side != Old || !a.counted {
		return
	}
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.service.faults.record(a.server, failed, now)
}

// fail counts a failure, unless a fault of the network turns out to have caused it.
func (a *Attempt) fail(now time.Time) {
	a.recordFault(true, now)
	a.postpone(now)
}

func (a *Attempt) postpone(at time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	s := a.service
	if a.counted && a.serial == s.serial && len(s.pending) < maxPending {
		s.pending = append(s.pending, pendingFailure{route: a.route, side: a.side, at: at})
	}
}

// Resolve records, for an attempt that ended as Broken, whether the server's process ended. A
// crash counts once for a server, however many requests it breaks.
func (a *Attempt) Resolve(processEnded bool) {
	if a == nil || a.brokenAt.IsZero() {
		return
	}
	if !processEnded {
		a.postpone(a.brokenAt)
		return
	}
	a.recordDown(a.brokenAt)
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.counted && a.serial == a.service.serial {
		a.service.own.Crash(a.side, a.server)
		a.service.total.Crash(a.side, a.server)
	}
}

// Step counts failures that are old enough to tell what caused them, and looks at the evidence.
// It returns the services of which the new version has just been found bad.
func (t *Tracker) Step(now time.Time) map[string]Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found map[string]Finding
	for name, s := range t.services {
		s.countPending(now)
		if !s.counts() || s.finding.Bad {
			continue
		}
		s.countLate(now)
		final := s.view.State.Phase == Observe && now.Sub(s.orderSeen) >= time.Duration(observeFraction*float64(s.order.Duration))
		if s.finding = s.analysis.look(s.total, s.serving(), final, now); s.finding.Bad {
			if found == nil {
				found = make(map[string]Finding)
			}
			found[name] = s.finding
		}
	}
	return found
}

// serving returns the numbers of servers of both sides that get requests.
func (s *service) serving() (n [2]int) {
	for _, server := range s.view.Servers {
		if side, ok := s.sideOf(server.Software); ok && (side == Old || s.standing.exposed == nil || s.standing.exposed[server.ID]) {
			n[side]++
		}
	}
	return n
}

func (s *service) countPending(now time.Time) {
	rest := s.pending[:0]
	for _, f := range s.pending {
		if now.Sub(f.at) <= faultSpan {
			rest = append(rest, f)
			continue
		}
		if s.faults.at(f.at) {
			continue
		}
		for _, e := range []*Evidence{s.own, s.total} {
			c := &e.Counts(f.route)[f.side]
			c.Responses++
			c.Failures++
		}
	}
	s.pending = rest
}

// onOld returns the number of this process's requests at versions that end with the order.
func (s *service) onOld() (n int) {
	for version, running := range s.running {
		if version != s.view.State.Order.To {
			n += running
		}
	}
	return n
}

// Reports returns what the other gateways are to be told. visit must not keep the evidence.
func (t *Tracker) Reports(staleness time.Duration, now time.Time, visit func(r *Report)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		if !s.counts() {
			continue
		}
		r := Report{Service: name, Serial: s.serial, Age: now.Sub(s.orderSeen), Phase: s.phase, OnOld: s.onOld(), Finding: s.finding, Evidence: s.own}
		if staleness > maxStaleness {
			r.Phase = None
		}
		visit(&r)
	}
}

// Merge merges a report of another gateway. It reports whether the new version has just been
// found bad by it.
func (t *Tracker) Merge(peer string, r *Report, now time.Time) (found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[r.Service]
	if s == nil || s.serial != r.Serial || !s.counts() || r.Age < 0 || r.Age > MaxDuration || r.OnOld < 0 {
		return false
	}
	if s.order == s.view.State.Order {
		s.heardAge(r.Age, now)
	}
	p := s.peers[peer]
	if p == nil {
		if len(s.peers) >= maxPeers {
			maps.DeleteFunc(s.peers, func(_ string, p *peerReport) bool { return now.Sub(p.at) > peerTTL })
		}
		if len(s.peers) >= maxPeers {
			return false
		}
		p = &peerReport{evidence: NewEvidence()}
		s.peers[peer] = p
	}
	p.at, p.phase, p.onOld = now, r.Phase, r.OnOld
	if r.Age >= p.age {
		// Reports of a peer come over two connections. The counts of one that was overtaken are
		// lower than the last ones, and would be taken for those of a new process.
		p.age = r.Age
		s.total.merge(p.evidence, r.Evidence)
	}
	if r.Finding.Bad && !s.finding.Bad {
		s.finding = r.Finding
		return true
	}
	return false
}

// Input returns what the owner needs to advance a service. gateways are the others that the
// store lists; staleness is that of this gateway's state.
func (t *Tracker) Input(serviceName string, gateways []string, staleness time.Duration, now time.Time) (*Input, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil {
		return nil, false
	}
	in := &Input{View: s.view, Share: t.bounds.Share, Elapsed: now.Sub(s.orderSeen), Stable: now.Sub(s.stable), Finding: s.finding, Doubt: s.analysis.doubtful}
	in.Idle = func(phase Phase, withSilent bool) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		return s.idle(phase, gateways, withSilent, staleness, now)
	}
	return in, true
}

// idle reports whether no gateway has requests at old servers; see Input.Idle.
func (s *service) idle(phase Phase, gateways []string, withSilent bool, staleness time.Duration, now time.Time) bool {
	if staleness > maxStaleness || s.phase < phase || s.onOld() > 0 {
		return false
	}
	for _, p := range s.peers {
		if now.Sub(p.at) > reportTTL {
			continue
		}
		if p.phase < phase || p.onOld > 0 {
			return false
		}
	}
	if !withSilent {
		return true
	}
	return !slices.ContainsFunc(gateways, func(address string) bool {
		p := s.peers[address]
		return p == nil || now.Sub(p.at) > reportTTL
	})
}
