package cli

import (
	"strings"
	"testing"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
)

func TestWorkspaceCommands(t *testing.T) {
	env := newTestEnv(t)
	env.apply("trial", startDocument)
	env.run("trial", "workspace", "create", "north", "--rate", "5", "--burst", "50").expect(ExitOK, "revision 2")
	env.run("trial", "workspace", "create", "north", "--rate", "5", "--burst", "50").expect(ExitRefused, "workspace north exists")
	env.run("trial", "workspace", "create", "BAD", "--rate", "5", "--burst", "50").expect(ExitInvalid, `"BAD" is not a name`)
	env.run("trial", "workspace", "set", "north", "--burst", "0").expect(ExitInvalid, "0 is out of range")
	env.run("trial", "workspace", "set", "north", "--burst", "60", "--max-class", "deferrable").expect(ExitOK, "revision 3")
	env.run("trial", "workspace", "set", "south", "--rate", "1").expect(ExitRefused, "no such section")
	workspace := env.state("trial").Revision.Document.Workspace("north")
	if *workspace != (config.Workspace{Name: "north", Rate: 5, Burst: 60, MaxClass: config.ClassDeferrable}) {
		t.Errorf("workspace %+v", workspace)
	}
	env.run("trial", "workspace", "remove", "w").expect(ExitOK, "revision 4")
	after := env.state("trial").Revision
	if after.Document.Workspace("w") != nil || after.Document.Key("k") != nil || !after.KeyWithdrawn("k") {
		t.Errorf("workspace w, or its key, is left: %s", after.Text)
	}
}

func TestKeyIssue(t *testing.T) {
	env := newTestEnv(t)
	env.apply("trial", startDocument)
	var out struct {
		ID, Workspace, Key string
		Revision           uint64
	}
	env.run("trial", "key", "issue", "--workspace", "w", "-o", "json").expect(ExitOK).decode(&out)
	revision := env.state("trial").Revision
	key := revision.Document.Key(out.ID)
	if key == nil || key.Workspace != "w" || key.SHA256 != config.HashKey(out.Key) {
		t.Fatalf("issued %+v, the document has %+v", out, key)
	}
	if strings.Contains(string(revision.Text), out.Key) {
		t.Error("the document holds the key itself")
	}
	if listed := env.run("trial", "key", "list").expect(ExitOK, out.ID); strings.Contains(listed.stdout, out.Key) {
		t.Error("key list shows the key")
	}
	env.run("trial", "key", "issue", "--workspace", "nobody").expect(ExitRefused, `there is no workspace "nobody"`)
	env.run("trial", "key", "issue", "--workspace", "w", "--id", "k").expect(ExitRefused, "key k exists")
}

func TestKeyWithdrawTellsTheDaemons(t *testing.T) {
	env := newTestEnv(t)
	state := env.apply("trial", startDocument)
	confirming := env.add(node("r1", "router", "trial", state), "routers")
	late := node("r3", "router", "trial", state)
	late.confirmsLate = true
	env.add(late, "routers")
	ignoring := node("r2", "router", "trial", state)
	ignoring.ignoresOffers = true
	env.add(ignoring, "routers")
	hanging := node("s1", "sidecar", "trial", state)
	hanging.hanging = true
	env.add(hanging, "engines")
	env.list("gone", "127.0.0.1:1", "engines")

	env.run("trial", "key", "withdraw", "k").expect(ExitUnconfirmed, "revision 2 of trial is accepted",
		"confirmed by 2 daemons", "not confirmed by r2", "not confirmed by s1", "not confirmed by gone")
	if got := confirming.status.GetRevisions().GetDocument(); got != 2 {
		t.Errorf("the reachable daemon has revision %d", got)
	}
	env.run("trial", "key", "list").expect(ExitOK, "withdrawn")
	env.run("trial", "key", "issue", "--workspace", "w", "--id", "k").expect(ExitRefused, "the key id is withdrawn")
	env.vms.Remove("r2")
	env.vms.Remove("s1")
	env.vms.Remove("gone")
	env.run("trial", "key", "withdraw", "k").expect(ExitOK, "unchanged", "confirmed by 2 daemons")
	env.vms.SetDown(true)
	env.run("trial", "key", "withdraw", "k").expect(ExitUnconfirmed, "not all daemons are known")
}

func TestPromote(t *testing.T) {
	env := newTestEnv(t)
	trial := env.apply("trial", startDocument)
	env.run("production", "config", "promote").expect(ExitRefused, "no daemon of trial is listed")
	router := env.add(node("r1", "router", "trial", trial), "routers")
	lagging := env.add(node("s1", "sidecar", "trial", trial), "engines")

	lagging.status.Revisions.Document = 0
	env.run("production", "config", "promote").expect(ExitRefused, "not in force everywhere", "s1", "has revision 0")
	lagging.status.Revisions.Document = 1
	lagging.status.DocumentDigest = []byte{1}
	env.run("production", "config", "promote").expect(ExitRefused, "s1", "has another document of that revision")
	lagging.status.DocumentDigest = trial.Revision.Digest[:]
	env.list("gone", "127.0.0.1:1", "engines")
	env.run("production", "config", "promote").expect(ExitRefused, "gone (127.0.0.1:1): unreachable")
	if env.state("production").Revision != nil {
		t.Fatal("a refused promotion changed production")
	}
	env.vms.Remove("gone")
	env.add(node("p1", "router", "production", trial), "routers") // not of trial
	env.run("production", "config", "promote").expect(ExitOK, "in force at all 2 daemons", "revision 1 of production")
	if got := env.state("production").Revision; string(got.Text) != startDocument {
		t.Errorf("production has %s", got.Text)
	}
	checkDirectEdit(t, env, router, lagging)
}

// checkDirectEdit checks that a promotion doesn't undo a change that was made
// only in production, unless --base names its revision.
func checkDirectEdit(t *testing.T, env *testEnv, daemons ...*fakeNode) {
	env.run("production", "workspace", "create", "alone", "--rate", "1", "--burst", "1").expect(ExitOK)
	next := env.apply("trial", startDocument+"# next\n")
	for _, daemon := range daemons {
		daemon.status = node(daemon.status.Name, daemon.status.Role, "trial", next).status
	}
	env.run("production", "config", "promote").expect(ExitRefused, "was never in force in trial", "-[workspace alone]")
	env.run("production", "config", "promote", "--base", "1").expect(ExitConflict)
	env.run("production", "config", "promote", "--base", "2").expect(ExitOK, "revision 3 of production")
	if !env.state("production").HasDigest(next.Revision.Digest) {
		t.Error("production does not have the promoted document")
	}
	if text := configstore.Diff(env.state("production").Revision.Text, next.Revision.Text); text != "" {
		t.Errorf("difference:\n%s", text)
	}
}
