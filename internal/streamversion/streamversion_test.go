package streamversion

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// settledAt returns an assignment whose slots all have one version, with no former ones.
func settledAt(version string) *Assignment {
	a := Plan(nil, map[string]int{version: 1}, 1)
	return Settle(a, func(int) time.Duration { return time.Hour }, time.Second)
}

func TestDecide(t *testing.T) {
	const id = "a1"
	v1, v2 := "v1", "v2"
	moving := Plan(settledAt("v1"), map[string]int{"v1": 1, "v2": 1}, 1)
	both := map[string]int{"v1": 2, "v2": 2}
	for name, c := range map[string]struct {
		stream  Stream
		pool    Pool
		version string
		any     bool
		refusal Refusal
	}{
		"begins without an assignment":         {Stream{ID: id}, Pool{Versions: both}, "", true, NotRefused},
		"begins by what is out of date":        {Stream{ID: id}, Pool{Assignment: settledAt("v1"), Era: 1, Versions: both, Outdated: true}, "", false, NotConfirmed},
		"resumes by what is out of date":       {Stream{ID: id, Continues: true, Version: &v2}, Pool{Assignment: settledAt("v1"), Era: 1, Versions: both, Outdated: true}, "v2", false, NotRefused},
		"begins":                               {Stream{ID: id}, Pool{Assignment: settledAt("v1"), Era: 1, Versions: both}, "v1", false, NotRefused},
		"begins while its version is absent":   {Stream{ID: id}, Pool{Assignment: settledAt("v1"), Era: 1, Versions: map[string]int{"v2": 2}}, "v1", false, VersionAbsent},
		"resumes":                              {Stream{ID: id, Continues: true, Version: &v2}, Pool{Assignment: settledAt("v1"), Era: 1, Versions: both}, "v2", false, NotRefused},
		"resumes without an assignment":        {Stream{ID: id, Continues: true, Version: &v2}, Pool{Versions: both}, "v2", false, NotRefused},
		"resumes when its version has left":    {Stream{ID: id, Continues: true, Version: &v1}, Pool{Assignment: settledAt("v2"), Era: 1, Versions: map[string]int{"v2": 2}}, "v1", false, VersionGone},
		"resumes while its version is absent":  {Stream{ID: id, Continues: true, Version: &v1}, Pool{Assignment: settledAt("v1"), Era: 1, Versions: map[string]int{"v2": 2}}, "v1", false, VersionAbsent},
		"taken up here":                        {Stream{ID: "a2", Continues: true, Origin: "known"}, Pool{Versions: both}, "v2", false, NotRefused},
		"taken up elsewhere":                   {Stream{ID: "a2", Continues: true, Origin: id}, Pool{Assignment: settledAt("v1"), Era: 1, Versions: both, Confirmed: true}, "v1", false, NotRefused},
		"taken up without an assignment":       {Stream{ID: "a2", Continues: true, Origin: id}, Pool{Versions: map[string]int{"v1": 2}}, "", false, UnknownOrigin},
		"taken up by what may be out of date":  {Stream{ID: "a2", Continues: true, Origin: id}, Pool{Assignment: settledAt("v1"), Era: 1, Versions: both}, "", false, NotConfirmed},
		"taken up after a restore":             {Stream{ID: "a2", Continues: true, Origin: id}, Pool{Assignment: settledAt("v1"), Era: 2, Versions: both, Confirmed: true}, "", false, UnknownOrigin},
		"taken up after its slot has moved":    {Stream{ID: "a2", Continues: true, Origin: movedID(moving)}, Pool{Assignment: moving, Era: 1, Versions: both, Confirmed: true}, "", false, UnknownOrigin},
		"taken up with no origin":              {Stream{ID: "a2", Continues: true}, Pool{Assignment: settledAt("v1"), Era: 1, Versions: both, Confirmed: true}, "v1", false, NotRefused},
		"taken up with no origin during moves": {Stream{ID: "a2", Continues: true}, Pool{Assignment: moving, Era: 1, Versions: both, Confirmed: true}, "", false, UnknownOrigin},
	} {
		d := NewDecider()
		c.stream.Service = "s"
		d.RecordBegin("s", "known", "v2", time.Now())
		got := d.Decide(&c.stream, &c.pool)
		if got.Version != c.version || got.Any != c.any || got.Refusal != c.refusal {
			t.Errorf("%s: got %+v, want version %q, any %v, refusal %v", name, got, c.version, c.any, c.refusal)
		}
		if waits := got.RetryAfter > 0; waits != (c.refusal != NotRefused && c.refusal != VersionGone) {
			t.Errorf("%s: retry after %v", name, got.RetryAfter)
		}
	}
}

// movedID returns an id in a slot that has moved.
func movedID(a *Assignment) string {
	for i := range 100 {
		if id := strings.Repeat("x", i); !a.slots[slotOf(id)].settled() {
			return id
		}
	}
	panic("no slot has moved")
}

// A few servers that crash do not move slots, and a new version gets its share at once.
func TestPlanMovesFewSlots(t *testing.T) {
	a := settledAt("v1")
	if next := Plan(a, map[string]int{"v1": 11}, 1); next != nil {
		t.Errorf("slots move though there is one version: %v", next.Shares())
	}
	a = Plan(a, map[string]int{"v1": 6, "v2": 6}, 1)
	if shares := a.Shares(); shares["v1"] != Slots/2 || shares["v2"] != Slots/2 {
		t.Fatalf("shares %v", shares)
	}
	if next := Plan(a, map[string]int{"v1": 5, "v2": 6}, 1); next != nil {
		t.Errorf("slots move after a crash: %v", next.Shares())
	}
	gone := Plan(a, map[string]int{"v2": 6}, 1)
	if gone == nil || gone.Shares()["v1"] > 0 {
		t.Error("streams still begin at a version that has left")
	}
	if next := Plan(gone, nil, 1); next != nil {
		t.Error("slots move though no version is in service")
	}
}

// What is decoded is what was encoded, and every plan gives each slot one version.
func TestEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a *Assignment
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			capacities := make(map[string]int)
			for _, version := range []string{"", "v1", "v1.1", "v2"} {
				if n := rapid.IntRange(-2, 20).Draw(t, version); n > 0 {
					capacities[version] = n
				}
			}
			if next := Plan(a, capacities, platform.Era(rapid.IntRange(1, 2).Draw(t, "era"))); next != nil {
				a = next
			}
			if a == nil {
				continue
			}
			if rapid.Bool().Draw(t, "advance") {
				if next := Settle(a, func(i int) time.Duration { return time.Duration(i%8) * time.Second }, 5*time.Second); next != nil {
					a = next
				}
			}
			text, err := a.Encode()
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := Decode(text)
			if err != nil {
				t.Fatal(err)
			}
			for i := range a.slots {
				if !decoded.slots[i].equal(&a.slots[i]) {
					t.Fatalf("slot %d: %+v decoded as %+v", i, a.slots[i], decoded.slots[i])
				}
			}
			if decoded.Epoch != a.Epoch || decoded.Era != a.Era {
				t.Fatalf("epoch %d of era %d decoded as %d of %d", a.Epoch, a.Era, decoded.Epoch, decoded.Era)
			}
		}
	})
}

func TestMalformedEntries(t *testing.T) {
	all := strings.Repeat("ff", Slots/8)
	for _, text := range []string{
		"", "[]", `{"epoch":1}`, `{"epoch":-1,"groups":[{"version":"v1","slots":"` + all + `"}]}`,
		`{"epoch":1,"groups":[{"version":"v1","slots":"zz"}]}`,
		`{"epoch":1,"groups":[{"version":"v1","slots":"` + all + `"},{"version":"v2","slots":"` + all + `"}]}`,
		`{"epoch":1,"groups":[{"version":"` + strings.Repeat("v", 1000) + `","slots":"` + all + `"}]}`,
	} {
		if a, err := Decode([]byte(text)); err == nil {
			t.Errorf("%.60q: decoded as %v", text, a.Shares())
		}
	}
}

// While a version may get no requests, streams of its slots must begin at the former version and
// not wait, and no stream may go on at a version that was rolled back.
func TestVersionsThatMayGetNoRequests(t *testing.T) {
	moved := plan(settledAt("v1"), map[string]int{"v1": 92, "v2": 8}, "v2", 1)
	if got := moved.Shares()["v2"]; got != 20 {
		t.Fatalf("%d slots at v2", got)
	}
	if more := plan(moved, map[string]int{"v1": 90, "v2": 10}, "v2", 1); more == nil || more.Shares()["v2"] != 26 {
		t.Error("an exact share does not follow")
	}
	pool := &Pool{Assignment: moved, Era: 1, Versions: map[string]int{"v1": 1, "v2": 1}, Confirmed: true}
	pool.Allowed = func(version string) bool { return version == "v1" }
	pool.Barred = func(version string) bool { return version == "v2" }
	d := NewDecider()
	for i := range 100 {
		if got := d.Decide(&Stream{Service: "s", ID: fmt.Sprint(i)}, pool); got.Refusal != NotRefused || got.Version != "v1" {
			t.Fatalf("a stream that begins: %+v", got)
		}
	}
	version := "v2"
	if got := d.Decide(&Stream{Service: "s", ID: "1", Continues: true, Version: &version}, pool); got.Refusal != VersionGone {
		t.Errorf("a stream of a barred version: %+v", got)
	}
}
