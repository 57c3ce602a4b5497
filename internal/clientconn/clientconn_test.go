package clientconn

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/clientmem"
)

// stepConn lets a test act between the end of a read of the connection and the return of the
// Read that wraps it.
type stepConn struct {
	net.Conn
	afterRead func()
}

func (c *stepConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.afterRead != nil {
		c.afterRead()
	}
	return n, err
}

func (c *stepConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// pipeConn returns an accepted connection and the client's end of it.
func pipeConn(t *testing.T, l *Listener) (*conn, *stepConn, net.Conn) {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() }) // may be closed already
	inner := &stepConn{Conn: server}
	c := l.admit(inner, time.Now())
	if c == nil {
		t.Fatal("not admitted")
	}
	return c, inner, client
}

// The charge of a message must not stay in the account when its connection is closed, or a message
// is sent, while a part of it is being read.
func TestMessageChargeIsReleased(t *testing.T) {
	for name, act := range map[string]func(c *conn){
		"close": func(c *conn) { _ = c.Close() },
		"write": func(c *conn) { _, _ = c.Write([]byte("x")) },
	} {
		t.Run(name, func(t *testing.T) {
			account := clientmem.New(16 << 20)
			c, inner, client := pipeConn(t, Listen(nil, Options{Name: "rpc", Account: account}))
			go func() { _, _ = io.Copy(io.Discard, client) }() // ends with the connection
			go func() {
				_, _ = client.Write(make([]byte, 64<<10)) // the first part is charged
				_, _ = client.Write(make([]byte, 64<<10))
			}()
			buffer := make([]byte, 64<<10)
			if _, err := c.Read(buffer); err != nil {
				t.Fatal(err)
			}
			inner.afterRead = func() { act(c) }
			_, _ = c.Read(buffer) // it may fail
			_ = c.Close()
			if used := account.Used(); used != 0 {
				t.Errorf("%d bytes are accounted for without a connection", used)
			}
		})
	}
}

// A connection on which a head has just begun to arrive must not count as one that has waited for
// its client since it was opened or had its last request: it would be closed in the middle of a
// request.
func TestHeadOnWaitingConnection(t *testing.T) {
	for _, served := range []bool{false, true} {
		l := Listen(nil, Options{Name: "clients", HTTP: true, MaxConns: 10})
		c, _, client := pipeConn(t, l)
		if served {
			l.OnState(c, http.StateActive)
			l.OnState(c, http.StateIdle)
		}
		l.mu.Lock()
		c.since = time.Now().Add(-time.Minute)
		l.mu.Unlock()
		go func() { _, _ = client.Write([]byte("GET / HTTP/1.1\r\n")) }() // an error shows in the read
		if _, err := c.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		l.mu.Lock()
		victim := l.unusedLocked("", time.Now())
		l.mu.Unlock()
		if victim != nil {
			t.Errorf("a connection with a head that has just begun gives way; it had a request: %v", served)
		}
	}
}

// When all connections are taken by clients that send nothing, several new ones that come at once
// must all be admitted. Idle connections must not all be closed for them.
func TestBurstTakesWaitingConnections(t *testing.T) {
	l := Listen(nil, Options{Name: "clients", HTTP: true, MaxConns: 30})
	var idle []*conn
	for n := range 30 {
		c, _, _ := pipeConn(t, l)
		c.client = string(rune('a' + n)) // below the limit of one client
		l.clients["127.0.0.1"]--
		l.clients[c.client]++
		if n < 10 {
			l.OnState(c, http.StateActive)
			l.OnState(c, http.StateIdle)
			idle = append(idle, c)
		}
		c.since = time.Now().Add(-time.Minute)
	}
	admitted := 0
	now := time.Now()
	for n := range 40 {
		_, server := net.Pipe()
		if c := l.admit(&stepConn{Conn: server}, now.Add(time.Duration(n)*100*time.Microsecond)); c != nil {
			admitted++
		}
	}
	open := 0
	for _, c := range idle {
		if !c.closed.Load() {
			open++
		}
	}
	if admitted < 20 || open < 9 {
		t.Errorf("%d of 40 connections admitted although 20 wait; %d of 10 idle ones are open", admitted, open)
	}
}
