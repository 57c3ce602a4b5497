// Package clientbody reads the bodies of requests and writes whole responses, within the
// process's memory account and with a floor on the client's progress. It addresses crowds of
// clients whose bodies stop just short of their end, and clients that don't read responses.
package clientbody

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/clientconn"
	"github.com/wasabigate/wasabigate/internal/clientmem"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

const (
	// stallTimeout is how long a body or a response may make no progress. Clients wait for
	// their response for 15 s at most and send a body without pauses of seconds.
	stallTimeout = 10 * time.Second
	// minRate is the least average rate of a body, in bytes per second, once the stall
	// time-out has passed.
	minRate = 1 << 10
	// deadlineInterval is the shortest time between two extensions of a body's deadline.
	deadlineInterval = time.Second
	// firstBuffer is the buffer of a body whose length is not known.
	firstBuffer = 4 << 10
	// writeBytes is written to a client at once. A client that takes less than this in
	// stallTimeout is cut off.
	writeBytes = 32 << 10
	// retryAfter is sent to clients for which there is no room. Stalled items give way within
	// about this time.
	retryAfter = time.Second
	// roomTimeout is how long a response waits for room, until responses that clients don't
	// read have given way; roomInterval is the time between two attempts.
	roomTimeout  = 3 * time.Second
	roomInterval = 20 * time.Millisecond
)

// Reader reads the bodies of requests to one listener.
type Reader struct {
	Listener string
	Account  *clientmem.Account
}

// Read reads the whole body of a request, of at most limit bytes. The caller releases the item
// when it drops the body. An error is a verdict.Error of a request that has not run; the connection
// is closed after it.
func (d Reader) Read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *clientmem.Item, error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	body, item, err := d.read(w, r, limit)
	if err != nil {
		item.Release()
		// Otherwise net/http waits for the rest of the body before it sends the response.
		w.Header().Set("Connection", "close")
		return nil, nil, err
	}
	return body, item, nil
}

func (d Reader) read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *clientmem.Item, error) {
	if r.ContentLength > limit {
		return nil, nil, errTooLarge(limit)
	}
	control := http.NewResponseController(w)
	began := time.Now()
	extended := began
	_ = control.SetReadDeadline(began.Add(stallTimeout)) // an error means that there is no connection
	size := int64(firstBuffer)
	if r.ContentLength > 0 {
		size = min(r.ContentLength, clientmem.SmallBytes)
	}
	body := make([]byte, 0, size)
	source := http.MaxBytesReader(w, r.Body, limit)
	var item *clientmem.Item
	for {
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			break
		}
		now := time.Now()
		if err != nil {
			return nil, item, d.failure(err, item, limit, now)
		}
		if n > 0 && now.Sub(extended) >= deadlineInterval {
			extended = now
			_ = control.SetReadDeadline(deadline(began, now, len(body)))
		}
		if len(body) < cap(body) {
			item.Progress(int64(len(body)), now)
			continue
		}
		next := min(nextSize(cap(body), r.ContentLength), max(limit+1, int64(cap(body))+1))
		if item == nil && next > clientmem.SmallBytes {
			item = d.Account.NewItem(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }, began)
		}
		// The present buffer stays in memory until it is collected.
		if next > clientmem.SmallBytes && !item.Resize(next+int64(cap(body)), now) {
			return nil, item, d.noRoom()
		}
		item.Progress(int64(len(body)), now)
		body = append(make([]byte, 0, next), body...)
	}
	now := time.Now()
	if !item.SetEvictable(false, now) {
		return nil, item, d.noRoom()
	}
	if item != nil {
		item.Resize(int64(cap(body)), now) // less than before
	}
	_ = control.SetReadDeadline(time.Time{}) // also for the read that watches for the client's leaving
	return body, item, nil
}

// deadline is the time by which the next bytes must arrive.
func deadline(began, now time.Time, received int) time.Time {
	byRate := began.Add(stallTimeout + time.Duration(received)*time.Second/minRate)
	if stalled := now.Add(stallTimeout); stalled.Before(byRate) {
		return stalled
	}
	return byRate
}

// growth is the factor by which a buffer grows. A factor of 2 leaves as much garbage as the
// body has bytes; this one leaves a third.
const growth = 4

// nextSize returns the size to which a full buffer grows.
func nextSize(size int, declared int64) int64 {
	next := growth * int64(size)
	if declared > int64(size) {
		return min(next, declared)
	}
	return next
}

func (d Reader) failure(err error, item *clientmem.Item, limit int64, now time.Time) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errTooLarge(limit)
	case !item.SetEvictable(false, now):
		return d.noRoom()
	case errors.Is(err, os.ErrDeadlineExceeded):
		clientconn.Count(d.Listener, clientconn.ReasonBodySlow)
		return verdict.New(verdict.NotRun, verdict.CodeSlowRequest, "the body came too slowly")
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "the body can't be read")
}

func errTooLarge(limit int64) error {
	return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body has more than %d bytes", limit)
}

func (d Reader) noRoom() error {
	clientconn.Count(d.Listener, clientconn.ReasonBodyMemory)
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no memory for the body").WithRetryAfter(retryAfter)
}
