package peering

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// testLink carries a gateway's connections to the store and to others. What the gateway receives
// takes the link's time.
type testLink struct {
	rate int // bytes a second

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]struct{}
	busy  time.Time // until when it carries what was received, or is frozen
}

func newTestLink(rate int) *testLink {
	return &testLink{rate: rate, conns: make(map[net.Conn]struct{})}
}

// dial opens a connection over the link.
func (l *testLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if l.isDown() {
		return nil, errors.New("the link is down")
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return l.add(conn), nil
}

// wait waits until n more bytes have been carried.
func (l *testLink) wait(n int) {
	l.mu.Lock()
	if now := time.Now(); l.busy.Before(now) {
		l.busy = now
	}
	l.busy = l.busy.Add(time.Duration(n) * time.Second / time.Duration(l.rate))
	left := time.Until(l.busy)
	l.mu.Unlock()
	if left > time.Millisecond { // shorter sleeps take longer than they should
		time.Sleep(left)
	}
}

func (l *testLink) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

func (l *testLink) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	if down {
		for conn := range l.conns {
			_ = conn.Close()
		}
		clear(l.conns)
	}
}

func (l *testLink) freeze(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = time.Now().Add(d)
}

func (l *testLink) add(conn net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		_ = conn.Close()
	}
	l.conns[conn] = struct{}{}
	return &linkedConn{Conn: conn, link: l}
}

// linkedConn is a connection of which the received bytes take the link's time.
type linkedConn struct {
	net.Conn
	link *testLink
}

func (c *linkedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data[:min(len(data), 1500)])
	c.link.wait(n)
	return n, err
}
