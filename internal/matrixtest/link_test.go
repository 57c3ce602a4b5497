package matrixtest

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// link forwards TCP connections to a target. It can be cut, and frozen.
type link struct {
	listener net.Listener
	target   string
	work     sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	down  bool
	thaw  time.Time // nothing passes before
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	l.work.Go(l.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		l.setDown(true)
		l.work.Wait()
	})
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.work.Go(func() { l.forward(conn) })
	}
}

func (l *link) forward(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer to.Close()
	if !l.add(from, to) {
		return
	}
	defer l.remove(from, to)
	l.work.Go(func() {
		_, _ = io.Copy(slowWriter{from, l}, to)
		_ = from.Close()
	})
	_, _ = io.Copy(slowWriter{to, l}, from)
}

// slowWriter waits while the link is frozen.
type slowWriter struct {
	net.Conn
	link *link
}

func (s slowWriter) Write(p []byte) (int, error) {
	s.link.mu.Lock()
	wait := time.Until(s.link.thaw)
	s.link.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	return s.Conn.Write(p)
}

func (l *link) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.conns[conn] = struct{}{}
	}
	return !l.down
}

func (l *link) remove(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		delete(l.conns, conn)
	}
}

// cut breaks all connections. New ones are made again.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

// setDown cuts the link and keeps it so until it is set up again.
func (l *link) setDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
	if down {
		l.cut()
	}
}

// freeze holds up all bytes for d.
func (l *link) freeze(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.thaw = time.Now().Add(d)
}
