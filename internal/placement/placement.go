// Package placement chooses the backend server of an attempt. It is stateless: a
// decision depends only on the Query and the servers passed in.
//
// It is made for prompts with long shared parts, which engines prefill over and over
// as they evict them from their KV cache within seconds. A request goes to an engine
// that holds its last shared part or is prefilling it, or to the part's home by
// rendezvous hashing, until the queue there costs more than moving the parts to
// another engine, or prefilling them there if no store has them. Servers with the
// target version of the weights are preferred, and servers that fail or are slower
// than their peers are chosen last.
package placement

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Expected times to the first token, in milliseconds.
const (
	// prefillTokensPerMs is the prefill rate of an engine. Another rate only shifts the
	// queue length at which requests leave their home.
	prefillTokensPerMs = 36.0
	// runningRequestMs is the delay that each running request adds: its share of a step
	// of the batch.
	runningRequestMs = 2.5
	// fetchLatencyMs and fetchTokensPerMs estimate the time of a transfer of cached
	// parts. The links allow a higher rate.
	fetchLatencyMs   = 6.0
	fetchTokensPerMs = 600.0
	// crossZoneMs is the additional latency of a server in another availability zone.
	crossZoneMs = 1.0
	// defaultTargetMs is used if a route has no latency target.
	defaultTargetMs = 1000.0
)

// Losses are fractions of the value of a request to its caller.
const (
	// lateLoss is the loss of a response after its target latency. It is half of the value
	// or more.
	lateLoss = 0.6
	// lateThreshold is the fraction of the target from which an expected wait counts as
	// possibly late: an estimate is often wrong by a third.
	lateThreshold = 0.5
	// oldWeightsLoss is the loss of a response from replaced weights.
	oldWeightsLoss = 0.2
	// moveLoss is the cost of moving a prompt's shared parts to a second engine, and of
	// the memory that they take there.
	moveLoss = 0.015
	// recomputeLossPer1000Tokens is the cost of prefilling 1,000 tokens in a second engine
	// that another one is prefilling or has prefilled: 0.1 for a prompt of some 6,000
	// tokens.
	recomputeLossPer1000Tokens = 0.016
	// waitLoss is the loss of a response that takes its whole target latency, and is
	// proportional to the wait. It is small: it only makes the faster of two servers
	// preferred.
	waitLoss = 0.1
	// failureLoss is the loss of an attempt at a server that fails all its attempts.
	failureLoss = 0.7
)

// coldFactor is the factor by which a server is slower right after its start.
const coldFactor = 1.6

// oldWeightsGrace is how long responses from replaced weights keep their full value:
// 1.5 s, less the delay until this process learns of a new version.
const oldWeightsGrace = 1200 * time.Millisecond

// deadlineMargin is how long before their deadline replaced weights are no longer
// used, since a request may queue at the server before it starts.
const deadlineMargin = 1500 * time.Millisecond

// Server is the state of a backend server as known at the time of a decision.
type Server struct {
	ID            string
	Address       string
	Zone          string
	Slots         int
	Draining      bool
	Cold          bool
	Loading       bool    // loads weights and refuses requests meanwhile
	Suspect       bool    // was unreachable or refused a request recently
	Weights       uint64  // version of the weights of the query's model
	Running       int     // requests in flight, from all gateways
	PendingTokens int64   // tokens still to be prefilled for these requests
	FailureRate   float64 // of recent attempts, 0 to 1
	LatencyMs     float64 // mean of recent responses, for a plain service; 0: unknown
}

// Query is a request to place.
type Query struct {
	Zone         string
	Engine       bool
	Target       time.Duration // target latency; 0: defaultTargetMs
	HomeKey      string        // key of the last shared part for rendezvous hashing; empty: none
	SharedTokens int64
	OwnTokens    int64
	Shared       func(weights uint64) Shared        // where the shared parts are cached; nil: unknown
	ReplacedFor  func(weights uint64) time.Duration // time since a newer version became the target; 0: it is the newest
	MaxReplaced  time.Duration                      // time after which replaced weights may not be used; 0: no limit
	Tried        func(id string) bool
}

// Shared is where the shared parts of a prompt are cached for one version of the
// weights.
type Shared struct {
	Holders    [2]string // ids of the servers that used them last; empty: unknown
	Stored     bool      // the KV cache store has them; it evicts far later than engines do
	Prefilling string    // id of the server that is prefilling them; empty: unknown
}

// expectedAt reports whether the server has the parts, or will have them once it has
// prefilled them for another request.
func (s *Shared) expectedAt(id string) bool {
	return id == s.Holders[0] || id == s.Holders[1] || id == s.Prefilling
}

// available reports whether an engine or the store is known to have the parts.
func (s *Shared) available() bool { return s.Stored || s.Holders != [2]string{} }

// Choice is the result of a decision.
type Choice struct {
	Server         *Server
	Home           *Server    // nil: the request has none
	WaitMs         float64    // expected time to the first token
	Loss           float64    // expected loss, as a fraction of the request's value
	PrefillTokens  int64      // prompt tokens that the server has to prefill
	PrefillsShared bool       // the shared parts are among these tokens
	Excluded       Exclusions // numbers of servers that may not be chosen
}

// Exclusions counts the servers that may not take a request, by reason.
type Exclusions struct {
	Draining, Loading, Tried, OldWeights int
}

// String returns the counts as text. Clients receive it in the message of an error.
func (e Exclusions) String() string {
	return fmt.Sprintf("%d leave, %d load weights, %d were tried, %d have old weights", e.Draining, e.Loading, e.Tried, e.OldWeights)
}

// AtHome reports whether the chosen server is the home of the prompt.
func (c *Choice) AtHome() bool { return c.Home != nil && c.Server.ID == c.Home.ID }

// Pick returns the server with the lowest expected loss, or false if none may be used.
func Pick(q *Query, servers []Server) (Choice, bool) {
	usable, excluded := filter(q, servers)
	if len(usable) == 0 {
		return Choice{Excluded: excluded}, false
	}
	home := homeOf(q, usable)
	best := Choice{Loss: math.Inf(1)}
	for _, s := range usable {
		if choice := q.evaluate(s, home); choice.Loss < best.Loss {
			best = choice
		}
	}
	best.Excluded = excluded
	return best, true
}

// filter returns the servers that may take the request. Suspect servers are left out
// unless they outnumber the healthy ones.
func filter(q *Query, servers []Server) ([]*Server, Exclusions) {
	var healthy, suspect []*Server
	var excluded Exclusions
	for i := range servers {
		s := &servers[i]
		switch {
		case s.Draining:
			excluded.Draining++
		case s.Loading:
			excluded.Loading++
		case q.Tried != nil && q.Tried(s.ID):
			excluded.Tried++
		case q.weightsExpired(s):
			excluded.OldWeights++
		case s.Suspect:
			suspect = append(suspect, s)
		default:
			healthy = append(healthy, s)
		}
	}
	if len(healthy) < len(suspect) {
		return append(healthy, suspect...), excluded
	}
	return healthy, excluded
}

// weightsExpired reports whether the server's weights may no longer be used.
func (q *Query) weightsExpired(s *Server) bool {
	return q.MaxReplaced > 0 && q.replacedFor(s) > q.MaxReplaced-deadlineMargin
}

// replacedFor returns the time since the server's weights were replaced, or 0.
func (q *Query) replacedFor(s *Server) time.Duration {
	if q.ReplacedFor == nil {
		return 0
	}
	return q.ReplacedFor(s.Weights)
}

// shared returns where the shared parts are cached for a server's weights.
func (q *Query) shared(s *Server) Shared {
	if q.Shared == nil {
		return Shared{}
	}
	return q.Shared(s.Weights)
}

// prefilling reports whether the server is prefilling the shared parts for another
// request.
func (q *Query) prefilling(s *Server) bool { return q.shared(s).Prefilling == s.ID }

// homeOf returns the server that is prefilling the shared parts, or else the one with
// the highest rendezvous hash of the query's key. Servers with the newest weights are
// preferred in both cases.
func homeOf(q *Query, servers []*Server) *Server {
	if q.HomeKey == "" {
		return nil
	}
	for _, s := range servers {
		if q.prefilling(s) && q.replacedFor(s) == 0 {
			return s
		}
	}
	var home *Server
	var highest uint64
	for _, s := range servers {
		hash := xxhash.Sum64String(q.HomeKey + " " + s.ID)
		if home == nil || q.moreCurrent(s, home) || !q.moreCurrent(home, s) && hash > highest {
			home, highest = s, hash
		}
	}
	return home
}

// moreCurrent reports whether a has the newest weights and b does not.
func (q *Query) moreCurrent(a, b *Server) bool { return q.replacedFor(a) == 0 && q.replacedFor(b) > 0 }

// evaluate returns the choice of a server with its expected wait and loss.
func (q *Query) evaluate(s, home *Server) Choice {
	choice := Choice{Server: s, Home: home}
	if q.Engine {
		choice.WaitMs, choice.PrefillTokens, choice.PrefillsShared = q.engineWait(s)
	} else {
		choice.WaitMs = serviceWait(s)
	}
	if s.Zone != q.Zone {
		choice.WaitMs += crossZoneMs
	}
	choice.Loss = q.expectedLoss(&choice)
	return choice
}

// engineWait returns the expected time to the first token in milliseconds, the prompt
// tokens to prefill, and whether the shared parts are among these.
func (q *Query) engineWait(s *Server) (wait float64, prefill int64, prefillsShared bool) {
	prefill = q.OwnTokens
	wait = float64(s.Running) * runningRequestMs
	shared := q.shared(s)
	switch {
	case q.SharedTokens == 0 || shared.expectedAt(s.ID):
	case !shared.available():
		prefill += q.SharedTokens
		prefillsShared = true
	default:
		wait += fetchLatencyMs + float64(q.SharedTokens)/fetchTokensPerMs
		if !shared.Stored {
			wait += float64(q.SharedTokens) / prefillTokensPerMs
		}
	}
	prefillMs := float64(s.PendingTokens+prefill) / prefillTokensPerMs
	if s.Cold {
		prefillMs *= coldFactor
	}
	return wait + prefillMs, prefill, prefillsShared
}

// moveLoss returns the loss from copying the shared parts to a second engine. Without a
// copy in the store, the other engine may have evicted them by the time they are
// fetched, and they are prefilled again. All of them are counted as evicted: counting
// half of them makes more responses late.
func (q *Query) moveLoss(choice *Choice) float64 {
	shared := q.shared(choice.Server)
	switch {
	case shared.expectedAt(choice.Server.ID):
		return 0
	case shared.Stored:
		return moveLoss
	}
	return moveLoss + recomputeLossPer1000Tokens*float64(q.SharedTokens)/1000
}

// serviceWait returns the expected latency of a plain service in milliseconds: that of
// recent responses, and as much again for each full set of slots that is in use.
func serviceWait(s *Server) float64 {
	latency := max(1, s.LatencyMs)
	if s.Cold {
		latency *= coldFactor
	}
	return latency * (1 + float64(s.Running)/float64(max(1, s.Slots)))
}

// expectedLoss returns the sum of the losses expected from a choice.
func (q *Query) expectedLoss(choice *Choice) float64 {
	target := defaultTargetMs
	if q.Target > 0 {
		target = float64(q.Target) / float64(time.Millisecond)
	}
	ratio := choice.WaitMs / target
	loss := waitLoss*ratio + lateLoss*min(1, max(0, (ratio-lateThreshold)/(1-lateThreshold)))
	loss += failureLoss * choice.Server.FailureRate
	if q.replacedFor(choice.Server) > oldWeightsGrace {
		loss += oldWeightsLoss
	}
	if choice.Home != nil && !choice.AtHome() {
		loss += q.moveLoss(choice)
	}
	return loss
}
