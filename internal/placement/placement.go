// Package placement chooses the backend server of an attempt. It is a pure
// decision: what it knows comes in as a Query, and it keeps nothing.
//
// The load pattern it answers: prompts whose long shared parts are read over and
// over by engines that evict them within seconds. A request goes to an engine that
// has its last shared part or reads it now, or to the part's home by rendezvous
// hashing, until the queue there costs more than moving the parts to another engine,
// or reading them there if no store keeps them; servers with the weights that
// operators want go first, and servers that fail or lag behind their peers last.
package placement

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Expected times to the first token, in milliseconds.
const (
	// prefillTokensPerMs is the rate at which an engine reads a prompt, as the users
	// state it for theirs. Another rate only shifts when requests leave their home.
	prefillTokensPerMs = 36.0
	// runningMs is what each running request is taken to add: its share of a step of
	// the batch. An assumption, not measured.
	runningMs = 2.5
	// fetchMs and fetchTokensPerMs are the time that a transfer of cached parts is taken
	// to need: the users' links allow more. Assumptions, not measured.
	fetchMs          = 6.0
	fetchTokensPerMs = 600.0
	// zoneMs is what another availability zone adds.
	zoneMs = 1.0
	// defaultTargetMs is used where a route has no target.
	defaultTargetMs = 1000.0
)

// Losses are parts of what a request is worth to its caller.
const (
	// lateLoss is lost by an answer after its target; half and more, by the users'
	// tables.
	lateLoss = 0.6
	// lateFrom is the part of the target from which lateness is feared: an estimate is
	// often wrong by a third.
	lateFrom = 0.5
	// oldWeightsLoss is lost by an answer on weights that were replaced.
	oldWeightsLoss = 0.2
	// awayLoss is the price of moving a prompt's shared parts to a second engine, and
	// of the memory that they take there.
	awayLoss = 0.015
	// readAgainLoss is the price of having a second engine read 1,000 tokens that
	// another one reads or has read: of trials with 0, 0.1, 0.3 and 1 for a whole
	// prompt of some 6,000 tokens, 0.1 was the best.
	readAgainLoss = 0.016
	// waitLoss is lost by an answer that takes its whole target: a little, so that
	// the faster of two servers is chosen.
	waitLoss = 0.1
	// failureLoss is lost by an attempt that is sure to fail.
	failureLoss = 0.7
)

// coldFactor is how much slower a server is right after its start.
const coldFactor = 1.6

// oldWeightsGrace is how long after new weights were named answers on the former
// ones are worth as much: 1.5 s, less the time until this process learned of it.
const oldWeightsGrace = 1200 * time.Millisecond

// deadlineMargin is how long before their deadline replaced weights are given up:
// a request waits at the server before it begins.
const deadlineMargin = 1500 * time.Millisecond

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
	Zone         string
	Engine       bool
	Target       time.Duration // within which an answer has its full worth
	HomeKey      string        // of the last shared part; empty: none
	SharedTokens int64
	OwnTokens    int64
	Shared       func(weights uint64) Shared        // where the shared parts are; nil: nowhere
	Replaced     func(weights uint64) time.Duration // for how long a newer version has been named; 0: it is the newest
	MaxReplaced  time.Duration                      // after which replaced weights may not be used; 0: no limit
	Tried        func(id string) bool
}

// Shared says where the shared parts of a prompt are, as read by one version of the
// weights.
type Shared struct {
	Holders [2]string // ids of the servers that used them last; empty: none is known
	Kept    bool      // the store has them, which evicts far later than engines
	Reader  string    // id of the server that reads them now; empty: none is known
}

// at says whether the server has the parts, or will have as soon as it has read them
// for another request.
func (s *Shared) at(id string) bool {
	return id == s.Holders[0] || id == s.Holders[1] || id == s.Reader
}

// known says whether some engine or the store has the parts.
func (s *Shared) known() bool { return s.Kept || s.Holders != [2]string{} }

// Choice is the outcome of a decision.
type Choice struct {
	Server  *Server
	Home    *Server // nil: the request has none
	WaitMs  float64 // expected time to the first token
	Loss    float64 // expected part of the request's worth
	Missing int64   // prompt tokens that the server has to read
	Reads   bool    // the shared parts are among them
	Passed  Passed  // servers that could not be chosen
}

// Passed counts the servers that may not take a request, by reason.
type Passed struct {
	Draining, Loading, Tried, Old int
}

// String returns the counts for a log line.
func (p Passed) String() string {
	return fmt.Sprintf("%d leave, %d load weights, %d were tried, %d have old weights", p.Draining, p.Loading, p.Tried, p.Old)
}

// AtHome says whether the request goes to the home of its prompt.
func (c *Choice) AtHome() bool { return c.Home != nil && c.Server.ID == c.Home.ID }

// Pick returns the best server for the query, or false if none may be used.
func Pick(q *Query, servers []Server) (Choice, bool) {
	usable, passed := filter(q, servers)
	if len(usable) == 0 {
		return Choice{Passed: passed}, false
	}
	home := homeOf(q, usable)
	best := Choice{Loss: math.Inf(1)}
	for _, s := range usable {
		if choice := q.weigh(s, home); choice.Loss < best.Loss {
			best = choice
		}
	}
	best.Passed = passed
	return best, true
}

// filter returns the servers that may take the request. Servers under suspicion
// are passed over as long as half of the others are not.
func filter(q *Query, servers []Server) ([]*Server, Passed) {
	var sound, suspect []*Server
	var passed Passed
	for i := range servers {
		s := &servers[i]
		switch {
		case s.Draining:
			passed.Draining++
		case s.Loading:
			passed.Loading++
		case q.Tried != nil && q.Tried(s.ID):
			passed.Tried++
		case q.tooOld(s):
			passed.Old++
		case s.Suspect:
			suspect = append(suspect, s)
		default:
			sound = append(sound, s)
		}
	}
	if len(sound) < len(suspect) {
		return append(sound, suspect...), passed
	}
	return sound, passed
}

// tooOld says whether the server's weights may not be used any more.
func (q *Query) tooOld(s *Server) bool {
	return q.MaxReplaced > 0 && q.replaced(s) > q.MaxReplaced-deadlineMargin
}

// replaced returns for how long newer weights than the server's have been named.
func (q *Query) replaced(s *Server) time.Duration {
	if q.Replaced == nil {
		return 0
	}
	return q.Replaced(s.Weights)
}

// shared returns where the shared parts are for a server's weights.
func (q *Query) shared(s *Server) Shared {
	if q.Shared == nil {
		return Shared{}
	}
	return q.Shared(s.Weights)
}

// reads says whether the server reads the shared parts now, for another request.
func (q *Query) reads(s *Server) bool { return q.shared(s).Reader == s.ID }

// homeOf returns the server that reads the shared parts now, or else the one with
// the highest rendezvous hash of the query's key. Servers with the wanted weights go
// before all others.
func homeOf(q *Query, servers []*Server) *Server {
	if q.HomeKey == "" {
		return nil
	}
	for _, s := range servers {
		if q.reads(s) && q.replaced(s) == 0 {
			return s
		}
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

// newer says whether a holds the newest weights and b does not.
func (q *Query) newer(a, b *Server) bool { return q.replaced(a) == 0 && q.replaced(b) > 0 }

// weigh returns what the request is expected to lose at a server.
func (q *Query) weigh(s, home *Server) Choice {
	choice := Choice{Server: s, Home: home}
	if q.Engine {
		choice.WaitMs, choice.Missing, choice.Reads = q.engineWait(s)
	} else {
		choice.WaitMs = serviceWait(s)
	}
	if s.Zone != q.Zone {
		choice.WaitMs += zoneMs
	}
	choice.Loss = q.lossOf(&choice)
	return choice
}

// engineWait returns the expected time to the first token, the prompt tokens that
// the engine has to read, and whether the shared parts are among these.
func (q *Query) engineWait(s *Server) (wait float64, missing int64, reads bool) {
	missing = q.OwnTokens
	wait = float64(s.Running) * runningMs
	shared := q.shared(s)
	switch {
	case q.SharedTokens == 0 || shared.at(s.ID):
	case !shared.known():
		missing += q.SharedTokens
		reads = true
	default:
		wait += fetchMs + float64(q.SharedTokens)/fetchTokensPerMs
		if !shared.Kept {
			wait += float64(q.SharedTokens) / prefillTokensPerMs
		}
	}
	read := float64(s.PendingTokens+missing) / prefillTokensPerMs
	if s.Cold {
		read *= coldFactor
	}
	return wait + read, missing, reads
}

// awayLoss returns what it costs that a second engine gets the shared parts. Those
// that no store keeps may be gone from the other engine when they are fetched, and
// are then read again: replays that took half of them for gone left more callers late.
func (q *Query) awayLoss(choice *Choice) float64 {
	shared := q.shared(choice.Server)
	switch {
	case shared.at(choice.Server.ID):
		return 0
	case shared.Kept:
		return awayLoss
	}
	return awayLoss + readAgainLoss*float64(q.SharedTokens)/1000
}

// serviceWait expects a request to wait for those ahead of it, as far as they
// exceed the slots, and then to take as long as recent ones.
func serviceWait(s *Server) float64 {
	latency := max(1, s.LatencyMs)
	if s.Cold {
		latency *= coldFactor
	}
	return latency * (1 + float64(s.Running)/float64(max(1, s.Slots)))
}

// lossOf joins what a choice is expected to cost the caller.
func (q *Query) lossOf(choice *Choice) float64 {
	target := defaultTargetMs
	if q.Target > 0 {
		target = float64(q.Target) / float64(time.Millisecond)
	}
	part := choice.WaitMs / target
	loss := waitLoss*part + lateLoss*min(1, max(0, (part-lateFrom)/(1-lateFrom)))
	loss += failureLoss * choice.Server.FailureRate
	if q.replaced(choice.Server) > oldWeightsGrace {
		loss += oldWeightsLoss
	}
	if choice.Home != nil && !choice.AtHome() {
		loss += q.awayLoss(choice)
	}
	return loss
}
