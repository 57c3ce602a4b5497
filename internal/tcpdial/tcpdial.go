// Package tcpdial provides the dialer of all outgoing TCP connections. A peer that is
// dead or cut off sends no reset, so each connection finds out by itself.
package tcpdial

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// TCP keep-alive probes detect a dead peer after
	// keepAliveIdle + keepAliveCount * keepAliveInterval without any data.
	keepAliveIdle     = time.Second
	keepAliveInterval = 300 * time.Millisecond
	keepAliveCount    = 3
	// userTimeout is how long sent data may remain unacknowledged.
	userTimeout = 1500 * time.Millisecond
)

// NewDialer returns a dialer whose connections fail within two seconds once their peer
// no longer acknowledges data. timeout limits the time to open a connection.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return errors.Wrap(err, "TCP_USER_TIMEOUT")
}
