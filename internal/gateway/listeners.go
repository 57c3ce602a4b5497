package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/wasabigate/wasabigate/internal/clientconn"
)

// Names of the listeners in metrics and log lines.
const (
	listenerClients   = "clients"
	listenerReadiness = "readiness"
	listenerAdmin     = "admin"
	listenerRPC       = "rpc"
)

const (
	// clientShare and rpcShare are the shares of the process's descriptors for connections of
	// clients and of other gateways. The rest is for connections to servers, of which each
	// running request has one, to peers and to the store.
	clientShare = 0.4
	rpcShare    = 0.2
	// smallConns bounds the connections for readiness checks and for metrics, each. There are
	// a few probes and scrapers.
	smallConns = 32
	// smallTimeout bounds a request to them, and the writing of its response.
	smallTimeout   = 10 * time.Second
	smallHeadBytes = 16 << 10
)

// share returns a share of the process's descriptors.
func (g *Gateway) share(part float64) int {
	return int(float64(clientconn.Descriptors(g.settings.Gateway.DescriptorLimit)) * part)
}

// newClientServer returns the HTTP server of the clients' listener.
func (g *Gateway) newClientServer() *http.Server {
	return &http.Server{Handler: g.ingress, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// boundClients bounds the connections of clients and the size of heads.
func (g *Gateway) boundClients(listener net.Listener, server *http.Server) net.Listener {
	bounded := clientconn.Listen(listener, clientconn.Options{
		Name: listenerClients, MaxConns: g.share(clientShare), HTTP: true, HeadTimeout: readHeaderTimeout,
		Account: g.memory, Limits: g.clientLimits,
	})
	server.ConnState = bounded.OnState
	return bounded
}

// clientLimits returns the limits of the configuration in force.
func (g *Gateway) clientLimits() clientconn.Limits {
	if config := g.follower.Snapshot().Config; config != nil {
		return clientconn.Limits{HeadBytes: config.Limits.HeaderBytes, IdleTimeout: config.Limits.IdleTimeout}
	}
	return clientconn.Limits{}
}

// newSmallServer returns an HTTP server for requests without bodies and with short responses.
func newSmallServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: smallTimeout, WriteTimeout: smallTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: smallHeadBytes,
	}
}

// boundSmall bounds the connections to a server of newSmallServer. listener may be nil.
func boundSmall(listener net.Listener, name string, server *http.Server) net.Listener {
	if listener == nil {
		return nil
	}
	bounded := clientconn.Listen(listener, clientconn.Options{Name: name, MaxConns: smallConns, HTTP: true})
	server.ConnState = bounded.OnState
	return bounded
}
