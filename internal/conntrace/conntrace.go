// Package conntrace tells whether an HTTP request had a connection, so that a call
// without an answer is known to have had no effect, or may have had one.
package conntrace

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// Attach returns a context for one request. connected is true from when the request
// has a connection on which it may be sent.
func Attach(ctx context.Context) (traced context.Context, connected *atomic.Bool) {
	connected = &atomic.Bool{}
	traced = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	return traced, connected
}
