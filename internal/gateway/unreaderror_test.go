package gateway

import (
	"net"
	"testing"
	"time"
)

// A client that sends requests that are refused, one after the other, and doesn't read the
// responses must not hold its connection for ever.
func TestUnreadErrorsEnd(t *testing.T) {
	t.Parallel()
	s := startBounded(t)
	conn, err := net.Dial("tcp", s.settings.Gateway.HTTPAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	request := []byte("GET /none HTTP/1.1\r\nHost: api.example\r\n\r\n")
	for {
		// The gateway reads no more once its response can't be written.
		_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second)) // an error shows in the write
		if _, err := conn.Write(request); err != nil {
			break
		}
	}
	if s.gateway.memory.Used() == 0 {
		t.Fatal("the connection has ended already")
	}
	for end := time.Now().Add(15 * time.Second); s.gateway.memory.Used() > 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection is still open")
		}
	}
}
