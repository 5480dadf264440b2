package main

import (
	"errors"
	"time"
)

func init() { cases["two"] = playTwo }

// playTwo is the case of a head that is cut off while the store comes back from a copy which is
// older than its group.
func playTwo(rec *recorder, dir string, trouble bool) (int, error) {
	inst, err := newPool(rec, dir, largeModel, 6, 1, 6)
	if err != nil {
		return exitNotRun, err
	}
	defer inst.killNodes()
	plain := map[string]float64{"order": 11.6, "lookup": 4.64}
	// The spare replicas stage the weights, and all replicas write their entries.
	inst.callers.sendMix(22*time.Second, map[string]float64{"draft": 10, "order": 11.6, "lookup": 4.64}, "m0")
	heads := inst.heads()
	if len(heads) != 1 {
		return exitNotRun, errors.New("no group is open")
	}
	old := heads[0].place.Name
	inst.memberOf(heads[0], 3).drain()
	formed := time.Now()
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if heads = inst.heads(); len(heads) == 1 && heads[0].place.Name != old {
			break
		}
		if time.Now().After(end) {
			return exitNotRun, errors.New("no new group opened")
		}
	}
	rec.printf("%s is the head of the new group %s", heads[0].id, heads[0].place.Name)
	inst.callers.sendMix(time.Second, plain, "m0")
	if trouble {
		rec.printf("the store is away")
		inst.store.leave()
		time.Sleep(300 * time.Millisecond)
		heads[0].cut()
		time.Sleep(500 * time.Millisecond)
		inst.store.returnFromCopy(formed.Add(-100 * time.Millisecond))
		inst.fleet.writeAgain()
		rec.printf("the store is back from a copy that is %.1f s old", time.Since(formed).Seconds()+0.1)
	}
	inst.callers.sendMix(9*time.Second, plain, "m0")
	inst.recordGroups()
	inst.fleet.mu.Lock()
	defer inst.fleet.mu.Unlock()
	if inst.fleet.two > 0 {
		rec.printf("TWO is broken %d times", inst.fleet.two)
		return exitBroken, nil
	}
	return exitHeld, nil
}
