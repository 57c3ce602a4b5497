package config

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

const validDocument = `[environment]
name = Test
[model m]
group = engines
weights_version = v1
[group engines]
kind = engines
[group desk]
kind = service
[workspace w]
rate = 100
burst = 1000
[key k]
workspace = w
sha256 = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
[route chat]
path = /v1/chat/completions
`

// faultTexts returns the text of each fault in err.
func faultTexts(t *testing.T, err error) []string {
	t.Helper()
	var faults Faults
	if !errors.As(err, &faults) {
		t.Fatalf("error %v is not of type Faults", err)
	}
	texts := make([]string, len(faults))
	for i, fault := range faults {
		texts[i] = fault.String()
	}
	return texts
}

func TestParseFaults(t *testing.T) {
	cases := []struct {
		name  string
		added string // to validDocument, whose last line is 17
		want  []string
	}{
		{"unknown section", "[modle x]", []string{"line 18: [modle x] unknown section: the known ones are environment, model, group, workspace, key and route"}},
		{"unknown setting", "[workspace x]\nrate = 1\nburst = 1\nMax-Class = urgent", []string{"line 21: [workspace x] Max-Class: unknown setting: did you mean max_class?"}},
		{"duplicate section", "[workspace w]\nrate = 5\nburst = 5", []string{"line 18: [workspace w] is already defined in line 10"}},
		{"duplicate setting", "[workspace x]\nrate = 1\nrate = 2\nburst = 1", []string{"line 20: [workspace x] rate: is set twice in this section"}},
		{"bad title", "[workspace UPPER]\nrate = 1\nburst = 1", []string{`line 18: [workspace UPPER] "UPPER" is not a name: up to 63 of a-z, 0-9, ".", "_" and "-"`}},
		{"no title", "[workspace]\nrate = 1\nburst = 1", []string{`line 18: [workspace] "" is not a name: up to 63 of a-z, 0-9, ".", "_" and "-"`}},
		{"reserved group", "[group routers]\nkind = service", []string{"line 18: [group routers] the group name routers is reserved for the entry VMs"}},
		{"environment with a name", "[environment x]\nname = y", []string{"line 18: [environment x] takes no name: write [environment]"}},
		{"header not closed", "[workspace x", []string{"line 18: [workspace x is not a section header: write [KIND] or [KIND NAME]"}},
		{"no delimiter", "method POST", []string{`line 18: [route chat] "method POST" is not a setting: write KEY = VALUE`}},
		{"multi-line value", "method = \"\"\"POST", []string{"line 18: [route chat] method: a value must be on one line"}},
		{"missing and empty", "[workspace x]\nrate =", []string{"line 18: [workspace x] burst: is missing", "line 19: [workspace x] rate: is empty"}},
		{"wrong types", "[workspace x]\nrate = 5/s\nburst = 8MiB", []string{
			`line 19: [workspace x] rate: "5/s" is not an integer without a unit`,
			`line 20: [workspace x] burst: "8MiB" is not an integer without a unit`}},
		{"unit missing", "patience = 5", []string{`line 18: [route chat] patience: "5" is not a duration: a number with ms, s, m or h`}},
		{"out of range", "[workspace x]\nrate = 0\nburst = 10000000001", []string{
			"line 19: [workspace x] rate: 0 is out of range: 1 to 1000000000",
			"line 20: [workspace x] burst: 10000000001 is out of range: 1 to 10000000000"}},
		{"not a choice", "class = soon", []string{`line 18: [route chat] class: "soon" is not one of urgent, deferrable`}},
		{"not a boolean", "once = maybe", []string{`line 18: [route chat] once: "maybe" is not yes or no`}},
		{"not a hash", "[key x]\nworkspace = w\nsha256 = abcd", []string{"line 20: [key x] sha256: is not a SHA-256: 64 hexadecimal digits"}},
		{"hash of another key", "[key x]\nworkspace = w\nsha256 = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
			[]string{"line 20: [key x] sha256: is the same as in [key k]"}},
		{"unknown workspace", "[key x]\nworkspace = nobody\nsha256 = 100102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
			[]string{"line 19: [key x] workspace: there is no section [workspace nobody]"}},
		{"unknown group", "[model x]\ngroup = none\nweights_version = v", []string{"line 19: [model x] group: there is no section [group none]"}},
		{"group of another kind", "[model x]\ngroup = desk\nweights_version = v", []string{"line 19: [model x] group: desk is a group of kind service, not engines"}},
		{"completion fills the context", "[model x]\ngroup = engines\nweights_version = v\ncontext_tokens = 512", []string{
			"line 18: [model x] default_max_tokens: 512 must be less than context_tokens, 512"}},
		{"route to engines", "[route x]\npath = /x\ngroup = engines", []string{"line 20: [route x] group: engines is a group of kind engines, not service"}},
		{"once without group", "[route x]\npath = /x\nmethod = POST\nonce = yes", []string{
			"line 18: [route x] group: is missing: only /v1/chat/completions and /v1/completions are routed to models"}},
		{"once for generation", "once = yes", []string{"line 18: [route chat] once: applies to plain services only: a generation may be retried"}},
		{"once without method", "[route x]\npath = /x\ngroup = desk\nonce = yes", []string{
			"line 18: [route x] method: a route with once = yes must use POST, PUT, PATCH or DELETE"}},
		{"open without workspace", "[route x]\npath = /x\ngroup = desk\naccess = open", []string{
			"line 18: [route x] workspace: is missing: an open route must name the workspace whose rate and burst limit it"}},
		{"workspace without open", "[route x]\npath = /x\ngroup = desk\nworkspace = w", []string{
			"line 21: [route x] workspace: applies to open routes only: the key determines the workspace"}},
		{"open generation", "access = open\nworkspace = w", []string{"line 18: [route chat] access: a generation path requires a key"}},
		{"cost above burst", "[route x]\npath = /x\ngroup = desk\naccess = open\nworkspace = w\ncost = 1001", []string{
			"line 23: [route x] cost: 1001 is above the burst of workspace w, 1000"}},
		{"reserved path", "[route x]\npath = /v1/files/*\ngroup = desk", []string{"line 19: [route x] path: /v1/files/* is reserved for the router"}},
		{"not a path", "[route x]\npath = /a/../b\ngroup = desk", []string{`line 19: [route x] path: "/a/../b" is not a path: write /a/b or /a/b/*`}},
		{"strips another path", "[route x]\npath = /desk/x\ngroup = desk\nstrip_prefix = /de", []string{
			"line 21: [route x] strip_prefix: /de is not a prefix of the path /desk/x"}},
		{"overlap", "[route x]\npath = /d/*\ngroup = desk\n[route y]\nmethod = GET\npath = /d/e/f\ngroup = desk", []string{
			"line 23: [route y] path: /d/e/f overlaps with /d/* of [route x]"}},
		{"not UTF-8", "\xff", []string{"not valid UTF-8 text", "section [environment] is missing"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(validDocument + c.added + "\n"))
			got := strings.Join(faultTexts(t, err), "\n")
			if got != strings.Join(c.want, "\n") {
				t.Errorf("faults:\n%s\nwant:\n%s", got, strings.Join(c.want, "\n"))
			}
		})
	}
}

func TestParseReportsAllFaultsAtOnce(t *testing.T) {
	text := "[workspace x]\nrate = fast\n[key k]\nworkspace = nobody\n[route r]\npath = /x\nonce = maybe\n"
	_, err := Parse([]byte(text))
	if got := faultTexts(t, err); len(got) != 7 {
		t.Errorf("%d faults, want 7:\n%s", len(got), strings.Join(got, "\n"))
	}
}

func TestParseAcceptsNonOverlappingRoutes(t *testing.T) {
	added := "[route x]\npath = /d/*\nmethod = GET\ngroup = desk\n[route y]\nmethod = POST\npath = /d/e\ngroup = desk\n[route z]\npath = /d\ngroup = desk # the parent\n"
	if _, err := Parse([]byte(validDocument + added)); err != nil {
		t.Fatal(err)
	}
}

var demoKeyPattern = regexp.MustCompile(`# demo key: (\S+)`)

func TestExamples(t *testing.T) {
	for _, name := range []string{"consortium", "association"} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".ini"))
			if err != nil {
				t.Fatal(err)
			}
			document, err := Parse(text)
			if err != nil {
				t.Fatal(err)
			}
			if len(document.Workspaces) != 5 || len(document.Keys) != 5 {
				t.Errorf("%d workspaces, %d keys, want 5 of each", len(document.Workspaces), len(document.Keys))
			}
			checkDemoKeys(t, document, text)
		})
	}
}

// checkDemoKeys checks that a comment gives the text of every key in the document.
func checkDemoKeys(t *testing.T, document *Document, text []byte) {
	found := 0
	for _, match := range demoKeyPattern.FindAllSubmatch(text, -1) {
		id, _ := KeyID(string(match[1]))
		key := document.Key(id)
		if key == nil || key.SHA256 != HashKey(string(match[1])) {
			t.Errorf("demo key of %q does not match the document", id)
			continue
		}
		found++
	}
	if found != len(document.Keys) {
		t.Errorf("%d demo keys for %d keys", found, len(document.Keys))
	}
}

func TestServicePath(t *testing.T) {
	cases := []struct{ prefix, path, want string }{
		{"/desk", "/desk/lookup/7", "/lookup/7"},
		{"", "/desk/lookup/7", "/desk/lookup/7"},
		{"/desk/orders", "/desk/orders", "/"},
	}
	for _, c := range cases {
		route := Route{StripPrefix: c.prefix}
		if got := route.ServicePath(c.path); got != c.want {
			t.Errorf("service path of %s without %q is %s, want %s", c.path, c.prefix, got, c.want)
		}
	}
}

func TestNewKey(t *testing.T) {
	text := NewKey("desk-1")
	if id, ok := KeyID(text); !ok || id != "desk-1" {
		t.Errorf("id of %q is %q, %v", text, id, ok)
	}
	if NewKey("desk-1") == text {
		t.Error("two new keys are equal")
	}
	for _, bad := range []string{"", "wg-", "wg--x", "sk-a-b", "wg-a"} {
		if id, ok := KeyID(bad); ok {
			t.Errorf("%q has id %q", bad, id)
		}
	}
}
