// Package conntracetest provides a server that answers an upload before it has read it and then
// resets the connection, for tests of HTTP clients.
package conntracetest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// UploadBytes is the size of an upload that the socket buffers of a connection can't hold.
const UploadBytes = 16 << 20

// holdTimeout limits the time for which a read or write is held.
const holdTimeout = 2 * time.Second

// EarlyServer answers each request after its head with the text that answer returns for it, and
// resets the connection while the body is being written. DialContext connects to it.
type EarlyServer struct {
	Address string

	delivered chan struct{} // the client has read the answer
}

// NewEarlyServer starts a server for one request.
func NewEarlyServer(t *testing.T, answer func(r *http.Request) string) *EarlyServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &EarlyServer{Address: listener.Addr().String(), delivered: make(chan struct{})}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if r, err := http.ReadRequest(bufio.NewReaderSize(conn, 64)); err == nil {
			_, _ = io.WriteString(conn, answer(r))
			wait(s.delivered)
		}
		_ = conn.(*net.TCPConn).SetLinger(0) // Close resets the connection
	}()
	return s
}

// DialContext connects to the server. On Linux the first call on a socket after a reset returns
// the error, and reads after that return io.EOF. Reads are held until a write has failed, and the
// failure of the write until a read has returned, so that this order is certain.
func (s *EarlyServer) DialContext(ctx context.Context, network, _ string) (net.Conn, error) {
	var dialer net.Dialer
	opened, err := dialer.DialContext(ctx, network, s.Address)
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: opened, delivered: s.delivered, failed: make(chan struct{}), ended: make(chan struct{})}, nil
}

type heldConn struct {
	net.Conn
	delivered, failed, ended chan struct{}

	answered, writeFailed, readEnded sync.Once
}

func (c *heldConn) Read(p []byte) (int, error) {
	select {
	case <-c.delivered:
		wait(c.failed)
	default:
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.answered.Do(func() { close(c.delivered) })
	}
	if err != nil {
		c.readEnded.Do(func() { close(c.ended) })
	}
	return n, err
}

func (c *heldConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Do(func() { close(c.failed) })
		wait(c.ended)
	}
	return n, err
}

func wait(event <-chan struct{}) {
	select {
	case <-event:
	case <-time.After(holdTimeout):
	}
}
