package main

import "time"

const (
	host    = "jepu9.example"
	model   = "daka510000"
	key     = "wu3fexd9dnn2ctnfzs98"
	drainMs = 2000 // bound drain_ms of kopano-badges
)

// serverIDs are the servers of a service. One of eight is a share of 0.125.
var serverIDs = []string{"i-7f3a91c2", "i-02d9e6b4", "i-55e0c1aa", "i-8b13d7f0", "i-c04e92a6", "i-19f6a3d8", "i-e27b504c", "i-63ad18e5"}

// manifest is one like those of PROTOCOL.md, with the kinds of requests of kopano-badges.
func manifest(version int, change func(tenant map[string]any)) map[string]any {
	tenant := map[string]any{
		"name": "sese880", "api_keys": []string{key}, "priority": 1, "unit": "token_stream",
		"uncached_tokens": 200, "isolated": false, "rate_per_s": 1303450, "burst": 1303450,
	}
	if change != nil {
		change(tenant)
	}
	route := func(name, prefix, kind, service string, timeout, target, priority, attempts int, resumable bool) map[string]any {
		r := map[string]any{
			"name": name, "hostname": host, "prefix": prefix, "type": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"priority": priority, "backend": service, "max_attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": resumable,
		}
		if kind == "streaming" {
			r["target_gap_ms"] = 500
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("greeting-draft", "/greet/", "streaming", "lm-pool", 12000, 500, 0, 1, false),
			route("badge-print", "/print/", "non_idempotent", "desk-app", 800, 100, 2, 1, false),
			route("guest-lookup", "/look/", "idempotent", "desk-app", 800, 100, 2, 2, false),
		},
		"backends": []any{
			map[string]any{"name": "lm-pool", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 87687, "kv_token_bytes": 18432, "link_mbps": 280000.0, "models": []any{map[string]any{"name": model}},
			}},
			map[string]any{"name": "desk-app", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{tenant},
	}
}

func since(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }
