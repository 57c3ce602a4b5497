// Package queue schedules the requests that all routers send to one backend
// server: urgent before deferrable, fair between workspaces by tokens served, and
// refusing those whose expected wait exceeds their deadline.
package queue

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/serverbackoff"
	"github.com/wasabigate/wasabigate/internal/serverlimit"
)

const (
	defaultMaxConcurrent = 64
	defaultQueueLimit    = 1024
	defaultAgeingBound   = 10 * time.Minute
	// slotsPerReserved is the number of slots per reserved slot. Only urgent
	// requests use the reserved slots, so that they need not wait for a long
	// deferrable one to end.
	slotsPerReserved = 8
	// minSlotsToReserve is the least number of slots at which one is reserved.
	minSlotsToReserve = 4
)

// New returns a Queue. Settings that are zero get their defaults.
func New(settings *config.SidecarSettings) *Queue {
	q := &Queue{
		slots:       positiveOr(settings.MaxConcurrent, defaultMaxConcurrent),
		maxWaiting:  positiveOr(settings.QueueLimit, defaultQueueLimit),
		ageingBound: settings.AgeingBound,
		limits:      serverlimit.New(""),
		backoffs:    serverbackoff.New(),
	}
	if q.ageingBound <= 0 {
		q.ageingBound = defaultAgeingBound
	}
	if q.slots >= minSlotsToReserve {
		q.reserved = max(1, q.slots/slotsPerReserved)
	}
	for i := range q.lanes {
		q.lanes[i].flows = make(map[string]*flow)
	}
	q.metrics = newMetrics(q)
	return q
}

func positiveOr(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}
