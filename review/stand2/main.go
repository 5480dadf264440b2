// Command stand2 plays the cases of the review whose faults cannot be put as a day of the
// bench. It starts entry nodes as processes in front of stand-ins of the platform's store, of
// replicas and of callers, all on loopback addresses.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// recorder writes what was sent, answered and run.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// printf writes to the record and to the standard output.
func (r *recorder) printf(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf("%.1f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// installation is a small deployment.
type installation struct {
	rec     *recorder
	store   *store
	fleet   *fleet
	nodes   []*node
	callers *callers
}

var zones = []string{"zone-north", "zone-coast", "zone-inland"}

// newInstallation starts the store and prepares the nodes, which start first or later.
func newInstallation(rec *recorder, dir string, models map[string]model, nodeCount int) (*installation, error) {
	inst := &installation{rec: rec, store: newStore()}
	address, err := inst.store.serve()
	if err != nil {
		return nil, err
	}
	inst.fleet = newFleet(inst.store, rec, models)
	inst.callers = &callers{inst: inst}
	for i := range nodeCount {
		zone := zones[i%len(zones)]
		n, err := newNode(rec, dir, fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), zone, address, i)
		if err != nil {
			return nil, err
		}
		inst.nodes = append(inst.nodes, n)
	}
	return inst, nil
}

func (inst *installation) startNodes(first bool) error {
	for _, n := range inst.nodes {
		if err := n.start(first); err != nil {
			return err
		}
	}
	return nil
}

// killNodes kills all nodes at the same moment.
func (inst *installation) killNodes() {
	var ends sync.WaitGroup
	for _, n := range inst.nodes {
		ends.Go(n.kill)
	}
	ends.Wait()
}

func (inst *installation) pollReady() {
	for {
		for _, n := range inst.nodes {
			go n.checkReady()
		}
		time.Sleep(time.Second)
	}
}

// chooseNode returns a node in rotation, or any node if fewer than half are.
func (inst *installation) chooseNode() *node {
	var candidates []*node
	for _, n := range inst.nodes {
		if n.inRotation() {
			candidates = append(candidates, n)
		}
	}
	if 2*len(candidates) < len(inst.nodes) {
		candidates = inst.nodes
	}
	return candidates[rand.IntN(len(candidates))]
}

// waitOpen waits until a number of groups are open, and reports whether they are.
func (inst *installation) waitOpen(groups int, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if len(inst.heads()) >= groups {
			return true
		}
	}
	return false
}

// memberOf returns the member of a rank of the group of a head.
func (inst *installation) memberOf(head *replica, rank int) *replica {
	inst.fleet.mu.Lock()
	defer inst.fleet.mu.Unlock()
	return inst.fleet.replicas[head.place.members[rank]]
}

// recordGroups records the replicas of models that live, with their groups.
func (inst *installation) recordGroups() {
	inst.fleet.mu.Lock()
	defer inst.fleet.mu.Unlock()
	for _, r := range inst.fleet.replicas {
		if r.dead || r.domain == "" {
			continue
		}
		inst.rec.printf("%s lives: group %+v", r.id, r.fields()["group"])
	}
}

// heads returns the heads of open groups that have lost no member.
func (inst *installation) heads() []*replica {
	inst.fleet.mu.Lock()
	defer inst.fleet.mu.Unlock()
	var heads []*replica
	for _, r := range inst.fleet.replicas {
		if !r.dead && r.place != nil && r.place.Rank == 0 && r.place.State == "open" && r.lostMemberAt.IsZero() {
			heads = append(heads, r)
		}
	}
	return heads
}

var cases = map[string]func(rec *recorder, dir string, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	dir := os.Getenv("STAND2_LOGS")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "stand2"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer os.RemoveAll(dir)
	}
	rec := &recorder{start: time.Now(), file: file}
	code, err := cases[name](rec, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("the case could not run: %v", err)
		return exitNotRun
	}
	return code
}
