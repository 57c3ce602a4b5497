package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// defaultPrefillRate is assumed while no engine has reported, in tokens per
// second.
const defaultPrefillRate = 8000

// Tracker keeps what this router knows of each backend server's load: the last
// report, and the router's own work given out since. It is safe for concurrent
// use.
type Tracker struct {
	mu      sync.RWMutex
	servers map[string]*serverLoad // by rpc address
	typical atomic.Uint64          // bits of the prefill rate reported last, by any server
}

// serverLoad is the load of one backend server.
type serverLoad struct {
	tracker  *Tracker
	report   atomic.Pointer[report]
	given    [classCount]atomic.Int64 // prompt tokens given out, ever
	inflight atomic.Int64             // own attempts that have not ended
}

// classes of work at a backend server.
const (
	urgent = iota
	deferrable
	classCount
)

// workClass returns the class of a request's work.
func workClass(class config.Class) int {
	if class == config.ClassDeferrable {
		return deferrable
	}
	return urgent
}

// backlog is the prompt tokens that wait to be computed, by class.
type backlog [classCount]float64

func (b backlog) total() float64 { return b[urgent] + b[deferrable] }

// report is a load report with the state of the router's own counter then.
type report struct {
	load       *wire.Load
	receivedAt time.Time
	given      [classCount]int64
	lacks      []platform.Weights // disproved by a refusal since the report
}

// backlogOf returns the backlog of a load report.
func backlogOf(load *wire.Load) backlog {
	first := load.GetUrgentBacklogTokens()
	return backlog{urgent: float64(first), deferrable: float64(load.GetBacklogTokens() - first)}
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{servers: make(map[string]*serverLoad)}
}

// server returns the load of the backend server at address.
func (t *Tracker) server(address string) *serverLoad {
	t.mu.RLock()
	known := t.servers[address]
	t.mu.RUnlock()
	if known != nil {
		return known
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known = t.servers[address]; known != nil {
		return known
	}
	added := &serverLoad{tracker: t}
	t.servers[address] = added
	return added
}

// Report takes a load report of the backend server at address.
func (t *Tracker) Report(address string, load *wire.Load) {
	server := t.server(address)
	if load.GetPrefillRate() > 0 {
		t.typical.Store(math.Float64bits(load.GetPrefillRate()))
	}
	server.report.Store(&report{load: load, receivedAt: time.Now(), given: server.givenOut()})
}

// dispatched notes a request given to the backend server at address, which is
// expected to compute missing prompt tokens for it.
func (t *Tracker) dispatched(address string, class int, missing int64) {
	server := t.server(address)
	server.inflight.Add(1)
	server.given[class].Add(missing)
}

// givenOut returns the prompt tokens given out so far, by class.
func (s *serverLoad) givenOut() (given [classCount]int64) {
	for class := range given {
		given[class] = s.given[class].Load()
	}
	return given
}

// finished notes the end of an attempt at address.
func (t *Tracker) finished(address string) {
	t.server(address).inflight.Add(-1)
}

// loadOf returns the load carried by a frame, or nil.
func loadOf(frame *wire.Frame) *wire.Load {
	switch {
	case frame.GetHead() != nil:
		return frame.GetHead().GetLoad()
	case frame.GetTail() != nil:
		return frame.GetTail().GetLoad()
	case frame.GetReply() != nil:
		return frame.GetReply().GetLoad()
	case frame.GetFailure() != nil:
		return frame.GetFailure().GetLoad()
	default:
		return nil
	}
}

// backlog returns the prompt tokens that wait at the backend server now: those
// last reported, less what was computed since, urgent ones first, and those
// given out since.
func (s *serverLoad) backlog(now time.Time) backlog {
	var waiting backlog
	var given [classCount]int64
	if last := s.report.Load(); last != nil {
		waiting = backlogOf(last.load)
		given = last.given
		computed := now.Sub(last.receivedAt).Seconds() * s.prefillRate()
		for class := range waiting {
			done := min(computed, waiting[class])
			waiting[class] -= done
			computed -= done
		}
	}
	for class := range waiting {
		waiting[class] += float64(s.given[class].Load() - given[class])
	}
	return waiting
}

// prefillRate returns the engine's prefill rate in tokens per second. An engine
// that has not reported is taken to be like the one that reported last, so that
// it is neither favoured nor avoided.
func (s *serverLoad) prefillRate() float64 {
	last := s.report.Load()
	if last != nil && last.load.GetPrefillRate() > 0 {
		return last.load.GetPrefillRate()
	}
	if typical := math.Float64frombits(s.tracker.typical.Load()); typical > 0 {
		return typical
	}
	return defaultPrefillRate
}

// requests returns the requests at the backend server as far as known: those
// reported, but not fewer than this router's own.
func (s *serverLoad) requests() int64 {
	own := s.inflight.Load()
	last := s.report.Load()
	if last == nil {
		return own
	}
	return max(own, int64(last.load.GetQueued()+last.load.GetRunning()))
}

// draining says whether the sidecar gave notice that it takes no new work.
func (s *serverLoad) draining(now time.Time) bool {
	last := s.report.Load()
	return last != nil && last.load.GetDraining() && now.Sub(last.receivedAt) < noticeLifetime
}

// noticeLifetime is how long a sidecar's notice keeps new work away. A sidecar
// that is back before then is tried again afterwards.
const noticeLifetime = 5 * time.Second

// incarnation returns the last reported incarnation of the engine, or 0.
func (s *serverLoad) incarnation() uint64 {
	last := s.report.Load()
	if last == nil {
		return 0
	}
	return last.load.GetIncarnation()
}
