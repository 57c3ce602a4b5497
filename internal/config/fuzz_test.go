package config

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/pkg/errors"
)

// checkFaults checks that err lists faults and that each has a message.
func checkFaults(t *testing.T, err error) {
	var faults Faults
	if !errors.As(err, &faults) || len(faults) == 0 {
		t.Fatalf("error %v lists no faults", err)
	}
	for _, fault := range faults {
		if fault.Message == "" {
			t.Errorf("fault without message: %+v", fault)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"consortium", "association"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".ini"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(validDocument))
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := Parse(text)
		if err != nil {
			checkFaults(t, err)
			return
		}
		checkDocument(t, document)
	})
}

// checkDocument checks the invariants of parsed documents that other packages rely
// on.
func checkDocument(t *testing.T, d *Document) {
	for _, model := range d.Models {
		if group := d.Group(model.Group); group == nil || group.Kind != GroupEngines || model.DefaultMaxTokens < 1 {
			t.Errorf("model %+v", model)
		}
	}
	for _, workspace := range d.Workspaces {
		if workspace.Rate < 1 || workspace.Burst < 1 || d.Workspace(workspace.Name) == nil {
			t.Errorf("workspace %+v", workspace)
		}
	}
	for _, key := range d.Keys {
		if d.Workspace(key.Workspace) == nil || key.SHA256 == ([32]byte{}) {
			t.Errorf("key %+v", key)
		}
	}
	for i := range d.Routes {
		checkParsedRoute(t, d, &d.Routes[i])
	}
}

func checkParsedRoute(t *testing.T, d *Document, route *Route) {
	if route.IsGeneration() != IsGenerationPath(route.Path) || route.Cost < 1 || route.MaxQueueWait <= 0 || route.Timeout <= 0 {
		t.Errorf("route %+v", route)
	}
	if route.AtMostOnce && (route.IsGeneration() || route.Method == "") {
		t.Errorf("route %+v cannot be executed at most once", route)
	}
	if route.Access != AccessKey && d.Workspace(route.Workspace) == nil {
		t.Errorf("route %+v is open without a rate limit", route)
	}
}

func FuzzLoadSettings(f *testing.F) {
	f.Add([]byte(validSettings), "7s")
	f.Add([]byte("[daemon]\nrole = sidecar\n[sidecar]\nkind = engines\n"), "")
	f.Fuzz(func(t *testing.T, text []byte, wait string) {
		overrides := []Override{{Section: sectionRouter, Key: "limit_wait", Value: wait, Source: "test"}}
		settings, err := parseSettings(text, "daemon.ini", overrides)
		if err != nil {
			checkFaults(t, err)
			return
		}
		second, err := parseSettings(text, "daemon.ini", overrides)
		if err != nil || !reflect.DeepEqual(settings, second) {
			t.Errorf("second parse: %+v, %v", second, err)
		}
		if settings.Daemon.RPCAddress == "" || settings.Router.LimitWait < 0 || settings.Sidecar.QueueLimit < 1 {
			t.Errorf("accepted settings %+v", settings)
		}
	})
}
