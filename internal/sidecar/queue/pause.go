package queue

import (
	"net/http"
	"time"

	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/serverbackoff"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// backendKey is the key of the backend server in the queue's back-offs, its only one.
var backendKey = serverbackoff.Key{ID: limitedServer}

// headerRetryAfter is the header of a refusal with the time after which the backend server
// wants requests again, in seconds.
const headerRetryAfter = "Retry-After"

// observeRefusal records a refusal of the backend server, and refuses the requests that wait if
// it wants none for a time: another server may take them.
func (q *Queue) observeRefusal(header http.Header, now time.Time) {
	asked := serverbackoff.Parse(header.Values(headerRetryAfter))
	if asked == (serverbackoff.Asked{}) {
		return
	}
	until, extended := q.backoffs.RecordRefusal(backendKey, asked, now)
	if extended {
		logger.Info(logging.Fields{logging.FieldWaitUntil: until.UTC().Format(time.RFC3339Nano)}, "backend server wants nothing")
		q.refuseWaiting(reasonPause)
	}
}

// Pause returns how much longer the backend server wants no request; 0: it takes requests.
func (q *Queue) Pause(now time.Time) time.Duration {
	if state := q.backoffs.Check(backendKey, now); state.Blocked {
		return max(0, state.Until.Sub(now))
	}
	return 0
}

// pauseError returns the refusal of a request that comes while the backend server wants none,
// or nil.
func (q *Queue) pauseError(j *job.Job, now time.Time) *verdict.Error {
	pause := q.Pause(now)
	if pause == 0 {
		return nil
	}
	lane := laneOf(j.Request.Priority)
	q.recordRefusal(j, lane, pause, reasonPause)
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the backend server wants no request").WithRetryAfter(pause)
}
