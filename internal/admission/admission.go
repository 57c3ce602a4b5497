// Package admission decides which requests are sent to servers that are short of room, and when a
// client whose request was refused may come back.
//
// Gate decides the former. Schedule decides the latter; it answers the load pattern in
// which many requests are refused at the same moment: a burst, engines lost, or all
// servers loading weights. With one constant delay all clients come back at the same
// moment too, find the room taken again, and those that retry only once are lost. Here each gets its own time: in the order in which they were
// refused, urgent ones first, and no more in a second than have been served lately.
//
// The package has no clock and no input or output: the caller passes the time.
package admission

import (
	"sync"
	"time"
)

const (
	// minDelay is the shortest delay: the time in which servers that refuse requests
	// become free, or a failed server is removed from the list.
	minDelay = 400 * time.Millisecond
	// maxDelay bounds the delay. Few clients wait longer.
	maxDelay = 3 * time.Second
	// rateWindow is the time over which the rate of served requests is averaged.
	rateWindow = 2 * time.Second
	// minRate is the assumed number of requests served in a second if there were fewer.
	minRate = 10.0
	// returnShare is the part of the served rate that is given to returning clients. The
	// rest is for new requests.
	returnShare = 0.5
	// ranks is the number of ranks that are told apart.
	ranks = 10
)

// Schedule assigns return times to the refused requests of one service. It is safe for
// concurrent use.
type Schedule struct {
	mu        sync.Mutex
	served    float64   // requests served lately, decayed to decayedAt
	decayedAt time.Time // of served
	next      [ranks]time.Time
}

// Served records that a request was served.
func (s *Schedule) Served(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.served++
}

// decay reduces the number of served requests by the time since the last change. The
// caller holds the lock.
func (s *Schedule) decay(now time.Time) {
	age := now.Sub(s.decayedAt)
	if age <= 0 {
		return
	}
	s.served *= max(0, 1-float64(age)/float64(rateWindow))
	s.decayedAt = now
}

// gap returns the time between two returns. The caller holds the lock.
func (s *Schedule) gap(now time.Time) time.Duration {
	s.decay(now)
	rate := max(minRate, s.served/rateWindow.Seconds())
	return time.Duration(float64(time.Second) / (rate * returnShare))
}

// Delay returns the time after which a request refused now may be sent again. Rank 0 is
// the most urgent.
func (s *Schedule) Delay(rank int, now time.Time) time.Duration {
	rank = min(max(rank, 0), ranks-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	gap := s.gap(now)
	earliest, latest := now.Add(minDelay), now.Add(maxDelay)
	at := s.next[rank]
	if at.Before(earliest) {
		at = earliest
	}
	if at.After(latest) {
		at = latest
	}
	// A return delays those of its own and of less urgent ranks.
	for r := rank; r < ranks; r++ {
		if after := at.Add(gap); s.next[r].Before(after) {
			s.next[r] = after
		} else if r > rank {
			s.next[r] = s.next[r].Add(gap)
		}
	}
	return at.Sub(now)
}
