package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["wall"] = wall }

// wall: two tenants share parts of prompts. Then a new manifest makes one of them isolated.
func wall(dir string) {
	const otherKey = "9anu6wsjnbanfqasnmgk"
	with := func(version int, isolated bool) map[string]any {
		m := manifest(version, func(t map[string]any) { t["isolated"] = isolated })
		other := map[string]any{"name": "lomi214", "api_keys": []string{otherKey}, "priority": 1, "unit": "token_stream", "uncached_tokens": 200, "isolated": false, "rate_per_s": 1303450, "burst": 1303450}
		m["tenants"] = append(m["tenants"].([]any), other)
		return m
	}
	s := newStore()
	s.put("op/config", with(1, false))
	models := []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}

	// The server keeps parts under their salt, as PROTOCOL.md says, with the tenant that made them.
	var mu sync.Mutex
	madeBy := map[string]string{}
	isolatedNow := map[string]bool{}
	type use struct{ request, tenant, part, maker string }
	var crossed []use
	sv := &server{id: "i-7f3a91c2", service: "lm-pool", store: s, stream: 5, gap: 20 * time.Millisecond, models: models, slots: 64}
	sv.onRun = func(r *http.Request, _ []byte) {
		mu.Lock()
		defer mu.Unlock()
		tenant, salt := r.Header.Get("Tenant"), r.Header.Get("Cache-Salt")
		for _, entry := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
			part, _, _ := strings.Cut(entry, ":")
			maker, kept := madeBy[salt+" "+part]
			if !kept {
				madeBy[salt+" "+part] = tenant
				note("part %s is made by %s under the salt %q", part, tenant, salt)
				continue
			}
			note("%s of %s uses part %s, made by %s, under the salt %q", r.Header.Get("Attempt-Id"), tenant, part, maker, salt)
			if maker != tenant && (isolatedNow[maker] || isolatedNow[tenant]) {
				crossed = append(crossed, use{r.Header.Get("Attempt-Id"), tenant, part, maker})
			}
		}
	}
	sv.start()
	g := newGateways(dir, 1, s.listen)[0]
	g.start()
	g.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second)
	ask := func(i int, k string) {
		r := &request{
			id: fmt.Sprintf("%016x", 0xa000+i), method: "POST", host: host, path: "/greet/2f", key: k, deadline: 12 * time.Second, body: []byte("draft"),
			header: map[string]string{"Model": model, "Token-Count": "826,58", "Prompt-Prefix": fmt.Sprintf("5c1e0001:119,91bd0001:79,e44%05x:628", i)},
		}
		if a := send(g.front, r); a.status != 200 || !a.whole {
			cannotRun("%s: %v", r.id, a)
		}
	}
	ask(1, key) // the tenant that will be isolated makes the shared parts
	if trouble {
		s.put("op/config", with(2, true))
		note("the manifest makes sese880 isolated, the store has acknowledged it")
	} else {
		s.put("op/config", with(2, false))
	}
	time.Sleep(3 * time.Second) // longer than config_apply_ms
	mu.Lock()
	isolatedNow["sese880"] = trouble
	mu.Unlock()
	ask(2, otherKey)
	ask(3, key)
	mu.Lock()
	defer mu.Unlock()
	if len(crossed) > 0 {
		broken("%d uses of parts cross the wall; the first: %+v", len(crossed), crossed[0])
	}
	held("no use of a part crosses the wall")
}
