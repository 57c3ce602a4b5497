package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/logging"
)

const (
	// endPollInterval is the time between two checks whether the process of a plain service
	// that leaves has ended. They open a connection and send nothing.
	endPollInterval = 100 * time.Millisecond
	// maxLeaving is how long a backend server counts as leaving if its end is not noticed.
	maxLeaving = 10 * time.Minute
)

// leaving is whether the process of the backend server has said that it leaves. That holds
// until another process serves the address.
type leaving struct {
	ended    func(ctx context.Context) bool // whether no process serves the address; nil: unknown
	onChange func()

	mu       sync.Mutex
	since    time.Time // zero: it does not leave
	instance string    // of the process that says so; empty: it names none
}

// observe records what the head of an answer says.
func (l *leaving) observe(header http.Header) {
	instance := header.Get(engine.HeaderInstance)
	if header.Get(engine.HeaderLeaving) == "" {
		l.mu.Lock()
		another := !l.since.IsZero() && instance != "" && l.instance != "" && instance != l.instance
		l.mu.Unlock()
		if another {
			l.end("another process answers")
		}
		return
	}
	l.mu.Lock()
	known := !l.since.IsZero() && l.instance == instance
	if !known {
		l.since, l.instance = time.Now(), instance
	}
	since := l.since
	l.mu.Unlock()
	if known {
		return
	}
	logger.Info(logging.Fields{"instance": instance, logging.FieldLeavingSince: since.UTC().Format(time.RFC3339Nano)}, "backend server says that it leaves")
	l.onChange()
	go l.awaitEnd(since)
}

// awaitEnd waits until the process that leaves has ended.
func (l *leaving) awaitEnd(since time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), maxLeaving)
	defer cancel()
	for clock.Sleep(ctx, endPollInterval) == nil {
		if !l.isSince(since) {
			return
		}
		if l.ended != nil && l.ended(ctx) {
			l.end("its process has ended")
			return
		}
	}
	if l.isSince(since) {
		l.end("its end was not noticed")
	}
}

func (l *leaving) isSince(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.since.Equal(since)
}

// end records that the process that left is gone.
func (l *leaving) end(reason string) {
	l.mu.Lock()
	was := !l.since.IsZero()
	l.since, l.instance = time.Time{}, ""
	l.mu.Unlock()
	if was {
		logger.Info(logging.Fields{"reason": reason}, "backend server no longer leaves")
	}
}

// is reports whether the backend server leaves.
func (l *leaving) is() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.since.IsZero()
}
