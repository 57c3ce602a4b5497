// Package logging sets up the structured log. Each part of a daemon logs short
// sentences under its own fixed prefix.
package logging

import (
	"io"

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
	newHandler, err := handlerOf(format)
	if err != nil {
		return err
	}
	log.SetHandler(newHandler(w))
	return SetLevel(level)
}

// handlerOf returns the function that makes a handler of the format.
func handlerOf(format string) (func(io.Writer) log.Handler, error) {
	switch format {
	case FormatText:
		return func(w io.Writer) log.Handler { return logfmt.New(w) }, nil
	case FormatJSON:
		return func(w io.Writer) log.Handler { return json.New(w) }, nil
	default:
		return nil, errors.Errorf("unknown log format %q", format)
	}
}

// SetupAsync configures the process's log like Setup, but lines are written by a
// goroutine of their own: logging never blocks, and lines that come too fast are
// counted instead. Each line names the process. The returned function writes what
// is left.
func SetupAsync(w io.Writer, level, format, process string) (flush func(), err error) {
	newHandler, err := handlerOf(format)
	if err != nil {
		return nil, err
	}
	a := startAsync(w, newHandler)
	log.SetHandler(named{next: a, process: process})
	return func() {
		done := make(chan struct{})
		a.flush <- done
		<-done
	}, SetLevel(level)
}

// FieldProcess is the name of the field with the process's name.
const FieldProcess = "process"

// named adds the process's name to each line.
type named struct {
	next    log.Handler
	process string
}

// HandleLog implements log.Handler.
func (n named) HandleLog(e *log.Entry) error {
	if e.Fields == nil {
		e.Fields = make(log.Fields, 1)
	}
	e.Fields[FieldProcess] = n.process
	return n.next.HandleLog(e)
}

// SetLevel changes the level at run time.
func SetLevel(level string) error {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return errors.Wrapf(err, "log level %q", level)
	}
	log.SetLevel(parsed)
	return nil
}

// Prefixed is the log of one part.
type Prefixed struct {
	prefix string
}

// For returns the log of the part with that name.
func For(part string) Prefixed { return Prefixed{prefix: part + ": "} }

// Fields are the structured fields of a line.
type Fields = log.Fields

// Debug logs a sentence with fields.
func (p Prefixed) Debug(fields Fields, sentence string) {
	log.WithFields(fields).Debug(p.prefix + sentence)
}

// Info logs a sentence with fields.
func (p Prefixed) Info(fields Fields, sentence string) {
	log.WithFields(fields).Info(p.prefix + sentence)
}

// Warn logs a sentence with fields.
func (p Prefixed) Warn(fields Fields, sentence string) {
	log.WithFields(fields).Warn(p.prefix + sentence)
}

// Error logs a sentence with fields.
func (p Prefixed) Error(fields Fields, sentence string) {
	log.WithFields(fields).Error(p.prefix + sentence)
}

// Level is a log level.
type Level = log.Level

// InfoLevel is the level of decisions.
const InfoLevel = log.InfoLevel

// Enabled says whether lines of that level are written, so that costly fields
// are only made when they are needed.
func Enabled(level Level) bool {
	logger, ok := log.Log.(*log.Logger)
	return !ok || logger.Level <= level
}

// DebugLevel is the level of details of decisions.
const DebugLevel = log.DebugLevel
