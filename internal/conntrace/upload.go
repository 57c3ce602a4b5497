package conntrace

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/verdict"
)

// Transport sends HTTP requests and returns an error for a response whose status is not that of a
// final response. Its connections recognize responses which broke off: a
// response without a length ends with its connection. If it came before its request was written
// completely, that end does not show that the response is whole: the error of a reset may go to
// the write alone, and reads then see an ordinary end.
type Transport struct {
	Base *http.Transport // its connections must come from Remember
}

// NewTransport returns a Transport that uses base with the connections that it dials.
func NewTransport(base *http.Transport) *Transport {
	base.DialContext = Remember(base.DialContext)
	return &Transport{Base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = info.Conn
		if c, ok := info.Conn.(*conn); ok {
			c.upload.begin(request.ContentLength)
		}
	}}
	response, err := t.Base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err == nil && !verdict.IsFinalStatus(response.StatusCode) {
		_ = used.Close() // after 101 the context of the request does not end it
		_ = response.Body.Close()
		return nil, errors.Errorf("response with status %d", response.StatusCode)
	}
	return response, err
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// upload records how much of its current request a connection has written.
type upload struct {
	answered atomic.Bool // a part of the response has been read

	mu       sync.Mutex // held during a write
	matched  int        // bytes of headEnd that end what was written of the head
	bodyLeft int64      // bytes of the body that have not been written
}

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// begin starts the record of a request with a body of size bytes. A body of unknown size is
// taken for an empty one.
func (u *upload) begin(size int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answered.Store(false)
	u.matched, u.bodyLeft = 0, max(0, size)
}

// add records bytes that were written. The caller holds mu.
func (u *upload) add(data []byte) {
	for ; len(data) > 0 && u.matched < len(headEnd); data = data[1:] {
		switch data[0] {
		case headEnd[u.matched]:
			u.matched++
		case headEnd[0]:
			u.matched = 1
		default:
			u.matched = 0
		}
	}
	u.bodyLeft -= int64(len(data))
}

func (u *upload) isComplete() bool { return u.matched == len(headEnd) && u.bodyLeft <= 0 }

// Write implements net.Conn. If the peer closes the connection during the body, the error is
// returned only after all that the peer sent has been read, or the connection is closed here:
// net/http drops a response that it has not read yet when a write fails.
func (c *conn) Write(data []byte) (int, error) {
	n, inBody, err := c.write(data)
	if err != nil && inBody && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		<-c.ended
	}
	return n, err
}

// write also reports whether the head of the request has been written.
func (c *conn) write(data []byte) (n int, inBody bool, err error) {
	c.upload.mu.Lock()
	defer c.upload.mu.Unlock()
	n, err = c.Conn.Write(data)
	c.upload.add(data[:n])
	return n, c.upload.matched == len(headEnd), err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.end()
	return c.Conn.Close()
}

// end records that nothing more is read.
func (c *conn) end() { c.endOnce.Do(func() { close(c.ended) }) }

func (c *conn) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. The end of the connection is io.ErrUnexpectedEOF if a response has
// begun and its request was not written completely.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.upload.answered.Store(true)
	}
	if err == io.EOF && c.upload.answered.Load() && c.brokeOff() {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		c.end()
	}
	return n, err
}

// brokeOff reports, after the end of the connection, whether it has a response whose request was
// not written completely. A write that waits for the peer, which sends nothing more, is ended. If
// the peer has read the whole request, no write waits, though the last may not be recorded yet.
func (c *conn) brokeOff() bool {
	_ = c.SetWriteDeadline(time.Now()) // of a closed connection writes end by themselves
	c.upload.mu.Lock()
	defer c.upload.mu.Unlock()
	return c.upload.answered.Load() && !c.upload.isComplete()
}
