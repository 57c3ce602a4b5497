package forward

import (
	"sync"

	"github.com/wasabigate/wasabigate/internal/admission"
)

// returns holds the schedule of each service by which refused clients come back.
type returns struct {
	mu        sync.Mutex
	schedules map[string]*admission.Schedule // by service
}

func newReturns() *returns {
	return &returns{schedules: make(map[string]*admission.Schedule)}
}

// of returns the schedule of a service. Services are few, so none is removed.
func (r *returns) of(service string) *admission.Schedule {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.schedules[service]
	if s == nil {
		s = &admission.Schedule{}
		r.schedules[service] = s
	}
	return s
}
