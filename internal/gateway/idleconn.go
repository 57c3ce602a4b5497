package gateway

import (
	"net"
	"time"
)

// idleListener accepts connections that are closed when they have been idle for as long as
// the configuration in force allows. http.Server knows only a fixed time-out.
type idleListener struct {
	net.Listener
	limit func() time.Duration // 0: the server's time-out
}

// Accept implements net.Listener.
func (l idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: conn, limit: l.limit}, nil
}

type idleConn struct {
	net.Conn
	limit func() time.Duration
}

// SetReadDeadline implements net.Conn. A deadline beyond readHeaderTimeout is that of an idle
// connection, which is shortened to the limit.
func (c *idleConn) SetReadDeadline(deadline time.Time) error {
	now := time.Now()
	if limit := c.limit(); limit > 0 && deadline.Sub(now) > readHeaderTimeout {
		deadline = earlier(deadline, now.Add(limit))
	}
	return c.Conn.SetReadDeadline(deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// idleLimit returns how long clients may keep a connection idle, 0 if that is not configured.
func (g *Gateway) idleLimit() time.Duration {
	if config := g.follower.Snapshot().Config; config != nil {
		return config.Limits.IdleTimeout
	}
	return 0
}
