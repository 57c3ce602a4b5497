// Package clientconn bounds the connections that clients open to a listener: their number, in
// total and per client, and the size of the heads that they send. It addresses clients that open
// connections without using them, and heads that are too long or never end.
package clientconn

import (
	"bytes"
	"cmp"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabigate/wasabigate/internal/clientmem"
)

const (
	// defaultHeadBytes limits heads if the configuration does not. It is four times the limit
	// that is in use.
	defaultHeadBytes = 64 << 10
	// headSlack covers bytes after the head that are read with it: net/http reads up to 4 KiB.
	headSlack = 4 << 10
	// fieldBytes is what a field of a head takes in memory besides its text.
	fieldBytes = 200
	// headFactor covers the copy that is made of a head when it is parsed.
	headFactor = 2
	// messageFactor covers the copies of a message that is read over RPC: its buffer, which grows
	// by doubling, the buffer before it, and the decoded message.
	messageFactor = 4
	// refusalLinger is how long the rest of a refused head is read, so that the client can
	// read the response before it is reset; lingerBytes bounds what is read.
	refusalLinger = 300 * time.Millisecond
	lingerBytes   = 256 << 10
	// perClientShare is the part of all connections that one address may open. It is large
	// because many clients may share the address of a load balancer.
	perClientShare = 0.75
	// unusedAge is the age at which a connection without a complete head, or without a
	// request since its last one, may be closed for a new one when there are too many.
	unusedAge = time.Second
	// stalledAge is how long a body or a write to the client may make no progress before its
	// connection may be closed for a new one.
	stalledAge = 2 * time.Second
	// scanInterval limits how often all connections are searched for one that may be closed.
	scanInterval = 20 * time.Millisecond
)

// Limits of a listener. They may change at any time.
type Limits struct {
	HeadBytes   int64         // 0: defaultHeadBytes
	IdleTimeout time.Duration // of connections without a request; 0: that of the server
}

// Options of a listener.
type Options struct {
	Name     string // in metrics and log lines
	MaxConns int    // 0: no limit
	// HTTP says that heads are limited, and that connections which wait for their client may be
	// closed for new ones. Without it, only those on which nothing was received may be.
	HTTP bool
	// TLS says that the connections carry TLS, in which no response can be written here: a
	// connection with a refused head is closed.
	TLS bool
	// HeadTimeout is the server's ReadHeaderTimeout. Read deadlines beyond it are those of idle
	// connections.
	HeadTimeout time.Duration
	// Account is charged for connections, long heads and messages. With HTTP it also bounds the
	// number of connections.
	Account *clientmem.Account
	Limits  func() Limits // nil: the defaults
}

// Listener accepts connections within its bounds and closes the others.
type Listener struct {
	net.Listener
	options Options

	mu       sync.Mutex
	conns    map[*conn]struct{}
	clients  map[string]int // connections by address
	nextScan time.Time
	waiting  []waitingConn // found by the last search, in the order of their age
}

// waitingConn is a connection that waits for its client.
type waitingConn struct {
	conn *conn
	age  time.Duration
}

// Listen returns a Listener that accepts from inner. With Options.HTTP, its
// OnState is to be the server's ConnState.
func Listen(inner net.Listener, options Options) *Listener {
	if options.Limits == nil {
		options.Limits = func() Limits { return Limits{} }
	}
	if most := options.Account.MaxConns(); options.HTTP && most > 0 && (options.MaxConns == 0 || most < options.MaxConns) {
		options.MaxConns = most
	}
	return &Listener{Listener: inner, options: options, conns: make(map[*conn]struct{}), clients: make(map[string]int)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner, time.Now()); c != nil {
			return c, nil
		}
		_ = inner.Close() // nothing was read from it
	}
}

// admit returns a connection, or nil if there is no room for it.
func (l *Listener) admit(inner net.Conn, now time.Time) *conn {
	c := &conn{Conn: inner, listener: l, client: host(inner.RemoteAddr()), since: now}
	l.mu.Lock()
	var victim *conn
	if most := l.options.MaxConns; most > 0 {
		if l.clients[c.client] >= max(1, int(float64(most)*perClientShare)) {
			victim = l.unusedLocked(c.client, now)
		} else if len(l.conns) >= most {
			victim = l.unusedLocked("", now)
		} else {
			victim = c // there is room
		}
		if victim == nil {
			l.mu.Unlock()
			Count(l.options.Name, ReasonConnections)
			return nil
		}
	}
	l.conns[c] = struct{}{}
	l.clients[c.client]++
	l.mu.Unlock()
	if victim != nil && victim != c {
		Count(l.options.Name, ReasonUnused)
		_ = victim.Close() // no request is running on it
	}
	l.options.Account.OpenConn(now)
	return c
}

// unusedLocked removes and returns the connection that has waited longest for its client, or, if
// there is none, the one that has been idle for longest. An empty client means any. All connections
// are searched at most once in scanInterval; those found waiting are kept for the calls until then.
// Of idle ones, one gives way for each search, since a burst of new connections would close all of
// them.
func (l *Listener) unusedLocked(client string, now time.Time) *conn {
	if c := l.nextWaitingLocked(client, now); c != nil {
		return c
	}
	if now.Before(l.nextScan) {
		return nil
	}
	l.nextScan = now.Add(scanInterval)
	l.waiting = l.waiting[:0]
	var oldestIdle *conn
	for c := range l.conns {
		age, idle := c.unusedFor(now)
		switch {
		case age == 0 || client != "" && c.client != client:
		case !idle:
			l.waiting = append(l.waiting, waitingConn{c, age})
		case oldestIdle == nil || c.since.Before(oldestIdle.since):
			oldestIdle = c
		}
	}
	slices.SortFunc(l.waiting, func(a, b waitingConn) int { return cmp.Compare(a.age, b.age) })
	if c := l.nextWaitingLocked(client, now); c != nil {
		return c
	}
	if oldestIdle != nil {
		l.removeLocked(oldestIdle)
	}
	return oldestIdle
}

// nextWaitingLocked removes and returns the connection that had waited longest at the last search
// and still waits, or nil.
func (l *Listener) nextWaitingLocked(client string, now time.Time) *conn {
	for n := len(l.waiting) - 1; n >= 0; n-- {
		c := l.waiting[n].conn
		if client != "" && c.client != client {
			return nil // all connections are searched next
		}
		l.waiting[n] = waitingConn{}
		l.waiting = l.waiting[:n]
		if age, idle := c.unusedFor(now); age > 0 && !idle && l.removeLocked(c) {
			return c
		}
	}
	return nil
}

// removeLocked removes a connection and reports whether it was there.
func (l *Listener) removeLocked(c *conn) bool {
	if _, open := l.conns[c]; !open {
		return false
	}
	delete(l.conns, c)
	if l.clients[c.client]--; l.clients[c.client] == 0 {
		delete(l.clients, c.client)
	}
	return true
}

// OnState is to be called at each change of a connection's state.
func (l *Listener) OnState(outer net.Conn, state http.ConnState) {
	if secure, ok := outer.(*tls.Conn); ok {
		outer = secure.NetConn()
	}
	c, ok := outer.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.inRequest.Store(true)
		c.head.SetEvictable(false, time.Now())
	case http.StateClosed:
		c.head.Release()
	case http.StateIdle:
		c.setIdle(true)
		c.headBytes, c.headFields = 0, 0
		c.head.Release()
		c.head = nil
		c.inRequest.Store(false)
	}
}

func host(address net.Addr) string {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return ""
}

// conn is a client's connection. http.Server reads heads and changes states in one goroutine,
// which owns the fields of the head.
type conn struct {
	net.Conn
	listener *Listener
	client   string
	closed   atomic.Bool

	since time.Time // opened, idle since, or since when a head arrives; guarded by listener.mu
	idle  bool      // nothing has arrived since the last request; guarded by listener.mu

	writing   atomic.Int64 // when the write that is running began, in Unix nanoseconds; 0: none
	reading   atomic.Int64 // when the last part of the body that is read arrived; 0: none is read
	inRequest atomic.Bool  // a head is complete and its response is not
	// Of a listener without HTTP.
	received    atomic.Bool // anything
	messageMu   sync.Mutex
	message     int64           // bytes read since the last write; guarded by messageMu
	messageItem *clientmem.Item // nil for a short message; guarded by messageMu

	headBytes  int64
	headFields int64
	head       *clientmem.Item // nil for a short head
}

// setIdle notes that a request has ended, or that a head has begun to arrive.
func (c *conn) setIdle(idle bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.since, c.idle = time.Now(), idle
}

// unusedFor returns how long the connection has waited for the client, or 0 if it may not be
// closed for another one, and whether it is idle after a request. The caller holds listener.mu.
func (c *conn) unusedFor(now time.Time) (age time.Duration, idle bool) {
	age, least := now.Sub(c.since), unusedAge
	writing, reading := c.writing.Load(), c.reading.Load()
	switch {
	case !c.listener.options.HTTP && c.received.Load():
		return 0, false // a call may be running
	case !c.listener.options.HTTP:
	case writing != 0:
		age, least = now.Sub(time.Unix(0, writing)), stalledAge
	case reading != 0:
		age, least = now.Sub(time.Unix(0, reading)), stalledAge
	case c.inRequest.Load():
		return 0, false
	default:
		idle = c.idle
	}
	if age < least {
		return 0, false
	}
	return age, idle
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if last := c.reading.Load(); last != 0 {
		c.reading.CompareAndSwap(last, time.Now().UnixNano()) // the body may have ended meanwhile
	}
	if !c.listener.options.HTTP {
		return n, c.admitMessage(n, err)
	}
	if n == 0 || c.inRequest.Load() {
		return n, err
	}
	if c.headBytes == 0 {
		c.setIdle(false)
	}
	c.headBytes += int64(n)
	c.headFields += int64(bytes.Count(p[:n], []byte{'\n'}))
	limit := c.listener.options.Limits().HeadBytes
	if limit <= 0 {
		limit = defaultHeadBytes
	}
	if c.headBytes > limit+headSlack {
		return 0, c.refuse(ReasonHeadSize, headTooLarge)
	}
	charge := headFactor*c.headBytes + fieldBytes*c.headFields
	if charge <= clientmem.SmallBytes || c.listener.options.Account == nil {
		return n, err
	}
	now := time.Now()
	if c.head == nil {
		c.head = c.listener.options.Account.NewItem(c.evict, now)
	}
	if !c.head.Resize(charge, now) {
		return 0, c.refuse(ReasonHeadMemory, noRoom)
	}
	return n, err
}

// admitMessage charges the bytes of a message that is read over RPC: those since the last write,
// as each message is answered before the next one. A refusal closes the connection.
func (c *conn) admitMessage(n int, err error) error {
	if n > 0 && !c.received.Load() {
		c.received.Store(true)
	}
	c.messageMu.Lock()
	defer c.messageMu.Unlock()
	c.message += int64(n)
	if c.message <= clientmem.SmallBytes || c.listener.options.Account == nil {
		return err
	}
	if c.closed.Load() {
		return net.ErrClosed // its charge has been released
	}
	now := time.Now()
	if c.messageItem == nil {
		c.messageItem = c.listener.options.Account.NewItem(func() { _ = c.Conn.Close() }, now) // the server then calls Close
	}
	c.messageItem.Progress(c.message, now)
	if !c.messageItem.Resize(messageFactor*c.message, now) {
		Count(c.listener.options.Name, ReasonMessageMemory)
		c.messageItem.Release()
		c.messageItem = nil
		return os.ErrDeadlineExceeded
	}
	return err
}

// releaseMessage ends the charge of a message.
func (c *conn) releaseMessage() {
	c.messageMu.Lock()
	defer c.messageMu.Unlock()
	c.message = 0
	c.messageItem.Release()
	c.messageItem = nil
}

const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	noRoom       = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// evict ends the reading of a head that has to give way.
func (c *conn) evict() {
	if !c.inRequest.Load() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // an error means that it is closed
	}
}

// refuse responds to a head that is not complete, so no request of it can run. It returns an error
// after which http.Server closes the connection without a response of its own.
func (c *conn) refuse(reason, response string) error {
	Count(c.listener.options.Name, reason)
	c.head.Release()
	if c.listener.options.TLS {
		return os.ErrDeadlineExceeded
	}
	deadline := time.Now().Add(refusalLinger)
	_ = c.Conn.SetDeadline(deadline) // an error shows in the write
	if _, err := io.WriteString(c.Conn, response); err == nil {
		_ = c.CloseWrite()
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // ends at the deadline
	}
	return os.ErrDeadlineExceeded
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Store(time.Now().UnixNano())
	defer c.writing.Store(0)
	if !c.listener.options.HTTP {
		c.releaseMessage()
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn. A deadline beyond the head time-out is that of an idle
// connection, which is shortened to the limit in force: http.Server knows only a fixed time-out.
// During a request there is a deadline only while its body is read.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	switch {
	case !c.inRequest.Load() || deadline.IsZero():
		c.reading.Store(0)
	case c.reading.Load() == 0:
		c.reading.Store(time.Now().UnixNano())
	}
	if headTimeout := c.listener.options.HeadTimeout; headTimeout > 0 && !deadline.IsZero() {
		now := time.Now()
		if limit := c.listener.options.Limits().IdleTimeout; limit > 0 && deadline.Sub(now) > headTimeout {
			if idle := now.Add(limit); idle.Before(deadline) {
				deadline = idle
			}
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite closes the sending side, if there is one.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.mu.Lock()
		c.listener.removeLocked(c)
		c.listener.mu.Unlock()
		c.listener.options.Account.CloseConn()
		c.releaseMessage()
	}
	return c.Conn.Close()
}
