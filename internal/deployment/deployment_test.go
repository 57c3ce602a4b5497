package deployment

import "testing"

// A request may be refused for more urgent ones only if a route with more urgent ones leads to
// the same service.
func TestLessUrgent(t *testing.T) {
	targets := func(services ...string) (list []Target) {
		for _, service := range services {
			list = append(list, Target{Service: service, Weight: 1})
		}
		return list
	}
	config := (&Config{Routes: []Route{
		{Name: "urgent", Host: "h", Prefix: "/a", Priority: 0, Targets: targets("x", "y")},
		{Name: "other", Host: "h", Prefix: "/b", Priority: 2, Targets: targets("x", "z")},
		{Name: "last", Host: "h", Prefix: "/c", Priority: 3, Targets: targets("z")},
	}}).Index()
	for _, c := range []struct {
		route, service string
		want           bool
	}{
		{"urgent", "x", false}, {"urgent", "y", false}, {"other", "x", true}, {"other", "z", false}, {"last", "z", true},
		{"last", "unknown", false},
	} {
		for i := range config.Routes {
			if route := &config.Routes[i]; route.Name == c.route && config.LessUrgent(route, c.service) != c.want {
				t.Errorf("route %s is less urgent at service %s: %v", c.route, c.service, !c.want)
			}
		}
	}
}
