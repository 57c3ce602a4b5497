// Package processend numbers the ends of the processes of a backend server without incarnations,
// so that all who notice the same end count one server.
package processend

import (
	"sync"
	"time"
)

// Numbers gives numbers to ends. The zero value is ready for use. It is safe for concurrent use.
type Numbers struct {
	mu   sync.Mutex
	last time.Time // when the newest end was noticed
}

// Of returns the number of the end under a request that was sent at the given time. Requests that
// were lost together get the same.
func (n *Numbers) Of(sent time.Time) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if sent.After(n.last) {
		n.last = time.Now()
	}
	return uint64(n.last.UnixNano())
}
