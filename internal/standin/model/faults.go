package model

import (
	"strings"
	"sync"
	"time"
)

// Faults are the faults to inject into streams. The zero value injects none.
type Faults struct {
	CutAfterChunks int           // streams break after this number of chunks
	CutStreams     int           // number of next streams to cut; 0: all while CutAfterChunks is set
	CrossStreams   int           // number of next streams whose chunks carry another request's ID
	AnswerDelay    time.Duration // wait before the first chunk
	Limit          string        // named in responses as the requests a second that the engine takes; empty: none
	Leaving        bool          // all responses say that the engine leaves, until it restarts
	Refuse         bool          // generations are refused
	RetryAfter     string        // named in refusals as the seconds until the engine wants requests; empty: none
	CrashPrompt    string        // the engine crashes when it begins to answer a prompt with this text; empty: never
	CrashDown      time.Duration // time until the restart after CrashPrompt
}

// faultState holds the faults and assigns them to streams.
type faultState struct {
	mu          sync.Mutex
	current     Faults
	limited     bool // cut only the next CutStreams streams
	frozenUntil time.Time
}

// streamFaults are the faults of one stream.
type streamFaults struct {
	cutAfter        int // 0: never
	forOtherRequest bool
	delay           time.Duration
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = faults
	f.limited = faults.CutStreams > 0
}

// take returns the faults of the next stream.
func (f *faultState) take() streamFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := streamFaults{delay: f.current.AnswerDelay}
	if f.current.CutAfterChunks > 0 && (!f.limited || f.current.CutStreams > 0) {
		taken.cutAfter = f.current.CutAfterChunks
		f.current.CutStreams--
	}
	if f.current.CrossStreams > 0 {
		taken.forOtherRequest = true
		f.current.CrossStreams--
	}
	return taken
}

// crashes reports whether the engine crashes when it begins to answer a prompt, and for how
// long it is down then.
func (f *faultState) crashes(prompt string) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.CrashPrompt != "" && strings.Contains(prompt, f.current.CrashPrompt), f.current.CrashDown
}

// sayings returns what responses say of the engine, and whether it refuses generations.
func (f *faultState) sayings() (leaving, refuse bool, retryAfter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.Leaving, f.current.Refuse, f.current.RetryAfter
}

// endLeaving ends the fault Leaving, since another process begins.
func (f *faultState) endLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current.Leaving = false
}

// limit returns the limit to name in responses.
func (f *faultState) limit() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.Limit
}

func (f *faultState) freeze(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozenUntil = time.Now().Add(d)
}

// frozenFor returns the time until the engine resumes.
func (f *faultState) frozenFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.frozenUntil)
}
