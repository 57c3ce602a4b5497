package main

import (
	"io"
	"net/http"
	"strings"
	"time"
)

func copyAll(to *strings.Builder, from io.Reader) (int64, error) { return io.Copy(to, from) }

// wall: a tenant becomes isolated by a new version of the manifest. Requests of a public route
// then use what was made for it.
func wall(l *lab) bool {
	const model = "daka510000"
	manifestOf := func(version int, isolated bool) map[string]any {
		stream := map[string]any{"sticky": true, "resumable": true, "target_gap_ms": 500, "max_attempts": 2}
		open := map[string]any{"sticky": true, "resumable": true, "target_gap_ms": 500, "max_attempts": 2, "public": true}
		return manifest(version,
			[]map[string]any{route("r-keyed", "/lepu270/", "streaming", "huvo11a", 5000, 800, stream), route("r-open", "/gozi380/", "streaming", "huvo11a", 5000, 800, open)},
			[]map[string]any{engineService("huvo11a", model)},
			[]map[string]any{tenant("sese880", "wu3fexd9dnn2ctnfzs98", isolated), tenant("baki117", "9anu6wsjnbanfqasnmgk", false)})
	}
	l.store.put("op/config", manifestOf(1, false))
	l.store.put("op/version/"+model, map[string]any{"model": model, "version": 1})
	server := startServer(l.record, l.store, "i-7f3a91c2", "huvo11a", model)
	isolated, broken := false, false
	server.reuse = func(r *http.Request, part string, made kept) {
		if isolated && made.tenant == "sese880" && r.Header.Get("Tenant") != "sese880" {
			l.add("BROKEN: %s, of no tenant or another one, uses KV cache that %s of the isolated tenant sese880 made", r.Header.Get("Attempt-Id"), made.request)
			broken = true
		}
	}
	l.startAll()
	prompt := func(own string) map[string]string {
		return map[string]string{"Model": model, "Token-Count": "3200,10", "Prompt-Prefix": "5c1e07a2:800,91bd3f06:2100," + own + ":300", "Deadline-Ms": "5000"}
	}
	g := l.gateways[0]
	if _, status, _ := l.send(g, "POST", "/lepu270/2f", "wu3fexd9dnn2ctnfzs98", "x", prompt("e4402b7d")); status != 200 {
		check(errNotServed)
	}
	if l.trouble {
		l.store.put("op/config", manifestOf(2, true))
		l.add("operator: version 2 acknowledged, tenant sese880 is isolated")
		time.Sleep(4 * time.Second) // twice config_apply_ms
		isolated = true
	}
	for _, key := range []string{"9anu6wsjnbanfqasnmgk", ""} {
		path := "/lepu270/2f"
		if key == "" {
			path = "/gozi380/2f"
		}
		if _, status, _ := l.send(g, "POST", path, key, "x", prompt("77aa00"+path[1:3])); status != 200 {
			check(errNotServed)
		}
	}
	return !broken
}
