package queue

import (
	"net/http"
	"time"

	"github.com/wasabigate/wasabigate/internal/engine"
)

// limitedServer is the name of the backend server in the queue's limits, its only one.
const limitedServer = "backend"

// maxLimitWait is the longest time for which a request waits for the limit. Its router
// tries another backend server instead.
const maxLimitWait = time.Second

// ObserveResponse records what the backend server says in an answer of the requests that it
// takes. Only this sidecar sends it requests, so the whole limit is the queue's.
func (q *Queue) ObserveResponse(answer engine.Answer) {
	now := time.Now()
	if answer.Status == http.StatusServiceUnavailable {
		q.observeRefusal(answer.Header, now)
	}
	if !answer.Request {
		return
	}
	q.limits.Observe(limitedServer, 0, answer.Header.Values(engine.HeaderLimit), now)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatchLocked(now) // the limit may have ended
}

// wakeLocked starts waiting requests once the limit allows the next one.
func (q *Queue) wakeLocked(now time.Time) {
	if q.wake != nil {
		return
	}
	q.wake = time.AfterFunc(q.limits.Wait(limitedServer, now), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.wake = nil
		q.dispatchLocked(time.Now())
	})
}

// limitWaitLocked returns the wait of a new request because of the limit.
func (q *Queue) limitWaitLocked(now time.Time) time.Duration {
	rate := q.limits.Rate(limitedServer, now)
	if rate == 0 {
		return 0
	}
	ahead := time.Duration(float64(q.waitingLocked()) / rate * float64(time.Second))
	return ahead + q.limits.Wait(limitedServer, now)
}
