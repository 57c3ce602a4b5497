package explain

import (
	"slices"
	"strings"
	"testing"
	"time"
)

const logG1 = `  12.5 front-1 {"fields":{"process":"g1","request_id":"r1","server":"a"},"level":"info","timestamp":"2026-04-10T13:28:41.2Z","message":"relay: placed"}
no log line
{"fields":{"process":"g1","error":"down"},"level":"warn","timestamp":"2026-04-10T13:28:40Z","message":"follower: store lost"}
{"fields":{"process":"g1","request_id":"r1","server":"a","code":"backend_failed","verdict":"may-have-run"},"level":"warn","timestamp":"2026-04-10T13:28:41.9Z","message":"gateway: refused"}
{"broken":
`

const logG2 = `{"fields":{"process":"g2","request_id":"r2","server":"a","code":"backend_failed","verdict":"may-have-run"},"level":"warn","timestamp":"2026-04-10T13:28:41.5Z","message":"gateway: refused"}
{"fields":{"process":"g2","request_id":"r3"},"level":"info","timestamp":"2026-04-10T13:28:41.6Z","message":"gateway: answered"}
{"fields":{"process":"g2"},"level":"info","timestamp":"2026-04-10T13:28:41.6Z","message":"follower: weights named"}
`

func TestExplain(t *testing.T) {
	log, err := Read(strings.NewReader(logG1), strings.NewReader(logG2))
	if err != nil || len(log.Lines) != 6 || log.Skipped != 2 {
		t.Fatalf("%+v, %v", log, err)
	}
	lines := log.RequestLines("r1")
	if len(lines) != 2 || lines[0].Message != "relay: placed" || lines[1].Message != "gateway: refused" {
		t.Errorf("lines of the request %+v", lines)
	}
	if related := log.ProcessLines(lines, 5*time.Second); len(related) != 1 || related[0].Message != "follower: store lost" {
		t.Errorf("lines of the process %+v", related)
	}
	if len(log.RequestLines("r9")) != 0 || len(log.ProcessLines(nil, time.Second)) != 0 {
		t.Error("lines of an unknown request")
	}
	groups := log.Failures()
	if len(groups) != 1 || groups[0].Count != 2 || groups[0].Example != "r2" || groups[0].Server != "a" || !groups[0].Last.After(groups[0].First) {
		t.Errorf("failures %+v", groups)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(logG1)
	f.Fuzz(func(t *testing.T, text string) {
		log, err := Read(strings.NewReader(text))
		if err != nil {
			return
		}
		for i := range log.Lines {
			log.RequestLines(log.Lines[i].RequestID())
		}
		log.Failures()
	})
}

// A request that was held back leads to the blame, of any process; one that no server could
// take leads to the limits of the servers.
func TestCauseLines(t *testing.T) {
	log, err := Read(strings.NewReader(`
{"fields":{"process":"g1","request_id":"r1","parts":["aa","bb"],"code":"backend_failed"},"level":"info","timestamp":"2026-01-01T00:00:01Z","message":"relay: attempt failed"}
{"fields":{"process":"g2","quarantined_part":"bb","servers":3},"level":"warn","timestamp":"2026-01-01T00:00:02Z","message":"quarantine: part of a prompt blamed for crashes"}
{"fields":{"process":"g2","quarantined_part":"cc","servers":3},"level":"warn","timestamp":"2026-01-01T00:00:02Z","message":"quarantine: part of a prompt blamed for crashes"}
{"fields":{"process":"g1","server":"i1","limit_per_s":2},"level":"info","timestamp":"2026-01-01T00:00:02Z","message":"serverlimit: server limits its requests"}
{"fields":{"process":"g1","server":"i1","limit_per_s":0},"level":"info","timestamp":"2026-01-01T00:00:03Z","message":"serverlimit: server's limit ended"}
{"fields":{"process":"g2","server":"i1","limit_per_s":1},"level":"info","timestamp":"2026-01-01T00:00:03Z","message":"serverlimit: server limits its requests"}
{"fields":{"process":"g1","request_id":"r2","quarantined_part":"bb"},"level":"info","timestamp":"2026-01-01T00:00:04Z","message":"relay: request held back"}
{"fields":{"process":"g1","request_id":"r3","code":"no_backend_server"},"level":"warn","timestamp":"2026-01-01T00:00:04Z","message":"gateway: refused"}
{"fields":{"process":"g1","quarantined_part":"bb"},"level":"info","timestamp":"2026-01-01T00:00:05Z","message":"quarantine: part of a prompt no longer blamed"}
`))
	if err != nil {
		t.Fatal(err)
	}
	for id, want := range map[string][]string{
		"r1": nil, // the blame came later
		"r2": {"quarantine: part of a prompt blamed for crashes"},
		"r3": {"serverlimit: server's limit ended"},
	} {
		var got []string
		for _, line := range log.CauseLines(log.RequestLines(id)) {
			got = append(got, line.Message)
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: %q, want %q", id, got, want)
		}
	}
}

// A request that no route allowed leads to the configuration that was in force at its
// process, and to the last restore of the store.
func TestCauseOfARefusalByConfiguration(t *testing.T) {
	log, err := Read(strings.NewReader(`
{"fields":{"process":"g1","config_version":9},"level":"info","timestamp":"2026-01-01T00:00:01Z","message":"follower: configuration in force"}
{"fields":{"process":"g1","config_version":11},"level":"info","timestamp":"2026-01-01T00:00:02Z","message":"follower: configuration in force"}
{"fields":{"process":"g1","config_version":11,"era":2},"level":"warn","timestamp":"2026-01-01T00:00:03Z","message":"follower: store restored from an older copy"}
{"fields":{"process":"g2","config_version":14},"level":"info","timestamp":"2026-01-01T00:00:04Z","message":"follower: configuration in force"}
{"fields":{"process":"g1","request_id":"r1","code":"not_found"},"level":"warn","timestamp":"2026-01-01T00:00:05Z","message":"gateway: refused"}
{"fields":{"process":"g1","request_id":"r2","code":"overloaded"},"level":"warn","timestamp":"2026-01-01T00:00:05Z","message":"gateway: refused"}
`))
	if err != nil {
		t.Fatal(err)
	}
	causes := log.CauseLines(log.RequestLines("r1"))
	if len(causes) != 2 || causes[0].Fields["config_version"] != 11.0 || causes[1].Message != "follower: store restored from an older copy" {
		t.Errorf("causes %+v", causes)
	}
	if causes := log.CauseLines(log.RequestLines("r2")); len(causes) != 0 {
		t.Errorf("causes of another refusal %+v", causes)
	}
}

// A request that was held back as a whole leads to what was said of it.
func TestCauseOfAHeldRequest(t *testing.T) {
	log, err := Read(strings.NewReader(`
{"fields":{"process":"g1","request_id":"r1","parts":["ab1"],"code":"backend_failed"},"level":"info","timestamp":"2026-01-01T00:00:01Z","message":"relay: attempt failed"}
{"fields":{"process":"g2","quarantined_part":"ab1","servers":3},"level":"warn","timestamp":"2026-01-01T00:00:02Z","message":"quarantine: request blamed for crashes"}
{"fields":{"process":"g1","request_id":"r2","quarantined_part":"ab1"},"level":"info","timestamp":"2026-01-01T00:00:04Z","message":"relay: request held back"}
{"fields":{"process":"g1","request_id":"r3","parts":["ab1"],"code":"backend_failed"},"level":"info","timestamp":"2026-01-01T00:00:05Z","message":"relay: attempt failed"}
`))
	if err != nil {
		t.Fatal(err)
	}
	for id, want := range map[string]int{"r1": 0, "r2": 1, "r3": 1} {
		if causes := log.CauseLines(log.RequestLines(id)); len(causes) != want {
			t.Errorf("%s: causes %+v, want %d", id, causes, want)
		}
	}
}

// A request leads to what its process knew of servers that left or wanted nothing when it came.
func TestCauseLinesOfServersNotSentTo(t *testing.T) {
	log, err := Read(strings.NewReader(`
{"fields":{"process":"g1","server":"i1","said_in":"r0","leaving_since":"2026-01-01T00:00:01.5Z"},"level":"info","timestamp":"2026-01-01T00:00:01.5Z","message":"follower: backend server says that it leaves"}
{"fields":{"process":"g1","server":"i2","said_in":"r0","wants_nothing_until":"2026-01-01T00:00:03Z"},"level":"info","timestamp":"2026-01-01T00:00:02Z","message":"serveraccess: backend server wants nothing"}
{"fields":{"process":"g1","server":"i2","said_in":"r1","wants_nothing_until":"2026-01-01T00:00:09Z"},"level":"info","timestamp":"2026-01-01T00:00:04Z","message":"serveraccess: backend server wants nothing"}
{"fields":{"process":"g2","server":"i3","said_in":"r1","wants_nothing_until":"2026-01-01T00:00:09Z"},"level":"info","timestamp":"2026-01-01T00:00:04Z","message":"serveraccess: backend server wants nothing"}
{"fields":{"process":"g1","request_id":"r2","server":"i4"},"level":"info","timestamp":"2026-01-01T00:00:05Z","message":"relay: placed"}
{"fields":{"process":"g1","request_id":"r3","server":"i2"},"level":"info","timestamp":"2026-01-01T00:00:10Z","message":"relay: placed"}
{"fields":{"process":"g1","request_id":"r4","server":"i1"},"level":"info","timestamp":"2026-01-01T01:00:00Z","message":"relay: placed"}
`))
	if err != nil {
		t.Fatal(err)
	}
	for id, want := range map[string][]string{"r2": {"i1", "i2"}, "r3": {"i1"}, "r4": nil} {
		var servers []string
		for _, l := range log.CauseLines(log.RequestLines(id)) {
			servers = append(servers, l.text("server"))
		}
		if !slices.Equal(servers, want) {
			t.Errorf("%s: lines of servers %v, want %v", id, servers, want)
		}
	}
}
