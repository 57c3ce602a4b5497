package controller

import (
	"slices"
	"time"

	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// pollInterval is the minimum mean time between load reports of a server.
	pollInterval = time.Second
	// pollsPerSecond limits the load reports that the controller requests, so
	// that its work does not grow with the fleet.
	pollsPerSecond = 20
	// reportDelay is the time after an order until the report of the engine
	// shows its effect.
	reportDelay = 500 * time.Millisecond
	backoffMin  = 500 * time.Millisecond
	backoffMax  = 30 * time.Second
)

// server is what the controller knows of an engine in the current term.
type server struct {
	address string
	name    string
	listed  membership.Server // as in the latest view

	fenced         bool // the sidecar has this term's fencing token
	draining       bool // as last reported
	reported       bool // loaded is from a report after the last order
	reportedInTerm bool // loaded has been reported in this term
	loaded         []weights
	incarnation    uint64
	refused        map[weights]bool // weights that the engine refused to hold beside others
	pendingOrder   *order           // order without a reply yet
	pollInProgress bool             // a poll has no reply yet
	nextPoll       time.Time
	failures       int
}

func newServer(listed *membership.Server) *server {
	return &server{address: listed.Address, name: listed.Name, refused: make(map[weights]bool)}
}

// isLeaving reports whether the server is leaving or draining, so that it takes no
// new work.
func (s *server) isLeaving() bool { return s.listed.Leaving || s.draining }

// isReporting reports whether the loaded weights of the server are known and it
// takes new work.
func (s *server) isReporting() bool { return s.fenced && s.reported && !s.isLeaving() }

// isReady reports whether an order may be sent to the server.
func (s *server) isReady() bool { return s.isReporting() && s.pendingOrder == nil && !s.pollInProgress }

// holds reports whether the server holds w and is not unloading it.
func (s *server) holds(w weights) bool {
	return slices.Contains(s.loaded, w) && !s.isUnloading(w)
}

// holdsAnyVersion reports whether the server holds any version of w.
func (s *server) holdsAnyVersion(w weights) bool {
	return slices.ContainsFunc(s.loaded, func(l weights) bool { return modelKeyOf(l) == modelKeyOf(w) && !s.isUnloading(l) })
}

// holdsOtherVersion reports whether the server holds another version of w.
func (s *server) holdsOtherVersion(w weights) bool {
	return slices.ContainsFunc(s.loaded, func(l weights) bool { return modelKeyOf(l) == modelKeyOf(w) && l != w })
}

// holdsAdapterOf reports whether the server holds an adapter for the base
// weights w.
func (s *server) holdsAdapterOf(w weights) bool {
	return slices.ContainsFunc(s.loaded, func(l weights) bool { return l != w && baseWeights(l) == w })
}

func (s *server) isUnloading(w weights) bool {
	return s.pendingOrder != nil && s.pendingOrder.kind == orderUnload && s.pendingOrder.weights == w
}

// applyReport updates the server from a load report. A restarted engine may
// accept weights that it refused before.
func (s *server) applyReport(report *wire.Load) {
	if s.incarnation != report.GetIncarnation() {
		clear(s.refused)
	}
	s.incarnation = report.GetIncarnation()
	s.draining = report.GetDraining()
	s.loaded = s.loaded[:0]
	for _, w := range report.GetLoaded() {
		s.loaded = append(s.loaded, weightsFromWire(w))
	}
	s.reported = len(s.loaded) > 0 || s.incarnation != 0
	s.reportedInTerm = s.reportedInTerm || s.reported
	s.failures = 0
}

// markUnloaded records that the server may have unloaded w.
func (s *server) markUnloaded(w weights) {
	s.loaded = slices.DeleteFunc(s.loaded, func(l weights) bool { return l == w })
}

// recordFailure records a failed call and schedules the next poll with
// back-off. That poll carries the fencing token, so that its report includes
// the effect of orders whose outcome is unknown.
func (s *server) recordFailure(now time.Time) {
	s.fenced = false
	s.reported = false
	s.nextPoll = now.Add(min(backoffMax, backoffMin<<min(s.failures, 10)))
	s.failures++
}
