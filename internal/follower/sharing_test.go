package follower

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// sharingProcess is a gateway's view of isolation, whose entry in the store is written at once.
type sharingProcess struct {
	sharing
	name string // under which workspaces share
}

func (p *sharingProcess) take(t *testing.T, version uint64, isolated ...string) {
	t.Helper()
	config := &deployment.Config{Version: version, Workspaces: []deployment.Workspace{{Name: "always there"}}}
	for _, name := range isolated {
		config.Workspaces = append(config.Workspaces, deployment.Workspace{Name: name, Isolated: true})
	}
	p.name = p.update(config.Index(), 1).SharingGroup
	wanted, differs := p.toStore()
	if !differs {
		return
	}
	text, err := json.Marshal(wanted)
	if err != nil {
		t.Fatal(err)
	}
	p.apply(platform.Entry{Key: SharingKey, Value: text, Version: p.entry.Version + 1})
	if _, differs := p.toStore(); differs {
		t.Errorf("the entry %s is to be written again", text)
	}
}

// restart returns the view of the next process, which finds what this one stored.
func (p *sharingProcess) restart() *sharingProcess {
	next := &sharingProcess{}
	next.apply(p.entry)
	return next
}

// Workspaces never again share under a name that was in use before one of them was isolated, and
// keep their name while none is.
func TestNameOfSharingWorkspacesIsNotUsedAgain(t *testing.T) {
	type step struct {
		restart  bool
		isolated []string
		new      bool // the name must not have been used before this step
	}
	for name, steps := range map[string][]step{
		"none is isolated":        {{}, {}, {restart: true}, {}},
		"leaves":                  {{}, {isolated: []string{"a"}, new: true}, {new: true}, {}},
		"leaves, and again":       {{}, {isolated: []string{"a"}, new: true}, {new: true}, {isolated: []string{"a"}, new: true}, {new: true}},
		"stays":                   {{isolated: []string{"a"}, new: true}, {isolated: []string{"a"}}, {restart: true, isolated: []string{"a"}}},
		"leaves, all start again": {{}, {isolated: []string{"a"}, new: true}, {restart: true, new: true}, {restart: true}},
		"isolated as all start":   {{}, {restart: true, isolated: []string{"a"}, new: true}, {new: true}},
		"isolated, shared, and isolated again as all start": {
			{isolated: []string{"a"}, new: true}, {new: true}, {restart: true, isolated: []string{"a"}, new: true},
		},
		"another one leaves": {{isolated: []string{"a"}, new: true}, {isolated: []string{"a", "b"}, new: true}, {isolated: []string{"a"}, new: true}},
	} {
		t.Run(name, func(t *testing.T) {
			p := &sharingProcess{}
			used := map[string]bool{}
			for i, s := range steps {
				if s.restart {
					p = p.restart()
				}
				former := p.name
				p.take(t, uint64(i+1), s.isolated...)
				if i > 0 && used[p.name] == s.new {
					t.Errorf("step %d: name %q after %q, used before: %v", i, p.name, former, used[p.name])
				}
				used[p.name] = true
			}
		})
	}
}

// An entry that can't be read is refused alone, and what is known stands and is written again.
func TestSpoiledEntryOfSharing(t *testing.T) {
	for _, spoiled := range []string{"", "x", `{"since":-1}`, `{"since":"2"}`, `{"since":2`} {
		p := &sharingProcess{}
		p.take(t, 1)
		p.take(t, 2, "a")
		p.take(t, 3)
		known := p.name
		p.apply(platform.Entry{Key: SharingKey, Value: []byte(spoiled), Version: 9})
		if p.update(p.config, 1); p.config.SharingGroup != known {
			t.Errorf("%q: name %q, was %q", spoiled, p.config.SharingGroup, known)
		}
		if wanted, differs := p.toStore(); !differs || wanted.Since != 2 {
			t.Errorf("%q: to be written: %v, %v", spoiled, wanted, differs)
		}
	}
}

// A gateway that has not read the store's entries shares under a name that no other uses.
func TestNameBeforeTheStoreIsRead(t *testing.T) {
	p := &sharingProcess{}
	config := (&deployment.Config{Version: 7}).Index()
	before := p.update(config, 0).SharingGroup
	if after := p.update(config, 1).SharingGroup; before == "" || after != "" {
		t.Errorf("names %q and %q", before, after)
	}
	p.apply(platform.Entry{Key: SharingKey, Value: fmt.Appendf(nil, `{"since":3,"version":3}`), Version: 1})
	if after := p.update(config, 1).SharingGroup; after == "" || after == before {
		t.Errorf("name %q once a workspace was isolated, %q before", after, before)
	}
}
