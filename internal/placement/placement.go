// Package placement chooses the backend server of an attempt. It is a pure
// decision: what it knows comes in as a Query, and it keeps nothing.
//
// The load pattern it answers: prompts whose long shared parts are read over and
// over by engines that evict them within seconds. A request goes to the home of
// its last shared part, by rendezvous hashing, until the queue there costs more
// than moving the parts to another engine; servers with the weights that
// operators want go first, and servers that fail or lag behind their peers last.
package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Costs are expected times to the first token, in milliseconds.
const (
	// prefillTokensPerMs is the rate at which an engine reads a prompt, measured on
	// engines that were alone with one request.
	prefillTokensPerMs = 36.0
	// runningMs is what each running request adds: its share of a step of the batch.
	runningMs = 2.5
	// awayMs is what a request costs elsewhere than at its home, beside the
	// transfer: the memory that a second copy takes from other prompts.
	awayMs = 20.0
	// fetchMs and fetchTokensPerMs are the time that a transfer of cached parts takes.
	fetchMs          = 6.0
	fetchTokensPerMs = 600.0
	// zoneMs is what another availability zone adds.
	zoneMs = 1.0
	// oldWeightsMs is what weights that were replaced cost the caller: an answer that
	// is worth a fifth less, against an answer whose worth halves when it is late.
	oldWeightsMs = 300.0
	// failureMs is the price of an attempt that is sure to fail: the time until the
	// next one.
	failureMs = 400.0
	// coldFactor is how much slower a server is right after its start.
	coldFactor = 1.6
)

// oldWeightsGrace is how long after new weights were named answers on the former
// ones are worth as much.
const oldWeightsGrace = 1200 * time.Millisecond

// Server is what is known of a backend server when a decision is made.
type Server struct {
	ID            string
	Address       string
	Zone          string
	Slots         int
	Draining      bool
	Cold          bool
	Loading       bool    // loads weights and refuses requests meanwhile
	Suspect       bool    // did not answer lately
	Weights       uint64  // version that it holds of the query's model
	Running       int     // requests in flight, from all gateways
	PendingTokens int64   // prompt tokens of those that have no first event yet
	FailureRate   float64 // of recent attempts, 0 to 1
	LatencyMs     float64 // of recent answers of a plain service; 0: unknown
}

// Query is a request to place.
type Query struct {
	Zone          string
	Engine        bool
	HomeKey       string // of the last shared part; empty: none
	SharedTokens  int64
	OwnTokens     int64
	WantedWeights uint64
	WantedAge     time.Duration // since WantedWeights was named
	MaxOldAge     time.Duration // after which older weights may not be used
	Tried         func(id string) bool
}

// Choice is the outcome of a decision.
type Choice struct {
	Server  *Server
	Home    *Server // nil: the request has none
	CostMs  float64 // expected time to the first token
	Missing int64   // prompt tokens that the server has to read
}

// AtHome says whether the request goes to the home of its prompt.
func (c *Choice) AtHome() bool { return c.Home != nil && c.Server.ID == c.Home.ID }

// Pick returns the best server for the query, or false if none may be used.
func Pick(q *Query, servers []Server) (Choice, bool) {
	usable := filter(q, servers)
	if len(usable) == 0 {
		return Choice{}, false
	}
	home := homeOf(q, usable)
	best := Choice{CostMs: math.Inf(1)}
	for _, s := range usable {
		cost, missing := score(q, s, home)
		if cost < best.CostMs {
			best = Choice{Server: s, Home: home, CostMs: cost, Missing: missing}
		}
	}
	return best, true
}

// filter returns the servers that may take the request. Servers under suspicion
// are passed over as long as half of the others are not.
func filter(q *Query, servers []Server) []*Server {
	var sound, suspect []*Server
	for i := range servers {
		s := &servers[i]
		if s.Draining || s.Loading || q.Tried != nil && q.Tried(s.ID) || q.tooOld(s) {
			continue
		}
		if s.Suspect {
			suspect = append(suspect, s)
			continue
		}
		sound = append(sound, s)
	}
	if len(sound) < len(suspect) {
		return append(sound, suspect...)
	}
	return sound
}

// tooOld says whether the server's weights may not be used any more.
func (q *Query) tooOld(s *Server) bool {
	return s.Weights < q.WantedWeights && q.MaxOldAge > 0 && q.WantedAge > q.MaxOldAge
}

// homeOf returns the server with the highest rendezvous hash of the query's key.
// Servers with the wanted weights go before all others.
func homeOf(q *Query, servers []*Server) *Server {
	if q.HomeKey == "" {
		return nil
	}
	var home *Server
	var highest uint64
	for _, s := range servers {
		hash := xxhash.Sum64String(q.HomeKey + " " + s.ID)
		if home == nil || q.newer(s, home) || !q.newer(home, s) && hash > highest {
			home, highest = s, hash
		}
	}
	return home
}

// newer says whether a holds the wanted weights and b does not.
func (q *Query) newer(a, b *Server) bool {
	return a.Weights >= q.WantedWeights && b.Weights < q.WantedWeights
}

// score returns the expected time to the first token and the prompt tokens that
// the server has to read.
func score(q *Query, s *Server, home *Server) (float64, int64) {
	if q.Engine {
		return scoreEngine(q, s, home)
	}
	return scoreService(q, s), 0
}

func scoreEngine(q *Query, s *Server, home *Server) (float64, int64) {
	missing := q.OwnTokens
	cost := float64(s.PendingTokens+missing)/prefillTokensPerMs + float64(s.Running)*runningMs
	if home != nil && s != home {
		cost += awayMs + fetchMs + float64(q.SharedTokens)/fetchTokensPerMs
	}
	if s.Weights < q.WantedWeights && q.WantedAge > oldWeightsGrace {
		cost += oldWeightsMs
	}
	return cost + common(q, s), missing
}

// scoreService expects a request to wait for those ahead of it, as far as they
// exceed the slots, and then to take as long as recent ones.
func scoreService(q *Query, s *Server) float64 {
	latency := max(1, s.LatencyMs)
	slots := max(1, s.Slots)
	if s.Cold {
		latency *= coldFactor
	}
	turns := 1 + float64(s.Running)/float64(slots)
	return latency*turns + common(q, s)
}

func common(q *Query, s *Server) float64 {
	cost := s.FailureRate * failureMs
	if s.Zone != q.Zone {
		cost += zoneMs
	}
	if s.Cold && q.Engine {
		cost += float64(q.OwnTokens) / prefillTokensPerMs * (coldFactor - 1)
	}
	return cost
}
