package model

import (
	"sync"
	"time"
)

// Faults are the faults to inject into streams. The zero value injects none.
type Faults struct {
	CutAfterChunks int           // streams break after this number of chunks
	CutStreams     int           // number of next streams to cut; 0: all while CutAfterChunks is set
	CrossStreams   int           // number of next streams whose chunks carry another request's ID
	AnswerDelay    time.Duration // wait before the first chunk
}

// faultState holds the faults and assigns them to streams.
type faultState struct {
	mu          sync.Mutex
	current     Faults
	limited     bool // CutStreams was set
	frozenUntil time.Time
}

// streamFaults are the faults of one stream.
type streamFaults struct {
	cutAfter        int // 0: never
	forOtherRequest bool
	delay           time.Duration
}

func (b *faultState) set(faults Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = faults
	b.limited = faults.CutStreams > 0
}

// take returns the faults of the next stream.
func (b *faultState) take() streamFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := streamFaults{delay: b.current.AnswerDelay}
	if b.current.CutAfterChunks > 0 && (!b.limited || b.current.CutStreams > 0) {
		taken.cutAfter = b.current.CutAfterChunks
		b.current.CutStreams--
	}
	if b.current.CrossStreams > 0 {
		taken.forOtherRequest = true
		b.current.CrossStreams--
	}
	return taken
}

func (b *faultState) freeze(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.frozenUntil = time.Now().Add(d)
}

// frozen returns the time until the engine resumes.
func (b *faultState) frozen() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Until(b.frozenUntil)
}
