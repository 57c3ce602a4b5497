// Package logging sets up the structured log. Each component of a daemon logs short
// messages with its own fixed prefix.
package logging

import (
	"io"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
	"github.com/pkg/errors"
)

// Log formats. Text is logfmt: key=value pairs.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Setup configures the process's log.
func Setup(w io.Writer, level, format string) error {
	newHandler, err := handlerFor(format)
	if err != nil {
		return err
	}
	log.SetHandler(newHandler(w))
	return SetLevel(level)
}

// handlerFor returns the constructor of the handler for format.
func handlerFor(format string) (func(io.Writer) log.Handler, error) {
	switch format {
	case FormatText:
		return func(w io.Writer) log.Handler { return logfmt.New(w) }, nil
	case FormatJSON:
		return func(w io.Writer) log.Handler { return json.New(w) }, nil
	default:
		return nil, errors.Errorf("unknown log format %q", format)
	}
}

// SetupAsync configures the process's log like Setup, but a separate goroutine
// writes the lines: logging never blocks, and lines that do not fit in the queue are
// dropped and counted. Each line has the name of the process. flush writes the lines
// that are still queued.
func SetupAsync(w io.Writer, level, format, process string) (flush func(), err error) {
	newHandler, err := handlerFor(format)
	if err != nil {
		return nil, err
	}
	a := startAsync(w, newHandler)
	log.SetHandler(processHandler{next: a, process: process})
	return func() {
		done := make(chan struct{})
		a.flush <- done
		<-done
	}, SetLevel(level)
}

// FieldProcess is the name of the field with the process's name.
const FieldProcess = "process"

// processHandler adds the process's name to each line.
type processHandler struct {
	next    log.Handler
	process string
}

// HandleLog implements log.Handler.
func (h processHandler) HandleLog(e *log.Entry) error {
	if e.Fields == nil {
		e.Fields = make(log.Fields, 1)
	}
	e.Fields[FieldProcess] = h.process
	return h.next.HandleLog(e)
}

// SetLevel changes the level at run time.
func SetLevel(level string) error {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return errors.Wrapf(err, "log level %q", level)
	}
	minLevel.Store(int32(parsed))
	return nil
}

// minLevel is the least level that is written. It may change while others log, other than that of
// the log package, which lets all levels through.
var minLevel atomic.Int32

func init() {
	minLevel.Store(int32(log.InfoLevel))
	log.SetLevel(log.DebugLevel)
}

// Logger is the log of one component.
type Logger struct {
	prefix string
}

// For returns the log of the named component.
func For(component string) Logger { return Logger{prefix: component + ": "} }

// Fields are the structured fields of a log line.
type Fields = log.Fields

// Debug logs a message with fields.
func (l Logger) Debug(fields Fields, message string) {
	if Enabled(log.DebugLevel) {
		log.WithFields(fields).Debug(l.prefix + message)
	}
}

// Info logs a message with fields.
func (l Logger) Info(fields Fields, message string) {
	if Enabled(log.InfoLevel) {
		log.WithFields(fields).Info(l.prefix + message)
	}
}

// Warn logs a message with fields.
func (l Logger) Warn(fields Fields, message string) {
	if Enabled(log.WarnLevel) {
		log.WithFields(fields).Warn(l.prefix + message)
	}
}

// Error logs a message with fields.
func (l Logger) Error(fields Fields, message string) {
	if Enabled(log.ErrorLevel) {
		log.WithFields(fields).Error(l.prefix + message)
	}
}

// Level is a log level.
type Level = log.Level

// InfoLevel is the level for decisions.
const InfoLevel = log.InfoLevel

// Enabled reports whether lines of the level are written, so that callers can skip
// computing costly fields.
func Enabled(level Level) bool { return minLevel.Load() <= int32(level) }

// DebugLevel is the level for the details of decisions.
const DebugLevel = log.DebugLevel
