package cli

import (
	"path/filepath"
	"testing"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/standin/certs"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
	"github.com/wasabigate/wasabigate/internal/tlsconf"
)

func TestStatus(t *testing.T) {
	cases := []struct {
		name    string
		change  func(env *testEnv, router, sidecar *fakeNode)
		code    ExitCode
		problem string
	}{
		{"healthy", func(*testEnv, *fakeNode, *fakeNode) {}, ExitOK, "healthy, revision 1"},
		{"pile-up", func(_ *testEnv, _, sidecar *fakeNode) {
			sidecar.status.Queue = &wire.QueueStatus{Urgent: 3, OldestMs: 9500, DrainMs: 20000, PileUp: true}
		}, ExitDegraded, "has a pile-up: the oldest of 3 requests waits for 9.5 s, projected to drain in 20.0 s"},
		{"revision lag", func(env *testEnv, _, _ *fakeNode) { env.apply("trial", startDocument+"# 2\n") }, ExitDegraded, "has revision 1, not 2"},
		{"daemon ahead of a lost response", func(_ *testEnv, router, _ *fakeNode) {
			router.status.Revisions = &wire.Revisions{Document: 2}
		}, ExitDegraded, "has revision 1, not 2"},
		{"unreachable", func(env *testEnv, _, _ *fakeNode) { env.list("gone", "127.0.0.1:1", "engines") }, ExitDegraded, "gone (127.0.0.1:1) is unreachable"},
		{"hanging sidecar", func(_ *testEnv, _, sidecar *fakeNode) { sidecar.hanging = true }, ExitDown, "no backend server of group engines takes requests"},
		{"draining router", func(_ *testEnv, router, _ *fakeNode) { router.status.Draining = true }, ExitDown, "no router takes requests"},
		{"leaving router", func(env *testEnv, _, _ *fakeNode) { env.leave("r1") }, ExitDown, "no router takes requests"},
		{"VM that left", func(env *testEnv, _, _ *fakeNode) {
			env.list("gone", "127.0.0.1:1", "engines")
			env.leave("gone")
		}, ExitOK, "unreachable"},
		{"another environment", func(_ *testEnv, router, _ *fakeNode) { router.status.Environment = "production" }, ExitDegraded, `belongs to environment "production"`},
		{"unlisted servers", func(_ *testEnv, router, _ *fakeNode) { router.status.UnlistedServers = 2 }, ExitDegraded, "knows 2 backend servers"},
		{"key-value service down", func(env *testEnv, _, _ *fakeNode) { env.kv.SetFaults(kv.Faults{Down: true}) }, ExitDegraded, "the key-value service can't be read"},
		{"VM list down", func(env *testEnv, _, _ *fakeNode) { env.vms.SetDown(true) }, ExitDown, "the VM list can't be read"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnv(t)
			state := env.apply("trial", startDocument)
			router := env.add(node("r1", "router", "trial", state), "routers")
			sidecar := env.add(node("s1", "sidecar", "trial", state), "engines")
			c.change(env, router, sidecar)
			env.run("trial", "status").expect(c.code, c.problem)
		})
	}
}

// leave lists a VM as leaving.
func (e *testEnv) leave(name string) {
	vms, err := e.vms.VMs(e.t.Context())
	if err != nil {
		e.t.Fatal(err)
	}
	for _, vm := range vms {
		if vm.Name == name {
			vm.State = platform.VMLeaving
			e.vms.Set(vm)
		}
	}
}

func TestStatusInJSON(t *testing.T) {
	env := newTestEnv(t)
	state := env.apply("trial", startDocument)
	router := node("r1", "router", "trial", state)
	router.status.Shards = 8
	env.add(router, "routers")
	env.add(node("s1", "sidecar", "trial", state), "engines")
	var out fleetStatus
	env.run("trial", "status", "-o", "json").expect(ExitOK).decode(&out)
	if out.Health != HealthOK || len(out.Daemons) != 2 || out.Daemons[0].Shards != 8 || out.Daemons[1].Group != "engines" {
		t.Errorf("status %+v", out)
	}
}

func TestStatusAsksPeersAndListedDaemons(t *testing.T) {
	env := newTestEnv(t)
	state := env.apply("trial", startDocument)
	env.add(node("r1", "router", "trial", state), "routers")
	vms, err := env.vms.VMs(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	env.vms.Remove("r1")
	env.add(node("s1", "sidecar", "trial", state), "engines")
	env.run("trial", "status").expect(ExitDown, "no router")
	env.run("trial", "status", "--peer", vms[0].Address).expect(ExitOK, "r1")
}

func TestDrainAndLogLevel(t *testing.T) {
	env := newTestEnv(t)
	state := env.apply("trial", startDocument)
	router := env.add(node("r1", "router", "trial", state), "routers")
	other := env.add(node("r2", "router", "trial", state), "routers")
	env.run("trial", "drain", "r1").expect(ExitOK, "done, 7 requests running")
	if !router.drained || other.drained {
		t.Errorf("drained: %v, %v; want only the first", router.drained, other.drained)
	}
	env.run("trial", "drain", "r1", "--cancel").expect(ExitOK)
	if router.drained {
		t.Error("the drain is not cancelled")
	}
	env.run("trial", "drain", "r3").expect(ExitRefused, `no daemon "r3" is listed`)
	env.run("trial", "log-level", "debug").expect(ExitOK, "logs at level debug")
	if router.level != "debug" || other.level != "debug" {
		t.Errorf("levels %q and %q", router.level, other.level)
	}
	env.list("gone", "127.0.0.1:1", "engines")
	env.run("trial", "log-level", "info").expect(ExitUnconfirmed, "gone", "not done")
}

func TestStatusOverMutualTLS(t *testing.T) {
	dir := t.TempDir()
	if err := certs.Write(dir, []string{"127.0.0.1"}); err != nil {
		t.Fatal(err)
	}
	file := func(name string) string { return filepath.Join(dir, name) }
	settings := config.TLSSettings{CA: file("ca.pem"), Certificate: file("daemon.pem"), Key: file("daemon-key.pem")}
	files, err := tlsconf.Load(settings)
	if err != nil {
		t.Fatal(err)
	}
	env := newTestEnv(t)
	state := env.apply("trial", startDocument)
	env.serverTLS = files.Server()
	env.add(node("r1", "router", "trial", state), "routers")
	env.add(node("s1", "sidecar", "trial", state), "engines")
	env.run("trial", "status").expect(ExitDown, "unreachable") // --plaintext
	env.run("trial", "status", "--tls-ca", settings.CA, "--tls-certificate", settings.Certificate, "--tls-key", settings.Key).expect(ExitOK, "healthy")
}
