// Package quarantine finds requests, and parts of prompts, that crash the backend servers
// that answer them, and decides which requests are held back because of them. A request
// that is sent again and again, unchanged, is a part of itself.
//
// When a server's process ends, each request that waited for its first event there is a
// possible cause, and so is each of the shared parts of its prompt. A part is blamed once
// several servers have ended under requests with it, each sent after the end of the server
// before, and no request with it has succeeded since. Servers that end together therefore
// count once, and the parts of successful requests are never blamed. A blamed part holds
// back only the requests that have all parts in common with those that crashed servers. Of
// two parts that were lost at the same servers, one explains the other; see isExplained.
//
// From time to time one gateway sends one of the held requests as a probe. Its success
// ends the blame; another crash makes the time until the next probe much longer, so that
// probes of a part that goes on crashing servers end few of them.
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCrashes is the number of servers that must have ended under requests with a part,
	// one after the other, before the part is blamed.
	minCrashes = 3
	// minWaitingCrashes is the number when servers had got further with other requests, and
	// minWaitingRequests that of a whole request that has not succeeded lately.
	minWaitingCrashes  = 5
	minWaitingRequests = 4
	// maxCounted bounds the crashes that count against a part.
	maxCounted = 8
	// firstHold is the time from a crash to the first probe. Each probe that crashes a server
	// multiplies it by holdFactor, up to maxHold, so that few servers end in a day.
	firstHold  = 20 * time.Second
	holdFactor = 75
	maxHold    = 30 * time.Hour
	// forgetAfter is how long a crash is remembered while no part is blamed for it, and
	// forgetBlameAfter how long a blame lasts after its last crash. It must exceed maxHold.
	forgetAfter      = 40 * time.Minute
	forgetBlameAfter = 2 * maxHold
	// ageRounding covers what the ages of crashes lose in messages. newsShift is how much later
	// a crash seems to be at those that are told of it: a request that is sent again at once
	// seems to be sent before the end of the first server.
	ageRounding = time.Second
	newsShift   = 25 * time.Millisecond
	// probeTurn is how long a gateway is the one that may send a probe.
	probeTurn = 5 * time.Second
	// probeTime bounds the time until a probe is ended.
	probeTime = time.Minute
	// probePause is the time after a probe that has no outcome until the next one, as when its
	// client has left, brokenProbePause if its connection broke, and claimedProbePause if
	// another process had claimed it.
	probePause        = time.Second
	brokenProbePause  = firstHold
	claimedProbePause = probeTurn
	// maxCrashes bounds the crashes that are remembered, maxPerServer those of one server that
	// other processes tell, but for repeated requests, maxOwnPerServer those of one server that
	// this process has seen, and MaxParts the parts of a request that are considered.
	maxCrashes      = 512
	maxPerServer    = 8
	maxOwnPerServer = 32
	MaxParts        = 32
)

// Part identifies a shared part of a prompt within its service, or a whole request.
type Part uint64

// wholeRequest is the bit that tells whole requests from parts of prompts.
const wholeRequest = 1

// IsRequest reports whether the part is a whole request.
func (p Part) IsRequest() bool { return p&wholeRequest != 0 }

// PartOf returns the Part with the given id in the prompts to a service.
func PartOf(service, id string) Part {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(service) // never fails
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(id)
	return Part(digest.Sum64() &^ wholeRequest)
}

// RequestOf returns the Part that stands for whole requests: those to a service with the same
// method, target (path and query), caller and body.
func RequestOf(service, method, target, caller string, body []byte) Part {
	var digest xxhash.Digest
	digest.Reset()
	for _, text := range []string{service, method, target, caller} {
		_, _ = digest.WriteString(text) // never fails
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return Part(digest.Sum64() | wholeRequest)
}

// Stage is how far a server was with a request when its process ended. The requests of the
// highest stage at a server are the first to be suspected.
type Stage uint8

// The stages, in the order in which they point to a request as the cause.
const (
	Waiting   Stage = iota // no response had begun
	Streaming              // the first events had come
	Beginning              // a response had begun, without an event
	stages
)

// String returns the stage as logs show it.
func (s Stage) String() string {
	switch s {
	case Waiting:
		return "waiting"
	case Streaming:
		return "streaming"
	default:
		return "beginning"
	}
}

// startTime is the time after its first event in which a response still counts as a possible
// cause of its server's end.
const startTime = 500 * time.Millisecond

// StageAt returns the stage of a request whose server has ended: began says whether a response
// had begun, first is the time of its first event, zero if none came. It returns false if
// the response had gone on for too long to be the cause.
func StageAt(began bool, first, now time.Time) (Stage, bool) {
	switch {
	case !first.IsZero():
		return Streaming, now.Sub(first) < startTime
	case began:
		return Beginning, true
	default:
		return Waiting, true
	}
}

// CrashTime is how long after the connection of a request broke the end of the server's process
// still counts as a crash. A process may accept connections for seconds until it has ended, for
// instance while its memory is written to a file.
const CrashTime = 5 * time.Second

// CrashChecks are the pauses before the checks whether the process has ended.
var CrashChecks = []time.Duration{0, 150 * time.Millisecond, 500 * time.Millisecond, 1300 * time.Millisecond, 2900 * time.Millisecond}

// Crash is the end of a server's process under a request.
type Crash struct {
	Server string    // id and incarnation
	Sent   time.Time // when the request was sent to the server
	Ended  time.Time
	Stage  Stage
	Parts  []Part // shared parts of the request's prompt, and the request itself
	Proven bool   // the request has succeeded lately, as far as the reporting process knows
}

// Elect reports whether this process may send the probe of a part in the given turn.
type Elect func(part Part, turn int64) bool

// Decision says what to do with a request.
type Decision struct {
	Held       bool
	Part       Part          // the blamed part; set if Held or Probe
	RetryAfter time.Duration // when Held: the time until the next probe
	Probe      bool          // the request tests whether its part still crashes servers
	// ProbeID, of a probe, is the same at all processes that know of the same last crash. Only
	// one of them should send a probe with it.
	ProbeID string
}

// ProbeEnd is how a probe without a success or a crash ended.
type ProbeEnd uint8

// How a probe ends without an outcome.
const (
	ProbeUnsent  ProbeEnd = iota // it was not sent, was refused or its client left
	ProbeBroke                   // its connection broke, so that it may have crashed its server
	ProbeClaimed                 // another process sends it
)

var probePauses = [...]time.Duration{ProbeUnsent: probePause, ProbeBroke: brokenProbePause, ProbeClaimed: claimedProbePause}

// crashKey identifies a crash, so that a report that comes twice counts once.
type crashKey struct {
	server string
	parts  uint64
}

// endedServer is a server whose process has ended.
type endedServer struct {
	crashes int
	stage   Stage // the highest of its crashes
}

// blame is the finding against a part.
type blame struct {
	common  []Part    // that a request must have to be held back; includes the part
	crashes []*Crash  // of requests with these parts since the last success, by time
	until   time.Time // no probe before
	servers int       // that ended one after the other
	// explained is whether another part explains the crashes, so that this one may be sound.
	explained bool
	asked     time.Time // when a request first came that could have been the probe; zero: none
}

// last returns the newest crash.
func (b *blame) last() *Crash { return b.crashes[len(b.crashes)-1] }

// Quarantine holds the crashes that are known, and what follows from them. It is safe for
// concurrent use.
type Quarantine struct {
	elect  Elect
	meters meters

	remembers atomic.Bool // any crash is known
	blames    atomic.Bool // any part is blamed
	proven    recentParts // requests that have succeeded lately

	mu      sync.Mutex
	crashes []*Crash // in the order in which they were learned
	known   map[crashKey]struct{}
	byPart  map[Part][]*Crash
	servers map[string]*endedServer
	success map[Part]time.Time // newest success, of parts in byPart
	blamed  map[Part]*blame
	probes  map[Part]time.Time // no other probe before
	rumors  []*rumor
	learned chan struct{} // holds one signal
}

// New returns a Quarantine without crashes. A nil elect allows each probe.
func New(elect Elect) *Quarantine {
	if elect == nil {
		elect = func(Part, int64) bool { return true }
	}
	q := &Quarantine{
		elect: elect, known: make(map[crashKey]struct{}), byPart: make(map[Part][]*Crash),
		servers: make(map[string]*endedServer),
		success: make(map[Part]time.Time), blamed: make(map[Part]*blame), probes: make(map[Part]time.Time),
		learned: make(chan struct{}, 1),
	}
	q.meters = newMeters(q)
	return q
}

// Remembers reports whether any crash is known. Until then, successes need not be recorded.
func (q *Quarantine) Remembers() bool { return q.remembers.Load() }

// Blames reports whether any part is blamed. Until then, no request is held back.
func (q *Quarantine) Blames() bool { return q.blames.Load() }

// Check decides whether a request with the given parts may be sent to a server. A request
// that is a probe must be followed by RecordCrash, RecordSuccess or EndProbe.
func (q *Quarantine) Check(parts []Part, now time.Time) Decision {
	if !q.Blames() {
		return Decision{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forget(now)
	var result Decision
	for _, part := range limitParts(parts) {
		b := q.blamed[part]
		if b == nil || !containsAll(parts, b.common) {
			continue
		}
		wait := q.untilProbe(part, b, now)
		if wait > result.RetryAfter || result.Part == 0 {
			result = Decision{Held: wait > 0, Part: part, RetryAfter: wait, Probe: wait == 0}
		}
	}
	switch {
	case result.Probe:
		result.ProbeID = result.Part.String() + "/" + PartOf(q.blamed[result.Part].last().Server, "").String()
		q.probes[result.Part] = now.Add(probeTime)
		q.meters.count(q.meters.probes)
		logProbe(result.Part, q.blamed[result.Part], now)
	case result.Held:
		q.meters.count(q.meters.held)
	}
	return result
}

// untilProbe returns the time until a request may be sent as a probe of a blamed part; 0:
// now, and here. The caller holds the lock.
func (q *Quarantine) untilProbe(part Part, b *blame, now time.Time) time.Duration {
	from := b.until
	if next := q.probes[part]; next.After(from) {
		from = next
	}
	if wait := from.Sub(now); wait > 0 {
		return wait
	}
	if b.asked.IsZero() {
		b.asked = now // all gateways to which requests come begin with the first turn
	}
	if !q.elect(part, turnOf(b, now)) {
		return probeTurn - now.Sub(b.asked)%probeTurn
	}
	return 0
}

// turnOf returns the number of the turn to send a probe, from 0.
func turnOf(b *blame, now time.Time) int64 { return int64(now.Sub(b.asked) / probeTurn) }

// EndProbe ends a probe of which neither success nor crash was recorded. It returns the time
// until the next one.
func (q *Quarantine) EndProbe(part Part, end ProbeEnd, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.probes[part]; ok {
		q.probes[part] = now.Add(probePauses[end])
		logProbeEnd(part, end)
	}
	return probePauses[end]
}

// RecordCrash records a crash that this process has seen.
func (q *Quarantine) RecordCrash(crash Crash, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	crash.Parts = slices.Clone(limitParts(crash.Parts))
	crash.Proven = slices.ContainsFunc(crash.Parts, func(p Part) bool { return p.IsRequest() && q.proven.has(p, now) })
	q.forget(now)
	if q.add(&crash, maxOwnPerServer, now) {
		q.meters.count(q.meters.crashes)
		q.spread(&rumor{crash: &crash})
	}
}

// RecordSuccess records that a server has answered a request with the given parts whole.
func (q *Quarantine) RecordSuccess(parts []Part, now time.Time) {
	for _, part := range parts {
		if part.IsRequest() {
			q.proven.add(part, now)
		}
	}
	if !q.Remembers() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	settled := make(map[string]struct{})
	for _, part := range limitParts(parts) {
		if open := q.openCrashes(part); open > 0 {
			q.clear(part, now, settled)
			if open > 1 {
				q.spread(&rumor{success: part})
			}
		}
	}
	for server := range settled {
		q.judgeServer(server)
	}
}

// limitParts returns the parts that are considered: the last ones, since requests share
// the first ones most often.
func limitParts(parts []Part) []Part { return parts[max(0, len(parts)-MaxParts):] }

// add adds a crash unless it is known or too old, or perServer others of its server are
// known that point to a cause as much. The caller holds the lock.
func (q *Quarantine) add(crash *Crash, perServer int, now time.Time) bool {
	key := keyOf(crash)
	if _, ok := q.known[key]; ok || len(crash.Parts) == 0 || now.Sub(crash.Ended) > maxAge {
		return false
	}
	server := q.servers[crash.Server]
	if server == nil {
		server = &endedServer{}
	}
	if server.crashes >= maxPerServer && crash.Stage <= server.stage && !q.isRepeated(crash) {
		if server.crashes >= perServer {
			return false
		}
		// The parts of prompts are known from the others, but the request is not.
		crash.Parts = slices.DeleteFunc(slices.Clone(crash.Parts), func(p Part) bool { return !p.IsRequest() })
		key = keyOf(crash)
		if _, ok := q.known[key]; ok || len(crash.Parts) == 0 {
			return false
		}
	}
	if len(q.crashes) >= maxCrashes {
		q.remove(max(0, slices.IndexFunc(q.crashes, func(c *Crash) bool { return !q.isEvidence(c, time.Time{}) })))
	}
	q.known[key] = struct{}{}
	q.crashes = append(q.crashes, crash)
	server.crashes++
	server.stage = max(server.stage, crash.Stage)
	q.servers[crash.Server] = server
	for _, part := range crash.Parts {
		q.byPart[part] = append(q.byPart[part], crash)
	}
	q.remembers.Store(true)
	q.judgeServer(crash.Server)
	for _, part := range slices.Collect(maps.Keys(q.blamed)) {
		q.judge(part) // the new crash may be of a part that explains it
	}
	return true
}

// isRepeated reports whether the whole request of a crash was lost before. Few requests are,
// and one that crashes servers is. The caller holds the lock.
func (q *Quarantine) isRepeated(crash *Crash) bool {
	return slices.ContainsFunc(crash.Parts, func(p Part) bool { return p.IsRequest() && len(q.byPart[p]) > 0 })
}

func keyOf(crash *Crash) crashKey {
	sum := uint64(0)
	for _, part := range crash.Parts {
		sum = sum*31 + uint64(part)
	}
	return crashKey{server: crash.Server, parts: sum}
}

// forget removes the crashes that are too old. The caller holds the lock.
func (q *Quarantine) forget(now time.Time) {
	for i := 0; i < len(q.crashes) && now.Sub(q.crashes[i].Ended) > forgetAfter; {
		if q.isEvidence(q.crashes[i], now.Add(-forgetBlameAfter)) {
			i++
		} else {
			q.remove(i)
		}
	}
}

// isEvidence reports whether a part is blamed because of a crash, or a probe led to it, and the
// last crash of that part came after since. The caller holds the lock.
func (q *Quarantine) isEvidence(crash *Crash, since time.Time) bool {
	return len(q.blamed) > 0 && slices.ContainsFunc(crash.Parts, func(part Part) bool {
		b := q.blamed[part]
		return b != nil && b.last().Ended.After(since) && slices.Contains(b.crashes, crash)
	})
}

// remove removes a crash. The caller holds the lock.
func (q *Quarantine) remove(index int) {
	crash := q.crashes[index]
	q.crashes = slices.Delete(q.crashes, index, index+1)
	delete(q.known, keyOf(crash))
	if server := q.servers[crash.Server]; server != nil {
		if server.crashes--; server.crashes == 0 {
			delete(q.servers, crash.Server)
		}
	}
	for _, part := range crash.Parts {
		rest := slices.DeleteFunc(q.byPart[part], func(c *Crash) bool { return c == crash })
		if q.byPart[part] = rest; len(rest) == 0 {
			delete(q.byPart, part)
			delete(q.success, part)
			delete(q.probes, part)
		}
		q.judge(part)
	}
	q.remembers.Store(len(q.crashes) > 0)
}

// openCrashes returns the number of crashes with a part since its last success. The caller
// holds the lock.
func (q *Quarantine) openCrashes(part Part) int {
	open := 0
	for _, crash := range q.byPart[part] {
		if crash.Ended.After(q.success[part]) {
			open++
		}
	}
	return open
}

// clear records the success of a part, and adds to servers those whose ends must be judged
// again. The caller holds the lock.
func (q *Quarantine) clear(part Part, at time.Time, servers map[string]struct{}) {
	q.success[part] = at
	delete(q.probes, part)
	for _, crash := range q.byPart[part] {
		servers[crash.Server] = struct{}{}
	}
}
