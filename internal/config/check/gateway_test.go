package check

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/deployment"
)

// Guards against contradictions and dead entries of a gateways' configuration that pass
// unreported, and against warnings about a configuration that has none.
func TestGatewayWarnings(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *deployment.Config)
		want   []string
	}{
		{"nothing", func(*deployment.Config) {}, nil},
		{"hidden route", func(c *deployment.Config) { c.Routes = append(c.Routes, c.Routes[0]) },
			[]string{"unused: [route r (2)] prefix: [route r] has the same host and prefix and comes first"}},
		{"prefix of no path", func(c *deployment.Config) { c.Routes[0].Prefix = "x/" },
			[]string{`unused: line 3: [route r] prefix: "x/" matches no path: it does not begin with a slash`}},
		{"weights of 0", func(c *deployment.Config) { c.Routes[0].Targets[0].Weight = 0 }, []string{
			"unused: [service s] no route sends requests to the service", "unused: line 2: [route r] targets: no target has a weight above 0"}},
		{"undefined target", func(c *deployment.Config) {
			c.Routes[0].Targets = append(c.Routes[0].Targets, deployment.Target{Service: "x", Weight: 1}, deployment.Target{Service: "kv", Weight: 1})
		}, []string{"undefined: line 2: [route r] targets: there is no service x", "undefined: line 2: [route r] targets: kv is a store of KV cache, not a service"}},
		{"targets above the time-out", func(c *deployment.Config) {
			c.Routes[0].TargetLatency, c.Routes[0].TargetGap = 6*time.Second, 7*time.Second
		}, []string{
			"contradictory: line 2: [route r] target latency: 6s is above the time-out, 5s", "contradictory: line 2: [route r] target gap: 7s is above the time-out, 5s"}},
		{"resumable without stream", func(c *deployment.Config) { c.Routes[0].Resumable = true },
			[]string{"contradictory: line 2: [route r] resumable: the route's responses are not streams"}},
		{"duplicate service", func(c *deployment.Config) { c.Services = append(c.Services, c.Services[0]) },
			[]string{"unused: [service s] a later service has the same name"}},
		{"duplicate workspace and key", func(c *deployment.Config) { c.Workspaces = append(c.Workspaces, c.Workspaces[0]) }, []string{
			"contradictory: [workspace w] a later workspace has the same name, and its limits apply",
			"contradictory: [workspace w] keys: the key with the digest 8254c329... counts for workspace w, which has it too"}},
		{"no key", func(c *deployment.Config) { c.Workspaces[0].Keys = nil }, []string{
			"unused: [workspace w] keys: the workspace has no key", "unused: line 2: [route r] access: no key may use the route"}},
		{"no refill", func(c *deployment.Config) { c.Workspaces[0].Rate = 0 },
			[]string{"contradictory: [workspace w] rate: is 0 or absent: the burst is used up once and for all"}},
		{"rate far above burst", func(c *deployment.Config) { c.Workspaces[0].Rate, c.Workspaces[0].Burst = 11, 1 },
			[]string{"contradictory: [workspace w] rate: 11 is more than 10 times the burst, 1: only requests that are spread evenly reach the rate"}},
		{"rate without burst", func(c *deployment.Config) { c.Workspaces[0].Rate, c.Workspaces[0].Burst = 11, 0 }, nil},
		{"unknown size above burst", func(c *deployment.Config) {
			c.Workspaces[0].CountsTokens, c.Workspaces[0].UncachedTokens = true, 11
		}, []string{"contradictory: [workspace w] uncached tokens: 11 is above the burst, or the rate if there is none, 10: requests of unknown size are refused"}},
	}
	sections := []config.Section{{Name: "route r", Line: 2, Fields: []config.Field{{Key: "prefix", Line: 3}}}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := &deployment.Config{
				Routes:     []deployment.Route{{Name: "r", Prefix: "/x/", Timeout: 5 * time.Second, Targets: []deployment.Target{{Service: "s", Weight: 1}}}},
				Services:   []deployment.Service{{Name: "s"}, {Name: "kv", KVStore: &deployment.KVStore{}}},
				Workspaces: []deployment.Workspace{{Name: "w", Keys: []deployment.KeyDigest{deployment.DigestKey("k")}, Rate: 10, Burst: 10}},
			}
			c.change(d)
			var got []string
			for _, w := range (&Gateway{Config: d.Index(), Sections: sections}).Warnings() {
				got = append(got, string(w.Kind)+": "+w.String())
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("warnings:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(c.want, "\n"))
			}
		})
	}
}
