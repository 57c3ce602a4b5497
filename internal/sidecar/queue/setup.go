// Package queue orders the requests of all routers before one backend server:
// urgent before deferrable, fair between workspaces by tokens served, and
// bounded by the expected wait.
package queue

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
)

const (
	defaultMaxConcurrent = 64
	defaultQueueLimit    = 1024
	defaultAgeingBound   = 10 * time.Minute
	// reservedShare: one slot of this many is kept free of deferrable requests,
	// so that an urgent one need not wait for a long one to end.
	reservedShare = 8
	// minSlotsToReserve is the number of slots from which one is reserved.
	minSlotsToReserve = 4
)

// New returns the filter. Settings that are zero get a default.
func New(settings *config.SidecarSettings) *Queue {
	q := &Queue{
		slots:  positive(settings.MaxConcurrent, defaultMaxConcurrent),
		limit:  positive(settings.QueueLimit, defaultQueueLimit),
		ageing: settings.AgeingBound,
	}
	if q.ageing <= 0 {
		q.ageing = defaultAgeingBound
	}
	if q.slots >= minSlotsToReserve {
		q.reserved = max(1, q.slots/reservedShare)
	}
	for i := range q.lanes {
		q.lanes[i].flows = make(map[string]*flow)
	}
	q.metrics = newMetrics(q)
	return q
}

func positive(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}
