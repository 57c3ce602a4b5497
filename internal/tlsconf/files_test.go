package tlsconf

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/standin/certs"
)

const host = "127.0.0.1"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func settingsIn(dir string) config.TLSSettings {
	path := func(name string) string { return filepath.Join(dir, name) }
	return config.TLSSettings{
		CA:                path(certs.FileCA),
		Certificate:       path(certs.FileDaemon),
		Key:               path(certs.FileDaemonKey),
		CallerCertificate: path(certs.FileCaller),
		CallerKey:         path(certs.FileCallerKey),
	}
}

// newFiles writes a new certificate authority with certificates for hosts, and loads
// them. It also returns their directory.
func newFiles(t *testing.T, hosts ...string) (*Files, string) {
	dir := t.TempDir()
	if err := certs.Write(dir, hosts); err != nil {
		t.Fatal(err)
	}
	files, err := Load(settingsIn(dir))
	if err != nil {
		t.Fatal(err)
	}
	return files, dir
}

// handshake connects a server and a client over a pipe. It returns the serial number
// of the certificate that the client received, and the errors of both sides.
func handshake(t *testing.T, server, client *tls.Config) (serial string, serverErr, clientErr error) {
	clientPipe, serverPipe := net.Pipe()
	defer clientPipe.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		defer serverPipe.Close()
		conn := tls.Server(serverPipe, server)
		err := conn.HandshakeContext(ctx)
		if err == nil {
			_, err = conn.Write([]byte("x"))
		}
		done <- err
	}()
	conn := tls.Client(clientPipe, client)
	if clientErr = conn.HandshakeContext(ctx); clientErr == nil {
		serial = conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
		_, clientErr = conn.Read(make([]byte, 1)) // a TLS 1.3 server rejects the client only after the client's handshake is done
	}
	clientPipe.Close()
	return serial, <-done, clientErr
}

// withServerName sets the server name of a client's configuration to host.
func withServerName(client *tls.Config) *tls.Config {
	client.ServerName = host
	return client
}

func TestOnlyDaemonsOfAuthorityConnect(t *testing.T) {
	files, _ := newFiles(t, host)
	otherCA, _ := newFiles(t, host)
	otherHost, _ := newFiles(t, "127.0.0.9")
	noCertificate := withServerName(files.Client())
	noCertificate.GetClientCertificate = nil
	otherCertificate := withServerName(files.Client()) // trusts the server, presents a certificate of another authority
	otherCertificate.GetClientCertificate = otherCA.Client().GetClientCertificate
	tls12 := withServerName(files.Client())
	tls12.MinVersion, tls12.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	cases := []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"daemon", files.Server(), withServerName(files.Client()), true},
		{"client without a certificate", files.Server(), noCertificate, false},
		{"client of another authority", files.Server(), otherCertificate, false},
		{"server of another authority", otherCA.Server(), withServerName(files.Client()), false},
		{"server of another address", otherHost.Server(), withServerName(otherHost.Client()), false},
		{"TLS 1.2", files.Server(), tls12, false},
		{"caller", files.Callers(), withServerName(files.Client()), true},
	}
	for _, c := range cases {
		_, serverErr, clientErr := handshake(t, c.server, c.client)
		if ok := serverErr == nil && clientErr == nil; ok != c.ok {
			t.Errorf("%s: server %v, client %v; want success %t", c.name, serverErr, clientErr, c.ok)
		}
	}
}

func TestChangedFilesAreReloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		files, dir := newFiles(t, host)
		// serials returns the serial numbers of both listeners' certificates after the
		// next check of the files.
		serials := func() string {
			t.Helper()
			time.Sleep(checkInterval)
			daemon, serverErr, clientErr := handshake(t, files.Server(), withServerName(files.Client()))
			caller, _, _ := handshake(t, files.Callers(), withServerName(files.Client()))
			if serverErr != nil || clientErr != nil {
				t.Fatalf("server %v, client %v", serverErr, clientErr)
			}
			return daemon + caller
		}
		first := serials()
		if err := certs.Write(dir, []string{host}); err != nil {
			t.Fatal(err)
		}
		second := serials()
		if second == first {
			t.Error("renewed certificates are not used")
		}
		for name, text := range map[string]string{certs.FileDaemon: "broken", certs.FileCallerKey: ""} {
			if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if serials() != second {
			t.Error("broken files replaced the certificates")
		}
		for _, name := range []string{certs.FileCA, certs.FileCAKey} {
			if err := os.Remove(filepath.Join(dir, name)); err != nil {
				t.Fatal(err)
			}
		}
		if serials() != second {
			t.Error("missing files replaced the certificates")
		}
		if err := certs.Write(dir, []string{host}); err != nil { // under a new authority
			t.Fatal(err)
		}
		if third := serials(); third == second {
			t.Error("the new authority's certificates are not used")
		}
	})
}

func TestPlainTextRequiresSetting(t *testing.T) {
	_, dir := newFiles(t, host)
	complete := settingsIn(dir)
	daemonOnly := config.TLSSettings{CA: complete.CA, Certificate: complete.Certificate, Key: complete.Key}
	noKey, missing, wrongKey := complete, complete, complete
	noKey.Key = ""
	missing.CA = filepath.Join(dir, "absent.pem")
	wrongKey.Key = complete.CallerKey
	for name, settings := range map[string]config.TLSSettings{
		"nothing": {}, "callers alone": {CallerCertificate: complete.CallerCertificate, CallerKey: complete.CallerKey},
		"no key": noKey, "plain text and no key": {Plaintext: true, CA: complete.CA, Certificate: complete.Certificate},
		"missing file": missing, "key of another certificate": wrongKey,
	} {
		if _, err := Load(settings); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := Load(config.TLSSettings{}); !errors.Is(err, ErrSettings) {
		t.Errorf("nothing: %v, want ErrSettings", err)
	}
	files, err := Load(config.TLSSettings{Plaintext: true})
	if err != nil || files.Server() != nil || files.Client() != nil || files.Callers() != nil {
		t.Errorf("plain text: %+v, %v", files, err)
	}
	files, err = Load(daemonOnly)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := handshake(t, files.Callers(), withServerName(files.Client())); err == nil {
		t.Error("a listener for callers without a certificate accepted a connection")
	}
}
