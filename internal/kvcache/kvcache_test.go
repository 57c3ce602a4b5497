package kvcache

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

var start = time.Unix(1_000_000, 0)

func anyHolder(Holder) bool { return true }

func TestPlan(t *testing.T) {
	a, b := Holder{ID: "a", Address: "a:1"}, Holder{ID: "b", Address: "b:1"}
	deep := Prompt{Salt: "m/1", Parts: []string{"top", "deep"}, SharedTokens: 6300, OwnTokens: 2890}
	cases := []struct {
		name   string
		uses   []Use
		age    time.Duration
		prompt func(p *Prompt)
		usable func(Holder) bool
		fetch  string
		save   string
	}{
		{"nothing is known", nil, 0, nil, anyHolder, "store", "store"},
		{"the engine used the part recently", []Use{{Salt: "m/1", Parts: deep.Parts, Holder: a, Saved: true}}, time.Second, nil, anyHolder, "store", ""},
		{"another engine used the part", []Use{{Salt: "m/1", Parts: deep.Parts, Holder: b, Saved: true}}, time.Second, nil, anyHolder, "b:1", ""},
		{"another engine used it long ago", []Use{{Salt: "m/1", Parts: deep.Parts, Holder: b, Saved: true}}, 5 * time.Second, nil, anyHolder, "store", ""},
		{"the save is long ago", []Use{{Salt: "m/1", Parts: deep.Parts, Holder: b, Saved: true}}, 20 * time.Second, nil, anyHolder, "store", "store"},
		{"the other engine is gone", []Use{{Salt: "m/1", Parts: deep.Parts, Holder: b}}, time.Second, nil, func(Holder) bool { return false }, "store", "store"},
		{"only the upper part is known", []Use{{Salt: "m/1", Parts: []string{"top"}, Holder: b}}, time.Second, nil, anyHolder, "b:1", "store"},
		{"the deep part is in the store, the upper one in an engine",
			[]Use{{Salt: "m/1", Parts: deep.Parts, Holder: a, Saved: true}, {Salt: "m/1", Parts: []string{"top"}, Holder: b}}, 0, nil, anyHolder, "store", ""},
		{"cached under other weights", []Use{{Salt: "m/0", Parts: deep.Parts, Holder: b, Saved: true}}, time.Second, nil, anyHolder, "store", "store"},
		{"the request's own part is long", nil, 0, func(p *Prompt) { p.OwnTokens = 30_000 }, anyHolder, "store", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := NewDirectory()
			for i := range c.uses {
				d.MergeUse(&c.uses[i], start)
			}
			p := deep
			if c.prompt != nil {
				c.prompt(&p)
			}
			got := d.Plan(&p, a, "store", c.usable, start.Add(c.age))
			if got.FetchFrom != c.fetch || got.SaveTo != c.save {
				t.Errorf("%+v, want fetch %q, save %q", got, c.fetch, c.save)
			}
		})
	}
}

func TestSalt(t *testing.T) {
	config := &deployment.Config{}
	shared, isolated := &deployment.Workspace{Name: "w"}, &deployment.Workspace{Name: "w", Isolated: true}
	salts := map[string]bool{}
	for _, salt := range []string{Salt("m", 1, config, shared), Salt("m", 2, config, shared), Salt("n", 1, config, shared), Salt("m", 1, config, isolated)} {
		salts[salt] = true
	}
	if len(salts) != 4 {
		t.Errorf("prompts that must not share KV cache have the same salt: %v", salts)
	}
	if Salt("m", 1, config, shared) != Salt("m", 1, config, &deployment.Workspace{Name: "v"}) || Salt("m", 1, config, shared) != Salt("m", 1, config, nil) {
		t.Error("workspaces that are not isolated have different salts")
	}
}

// What a workspace made before it was isolated is not used by others afterwards, nor by requests
// without a workspace, and what others made is not used by it.
func TestSaltsOfAWorkspaceThatBecomesIsolated(t *testing.T) {
	const none = "none"
	salts := func(isolated ...string) map[string]string {
		config := &deployment.Config{}
		for _, name := range []string{"a", "b", "c"} {
			config.Workspaces = append(config.Workspaces, deployment.Workspace{Name: name, Isolated: slices.Contains(isolated, name)})
		}
		config.Index()
		byName := map[string]string{none: Salt("m", 1, config, nil)}
		for i := range config.Workspaces {
			byName[config.Workspaces[i].Name] = Salt("m", 1, config, &config.Workspaces[i])
		}
		return byName
	}
	for _, change := range []struct{ before, after []string }{{nil, []string{"a"}}, {[]string{"b"}, []string{"a", "b"}}, {[]string{"b"}, []string{"a"}}, {[]string{"a"}, nil}} {
		before, after := salts(change.before...), salts(change.after...)
		for _, maker := range []string{"a", "b", "c", none} {
			for _, user := range []string{"a", "b", "c", none} {
				isolated := slices.Contains(change.after, maker) || slices.Contains(change.after, user) || slices.Contains(change.before, maker)
				if maker != user && isolated && before[maker] == after[user] {
					t.Errorf("%v isolated, then %v: %s uses what %s made", change.before, change.after, user, maker)
				}
			}
		}
	}
	if one, other := salts("a", "b"), salts("b", "a"); one["c"] != other["c"] || one["c"] == one["a"] {
		t.Errorf("salts %v and %v of the same set", one, other)
	}
}

func TestUsesAreReportedOnce(t *testing.T) {
	d := NewDirectory()
	for i := range 3 {
		d.RecordUse(&Use{Salt: "s", Parts: []string{fmt.Sprint(i)}, Holder: Holder{ID: "a"}}, start)
	}
	d.MergeUse(&Use{Salt: "s", Parts: []string{"x"}}, start)
	uses, reported := d.UsesSince(1)
	if len(uses) != 2 || uses[0].Parts[0] != "1" || reported != 3 {
		t.Errorf("got uses %+v of %d, want those of parts 1 and 2, of 3", uses, reported)
	}
	if uses, reported = d.UsesSince(reported); len(uses) != 0 || reported != 3 {
		t.Errorf("reported again: %+v", uses)
	}
	for range 5 {
		d.RecordUse(&Use{Salt: "s", Parts: []string{"0"}, Holder: Holder{ID: "a"}}, start.Add(reportInterval/2))
	}
	if uses, reported = d.UsesSince(reported); len(uses) != 0 {
		t.Errorf("%d reports within the interval of a part that has not moved, want 0", len(uses))
	}
	d.RecordUse(&Use{Salt: "s", Parts: []string{"0"}, Holder: Holder{ID: "a"}}, start.Add(2*reportInterval))
	if uses, reported = d.UsesSince(reported); len(uses) != 1 {
		t.Errorf("%d reports after the interval of a part that is still used, want 1", len(uses))
	}
	for i := range 2 * maxPendingUses {
		d.RecordUse(&Use{Salt: "s", Parts: []string{fmt.Sprint("y", i)}}, start)
	}
	if uses, _ = d.UsesSince(reported); len(uses) != maxPendingUses {
		t.Errorf("%d pending uses, want the latest %d", len(uses), maxPendingUses)
	}
}

func TestStoreOf(t *testing.T) {
	stores := []*deployment.KVStore{{Address: "a"}, {Address: "b"}, {Address: "c"}}
	counts := map[string]int{}
	for i := range 300 {
		p := &Prompt{Parts: []string{"top", fmt.Sprint(i)}}
		counts[p.StoreOf(stores)]++
		if p.StoreOf(stores) != p.StoreOf([]*deployment.KVStore{stores[2], stores[0], stores[1]}) {
			t.Fatal("the order of the stores matters")
		}
	}
	if len(counts) != 3 || counts["a"] < 50 {
		t.Errorf("prompts per store: %v, want some in each and 50 or more in a", counts)
	}
	if (&Prompt{Parts: []string{"x"}}).StoreOf(nil) != "" {
		t.Error("got a store without any configured")
	}
}

func TestPrefillInProgress(t *testing.T) {
	a := Holder{ID: "a", Address: "a:1"}
	use := Use{Salt: "s", Parts: []string{"top", "deep"}, Holder: a}
	for _, c := range []struct {
		name string
		then func(d *Directory)
		age  time.Duration
		want Holder
	}{
		{"in progress", func(*Directory) {}, time.Second, a},
		{"timed out", func(*Directory) {}, prefillTimeout, Holder{}},
		{"after the first event", func(d *Directory) { d.RecordUse(&use, start) }, time.Second, Holder{}},
		{"after a use reported by another gateway", func(d *Directory) { d.MergeUse(&use, start) }, time.Second, Holder{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := NewDirectory()
			d.RecordPrefill("s", "deep", a, start)
			if locations := d.Locations("s", "deep", start); locations.Stored || locations.Holders != [2]Holder{} {
				t.Error("a part counts as held or stored while it is still being prefilled")
			}
			c.then(d)
			if got := d.Locations("s", "deep", start.Add(c.age)).Prefilling; got != c.want {
				t.Errorf("%v is prefilling the part, want %v", got, c.want)
			}
			if got := d.Locations("other weights", "deep", start.Add(c.age)).Prefilling; got != (Holder{}) {
				t.Errorf("%v is prefilling the part under another salt, want none", got)
			}
		})
	}
}

// Short prompts wait for no transfer: long ones may fill the links.
func TestShortPromptsAreNotTransferred(t *testing.T) {
	d := NewDirectory()
	target := Holder{ID: "a", Address: "a:1"}
	for _, c := range []struct {
		shared int64
		want   Transfers
	}{
		{minTransferTokens - 1, Transfers{}},
		{minTransferTokens, Transfers{FetchFrom: "store:1", SaveTo: "store:1"}},
	} {
		p := &Prompt{Salt: "s", Parts: []string{"p"}, SharedTokens: c.shared}
		got := d.Plan(p, target, "store:1", func(Holder) bool { return true }, time.Unix(1000, 0))
		if got != c.want {
			t.Errorf("%d shared tokens: %+v, want %+v", c.shared, got, c.want)
		}
	}
}
