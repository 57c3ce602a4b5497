package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validSettings = `[daemon]
name = r1
role = router
availability_zone = a
environment = trial
rpc_address = 127.0.0.1:7400
[platform]
key_value = http://127.0.0.1:1
vm_list = http://127.0.0.1:2
[tls]
plaintext = yes
[router]
http_address = 127.0.0.1:8080
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "daemon.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadSettingsFaults(t *testing.T) {
	cases := []struct {
		name      string
		text      string
		overrides []Override
		want      []string // without the file name
	}{
		{"all at once", validSettings + "policy = best\nlimit_wait = 1h\nmax_body_bytes = 8MB\nspeed = 1\n[routers]\n", nil, []string{
			`line 14: [router] policy: "best" is not one of own, round-robin, least-loaded, prefix-hash`,
			"line 15: [router] limit_wait: 1h is out of range: 0s to 1m",
			`line 16: [router] max_body_bytes: "8MB" is not a size: an integer with B, KiB, MiB or GiB`,
			"line 17: [router] speed: unknown setting: the known ones are http_address, max_body_bytes, memory_limit, policy, limit_wait, prefix_entries, retry_ratio, retry_window, retry_slack",
			"line 18: [routers] unknown section: the known ones are daemon, platform, tls, log, router, sidecar and gateway"}},
		{"duplicate section", validSettings + "[log]\n[log]\n", nil, []string{"line 15: [log] is already defined in line 14"}},
		{"host name as rpc address", strings.Replace(validSettings, "127.0.0.1:7400", "router:7400", 1), nil, []string{
			`line 6: [daemon] rpc_address: "router:7400" is not an IP address with a port, such as 10.0.0.7:7400`}},
		{"sidecar without its settings", strings.Replace(validSettings, "role = router", "role = sidecar", 1), nil, []string{
			"[sidecar] kind: is missing: the role is sidecar",
			"[sidecar] group: is missing: the role is sidecar",
			"[sidecar] backend_url: is missing: the role is sidecar"}},
		{"no TLS files", strings.Replace(validSettings, "plaintext = yes", "ca = ca.pem", 1), nil, []string{
			"line 10: [tls] certificate: is missing: plaintext is not set to yes",
			"line 10: [tls] key: is missing: plaintext is not set to yes",
			"line 10: [tls] caller_certificate: is missing: plaintext is not set to yes",
			"line 10: [tls] caller_key: is missing: plaintext is not set to yes"}},
		{"one invalid peer", strings.Replace(validSettings, "[platform]", "peers = 10.0.0.1:1, x:2\n[platform]", 1), nil, []string{
			`line 7: [daemon] peers: "x:2" is not an IP address with a port, such as 10.0.0.7:7400`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := writeSettings(t, c.text)
			_, err := LoadSettings(path, c.overrides)
			got := strings.ReplaceAll(strings.Join(faultTexts(t, err), "\n"), path+": ", "")
			if got != strings.Join(c.want, "\n") {
				t.Errorf("faults:\n%s\nwant:\n%s", got, strings.Join(c.want, "\n"))
			}
		})
	}
}

func TestOverrideFaultsNameTheirSource(t *testing.T) {
	overrides := EnvironmentOverrides([]string{"HOME=/", "WASABIGATE_ROUTER_LIMIT_WAIT=5", "WASABIGATE_BOGUS=1"})
	flag, err := ParseOverride("log.level=loud")
	if err != nil {
		t.Fatal(err)
	}
	_, err = LoadSettings(writeSettings(t, validSettings), append(overrides, flag))
	got := strings.Join(faultTexts(t, err), "\n")
	want := []string{
		"environment variable WASABIGATE_BOGUS: [bogus] unknown section: the known ones are daemon, platform, tls, log, router, sidecar and gateway",
		`flag --set log.level: [log] level: "loud" is not one of debug, info, warn, error`,
		`environment variable WASABIGATE_ROUTER_LIMIT_WAIT: [router] limit_wait: "5" is not a duration: a number with ms, s, m or h`,
	}
	if got != strings.Join(want, "\n") {
		t.Errorf("faults:\n%s\nwant:\n%s", got, strings.Join(want, "\n"))
	}
}

func TestLaterOverridesTakePrecedence(t *testing.T) {
	overrides := EnvironmentOverrides([]string{"WASABIGATE_ROUTER_LIMIT_WAIT=5s", "WASABIGATE_DAEMON_RPC_ADDRESS=127.0.0.1:9"})
	flag, err := ParseOverride("router.limit_wait=7s")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := LoadSettings(writeSettings(t, validSettings), append(overrides, flag))
	if err != nil {
		t.Fatal(err)
	}
	if settings.Router.LimitWait != 7*time.Second || settings.Daemon.RPCAddress != "127.0.0.1:9" {
		t.Errorf("limit_wait %v, rpc_address %s", settings.Router.LimitWait, settings.Daemon.RPCAddress)
	}
	if settings.Router.MaxBodyBytes != 8<<20 || settings.Platform.Timeout != 500*time.Millisecond {
		t.Errorf("defaults: max_body_bytes %d, timeout %v", settings.Router.MaxBodyBytes, settings.Platform.Timeout)
	}
}

func TestLoadSettingsReportsMissingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.ini")
	_, err := LoadSettings(path, nil)
	if got := faultTexts(t, err); len(got) != 1 || !strings.HasPrefix(got[0], path) {
		t.Errorf("faults %q", got)
	}
	for _, bad := range []string{"x", "x=1", "a.b"} {
		if _, err := ParseOverride(bad); err == nil {
			t.Errorf("override %q is accepted", bad)
		}
	}
}
