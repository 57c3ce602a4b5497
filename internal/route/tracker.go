package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/serverbackoff"
)

// defaultPrefillRate, in tokens per second, is used for all engines until one has
// reported its rate.
const defaultPrefillRate = 8000

// Tracker keeps the load of each backend server as this router knows it: the
// last report and the work that the router has dispatched since. It is safe for
// concurrent use.
type Tracker struct {
	mu              sync.RWMutex
	servers         map[string]*serverLoad // by RPC address
	lastPrefillRate atomic.Uint64          // float64 bits; reported last by any server
}

// serverLoad is the load of one backend server.
type serverLoad struct {
	tracker          *Tracker
	report           atomic.Pointer[report]
	dispatchedTokens [classCount]atomic.Int64 // uncached prompt tokens dispatched since the start
	inflight         atomic.Int64             // attempts of this router that have not ended
}

// Indexes of the request classes in arrays.
const (
	urgent = iota
	deferrable
	classCount
)

// classIndex returns the index of the class.
func classIndex(class config.Class) int {
	if class == config.ClassDeferrable {
		return deferrable
	}
	return urgent
}

// backlog is the number of prompt tokens that wait for prefill, by class.
type backlog [classCount]float64

func (b backlog) total() float64 { return b[urgent] + b[deferrable] }

// report is a load report, with the tokens that had been dispatched to the server
// when it was received.
type report struct {
	load             *wire.Load
	receivedAt       time.Time
	dispatchedTokens [classCount]int64
	notLoaded        []platform.Weights // reported, but refused since as not loaded
}

// backlogOf returns the backlog in a load report.
func backlogOf(load *wire.Load) backlog {
	urgentTokens := load.GetUrgentBacklogTokens()
	return backlog{urgent: float64(urgentTokens), deferrable: float64(load.GetBacklogTokens() - urgentTokens)}
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

// RecordReport records a load report of the backend server at address.
func (t *Tracker) RecordReport(address string, load *wire.Load) {
	server := t.server(address)
	if load.GetPrefillRate() > 0 {
		t.lastPrefillRate.Store(math.Float64bits(load.GetPrefillRate()))
	}
	server.report.Store(&report{load: load, receivedAt: time.Now(), dispatchedTokens: server.dispatchedTotals()})
}

// dispatched records a request sent to the backend server at address, with the
// number of prompt tokens that the server is expected to compute.
func (t *Tracker) dispatched(address string, class int, prefillTokens int64) {
	server := t.server(address)
	server.inflight.Add(1)
	server.dispatchedTokens[class].Add(prefillTokens)
}

// dispatchedTotals returns the prompt tokens dispatched since the start, by
// class.
func (s *serverLoad) dispatchedTotals() (dispatchedTokens [classCount]int64) {
	for class := range dispatchedTokens {
		dispatchedTokens[class] = s.dispatchedTokens[class].Load()
	}
	return dispatchedTokens
}

// finished records the end of an attempt at the backend server at address.
func (t *Tracker) finished(address string) {
	t.server(address).inflight.Add(-1)
}

// loadOf returns the load report in the frame, or nil.
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

// backlog returns the estimated backlog of the backend server now: the reported
// one, less what was computed since, urgent work first, plus what was
// dispatched since.
func (s *serverLoad) backlog(now time.Time) backlog {
	var waiting backlog
	var dispatchedTokens [classCount]int64
	if last := s.report.Load(); last != nil {
		waiting = backlogOf(last.load)
		dispatchedTokens = last.dispatchedTokens
		computed := now.Sub(last.receivedAt).Seconds() * s.prefillRate()
		for class := range waiting {
			done := min(computed, waiting[class])
			waiting[class] -= done
			computed -= done
		}
	}
	for class := range waiting {
		waiting[class] += float64(s.dispatchedTokens[class].Load() - dispatchedTokens[class])
	}
	return waiting
}

// prefillRate returns the prefill rate of the engine in tokens per second. An
// engine that has not reported gets the rate that any engine reported last, so
// that it is neither preferred nor avoided.
func (s *serverLoad) prefillRate() float64 {
	last := s.report.Load()
	if last != nil && last.load.GetPrefillRate() > 0 {
		return last.load.GetPrefillRate()
	}
	if lastPrefillRate := math.Float64frombits(s.tracker.lastPrefillRate.Load()); lastPrefillRate > 0 {
		return lastPrefillRate
	}
	return defaultPrefillRate
}

// requestCount returns the number of requests at the backend server: the
// reported number, or that of this router if it is higher.
func (s *serverLoad) requestCount() int64 {
	own := s.inflight.Load()
	last := s.report.Load()
	if last == nil {
		return own
	}
	return max(own, int64(last.load.GetQueued()+last.load.GetRunning()))
}

// pause returns how much longer the backend server wants no request, by the last report.
func (s *serverLoad) pause(now time.Time) time.Duration {
	last := s.report.Load()
	if last == nil || last.load.GetPauseMs() <= 0 {
		return 0
	}
	pause := min(time.Duration(last.load.GetPauseMs())*time.Millisecond, serverbackoff.MaxWait)
	return max(0, last.receivedAt.Add(pause).Sub(now))
}

// draining reports whether the last report, if it is recent, has the sidecar as
// draining.
func (s *serverLoad) draining(now time.Time) bool {
	last := s.report.Load()
	return last != nil && last.load.GetDraining() && now.Sub(last.receivedAt) < drainingReportTTL
}

// drainingReportTTL is how long a server gets no new work after it reported that
// it is draining. Then it is tried again, since its sidecar may have restarted.
const drainingReportTTL = 5 * time.Second

// incarnation returns the last reported incarnation of the engine, or 0.
func (s *serverLoad) incarnation() uint64 {
	last := s.report.Load()
	if last == nil {
		return 0
	}
	return last.load.GetIncarnation()
}
