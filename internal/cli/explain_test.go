package cli

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

const explainedLog = `{"fields":{"process":"g1","error":"timeout"},"level":"warn","timestamp":"2026-04-10T13:28:40Z","message":"follower: store lost"}
{"fields":{"process":"g1","request_id":"r1","server":"a"},"level":"info","timestamp":"2026-04-10T13:28:41Z","message":"relay: placed"}
{"fields":{"process":"g1","request_id":"r1","server":"a","code":"overloaded","verdict":"not-run"},"level":"warn","timestamp":"2026-04-10T13:28:41.5Z","message":"gateway: refused"}
`

func TestExplainCommand(t *testing.T) {
	cases := []struct {
		args []string
		code ExitCode
		want []string
	}{
		{[]string{"explain", "r1"}, ExitOK, []string{"request r1", "relay: placed", "+0.500s", `"code":"overloaded"`, "follower: store lost"}},
		{[]string{"explain", "--summary"}, ExitOK, []string{"COUNT", "gateway: refused", "overloaded", "not-run", "r1"}},
		{[]string{"--output", "json", "explain", "r1"}, ExitOK, []string{`"story"`, `"beliefs"`, `"request": "r1"`}},
		{[]string{"record"}, ExitFailure, nil}, // no line describes a prompt
		{[]string{"explain", "r2"}, ExitFailure, nil},
		{[]string{"explain"}, ExitUsage, nil},
		{[]string{"explain", "r1", "no-such-file"}, ExitFailure, nil},
	}
	for _, c := range cases {
		var out, errs bytes.Buffer
		program := &Program{Stdin: strings.NewReader(explainedLog), Stdout: &out, Stderr: &errs}
		code := program.Run(context.Background(), append([]string{"wasabigate"}, c.args...))
		if code != c.code {
			t.Errorf("%v: exit code %d, want %d: %s", c.args, code, c.code, errs.String())
		}
		for _, want := range c.want {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%v: %q is missing in\n%s", c.args, want, out.String())
			}
		}
	}
}
