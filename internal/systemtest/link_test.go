package systemtest

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
)

// link forwards TCP connections to a target, as the network between two
// processes. It can be cut and it records what goes towards the target.
type link struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	down     bool
	recorded bytes.Buffer
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	t.Cleanup(func() {
		_ = listener.Close()
		l.cut()
	})
	go l.accept()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
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
	go func() {
		_, _ = io.Copy(from, to)
		_ = from.Close()
	}()
	_, _ = io.Copy(io.MultiWriter(to, recorder{l}), from)
}

func (l *link) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return false
	}
	for _, conn := range conns {
		l.conns[conn] = struct{}{}
	}
	return true
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

// bytes returns all that went towards the target.
func (l *link) bytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.recorded.Bytes())
}

type recorder struct{ link *link }

func (r recorder) Write(p []byte) (int, error) {
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	return r.link.recorded.Write(p)
}
