package main

// poolConfig returns a configuration with the model m0 and a plain service, with the figures of
// the small deployments.
func poolConfig(m model) map[string]any {
	route := func(name, kind, service string, timeout, objective int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "hostname": "shop.example", "path_prefix": "/" + name + "/", "route_type": kind, "timeout_ms": timeout,
			"target_latency_ms": objective, "priority": 1, "service": service, "max_attempts": 2, "anonymous": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			route("draft", "streaming", "apricot-pool", 6000, 300, map[string]any{"session_affinity": true, "stream_resume": true, "gap_target_ms": 200}),
			route("order", "non_idempotent", "order-desk", 1500, 100, nil),
			route("lookup", "idempotent", "order-desk", 1500, 100, nil),
		},
		"services": []any{
			map[string]any{
				"name": "apricot-pool", "health_path": "/health", "max_connections": 464, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 36.0,
				"engine": map[string]any{
					"slots": 26, "kv_capacity": 1400000, "stride": 5, "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000.0,
					"pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 4.0, "loads_at_once": 6, "retention_count": 1, "far_x": 3.0, "form_ms": 300.0,
					"models": []any{map[string]any{"name": "m0", "size": m.size, "share": 1.0, "pace": 1.0, "load_s": m.loadTime.Seconds(), "warmup_s": m.warmTime.Seconds()}},
					"usual":  map[string]any{"prompt": 714, "answer": 60},
				},
			},
			map[string]any{"name": "order-desk", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": "shop", "api_keys": []string{apiKey}}},
	}
}
