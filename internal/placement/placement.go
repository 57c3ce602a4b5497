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
	"math/bits"
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
	// refusalLoss is the loss of an attempt at a server that refused another one just now.
	refusalLoss = 0.4
)

// The share of a server's streams with a gap longer than their route allows grows with its
// pace. On a deployment with servers of three speeds it was 0.04, 0.16 and 0.36 at half, once
// and 1.6 times the median pace.
const (
	gapShare    = 0.35 // by which that share grows for each median pace more
	minGapShare = -0.2
	maxGapShare = 0.5
)

// minHomeWeight and maxHomeWeight bound the share of the prompts whose home is a slow or a fast
// server.
const minHomeWeight, maxHomeWeight = 0.4, 1.5

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
	IDHash        uint64 // HashID of ID
	Address       string
	Zone          string
	Software      string // version of its software
	Slots         int
	Draining      bool
	Cold          bool
	Loading       bool    // loads weights and refuses requests meanwhile
	Limited       bool    // named a limit that allows no request now
	Paused        bool    // named a time until which it wants no request
	Refusing      bool    // refused a request recently
	Suspect       bool    // was unreachable or refused a request recently
	Weights       uint64  // version of the weights of the query's model
	Running       int     // requests in flight, from all gateways
	PendingTokens int64   // tokens still to be prefilled for these requests
	FailureRate   float64 // of recent attempts, 0 to 1
	LatencyMs     float64 // mean of recent responses, for a plain service; 0: unknown
	Speed         float64 // of its streams, relative to the median of its service; 0: unknown, or the servers are alike
}

// HashID returns the hash of a server's id by which the homes of shared parts are chosen.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// rendezvous combines the hashes of a key and of a server. Its multiplications make each
// bit of the result depend on all bits of both.
func rendezvous(key, server uint64) uint64 {
	high, low := bits.Mul64(key^server, 0x9e3779b97f4a7c15)
	high, low = bits.Mul64(high^low^server, 0xd6e8feb86659fd93)
	return high ^ low
}

// Query is a request to place.
type Query struct {
	Zone         string
	Engine       bool
	Target       time.Duration // target latency; 0: defaultTargetMs
	TargetGap    time.Duration // longest acceptable time between two events of a stream; 0: none
	HomeKey      string        // key of the last shared part for rendezvous hashing; empty: none
	SharedTokens int64
	OwnTokens    int64
	Shared       func(weights uint64) Shared        // where the shared parts are cached; nil: unknown
	ReplacedFor  func(weights uint64) time.Duration // time since a newer version became the target; 0: it is the newest
	MaxReplaced  time.Duration                      // time after which replaced weights may not be used; 0: no limit
	Tried        func(id string) bool
	Software     *string // only servers of this software version; nil: of any
	// Usable reports whether a server may be used by its id and software version; nil: all may.
	Usable func(id, software string) bool
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
	Draining, Loading, Tried, OldWeights, Limited, Paused, OtherSoftware int
}

// String returns the counts as text. Clients receive it in the message of an error.
func (e Exclusions) String() string {
	return fmt.Sprintf("%d leave, %d load weights, %d were tried, %d have old weights, %d limit their requests, %d want none now, %d have another software version",
		e.Draining, e.Loading, e.Tried, e.OldWeights, e.Limited, e.Paused, e.OtherSoftware)
}

// AtHome reports whether the chosen server is the home of the prompt.
func (c *Choice) AtHome() bool { return c.Home != nil && c.Server.ID == c.Home.ID }

// Pick returns the server with the lowest expected loss, or false if none may be used.
func Pick(q *Query, servers []Server) (Choice, bool) {
	d := decision{Query: q}
	usable, excluded := d.filter(servers)
	if len(usable) == 0 {
		return Choice{Excluded: excluded}, false
	}
	home := d.homeOf(usable)
	best := Choice{Loss: math.Inf(1)}
	for _, s := range usable {
		if choice := d.evaluate(s, home); choice.Loss < best.Loss {
			best = choice
		}
	}
	best.Excluded = excluded
	return best, true
}

// decision is a Query while it is decided. It remembers what the query's functions
// returned for the last version of the weights, since most servers have the same one.
type decision struct {
	*Query
	known       bool // the fields below are set
	weights     uint64
	parts       Shared
	replacedAge time.Duration
}

// lookUp sets the fields that depend on a version of the weights.
func (d *decision) lookUp(weights uint64) {
	if d.known && d.weights == weights {
		return
	}
	d.known, d.weights, d.parts, d.replacedAge = true, weights, Shared{}, 0
	if d.Shared != nil {
		d.parts = d.Shared(weights)
	}
	if d.ReplacedFor != nil {
		d.replacedAge = d.ReplacedFor(weights)
	}
}

// filter returns the servers that may take the request. Suspect servers are left out
// unless they outnumber the healthy ones.
func (d *decision) filter(servers []Server) ([]*Server, Exclusions) {
	healthy := make([]*Server, 0, len(servers))
	var suspect []*Server
	var excluded Exclusions
	for i := range servers {
		s := &servers[i]
		switch {
		case s.Draining:
			excluded.Draining++
		case d.Software != nil && s.Software != *d.Software, d.Usable != nil && !d.Usable(s.ID, s.Software):
			excluded.OtherSoftware++
		case s.Loading:
			excluded.Loading++
		case d.Tried != nil && d.Tried(s.ID):
			excluded.Tried++
		case d.weightsExpired(s):
			excluded.OldWeights++
		case s.Paused:
			excluded.Paused++
		case s.Limited:
			excluded.Limited++
		case s.Suspect, s.Refusing:
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
func (d *decision) weightsExpired(s *Server) bool {
	return d.MaxReplaced > 0 && d.replacedFor(s) > d.MaxReplaced-deadlineMargin
}

// replacedFor returns the time since the server's weights were replaced, or 0.
func (d *decision) replacedFor(s *Server) time.Duration {
	d.lookUp(s.Weights)
	return d.replacedAge
}

// shared returns where the shared parts are cached for a server's weights.
func (d *decision) shared(s *Server) *Shared {
	d.lookUp(s.Weights)
	return &d.parts
}

// prefilling reports whether the server is prefilling the shared parts for another
// request.
func (d *decision) prefilling(s *Server) bool { return d.shared(s).Prefilling == s.ID }

// homeOf returns the server that is prefilling the shared parts, or else the one with
// the highest rendezvous hash of the query's key. Servers with the newest weights are
// preferred in both cases.
func (d *decision) homeOf(servers []*Server) *Server {
	if d.HomeKey == "" {
		return nil
	}
	for _, s := range servers {
		if d.prefilling(s) && d.replacedFor(s) == 0 {
			return s
		}
	}
	key := xxhash.Sum64String(d.HomeKey)
	var home *Server
	var highest float64
	for _, s := range servers {
		score := homeScore(key, s)
		if home == nil || d.moreCurrent(s, home) || !d.moreCurrent(home, s) && score > highest {
			home, highest = s, score
		}
	}
	return home
}

// homeScore returns a number in [0, 1), the highest of which decides the home of a key. Servers
// of unequal speed get shares in proportion to their speeds, within bounds, as their memory
// is the same.
func homeScore(key uint64, s *Server) float64 {
	score := float64(rendezvous(key, s.IDHash)>>11) / (1 << 53)
	if s.Speed > 0 {
		return math.Pow(score, 1/min(maxHomeWeight, max(minHomeWeight, s.Speed)))
	}
	return score
}

// moreCurrent reports whether a has the newest weights and b does not.
func (d *decision) moreCurrent(a, b *Server) bool {
	return d.replacedFor(a) == 0 && d.replacedFor(b) > 0
}

// evaluate returns the choice of a server with its expected wait and loss.
func (d *decision) evaluate(s, home *Server) Choice {
	choice := Choice{Server: s, Home: home}
	if d.Engine {
		choice.WaitMs, choice.PrefillTokens, choice.PrefillsShared = d.engineWait(s)
	} else {
		choice.WaitMs = serviceWait(s)
	}
	if s.Zone != d.Zone {
		choice.WaitMs += crossZoneMs
	}
	choice.Loss = d.expectedLoss(&choice)
	return choice
}

// engineWait returns the expected time to the first token in milliseconds, the prompt
// tokens to prefill, and whether the shared parts are among these.
func (d *decision) engineWait(s *Server) (wait float64, prefill int64, prefillsShared bool) {
	prefill = d.OwnTokens
	wait = float64(s.Running) * runningRequestMs
	shared := d.shared(s)
	switch {
	case d.SharedTokens == 0 || shared.expectedAt(s.ID):
	case !shared.available():
		prefill += d.SharedTokens
		prefillsShared = true
	default:
		wait += fetchLatencyMs + float64(d.SharedTokens)/fetchTokensPerMs
		if !shared.Stored {
			wait += float64(d.SharedTokens) / prefillTokensPerMs
		}
	}
	prefillMs := float64(s.PendingTokens+prefill) / prefillTokensPerMs
	if s.Speed > 0 {
		wait /= s.Speed
		prefillMs /= s.Speed
	}
	if s.Cold {
		prefillMs *= coldFactor
	}
	return wait + prefillMs, prefill, prefillsShared
}

// moveLoss returns the loss from copying the shared parts to a second engine. Without a
// copy in the store, the other engine may have evicted them by the time they are
// fetched, and they are prefilled again. All of them are counted as evicted: counting
// half of them makes more responses late.
func (d *decision) moveLoss(choice *Choice) float64 {
	shared := d.shared(choice.Server)
	switch {
	case shared.expectedAt(choice.Server.ID):
		return 0
	case shared.Stored:
		return moveLoss
	}
	return moveLoss + recomputeLossPer1000Tokens*float64(d.SharedTokens)/1000
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
func (d *decision) expectedLoss(choice *Choice) float64 {
	target := defaultTargetMs
	if d.Target > 0 {
		target = float64(d.Target) / float64(time.Millisecond)
	}
	ratio := choice.WaitMs / target
	loss := waitLoss*ratio + lateLoss*min(1, max(0, (ratio-lateThreshold)/(1-lateThreshold)))
	loss += failureLoss * choice.Server.FailureRate
	if d.TargetGap > 0 && choice.Server.Speed > 0 {
		loss += lateLoss * min(maxGapShare, max(minGapShare, gapShare*(1/choice.Server.Speed-1)))
	}
	if choice.Server.Refusing {
		loss += refusalLoss
	}
	if d.replacedFor(choice.Server) > oldWeightsGrace {
		loss += oldWeightsLoss
	}
	if choice.Home != nil && !choice.AtHome() {
		loss += d.moveLoss(choice)
	}
	return loss
}
