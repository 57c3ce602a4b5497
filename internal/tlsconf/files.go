// Package tlsconf makes the TLS configurations of a daemon from its files:
// mutual TLS 1.3 between daemons under an authority of their own, and TLS
// towards callers. Changed files come into force without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
)

// ErrSettings means that the settings neither name the files that TLS needs nor
// allow plain text.
var ErrSettings = errors.New("TLS settings")

// daemonFiles are the parsed files of a daemon.
type daemonFiles struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Files gives the TLS configurations of a daemon.
type Files struct {
	plaintext bool
	daemon    *watched[daemonFiles]     // nil: plain text
	callers   *watched[tls.Certificate] // nil: none
}

// Load reads the files that the settings name.
func Load(settings config.TLSSettings) (*Files, error) {
	if err := checkSettings(settings); err != nil {
		return nil, err
	}
	files := &Files{plaintext: settings.Plaintext}
	var err error
	if settings.CA != "" {
		files.daemon, err = watch(daemonLoader(settings), settings.CA, settings.Certificate, settings.Key)
	}
	if err != nil {
		return nil, err
	}
	if settings.CallerCertificate != "" {
		files.callers, err = watch(callerLoader(settings), settings.CallerCertificate, settings.CallerKey)
	}
	if err != nil {
		return nil, err
	}
	return files, nil
}

// checkSettings refuses settings that would leave a listener without TLS
// although plain text isn't allowed, or that name a part of the files.
func checkSettings(s config.TLSSettings) error {
	daemon := s.CA != "" && s.Certificate != "" && s.Key != ""
	caller := s.CallerCertificate != "" && s.CallerKey != ""
	switch {
	case !daemon && (s.CA != "" || s.Certificate != "" || s.Key != ""):
		return errors.Wrap(ErrSettings, "ca, certificate and key belong together")
	case !caller && (s.CallerCertificate != "" || s.CallerKey != ""):
		return errors.Wrap(ErrSettings, "caller certificate and key belong together")
	case !daemon && !s.Plaintext:
		return errors.Wrap(ErrSettings, "ca, certificate and key are needed unless plaintext is allowed")
	}
	return nil
}

func daemonLoader(s config.TLSSettings) func() (*daemonFiles, error) {
	return func() (*daemonFiles, error) {
		certificate, err := loadPair(s.Certificate, s.Key)
		if err != nil {
			return nil, err
		}
		authority, err := loadAuthority(s.CA)
		if err != nil {
			return nil, err
		}
		return &daemonFiles{certificate, authority}, nil
	}
}

func callerLoader(s config.TLSSettings) func() (*tls.Certificate, error) {
	return func() (*tls.Certificate, error) { return loadPair(s.CallerCertificate, s.CallerKey) }
}

func loadPair(certificate, key string) (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Wrapf(err, "certificate %s with key %s", certificate, key)
	}
	return &pair, nil
}

func loadAuthority(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("certificate authority %s: no certificate", path)
	}
	return pool, nil
}
