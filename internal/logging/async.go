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
	// queueLines bounds the lines that wait to be written, for each of both queues. A
	// line has about 400 bytes, so that both take 1.6 MB at most.
	queueLines = 2048
	// bufferBytes is written at once.
	bufferBytes = 32 << 10
	// repeatWindow is the time in which lines of the same message are counted.
	repeatWindow = time.Second
	// repeatLimit is how many lines of the same message are written in a window, if
	// they concern no request.
	repeatLimit = 20
)

// FieldRequest is the name of the field with a request's id.
const FieldRequest = "request_id"

// Names of the fields that tell enough of a request to play it again.
const (
	FieldPart         = "part"          // hash of the last shared part of the prompt
	FieldSharedTokens = "shared_tokens" // of the shared parts
	FieldOwnTokens    = "own_tokens"    // of the rest of the prompt
	FieldOutputTokens = "output_tokens" // at most
	FieldTargetMs     = "target_ms"     // within which the first token is due
)

// async hands lines to a goroutine, so that logging never blocks. Warnings and
// errors, which failed requests need, have a queue of their own that goes first.
type async struct {
	next    log.Handler
	buffer  *bufio.Writer
	urgent  chan *log.Entry
	normal  chan *log.Entry
	flush   chan chan struct{}
	dropped atomic.Int64
	counter metric.Int64Counter
	repeats repeats
}

// startAsync returns a handler that gives lines to the one which wrap makes.
func startAsync(w io.Writer, wrap func(io.Writer) log.Handler) *async {
	a := &async{
		buffer: bufio.NewWriterSize(w, bufferBytes),
		urgent: make(chan *log.Entry, queueLines),
		normal: make(chan *log.Entry, queueLines),
		flush:  make(chan chan struct{}),
	}
	a.next = wrap(a.buffer)
	counter, err := otel.Meter("wasabigate/logging").Int64Counter("wasabigate.log.dropped", metric.WithUnit("{line}"),
		metric.WithDescription("Lines that were not written, because they came faster than they could be."))
	if err != nil {
		otel.Handle(err)
	}
	a.counter = counter
	go a.run()
	return a
}

// HandleLog implements log.Handler. It never blocks.
func (a *async) HandleLog(e *log.Entry) error {
	if !a.repeats.admit(e) {
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
		if a.counter != nil {
			a.counter.Add(context.Background(), 1)
		}
	}
	return nil
}

// run writes lines, the urgent ones first, and flushes when none is left.
func (a *async) run() {
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
			a.sync()
		}
	}
}

func (a *async) drain() {
	for len(a.urgent)+len(a.normal) > 0 {
		select {
		case e := <-a.urgent:
			a.write(e)
		case e := <-a.normal:
			a.write(e)
		}
	}
	a.sync()
}

// sync writes what is buffered. A log that can't be written has nowhere to say so
// but the count of lost lines.
func (a *async) sync() {
	if err := a.buffer.Flush(); err != nil {
		a.dropped.Add(1)
	}
}

func (a *async) write(e *log.Entry) {
	if lost := a.dropped.Swap(0); lost > 0 {
		a.handle(note(e, "logging: lines lost", lost))
	}
	if e.Message == "" {
		return
	}
	a.handle(e)
	for _, summary := range a.repeats.expired(e.Timestamp) {
		a.handle(summary)
	}
}

func (a *async) handle(e *log.Entry) {
	if err := a.next.HandleLog(e); err != nil {
		a.dropped.Add(1)
	}
}

// note returns a line of the log's own.
func note(like *log.Entry, message string, count int64) *log.Entry {
	return &log.Entry{Logger: like.Logger, Level: log.WarnLevel, Timestamp: like.Timestamp, Message: message, Fields: log.Fields{"count": count}}
}

// repeats sums up lines of the same message that concern no request.
type repeats struct {
	mu      sync.Mutex
	windows map[string]*repeatCount
}

type repeatCount struct {
	since time.Time
	lines int64
	like  *log.Entry
}

// admit says whether the line is written by itself.
func (r *repeats) admit(e *log.Entry) bool {
	if _, ok := e.Fields[FieldRequest]; ok {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.windows == nil {
		r.windows = make(map[string]*repeatCount)
	}
	count := r.windows[e.Message]
	if count == nil {
		count = &repeatCount{since: e.Timestamp}
		r.windows[e.Message] = count
	}
	count.lines++
	count.like = e
	return count.lines <= repeatLimit
}

// expired ends the windows that are over, and returns a line for each that held
// lines back.
func (r *repeats) expired(now time.Time) []*log.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var summaries []*log.Entry
	for message, count := range r.windows {
		if now.Sub(count.since) < repeatWindow {
			continue
		}
		if held := count.lines - repeatLimit; held > 0 {
			summaries = append(summaries, note(count.like, message+" (repeated)", held))
		}
		delete(r.windows, message)
	}
	return summaries
}
