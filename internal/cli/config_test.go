package cli

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

func TestUsageErrors(t *testing.T) {
	cases := []struct {
		name string
		args []string
		want string
	}{
		{"no such command", []string{"confg"}, `there is no command "confg"`},
		{"no such subcommand", []string{"config", "aply"}, `there is no command "aply"`},
		{"no such flag", []string{"status", "--peers", "x"}, "-peers"},
		{"argument missing", []string{"config", "check"}, "takes the arguments FILE"},
		{"argument too many", []string{"config", "history", "x"}, "takes no arguments"},
		{"output format", []string{"version", "--output", "xml"}, `"xml" is neither text nor json`},
		{"no environment", []string{"config", "show"}, "--environment is needed"},
		{"no key-value service", []string{"config", "show", "-e", "trial"}, "--key-value is needed"},
		{"no daemons", []string{"status"}, "--vm-list or --peer is needed"},
		{"no TLS", []string{"status", "--peer", "127.0.0.1:1"}, "--tls-ca"},
		{"peer", []string{"drain", "x", "--peer", "host:1"}, `"host:1" is not an IP address with a port`},
		{"required flag", []string{"workspace", "create", "x"}, "rate"},
		{"log level", []string{"log-level", "loud"}, `level "loud" is not one of debug, info, warn, error`},
		{"nothing to set", []string{"workspace", "set", "w"}, "give at least one of"},
		{"key id", []string{"key", "withdraw", "A B"}, "is not a name"},
		{"promote to itself", []string{"config", "promote", "-e", "trial", "--key-value", "http://127.0.0.1:1"}, "are the same"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runProgram(t, "", c.args...).expect(ExitUsage, c.want, "hint: see \"wasabigate")
		})
	}
}

func TestConfigCheck(t *testing.T) {
	clean := startDocument + "[model m]\ngroup = engines\nweights_version = v1\n"
	runProgram(t, "", "config", "check", writeFile(t, clean)).expect(ExitOK, "valid: 1 models, 1 groups, 1 workspaces, 1 keys, 1 routes")
	runProgram(t, clean, "config", "check", "-").expect(ExitOK, "valid")
	runProgram(t, startDocument, "config", "check", "-").expect(ExitWarnings, "valid: 0 models, 1 groups, 1 workspaces, 1 keys, 1 routes",
		"warning: -: line 4: [group engines] no model and no route names the group", "warning: -: line 17: [route chat] path: there is no model")
	faulty := writeFile(t, startDocument+"[workspace x]\nrate = 0\n[modle y]\n")
	runProgram(t, "", "config", "check", faulty).expect(ExitInvalid,
		faulty+": line 19: [workspace x] rate: 0 is out of range",
		faulty+": line 18: [workspace x] burst: is missing",
		faulty+": line 20: [modle y] unknown section", "hint:")
	failed := runProgram(t, "", "config", "check", "-o", "json", faulty).expect(ExitInvalid)
	var out errorReport
	if err := json.Unmarshal([]byte(failed.stderr), &out); err != nil || len(out.Faults) != 3 || out.ExitCode != ExitInvalid {
		t.Errorf("error in JSON: %s, %v", failed.stderr, err)
	}
	runProgram(t, "", "config", "check", "none.ini").expect(ExitFailure, "none.ini")
}

// Guards against scripts that can't tell warnings from errors, and against a difference that
// is taken from another document than the one in force or shows whole digests.
func TestConfigCheckWarnsAndCompares(t *testing.T) {
	env := newTestEnv(t)
	warned := strings.Replace(startDocument, "rate = 100", "rate = 20000", 1)
	file := writeFile(t, warned)
	const warning = "line 9: [workspace w] rate: 20000 is more than 10 times the burst"
	env.run("trial", "config", "check", file).expect(ExitWarnings, "valid", "warning: "+file+": "+warning)
	env.run("trial", "config", "check", file, "--against-current").expect(ExitWarnings, "changes from revision 0", "+ [key k] sha256 = 00010203...\n")
	env.apply("trial", startDocument)
	env.run("trial", "config", "check", writeFile(t, startDocument), "--against-current").expect(ExitWarnings, "0 changes from revision 1\n")
	env.run("trial", "config", "check", file, "--against-current").expect(ExitWarnings, "1 changes from revision 1\n~ [workspace w] rate: 100 -> 20000\n")
	var out checkResult
	env.run("trial", "config", "check", file, "--against-current", "-o", "json").expect(ExitWarnings).decode(&out)
	if len(out.Warnings) == 0 || out.Current == nil || len(out.Current.Changes) != 1 || out.Current.Changes[0].Line != 9 {
		t.Errorf("result in JSON: %+v", out)
	}
	env.kv.SetFaults(kv.Faults{Down: true})
	env.run("trial", "config", "check", file, "--against-current", "--timeout", "300ms").expect(ExitUnavailable)
	runProgram(t, "", "config", "check", file, "--against-current").expect(ExitUsage, "--environment is needed")
}

func TestConfigChanges(t *testing.T) {
	env := newTestEnv(t)
	first, second := writeFile(t, startDocument), writeFile(t, strings.Replace(startDocument, "rate = 100", "rate = 200", 1))
	env.run("trial", "config", "show").expect(ExitRefused, "the environment has no document", "hint: apply a first document")
	env.run("trial", "config", "apply", first, "--base", "3").expect(ExitRefused, "there is no revision 3")
	env.run("trial", "config", "apply", first).expect(ExitOK, "revision 1 of trial is accepted")
	env.run("trial", "config", "diff", first).expect(ExitOK)
	env.run("trial", "config", "diff", second).expect(ExitDiffers, "-rate = 100\n+rate = 200\n")
	env.run("trial", "config", "apply", second).expect(ExitRefused, "revision 1 is in force", "--base")
	env.run("trial", "config", "apply", second, "--base", "1").expect(ExitOK, "revision 2")
	env.run("trial", "config", "history").expect(ExitOK, "ann", "kept")

	conflict := env.run("trial", "config", "apply", first, "--base", "1").expect(ExitConflict, "-rate = 200\n+rate = 100\n", "--base 2")
	if !strings.Contains(conflict.stderr, "conflict") || env.state("trial").Number() != 2 {
		t.Errorf("stderr %s; revision %d", conflict.stderr, env.state("trial").Number())
	}
	if back := env.run("trial", "config", "show", "--revision", "1").expect(ExitOK); back.stdout != startDocument {
		t.Errorf("revision 1 is %q", back.stdout)
	}
	env.run("trial", "config", "show", "--revision", "9").expect(ExitRefused, "does not hold the text of revision 9")
}

func TestUnavailableAndLostResponse(t *testing.T) {
	env := newTestEnv(t)
	env.apply("trial", startDocument)
	env.kv.SetFaults(kv.Faults{Down: true})
	env.run("trial", "config", "show", "--timeout", "300ms").expect(ExitUnavailable, "hint: nothing changed")
	env.kv.SetFaults(kv.Faults{LoseAnswers: 1})
	lost := env.run("trial", "key", "issue", "--workspace", "w", "--id", "new").expect(ExitOK, "reading back showed that it took effect")
	if !strings.Contains(lost.stdout, "wg-new-") || env.state("trial").Number() != 2 {
		t.Errorf("stdout %s; revision %d", lost.stdout, env.state("trial").Number())
	}
}

func TestExitCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/CLI.md")
	if err != nil {
		t.Fatal(err)
	}
	for code, meaning := range ExitCodes() {
		if row := exitCodeRow(code, meaning); !strings.Contains(string(page), row) {
			t.Errorf("docs/CLI.md lacks the row %q", row)
		}
	}
}

func TestEveryCommandIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/CLI.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, command := range (&Program{}).command().Commands {
		names := []string{command.Name}
		for _, child := range command.Commands {
			names = append(names, command.Name+" "+child.Name)
		}
		for _, name := range names {
			if !strings.Contains(string(page), "`"+name) {
				t.Errorf("docs/CLI.md lacks the command %q", name)
			}
		}
	}
}

func TestCompletion(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish"} {
		runProgram(t, "", "completion", shell).expect(ExitOK, "wasabigate")
	}
	runProgram(t, "", "config", "--generate-shell-completion").expect(ExitOK, "promote")
}
