package quarantine

import (
	"sync"
	"time"
)

const (
	// provenTime is how long a success is remembered, at most twice as long.
	provenTime = time.Minute
	// maxProven bounds the successes that are remembered.
	maxProven = 16_384
)

// recentParts is a set of parts added lately, in two generations. It is safe for concurrent
// use.
type recentParts struct {
	mu      sync.Mutex
	started time.Time // of the current generation
	current map[Part]struct{}
	former  map[Part]struct{}
}

func (s *recentParts) add(part Part, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.current[part] = struct{}{}
}

func (s *recentParts) has(part Part, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	_, current := s.current[part]
	_, former := s.former[part]
	return current || former
}

// rotate starts a generation if the current one is old or full. The caller holds the lock.
func (s *recentParts) rotate(now time.Time) {
	if s.current != nil && now.Sub(s.started) < provenTime && len(s.current) < maxProven/2 {
		return
	}
	s.former = s.current
	if now.Sub(s.started) >= 2*provenTime {
		s.former = nil
	}
	s.current, s.started = make(map[Part]struct{}), now
}
