package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["recover"] = playRecover }

const (
	// recoveryTime is recovery_s of the small deployments.
	recoveryTime = 12 * time.Second
	// downTime is how long all nodes are down.
	downTime = time.Second
)

// The models of the small deployments.
var (
	largeModel = model{size: 4, loadTime: 16 * time.Second, warmTime: 1600 * time.Millisecond}
	smallModel = model{size: 2, loadTime: 12 * time.Second, warmTime: 1100 * time.Millisecond}
)

// newPool returns an installation with replicas of one model and the plain service, whose nodes
// have started and whose groups are open. The replicas are in one domain, or spread over a domain
// in each zone.
func newPool(rec *recorder, dir string, m model, replicas, domains, nodes int) (*installation, error) {
	inst, err := newInstallation(rec, dir, map[string]model{"m0": m}, nodes)
	if err != nil {
		return nil, err
	}
	inst.store.set("op", "config", poolConfig(m))
	for i := range replicas {
		if _, err := inst.fleet.add(fmt.Sprintf("i-pool%d", i+1), "apricot-pool", zones[i%domains], fmt.Sprintf("d%d", i%domains+1)); err != nil {
			return nil, err
		}
	}
	for i := range 3 {
		if _, err := inst.fleet.add(fmt.Sprintf("i-desk%d", i+1), "order-desk", zones[i], ""); err != nil {
			return nil, err
		}
	}
	if err := inst.startNodes(true); err != nil {
		return nil, err
	}
	go inst.pollReady()
	if !inst.waitOpen(replicas/m.size, 20*time.Second) {
		inst.killNodes()
		return nil, errors.New("the groups did not open")
	}
	time.Sleep(time.Second)
	return inst, nil
}

// playRecover is the case of replicas that are idle when all nodes are killed. Two groups of four
// serve one model. One member of each leaves as planned, so that one group is formed of the six
// that remain, and two of them are idle: they still name the group in which they were, whose
// head is in the new one. All nodes are killed and started again, and one member of the group
// leaves as planned. Five replicas remain, of which any four can serve.
func playRecover(rec *recorder, dir string, trouble bool) (int, error) {
	inst, err := newPool(rec, dir, largeModel, 8, 1, 6)
	if err != nil {
		return exitNotRun, err
	}
	defer inst.killNodes()

	from := time.Now()
	for _, head := range inst.heads() {
		inst.callers.sendFor(2*time.Second, 10, "m0")
		inst.memberOf(head, 3).drain()
		inst.callers.sendFor(6*time.Second, 10, "m0")
	}
	before, sentBefore := inst.callers.served(from, time.Now())
	rec.printf("before: %d of %d requests served", before, sentBefore)
	heads := inst.heads()
	if 4*before < sentBefore || len(heads) != 1 {
		return exitNotRun, fmt.Errorf("%d groups are open before the fault", len(heads))
	}
	inst.recordGroups()
	if trouble {
		config := poolConfig(largeModel)
		config["version"] = 9
		inst.store.set("op", "config", config)
		rec.printf("a configuration is acknowledged, and all nodes are killed")
		inst.killNodes()
		time.Sleep(downTime)
		if err := inst.startNodes(false); err != nil {
			return exitNotRun, err
		}
		rec.printf("all nodes are started again")
	}
	back := time.Now()
	inst.callers.sendFor(5*time.Second, 10, "m0")
	served, sent := inst.callers.served(back, time.Now())
	rec.printf("in the 5 s since then: %d of %d requests served", served, sent)
	inst.memberOf(heads[0], 2).drain()
	inst.callers.sendFor(recoveryTime+30*time.Second, 10, "m0")

	after, sentAfter := inst.callers.served(back.Add(recoveryTime), time.Now())
	rec.printf("after: %d of %d requests served that were sent later than %v after the nodes were back", after, sentAfter, recoveryTime)
	inst.recordGroups()
	if 4*after < sentAfter {
		rec.printf("RECOVER is broken")
		return exitBroken, nil
	}
	return exitHeld, nil
}
