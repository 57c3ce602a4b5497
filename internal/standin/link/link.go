// Package link is a stand-in for the network between two processes. It forwards
// TCP connections to a target, can break, refuse or delay them, and records the
// bytes sent to the target.
package link

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Link forwards connections. It is safe for concurrent use.
type Link struct {
	address string
	target  string
	work    sync.WaitGroup

	mu          sync.Mutex
	listener    net.Listener
	closed      bool
	conns       map[net.Conn]struct{}
	down        bool
	frozenUntil time.Time // no bytes are forwarded before
	rate        int       // bytes a second from the target, of all connections; 0: no limit
	busyUntil   time.Time // carries what was forwarded until then
	recorded    bytes.Buffer
}

// New returns a Link that listens on address, which may have port 0, and forwards
// to target. Close ends it.
func New(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "link")
	}
	l := &Link{address: listener.Addr().String(), listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	l.work.Go(func() { l.accept(listener) })
	return l, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.address }

// Close closes the link permanently and waits for its goroutines.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	_ = l.listener.Close()
	l.mu.Unlock()
	l.SetDown(true)
	l.work.Wait()
}

// Cut breaks all connections. New ones are still accepted.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

// StopListening breaks all connections, and has the host refuse new ones like that of a
// process that has ended.
func (l *Link) StopListening() {
	l.mu.Lock()
	_ = l.listener.Close()
	l.mu.Unlock()
	l.Cut()
}

// Listen ends the effect of StopListening.
func (l *Link) Listen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return errors.Wrap(err, "link")
	}
	l.listener = listener
	l.work.Go(func() { l.accept(listener) })
	return nil
}

// SetDown breaks all connections and refuses new ones until it is called with
// false.
func (l *Link) SetDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
	if down {
		l.Cut()
	}
}

// Freeze delays all bytes for d.
func (l *Link) Freeze(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozenUntil = time.Now().Add(d)
}

// SetRate limits the bytes a second that come from the target, over all connections together; 0:
// no limit.
func (l *Link) SetRate(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = bytesPerSecond
}

// carry returns how long to wait until n more bytes from the target have been carried. The caller
// must hold mu.
func (l *Link) carry(n int) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(n) * time.Second / time.Duration(l.rate))
	return time.Until(l.busyUntil)
}

// Recorded returns all bytes sent to the target.
func (l *Link) Recorded() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.recorded.Bytes())
}

func (l *Link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.work.Go(func() { l.forward(conn) })
	}
}

func (l *Link) forward(from net.Conn) {
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
		if _, err := io.Copy(writer{link: l, to: from}, to); err != nil || wasReset(to) {
			resetOnClose(from)
		}
		_ = from.Close()
	})
	if _, err := io.Copy(writer{link: l, to: to, record: true}, from); err != nil {
		resetOnClose(from)
	}
}

// wasReset reports whether the peer has reset a connection whose reads have ended. A write may
// have got the error of the reset, and reads then end like those of a connection that the peer
// has closed.
func wasReset(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClosed
	})
	return reset
}

// tcpClosed is the state of a connection after a reset, in Linux's tcp_states.h.
const tcpClosed = 7

// resetOnClose lets the peer of a connection see a reset once it is closed.
func resetOnClose(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }

// add registers open connections, unless the link is down. It reports whether it
// registered them.
func (l *Link) add(conns ...net.Conn) bool {
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

func (l *Link) remove(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		delete(l.conns, conn)
	}
}

// writer forwards bytes, and waits while the link is frozen.
type writer struct {
	link   *Link
	to     net.Conn
	record bool
}

// Write implements io.Writer.
func (w writer) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		part := p[written:min(written+maxForwarded, len(p))]
		w.link.mu.Lock()
		wait := time.Until(w.link.frozenUntil)
		if w.record {
			w.link.recorded.Write(part)
		} else {
			wait = max(wait, w.link.carry(len(part)))
		}
		w.link.mu.Unlock()
		if wait > 0 {
			time.Sleep(wait)
		}
		n, err := w.to.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// maxForwarded bounds the bytes that are forwarded at once, so that connections share a rate.
const maxForwarded = 16 << 10
