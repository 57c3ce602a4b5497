package controller

import (
	"slices"
	"time"

	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// pollInterval is the time between two reports of a server, at least.
	pollInterval = time.Second
	// pollsPerSecond bounds the reports that the controller asks for, so that its
	// work does not grow with the fleet.
	pollsPerSecond = 20
	// settleTime is the time after an order until the engine's report shows it.
	settleTime = 500 * time.Millisecond
	backoffMin = 500 * time.Millisecond
	backoffMax = 30 * time.Second
)

// server is what the controller knows, in its current term, of an engine.
type server struct {
	address string
	name    string
	listed  membership.Server // as in the last view

	fenced      bool // its sidecar has this term's fencing number
	draining    bool // as last reported
	reported    bool // loaded is reported after the last order
	seen        bool // loaded was reported in this term
	loaded      []weights
	incarnation uint64
	refused     map[weights]bool // weights that the engine would not hold beside others
	giving      *order           // order that is on its way
	calling     bool             // a call is on its way
	due         time.Time        // of the next report
	failures    int
}

func newServer(listed *membership.Server) *server {
	return &server{address: listed.Address, name: listed.Name, refused: make(map[weights]bool)}
}

// leaving says whether the server takes no new work for good.
func (s *server) leaving() bool { return s.listed.Leaving || s.draining }

// reporting says whether the server's weights are known and it takes work.
func (s *server) reporting() bool { return s.fenced && s.reported && !s.leaving() }

// ready says whether the server may be given an order.
func (s *server) ready() bool { return s.reporting() && s.giving == nil && !s.calling }

// holds says whether the server holds w and is not about to lose it.
func (s *server) holds(w weights) bool {
	return slices.Contains(s.loaded, w) && !s.isLosing(w)
}

// holdsBase says whether the server holds any version of w's model and adapter.
func (s *server) holdsBase(w weights) bool {
	return slices.ContainsFunc(s.loaded, func(l weights) bool { return baseOf(l) == baseOf(w) && !s.isLosing(l) })
}

// holdsOther says whether the server holds another version of w.
func (s *server) holdsOther(w weights) bool {
	return slices.ContainsFunc(s.loaded, func(l weights) bool { return baseOf(l) == baseOf(w) && l != w })
}

// holdsAdapterOf says whether the server holds an adapter over the base weights w.
func (s *server) holdsAdapterOf(w weights) bool {
	return slices.ContainsFunc(s.loaded, func(l weights) bool { return l != w && under(l) == w })
}

func (s *server) isLosing(w weights) bool {
	return s.giving != nil && s.giving.kind == orderUnload && s.giving.weights == w
}

// learn takes a report. An engine that started again may hold what it refused
// before.
func (s *server) learn(report *wire.Load) {
	if s.incarnation != report.GetIncarnation() {
		clear(s.refused)
	}
	s.incarnation = report.GetIncarnation()
	s.draining = report.GetDraining()
	s.loaded = s.loaded[:0]
	for _, w := range report.GetLoaded() {
		s.loaded = append(s.loaded, weightsOf(w))
	}
	s.reported = len(s.loaded) > 0 || s.incarnation != 0
	s.seen = s.seen || s.reported
	s.failures = 0
}

// lose notes that the server may have unloaded w.
func (s *server) lose(w weights) {
	s.loaded = slices.DeleteFunc(s.loaded, func(l weights) bool { return l == w })
}

// fail notes a failed call. What the server holds is known again after the next
// report, which comes with a fencing number, so that it follows orders whose
// outcome is unknown.
func (s *server) fail(now time.Time) {
	s.fenced = false
	s.reported = false
	s.due = now.Add(min(backoffMax, backoffMin<<min(s.failures, 10)))
	s.failures++
}
