// Package rpc connects the daemons over drpc. A drpc connection carries one
// stream at a time, so that clients keep a pool of connections per address.
package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

const (
	dialTimeout        = 2 * time.Second
	idleConnExpiration = 30 * time.Second
	idleConnsPerPeer   = 128
	idleConns          = 4096
	softCancelGrace    = 5 * time.Millisecond
	// maxMessageBytes bounds a message: a document of one megabyte with its
	// history, or a caller's body.
	maxMessageBytes = 32 << 20
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}

// Conn is a connection to a daemon. Dialing happens at the first call.
type Conn = drpc.Conn

// DialFunc opens a connection. It returns after the TLS handshake if there is
// one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer gives out connections to other daemons.
type Dialer struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
	open DialFunc
}

// NewDialer returns a Dialer. secure is nil for plain text.
func NewDialer(secure *tls.Config) *Dialer {
	if secure == nil {
		return NewDialerFunc((&net.Dialer{}).DialContext)
	}
	return NewDialerFunc((&tls.Dialer{Config: secure}).DialContext)
}

// NewDialerFunc returns a Dialer that opens its connections with the given
// function.
func NewDialerFunc(open DialFunc) *Dialer {
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleConnExpiration,
		Capacity:    idleConns,
		KeyCapacity: idleConnsPerPeer,
	})
	return &Dialer{pool: pool, open: open}
}

// Conn returns a pooled connection to address. An error of a call on it that
// wraps ErrDial means that the call was not sent.
func (d *Dialer) Conn(ctx context.Context, address string) Conn {
	return d.pool.Get(ctx, address, d.dial)
}

// Close closes the idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

// ErrDial means that no connection could be made.
var ErrDial = errors.New("dial failed")

func (d *Dialer) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := d.open(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(ErrDial, "%s: %v", address, err)
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// Serve serves handler on listener until ctx ends. secure is nil for plain
// text. onError may be nil.
func Serve(ctx context.Context, listener net.Listener, handler drpc.Handler, secure *tls.Config, onError func(error)) error {
	if secure != nil {
		listener = tls.NewListener(listener, secure)
	}
	server := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions(), Log: onError})
	return server.Serve(ctx, listener)
}
