// Package conntrace reports whether an HTTP request was assigned a connection. A call
// that got no response cannot have had an effect if there was no connection; otherwise
// it may have had one.
package conntrace

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// Attach returns a context for one request. connected becomes true when the request
// gets a connection on which it may be sent.
func Attach(ctx context.Context) (traced context.Context, connected *atomic.Bool) {
	connected = &atomic.Bool{}
	traced = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	return traced, connected
}
