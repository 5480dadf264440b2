// Command stand3 starts a small deployment of entry nodes with stand-ins of the platform, of
// replicas and of clients, plays one case of the review and reports whether a rule broke.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  map[string]int
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f ", time.Since(r.started).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

// breakRule records that a rule was broken.
func (r *record) breakRule(rule, format string, args ...any) {
	r.add("BROKEN "+rule+": "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken[rule]++
}

// deployment is what a case plays on.
type deployment struct {
	log   *record
	store *store
	fleet *fleet
	nodes []*node
	// trial is set unless TROUBLE is 0. nodesOnly, with TROUBLE=nodes, leaves out the loss of
	// hosts.
	trial, nodesOnly bool
}

// cases holds the plays by name. Each returns an error if it could not run.
var cases = map[string]func(*deployment) error{"copied-entry": copiedEntry, "lost-heads": lostHeads, "partial-entry": partialEntry}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	os.Exit(play(*name, *out))
}

func play(name, out string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Println("no such case")
		return 2
	}
	file, err := os.Create(out)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	log := &record{file: file, started: time.Now(), broken: map[string]int{}}
	s, err := newStore()
	if err != nil {
		fmt.Println(err)
		return 2
	}
	d := &deployment{log: log, store: s, trial: os.Getenv("TROUBLE") != "0" && os.Getenv("TROUBLE") != "nodes", nodesOnly: os.Getenv("TROUBLE") == "nodes"}
	defer d.stop()
	for i, zone := range zones {
		n, err := newNode(dir, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, s.address(), log)
		if err != nil {
			fmt.Println(err)
			return 2
		}
		d.nodes = append(d.nodes, n)
	}
	if err := run(d); err != nil {
		log.add("the case could not run: %v", err)
		fmt.Println(err)
		return 2
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	if len(log.broken) > 0 {
		fmt.Println("broken:", log.broken)
		return 1
	}
	fmt.Println("held")
	return 0
}

// stop ends all processes that the case has started.
func (d *deployment) stop() {
	for _, n := range d.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
		if dir := os.Getenv("KEEP_LOGS"); dir != "" {
			if b, err := os.ReadFile(n.dir + "/" + n.id + ".log"); err == nil {
				_ = os.WriteFile(dir+"/"+n.id+".log", b, 0o600)
			}
		}
	}
}

var zones = []string{"zone-north", "zone-coast", "zone-inland"}

func (d *deployment) startNodes(first bool) error {
	for _, n := range d.nodes {
		if err := n.start(first); err != nil {
			return err
		}
	}
	return nil
}

// waitFor waits until a condition holds.
func waitFor(what string, limit time.Duration, holds func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("no %s within %v", what, limit)
}

func (d *deployment) allReady() bool {
	for _, n := range d.nodes {
		if !n.isReady() {
			return false
		}
	}
	return true
}

// openHeads returns the heads of the groups that serve.
func (f *fleet) openHeads() []*replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	var heads []*replica
	for _, r := range f.replicas {
		if !r.dead && r.group != nil && r.state == "open" && r.group.members[0] == r.id && !r.group.isStalled() {
			heads = append(heads, r)
		}
	}
	return heads
}

// writeConfig writes the configuration as the operator does.
func (d *deployment) writeConfig(version int, models []model) {
	var list []any
	for _, m := range models {
		list = append(list, map[string]any{
			"name": m.Name, "size": m.Size, "share": 1.0 / float64(len(models)), "pace": 1.0,
			"load_s": m.Load.Seconds(), "warmup_s": m.Warmup.Seconds(),
		})
	}
	route := func(name, prefix, kind, service string, timeout, aim, attempts int, stream bool) map[string]any {
		r := map[string]any{
			"name": name, "hostname": "shop.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": aim,
			"priority": 1, "service": service, "max_attempts": attempts, "anonymous": false,
		}
		if stream {
			r["stream_resume"], r["gap_target_ms"], r["session_affinity"] = true, 300, true
		}
		return r
	}
	d.store.set("op", "config", map[string]any{
		"version": version,
		"routes": []any{
			route("draft", "/draft/", "streaming", "pool", 8000, 500, 2, true),
			route("order", "/order/", "non_idempotent", "desk", 800, 100, 1, false),
		},
		"services": []any{
			map[string]any{"name": "pool", "health_path": "/health", "max_connections": 464, "cold_start_s": 0, "cold_per_s": 36, "engine": map[string]any{
				"slots": 26, "kv_capacity": 1400000, "stride": 5, "models": list, "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488,
				"read_per_s": 46000, "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200, "loads_per_s": 4, "loads_at_once": 6,
				"usual": map[string]any{"prompt": 1076, "answer": 116}, "retention_count": 1, "far_x": 3, "form_ms": 300,
			}},
			map[string]any{"name": "desk", "health_path": "/health", "max_connections": 96, "cold_start_s": 0, "cold_per_s": 0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
		"tenants": []any{map[string]any{"name": "store-1", "api_keys": []string{"key-1"}}},
	})
}
