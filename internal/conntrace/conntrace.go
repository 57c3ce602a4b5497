// Package conntrace reports on which connection an HTTP request was sent. A call that got
// no response cannot have had an effect if there was no connection; otherwise it may
// have had one.
package conntrace

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// Trace is the connection of one request. It is safe for concurrent use.
type Trace struct {
	id   string // of the request; empty: it may be sent on any connection
	size int64  // of the request's body, in bytes; negative: a Transport records it

	mu       sync.Mutex
	conn     net.Conn // nil: none
	reused   bool
	rejected bool
}

// Attach returns a context for one request, and the trace that it fills.
func Attach(ctx context.Context) (context.Context, *Trace) { return attach(ctx, &Trace{size: -1}) }

// AttachOnce is Attach for a request with an id that may be sent once on each connection of
// Remember. If the HTTP client chooses one that has carried the id or has ended, the connection is
// closed before anything is written to it, and Rejected tells so. The request needs no Transport; its
// body has size bytes.
func AttachOnce(ctx context.Context, id string, size int) (context.Context, *Trace) {
	return attach(ctx, &Trace{id: id, size: int64(size)})
}

func attach(ctx context.Context, t *Trace) (context.Context, *Trace) {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), t
}

func (t *Trace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, t.reused, t.rejected = info.Conn, info.Reused, false
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	if t.size >= 0 {
		c.upload.begin(t.size)
	}
	if t.id != "" && (c.hasEnded() || !c.carry(t.id)) {
		_ = info.Conn.Close() // its state does not matter any more
		t.conn, t.rejected = nil, true
	}
}

// Rejected reports whether the request was not sent because its connection had carried its
// id or had ended. Whatever the HTTP client returned is not the request's response.
func (t *Trace) Rejected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rejected
}

// Connected reports whether the request got a connection on which it may have been sent.
func (t *Trace) Connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil
}

// Reused reports whether the connection had carried a request before.
func (t *Trace) Reused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// CloseConn closes the connection, so that no other request is sent on it.
func (t *Trace) CloseConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close() // its state does not matter any more
	}
}
