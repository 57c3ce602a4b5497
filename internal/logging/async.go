package logging

import (
	"bufio"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
)

const (
	// queueLines is the capacity of each of the two queues, in lines. A line has
	// about 400 bytes, so both together take 1.6 MB at most.
	queueLines = 2048
	// bufferBytes is the size of the write buffer.
	bufferBytes = 32 << 10
	// repeatWindow is the interval in which lines with the same message are counted.
	repeatWindow = time.Second
	// repeatLimit is the number of lines with the same message that are written in a
	// window. It does not apply to lines of requests.
	repeatLimit = 20
)

// FieldRequest is the name of the field with a request's ID.
const FieldRequest = "request_id"

// FieldParts is the field with the hashes of all shared parts of a prompt.
const FieldParts = "parts"

// FieldQuarantined is the field with the hash of a part that is blamed for crashes of
// backend servers.
const FieldQuarantined = "quarantined_part"

// FieldConfigVersion is the field with the version of the configuration in force.
const FieldConfigVersion = "config_version"

// FieldWaitUntil is the field with the time until which a backend server wants no request.
const FieldWaitUntil = "wants_nothing_until"

// FieldLeavingSince is the field with the time at which it became known that a backend server
// leaves.
const FieldLeavingSince = "leaving_since"

// FieldLimit is the field with the limit of a backend server, in requests a second; 0 after its
// end.
const FieldLimit = "limit_per_s"

// Names of the fields from which a request can be replayed.
const (
	FieldPart         = "part"          // hash of the last shared part of the prompt
	FieldSharedTokens = "shared_tokens" // of the shared parts
	FieldOwnTokens    = "own_tokens"    // of the rest of the prompt
	FieldOutputTokens = "output_tokens" // maximum number
	FieldTargetMs     = "target_ms"     // target for the time to the first token
)

// asyncHandler passes lines to a goroutine, so that logging never blocks. Warnings and
// errors, which explain failed requests, have a separate queue that is written first.
type asyncHandler struct {
	next           log.Handler
	buffer         *bufio.Writer
	urgent         chan *log.Entry
	normal         chan *log.Entry
	flush          chan chan struct{}
	dropped        atomic.Int64
	droppedCounter metric.Int64Counter
	limiter        rateLimiter
}

// startAsync returns a handler that passes lines to the handler that newHandler returns.
func startAsync(w io.Writer, newHandler func(io.Writer) log.Handler) *asyncHandler {
	a := &asyncHandler{
		buffer: bufio.NewWriterSize(w, bufferBytes),
		urgent: make(chan *log.Entry, queueLines),
		normal: make(chan *log.Entry, queueLines),
		flush:  make(chan chan struct{}),
	}
	a.next = newHandler(a.buffer)
	counter, err := otel.Meter("wasabigate/logging").Int64Counter("wasabigate.log.dropped", metric.WithUnit("{line}"),
		metric.WithDescription("Lines that were not written, because they came faster than they could be."))
	if err != nil {
		otel.Handle(err)
	}
	a.droppedCounter = counter
	go a.run()
	return a
}

// HandleLog implements log.Handler. It never blocks.
func (a *asyncHandler) HandleLog(e *log.Entry) error {
	if !a.limiter.allow(e) {
		return nil
	}
	queue := a.normal
	if e.Level >= log.WarnLevel {
		queue = a.urgent
	}
	select {
	case queue <- e:
	default:
		a.dropped.Add(1)
		if a.droppedCounter != nil {
			a.droppedCounter.Add(context.Background(), 1)
		}
	}
	return nil
}

// run writes lines, urgent ones first, and flushes the buffer when both queues are
// empty.
func (a *asyncHandler) run() {
	for {
		select {
		case e := <-a.urgent:
			a.write(e)
			continue
		default:
		}
		select {
		case e := <-a.urgent:
			a.write(e)
		case e := <-a.normal:
			a.write(e)
		case done := <-a.flush:
			a.drain()
			close(done)
		}
		if len(a.urgent)+len(a.normal) == 0 {
			a.flushBuffer()
		}
	}
}

func (a *asyncHandler) drain() {
	for len(a.urgent)+len(a.normal) > 0 {
		select {
		case e := <-a.urgent:
			a.write(e)
		case e := <-a.normal:
			a.write(e)
		}
	}
	a.flushBuffer()
}

// flushBuffer writes the buffered lines. A write error cannot be logged, so it is only
// counted as a dropped line.
func (a *asyncHandler) flushBuffer() {
	if err := a.buffer.Flush(); err != nil {
		a.dropped.Add(1)
	}
}

func (a *asyncHandler) write(e *log.Entry) {
	if count := a.dropped.Swap(0); count > 0 {
		a.handle(warning(e, "logging: lines lost", count))
	}
	if e.Message == "" {
		return
	}
	a.handle(e)
	for _, summary := range a.limiter.removeExpired(e.Timestamp) {
		a.handle(summary)
	}
}

func (a *asyncHandler) handle(e *log.Entry) {
	if err := a.next.HandleLog(e); err != nil {
		a.dropped.Add(1)
	}
}

// warning returns a warning of the logging package itself, with the logger and time of
// source.
func warning(source *log.Entry, message string, count int64) *log.Entry {
	return &log.Entry{Logger: source.Logger, Level: log.WarnLevel, Timestamp: source.Timestamp, Message: message, Fields: log.Fields{"count": count}}
}

// rateLimiter limits the rate of lines with the same message. Lines of requests are
// not limited.
type rateLimiter struct {
	mu      sync.Mutex
	windows map[string]*repeatCount
}

type repeatCount struct {
	since  time.Time
	lines  int64
	latest *log.Entry
}

// allow reports whether the line is written.
func (l *rateLimiter) allow(e *log.Entry) bool {
	if _, ok := e.Fields[FieldRequest]; ok {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.windows == nil {
		l.windows = make(map[string]*repeatCount)
	}
	count := l.windows[e.Message]
	if count == nil {
		count = &repeatCount{since: e.Timestamp}
		l.windows[e.Message] = count
	}
	count.lines++
	count.latest = e
	return count.lines <= repeatLimit
}

// removeExpired removes the windows that are over, and returns a summary line for each
// one in which lines were suppressed.
func (l *rateLimiter) removeExpired(now time.Time) []*log.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var summaries []*log.Entry
	for message, count := range l.windows {
		if now.Sub(count.since) < repeatWindow {
			continue
		}
		if suppressed := count.lines - repeatLimit; suppressed > 0 {
			summaries = append(summaries, warning(count.latest, message+" (repeated)", suppressed))
		}
		delete(l.windows, message)
	}
	return summaries
}
