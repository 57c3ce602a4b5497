package cli

import (
	"strings"
	"testing"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
)

func TestWorkspaceCommands(t *testing.T) {
	s := newTestEnv(t)
	s.apply("trial", startDocument)
	s.run("trial", "workspace", "create", "north", "--rate", "5", "--burst", "50").expect(ExitOK, "revision 2")
	s.run("trial", "workspace", "create", "north", "--rate", "5", "--burst", "50").expect(ExitRefused, "workspace north exists")
	s.run("trial", "workspace", "create", "BAD", "--rate", "5", "--burst", "50").expect(ExitInvalid, `"BAD" is not a name`)
	s.run("trial", "workspace", "set", "north", "--burst", "0").expect(ExitInvalid, "0 is out of range")
	s.run("trial", "workspace", "set", "north", "--burst", "60", "--max-class", "deferrable").expect(ExitOK, "revision 3")
	s.run("trial", "workspace", "set", "south", "--rate", "1").expect(ExitRefused, "no such section")
	workspace := s.state("trial").Revision.Document.Workspace("north")
	if *workspace != (config.Workspace{Name: "north", Rate: 5, Burst: 60, MaxClass: config.ClassDeferrable}) {
		t.Errorf("workspace %+v", workspace)
	}
	s.run("trial", "workspace", "remove", "w").expect(ExitOK, "revision 4")
	after := s.state("trial").Revision
	if after.Document.Workspace("w") != nil || after.Document.Key("k") != nil || !after.KeyWithdrawn("k") {
		t.Errorf("workspace w, or its key, is left: %s", after.Text)
	}
}

func TestKeyIssue(t *testing.T) {
	s := newTestEnv(t)
	s.apply("trial", startDocument)
	var out struct {
		ID, Workspace, Key string
		Revision           uint64
	}
	s.run("trial", "key", "issue", "--workspace", "w", "-o", "json").expect(ExitOK).decode(&out)
	revision := s.state("trial").Revision
	key := revision.Document.Key(out.ID)
	if key == nil || key.Workspace != "w" || key.SHA256 != config.HashKey(out.Key) {
		t.Fatalf("issued %+v, the document has %+v", out, key)
	}
	if strings.Contains(string(revision.Text), out.Key) {
		t.Error("the document holds the key itself")
	}
	if listed := s.run("trial", "key", "list").expect(ExitOK, out.ID); strings.Contains(listed.stdout, out.Key) {
		t.Error("key list shows the key")
	}
	s.run("trial", "key", "issue", "--workspace", "nobody").expect(ExitRefused, `there is no workspace "nobody"`)
	s.run("trial", "key", "issue", "--workspace", "w", "--id", "k").expect(ExitRefused, "key k exists")
}

func TestKeyWithdrawTellsTheDaemons(t *testing.T) {
	s := newTestEnv(t)
	state := s.apply("trial", startDocument)
	confirming := s.add(node("r1", "router", "trial", state), "routers")
	late := node("r3", "router", "trial", state)
	late.confirmsLate = true
	s.add(late, "routers")
	ignoring := node("r2", "router", "trial", state)
	ignoring.ignoresOffers = true
	s.add(ignoring, "routers")
	hanging := node("s1", "sidecar", "trial", state)
	hanging.hanging = true
	s.add(hanging, "engines")
	s.list("gone", "127.0.0.1:1", "engines")

	s.run("trial", "key", "withdraw", "k").expect(ExitUnconfirmed, "revision 2 of trial is accepted",
		"confirmed by 2 daemons", "not confirmed by r2", "not confirmed by s1", "not confirmed by gone")
	if got := confirming.status.GetRevisions().GetDocument(); got != 2 {
		t.Errorf("the reachable daemon has revision %d", got)
	}
	s.run("trial", "key", "list").expect(ExitOK, "withdrawn")
	s.run("trial", "key", "issue", "--workspace", "w", "--id", "k").expect(ExitRefused, "the key id is withdrawn")
	s.vms.Remove("r2")
	s.vms.Remove("s1")
	s.vms.Remove("gone")
	s.run("trial", "key", "withdraw", "k").expect(ExitOK, "unchanged", "confirmed by 2 daemons")
	s.vms.SetDown(true)
	s.run("trial", "key", "withdraw", "k").expect(ExitUnconfirmed, "not all daemons are known")
}

func TestPromote(t *testing.T) {
	s := newTestEnv(t)
	trial := s.apply("trial", startDocument)
	s.run("production", "config", "promote").expect(ExitRefused, "no daemon of trial is listed")
	router := s.add(node("r1", "router", "trial", trial), "routers")
	lagging := s.add(node("s1", "sidecar", "trial", trial), "engines")

	lagging.status.Revisions.Document = 0
	s.run("production", "config", "promote").expect(ExitRefused, "not in force everywhere", "s1", "has revision 0")
	lagging.status.Revisions.Document = 1
	lagging.status.DocumentDigest = []byte{1}
	s.run("production", "config", "promote").expect(ExitRefused, "s1", "has another document of that revision")
	lagging.status.DocumentDigest = trial.Revision.Digest[:]
	s.list("gone", "127.0.0.1:1", "engines")
	s.run("production", "config", "promote").expect(ExitRefused, "gone (127.0.0.1:1): unreachable")
	if s.state("production").Revision != nil {
		t.Fatal("a refused promotion changed production")
	}
	s.vms.Remove("gone")
	s.add(node("p1", "router", "production", trial), "routers") // not of trial
	s.run("production", "config", "promote").expect(ExitOK, "in force at all 2 daemons", "revision 1 of production")
	if got := s.state("production").Revision; string(got.Text) != startDocument {
		t.Errorf("production has %s", got.Text)
	}
	checkDirectEdit(t, s, router, lagging)
}

// checkDirectEdit checks that a promotion doesn't undo a change that was made
// only in production, unless --base names its revision.
func checkDirectEdit(t *testing.T, s *testEnv, daemons ...*fakeNode) {
	s.run("production", "workspace", "create", "alone", "--rate", "1", "--burst", "1").expect(ExitOK)
	next := s.apply("trial", startDocument+"# next\n")
	for _, daemon := range daemons {
		daemon.status = node(daemon.status.Name, daemon.status.Role, "trial", next).status
	}
	s.run("production", "config", "promote").expect(ExitRefused, "was never in force in trial", "-[workspace alone]")
	s.run("production", "config", "promote", "--base", "1").expect(ExitConflict)
	s.run("production", "config", "promote", "--base", "2").expect(ExitOK, "revision 3 of production")
	if !s.state("production").HasDigest(next.Revision.Digest) {
		t.Error("production does not have the promoted document")
	}
	if text := configstore.Diff(s.state("production").Revision.Text, next.Revision.Text); text != "" {
		t.Errorf("difference:\n%s", text)
	}
}
