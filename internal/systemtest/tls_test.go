package systemtest

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/standin/certs"
	"github.com/wasabigate/wasabigate/internal/tlsconf"
)

// reloadTimeout is the time within which a daemon must use replaced certificates.
const reloadTimeout = 10 * time.Second

// newCertificates writes certificates of a new authority and returns their directory.
func newCertificates(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := certs.Write(dir, []string{testHost}); err != nil {
		t.Fatal(err)
	}
	return dir
}

func tlsSection(dir string) string {
	if dir == "" {
		return "plaintext = yes"
	}
	in := func(name string) string { return filepath.Join(dir, name) }
	return fmt.Sprintf("ca = %s\ncertificate = %s\nkey = %s\ncaller_certificate = %s\ncaller_key = %s",
		in(certs.FileCA), in(certs.FileDaemon), in(certs.FileDaemonKey), in(certs.FileCaller), in(certs.FileCallerKey))
}

func loadCertificates(t *testing.T, dir string) *tlsconf.Files {
	t.Helper()
	in := func(name string) string { return filepath.Join(dir, name) }
	files, err := tlsconf.Load(config.TLSSettings{
		CA: in(certs.FileCA), Certificate: in(certs.FileDaemon), Key: in(certs.FileDaemonKey),
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// secureClient returns a client that trusts the authority and presents no
// certificate.
func secureClient(t *testing.T, dir string) *http.Client {
	t.Helper()
	trust := &tls.Config{RootCAs: loadCertificates(t, dir).Client().RootCAs}
	transport := &http.Transport{TLSClientConfig: trust}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// statusError requests a daemon's status and returns the error.
func statusError(t *testing.T, address string, dial rpc.DialFunc) error {
	t.Helper()
	dialer := rpc.NewDialerFunc(dial)
	defer dialer.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := wire.NewDRPCNodeClient(dialer.Conn(ctx, address)).Status(ctx, &wire.StatusRequest{})
	return err
}

func TestOnlyHoldersOfACertificateAreServed(t *testing.T) {
	dir := newCertificates(t)
	s := start(t, plan{routers: 1, engines: 1, services: 1, certificates: dir})
	if got, err := s.order(t.Context(), s.routers[0], "tls"); err != nil || got.status != http.StatusCreated {
		t.Fatalf("order under TLS: %+v, %v", got, err)
	}
	own, other := loadCertificates(t, dir), loadCertificates(t, newCertificates(t))
	anonymous := &tls.Dialer{Config: &tls.Config{RootCAs: own.Client().RootCAs}}
	forged := own.Client()
	forged.GetClientCertificate = other.Client().GetClientCertificate
	cases := []struct {
		name string
		dial rpc.DialFunc
		ok   bool
	}{
		{"certificate of the authority", own.DialContext, true},
		{"no certificate", anonymous.DialContext, false},
		{"certificate of another authority", (&tls.Dialer{Config: forged}).DialContext, false},
		{"plain text", (&net.Dialer{}).DialContext, false},
	}
	for _, address := range []string{s.routerAddress(t), s.engines[0].link.Address()} {
		for _, c := range cases {
			if err := statusError(t, address, c.dial); (err == nil) != c.ok {
				t.Errorf("%s at %s: %v, want success %t", c.name, address, err, c.ok)
			}
		}
	}
	plain := strings.Replace(s.routers[0].url, "https", "http", 1)
	resp, err := http.Get(plain + "/healthz")
	if err == nil {
		resp.Body.Close()
	}
	if err == nil && resp.StatusCode == http.StatusOK {
		t.Error("a caller was served in plain text")
	}
}

// routerAddress returns the RPC address of the first router.
func (s *system) routerAddress(t *testing.T) string {
	t.Helper()
	vms, err := s.vms.VMs(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, vm := range vms {
		if vm.Name == s.routers[0].name {
			return vm.Address
		}
	}
	t.Fatal("the router is not listed")
	return ""
}

func TestDaemonOfAnotherAuthorityIsRefused(t *testing.T) {
	dir := newCertificates(t)
	s := start(t, plan{routers: 1, engines: 1, certificates: dir})
	settings, err := os.ReadFile(s.routers[0].settings)
	if err != nil {
		t.Fatal(err)
	}
	httpAddress := freeAddress()
	text := strings.Replace(string(settings), tlsSection(dir), tlsSection(newCertificates(t)), 1)
	text = strings.Replace(text, s.routerAddress(t), freeAddress(), 1)
	text = strings.Replace(text, strings.TrimPrefix(s.routers[0].url, "https://"), httpAddress, 1)
	newProcess(t, "stranger", text)
	foreign := &router{url: "https://" + httpAddress}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	outside := &system{caller: client, key: s.key}
	eventually(t, startTimeout, "the router of another authority responds", func() bool {
		got, err := outside.send(t.Context(), foreign, http.MethodPost, "/v1/completions", s.key, "", completionBody("hello", 1, false))
		if err == nil && got.status == http.StatusOK {
			t.Fatal("a daemon of another authority was served")
		}
		return err == nil && got.errorCode() == "store_unavailable" // the peer that owns the shards refused it
	})
}

func TestReplacedCertificateCutsNoRequest(t *testing.T) {
	dir := newCertificates(t)
	s := start(t, plan{routers: 1, engines: 2, engine: slowEngine, certificates: dir})
	files := loadCertificates(t, dir)
	addresses := []string{s.routerAddress(t), s.engines[0].link.Address(), strings.TrimPrefix(s.routers[0].url, "https://")}
	before := make(map[string]string)
	for _, address := range addresses {
		before[address] = serial(t, files, address)
	}
	load := s.startLoad(func(int) *router { return s.routers[0] })
	if err := certs.Write(dir, []string{testHost}); err != nil {
		t.Fatal(err)
	}
	for _, address := range addresses {
		eventually(t, reloadTimeout, address+" presents the new certificate", func() bool {
			return serial(t, files, address) != before[address]
		})
	}
	for _, e := range s.engines {
		e.link.Cut() // later requests use connections with the new certificates
	}
	seen := load.requests.Load()
	eventually(t, reloadTimeout, "requests are served after the change", func() bool { return load.requests.Load() > seen+20 })
	for _, failure := range load.stop() {
		t.Error(failure)
	}
}

// serial returns the serial number of the certificate that address presents.
func serial(t *testing.T, files *tlsconf.Files, address string) string {
	t.Helper()
	conn, err := files.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
}
