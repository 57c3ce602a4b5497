// Package rpc connects the daemons over DRPC. A DRPC connection carries one stream at
// a time, so clients keep a pool of connections per address.
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

	"github.com/wasabigate/wasabigate/internal/guard"
	"github.com/wasabigate/wasabigate/internal/tcpdial"
)

const (
	dialTimeout         = 2 * time.Second
	idleConnExpiration  = 30 * time.Second
	maxIdleConnsPerPeer = 128
	maxIdleConns        = 4096
	// maxMessageBytes bounds a message, which may carry a document of one megabyte
	// with its history, or the body of a caller's request.
	maxMessageBytes = 32 << 20
)

// managerOptions returns the options of a connection. There is no SoftCancelGrace: its
// timer may close a connection that the next call already uses.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel: true,
	}
}

// Conn is a connection to a daemon. It is dialed at the first call.
type Conn = drpc.Conn

// DialFunc opens a connection. It returns after the TLS handshake, if there is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer provides pooled connections to other daemons.
type Dialer struct {
	pool     *drpcpool.Pool[string, drpcpool.Conn]
	dialFunc DialFunc
}

// NewDialer returns a Dialer. A nil tlsConfig means plain text.
func NewDialer(tlsConfig *tls.Config) *Dialer {
	if tlsConfig == nil {
		return NewDialerFunc(tcpdial.NewDialer(dialTimeout).DialContext)
	}
	return NewDialerFunc((&tls.Dialer{NetDialer: tcpdial.NewDialer(dialTimeout), Config: tlsConfig}).DialContext)
}

// NewDialerFunc returns a Dialer that opens its connections with dialFunc.
func NewDialerFunc(dialFunc DialFunc) *Dialer {
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleConnExpiration,
		Capacity:    maxIdleConns,
		KeyCapacity: maxIdleConnsPerPeer,
	})
	return &Dialer{pool: pool, dialFunc: dialFunc}
}

// Conn returns a pooled connection to address. If a call on it fails with an error
// that wraps ErrDial, the call was not sent.
func (d *Dialer) Conn(ctx context.Context, address string) Conn {
	return d.pool.Get(ctx, address, d.dial)
}

// Close closes the idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

// ErrDial means that no connection could be opened.
var ErrDial = errors.New("dial failed")

func (d *Dialer) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.dialFunc(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(ErrDial, "%s: %v", address, err)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// guarded is a handler whose panics end only the call.
type guarded struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h guarded) HandleRPC(stream drpc.Stream, rpc string) error {
	return guard.Call(rpc, func() error { return h.Handler.HandleRPC(stream, rpc) })
}

// Serve serves handler on listener until ctx is done. A call whose handler panics fails;
// the others go on. A nil tlsConfig means plain text. onError, which may be nil, is called with errors that do not end Serve.
func Serve(ctx context.Context, listener net.Listener, handler drpc.Handler, tlsConfig *tls.Config, onError func(error)) error {
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	server := drpcserver.NewWithOptions(guarded{handler}, drpcserver.Options{Manager: managerOptions(), Log: onError})
	return server.Serve(ctx, listener)
}
