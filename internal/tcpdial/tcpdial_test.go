package tcpdial

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestSocketOptions checks that an unresponsive peer is detected within two seconds, idle
// or not.
func TestSocketOptions(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := NewDialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(level, name int) (value int) {
		t.Helper()
		var optionErr error
		if err := raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), level, name) }); err != nil || optionErr != nil {
			t.Fatal(err, optionErr)
		}
		return value
	}
	const limitMs = 2000
	if got := option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); got <= 0 || got > limitMs {
		t.Errorf("user timeout %d ms", got)
	}
	idle := option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE) + option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)*option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
	if option(unix.SOL_SOCKET, unix.SO_KEEPALIVE) == 0 || idle*1000 > 2*limitMs {
		t.Errorf("keep-alive detects a dead peer after %d s", idle)
	}
}
