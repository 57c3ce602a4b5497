package tlsconf

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/tcpdial"
)

// Server returns the configuration of the RPC listener, which requires a certificate
// from the other daemon, or nil for plain text.
func (f *Files) Server() *tls.Config {
	if f.daemon == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: f.serverConfig,
	}
}

// serverConfig returns the configuration of one connection, with the current files.
// Session resumption is disabled so that every connection is verified against them.
func (f *Files) serverConfig(*tls.ClientHelloInfo) (*tls.Config, error) {
	files := f.daemon.get()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{*files.certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              files.caPool,
		SessionTicketsDisabled: true,
	}, nil
}

// Client returns the configuration of one connection to another daemon, with the
// current files, or nil for plain text. Each connection needs a new one, because
// the root certificates in it are not reloaded.
func (f *Files) Client() *tls.Config {
	if f.daemon == nil {
		return nil
	}
	files := f.daemon.get()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    files.caPool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return files.certificate, nil
		},
	}
}

// dialTimeout limits the time to open a TCP connection, before the handshake.
const dialTimeout = 2 * time.Second

// DialContext connects to another daemon, whose certificate must be valid for the
// host of address, and completes the TLS handshake.
func (f *Files) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	client := f.Client()
	if client == nil {
		return tcpdial.NewDialer(dialTimeout).DialContext(ctx, network, address)
	}
	return (&tls.Dialer{NetDialer: tcpdial.NewDialer(dialTimeout), Config: client}).DialContext(ctx, network, address)
}

// Callers returns the configuration of the listener for callers, or nil for plain
// text. Callers authenticate with a workspace's key, not with a certificate. Without
// a caller certificate every handshake fails, unless plain text is allowed.
func (f *Files) Callers() *tls.Config {
	if f.callers == nil && f.plaintext {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: f.callerCertificate,
	}
}

func (f *Files) callerCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	if f.callers == nil {
		return nil, errors.Wrap(ErrSettings, "no caller certificate is configured")
	}
	return f.callers.get(), nil
}
