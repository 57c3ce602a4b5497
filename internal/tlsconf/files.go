// Package tlsconf builds the TLS configurations of a daemon from its files: mutual
// TLS 1.3 between daemons under a certificate authority of their own, and TLS for
// callers. Changed files are reloaded without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
)

// ErrSettings means that the settings do not name all files that TLS needs, or that
// they name none and do not allow plain text.
var ErrSettings = errors.New("TLS settings")

// daemonFiles are the parsed files for TLS between daemons.
type daemonFiles struct {
	certificate *tls.Certificate
	caPool      *x509.CertPool
}

// Files builds the TLS configurations of a daemon from its files.
type Files struct {
	plaintext bool
	daemon    *reloader[daemonFiles]     // nil: plain text
	callers   *reloader[tls.Certificate] // nil: none
}

// Load reads the files that the settings name.
func Load(settings config.TLSSettings) (*Files, error) {
	if err := checkSettings(settings); err != nil {
		return nil, err
	}
	files := &Files{plaintext: settings.Plaintext}
	var err error
	if settings.CA != "" {
		files.daemon, err = newReloader(daemonLoader(settings), settings.CA, settings.Certificate, settings.Key)
	}
	if err != nil {
		return nil, err
	}
	if settings.CallerCertificate != "" {
		files.callers, err = newReloader(callerLoader(settings), settings.CallerCertificate, settings.CallerKey)
	}
	if err != nil {
		return nil, err
	}
	return files, nil
}

// checkSettings rejects settings that would leave a listener without TLS although
// plain text is not allowed, and settings that name only some of the files.
func checkSettings(s config.TLSSettings) error {
	daemon := s.CA != "" && s.Certificate != "" && s.Key != ""
	caller := s.CallerCertificate != "" && s.CallerKey != ""
	switch {
	case !daemon && (s.CA != "" || s.Certificate != "" || s.Key != ""):
		return errors.Wrap(ErrSettings, "ca, certificate and key must be set together")
	case !caller && (s.CallerCertificate != "" || s.CallerKey != ""):
		return errors.Wrap(ErrSettings, "caller_certificate and caller_key must be set together")
	case !daemon && !s.Plaintext:
		return errors.Wrap(ErrSettings, "ca, certificate and key are required unless plaintext is set to yes")
	}
	return nil
}

func daemonLoader(s config.TLSSettings) func() (*daemonFiles, error) {
	return func() (*daemonFiles, error) {
		certificate, err := loadKeyPair(s.Certificate, s.Key)
		if err != nil {
			return nil, err
		}
		caPool, err := loadCAPool(s.CA)
		if err != nil {
			return nil, err
		}
		return &daemonFiles{certificate, caPool}, nil
	}
}

func callerLoader(s config.TLSSettings) func() (*tls.Certificate, error) {
	return func() (*tls.Certificate, error) { return loadKeyPair(s.CallerCertificate, s.CallerKey) }
}

func loadKeyPair(certificate, key string) (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Wrapf(err, "load certificate %s with key %s", certificate, key)
	}
	return &pair, nil
}

func loadCAPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("certificate authority %s: the file has no PEM certificate", path)
	}
	return pool, nil
}
