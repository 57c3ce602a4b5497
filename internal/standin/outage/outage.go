// Package outage serves stand-ins that crash and restart. While one is down, its
// address refuses connections.
package outage

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	listenRetry     = 20 * time.Millisecond
	shutdownTimeout = 5 * time.Second
)

// Switch is the state of a stand-in, up or down. Its zero value is up.
type Switch struct {
	mu      sync.Mutex
	crashed chan struct{} // closed at the next crash, nil while down
	up      chan struct{} // closed at the next start, nil while up
	served  chan struct{} // closed when Serve has closed the listener, nil if not served
}

// Crash marks the stand-in as down. It returns when a served address refuses
// connections.
func (s *Switch) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up != nil {
		return
	}
	s.up = make(chan struct{})
	if s.crashed != nil {
		close(s.crashed)
		s.crashed = nil
	}
	if s.served != nil {
		<-s.served
		s.served = nil
	}
}

// Start marks the stand-in as up.
func (s *Switch) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up == nil {
		return
	}
	close(s.up)
	s.up = nil
}

// Crashed returns a channel that is closed at the next crash, or nil while the
// stand-in is down.
func (s *Switch) Crashed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashedLocked()
}

func (s *Switch) crashedLocked() <-chan struct{} {
	if s.up != nil {
		return nil
	}
	if s.crashed == nil {
		s.crashed = make(chan struct{})
	}
	return s.crashed
}

// serve returns a channel that is closed at the next crash, and one to close
// when the listener is closed. Both are nil while the stand-in is down.
func (s *Switch) serve() (<-chan struct{}, chan<- struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashed := s.crashedLocked()
	if crashed == nil {
		return nil, nil
	}
	s.served = make(chan struct{})
	return crashed, s.served
}

// wait waits until the stand-in is up or ctx ends.
func (s *Switch) wait(ctx context.Context) {
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	if up == nil {
		return
	}
	select {
	case <-up:
	case <-ctx.Done():
	}
}

// Serve serves handler on listener until ctx ends. It closes the listener and
// all connections when the stand-in crashes, and listens again when it restarts.
func Serve(ctx context.Context, s *Switch, handler http.Handler, listener net.Listener) error {
	address := listener.Addr().String()
	defer func() { _ = listener.Close() }()
	for {
		crashed, served := s.serve()
		if crashed != nil {
			err := serveUntil(ctx, crashed, handler, listener)
			close(served)
			if err != nil {
				return err
			}
		}
		_ = listener.Close()
		s.wait(ctx)
		reopened, err := listen(ctx, address)
		if err != nil {
			return nil // ctx has ended
		}
		listener = reopened
	}
}

// listen retries until ctx ends, since the port may still be in use.
func listen(ctx context.Context, address string) (net.Listener, error) {
	for ctx.Err() == nil {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		select {
		case <-time.After(listenRetry):
		case <-ctx.Done():
		}
	}
	return nil, ctx.Err()
}

// serveUntil serves until the crash or the end of ctx.
func serveUntil(ctx context.Context, crashed <-chan struct{}, handler http.Handler, listener net.Listener) error {
	server := &http.Server{Handler: handler}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case <-crashed:
		_ = server.Close()
	case <-ctx.Done():
		stop(server)
	case err := <-failed:
		return errors.Wrap(err, "serve")
	}
	<-failed
	return nil
}

func stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
