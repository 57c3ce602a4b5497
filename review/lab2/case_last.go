package main

import (
	"net/http"
	"time"
)

// last: the operator removes the last tenant by a new version of the manifest. Requests with its
// key, and with a key that never was, then run.
func last(l *lab) bool {
	manifestOf := func(version int, tenants ...map[string]any) map[string]any {
		if tenants == nil {
			tenants = []map[string]any{}
		}
		return manifest(version,
			[]map[string]any{route("r-print", "/fiti832/", "non_idempotent", "kafi81c", 1500, 100, nil)},
			[]map[string]any{plainService("kafi81c")}, tenants)
	}
	l.store.put("op/config", manifestOf(1, tenant("sese880", "wu3fexd9dnn2ctnfzs98", false)))
	server := startServer(l.record, l.store, "i-7f3a91c2", "kafi81c", "")
	runs := func() int {
		server.mu.Lock()
		defer server.mu.Unlock()
		return server.runs
	}
	l.startAll()
	g := l.gateways[0]
	header := map[string]string{"Deadline-Ms": "1500"}
	if _, status, _ := l.send(g, "POST", "/fiti832/2f", "wu3fexd9dnn2ctnfzs98", "order", header); status != http.StatusOK {
		check(errNotServed)
	}
	if l.trouble {
		l.store.put("op/config", manifestOf(2))
		l.add(`operator: version 2 acknowledged, "tenants" is an empty list`)
		time.Sleep(4 * time.Second) // twice config_apply_ms
	}
	broken := false
	for _, g := range l.gateways {
		for _, key := range []string{"wu3fexd9dnn2ctnfzs98", "never0issued0key0000"} {
			if !l.trouble && key == "wu3fexd9dnn2ctnfzs98" {
				continue // its tenant is still there
			}
			before := runs()
			id, status, _ := l.send(g, "POST", "/fiti832/2f", key, "order", header)
			if runs() > before {
				l.add("BROKEN: %s ran (status %d), though no manifest in force holds its key %q", id, status, key)
				broken = true
			}
		}
	}
	return !broken
}
