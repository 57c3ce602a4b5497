package main

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// resumed: a tenant becomes isolated while a stream of another tenant runs. The stream's server
// crashes later, and the stream goes on at another server, which uses what was made for the tenant
// that is isolated.
func resumed(l *lab) bool {
	const model = "daka510000"
	keep := startServer(l.record, l.store, "prompt-keep", "", "")
	manifestOf := func(version int, isolated bool) map[string]any {
		stream := map[string]any{"sticky": true, "resumable": true, "target_gap_ms": 500, "max_attempts": 2}
		return manifest(version,
			[]map[string]any{route("r-check", "/lepu270/", "streaming", "huvo11a", 12000, 800, stream)},
			[]map[string]any{engineService("huvo11a", model), {"name": "wuno96b", "kv_store_addr": keep.address, "zone": "jhb-north", "kv_capacity": 769177, "link_mbps": 22000.0, "max_concurrency": 12}},
			[]map[string]any{tenant("sese880", "wu3fexd9dnn2ctnfzs98", isolated), tenant("baki117", "9anu6wsjnbanfqasnmgk", false)})
	}
	l.store.put("op/config", manifestOf(1, false))
	l.store.put("op/version/"+model, map[string]any{"model": model, "version": 1})
	others := map[string]*server{keep.address: keep}
	var running atomic.Pointer[server] // that runs the stream of baki117
	var isolated, broken atomic.Bool
	var servers []*server
	for _, id := range []string{"i-7f3a91c2", "i-02d9e6b4", "i-50b49983", "i-8e60d01a"} {
		s := startServer(l.record, l.store, id, "huvo11a", model)
		s.others = others
		s.handle = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
			if r.Header.Get("Tenant") == "baki117" {
				s.pause = 600 * time.Millisecond
				running.Store(s)
			}
			return false
		}
		s.reuse = func(r *http.Request, part string, made kept) {
			if isolated.Load() && made.tenant == "sese880" && r.Header.Get("Tenant") != "sese880" {
				l.add("BROKEN: %s of tenant %q uses KV cache that %s of the isolated tenant sese880 made", r.Header.Get("Attempt-Id"), r.Header.Get("Tenant"), made.request)
				broken.Store(true)
			}
		}
		servers = append(servers, s)
	}
	for _, s := range servers {
		others[s.address] = s
	}
	l.startAll()
	prompt := func(own string) map[string]string {
		return map[string]string{"Model": model, "Token-Count": "3200,10", "Prompt-Prefix": "5c1e07a2:800,91bd3f06:2100," + own + ":300", "Deadline-Ms": "12000"}
	}
	g := l.gateways[0]
	if _, status, _ := l.send(g, "POST", "/lepu270/2f", "wu3fexd9dnn2ctnfzs98", "x", prompt("e4402b7d")); status != http.StatusOK {
		check(errNotServed)
	}
	ended := make(chan string)
	go func() {
		_, _, text := l.send(g, "POST", "/lepu270/2f", "9anu6wsjnbanfqasnmgk", "x", prompt("77aa0011"))
		ended <- text
	}()
	time.Sleep(500 * time.Millisecond)
	if l.trouble {
		l.store.put("op/config", manifestOf(2, true))
		l.add("operator: version 2 acknowledged, tenant sese880 is isolated")
	}
	time.Sleep(4 * time.Second) // twice config_apply_ms
	isolated.Store(l.trouble)
	first := running.Load()
	if first == nil {
		check(errNotServed)
	}
	l.add("server %s crashes", first.id)
	first.crash()
	text := <-ended
	l.add("the stream of baki117 has %d events", strings.Count(text, "data:"))
	if running.Load() == first {
		check(errNotServed) // it was not resumed, which shows nothing
	}
	return !broken.Load()
}
