package model

import (
	"sync"
	"time"
)

// Faults are switched on by SetFaults. The zero value is no fault.
type Faults struct {
	CutAfterChunks int           // streams break after so many chunks
	CutStreams     int           // number of next streams to cut; 0: all while CutAfterChunks is set
	CrossStreams   int           // number of next streams whose chunks carry another request's id
	AnswerDelay    time.Duration // wait before the first chunk
}

// faultBox hands out the faults to streams.
type faultBox struct {
	mu      sync.Mutex
	current Faults
	limited bool // CutStreams was set
	thawed  time.Time
}

// streamFaults are the faults of one stream.
type streamFaults struct {
	cutAfter int // 0: never
	crossed  bool
	delay    time.Duration
}

func (b *faultBox) set(faults Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = faults
	b.limited = faults.CutStreams > 0
}

// take returns the faults of the next stream.
func (b *faultBox) take() streamFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := streamFaults{delay: b.current.AnswerDelay}
	if b.current.CutAfterChunks > 0 && (!b.limited || b.current.CutStreams > 0) {
		taken.cutAfter = b.current.CutAfterChunks
		b.current.CutStreams--
	}
	if b.current.CrossStreams > 0 {
		taken.crossed = true
		b.current.CrossStreams--
	}
	return taken
}

func (b *faultBox) freeze(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.thawed = time.Now().Add(d)
}

// frozen returns the time that remains until the engine goes on.
func (b *faultBox) frozen() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Until(b.thawed)
}
