package main

import (
	"fmt"
	"time"
)

func init() {
	cases["deadly"] = playDeadly
	cases["latepart"] = playLatePart
}

// maxLateRuns is how many runs of requests that crash replicas are allowed later than contactTime
// after the third crash by one request, or the fifth by one part of prompts.
const maxLateRuns = 3

// playDeadly is the case of a request that crashes each replica that begins to run it, before
// the replica has sent anything of the answer. It comes again every second at any node.
func playDeadly(rec *recorder, dir string, trouble bool) (int, error) {
	return playCrashes(rec, dir, trouble, "deadly draft", 3, false)
}

// playLatePart is the case of a part of prompts that crashes each replica which begins to write
// an answer on it, right after the first event.
func playLatePart(rec *recorder, dir string, trouble bool) (int, error) {
	return playCrashes(rec, dir, trouble, "poisoned draft", 5, true)
}

// playCrashes sends requests of a kind that crash replicas beside sound ones, once a second on
// average, and counts their runs later than contactTime after freeCrashes crashes.
func playCrashes(rec *recorder, dir string, trouble bool, kind string, freeCrashes int, afterEvent bool) (int, error) {
	inst, err := newPool(rec, dir, smallModel, 8, 1, 6)
	if err != nil {
		return exitNotRun, err
	}
	defer inst.killNodes()
	inst.fleet.crashAfterEvent = afterEvent
	sound := map[string]float64{"draft": 20, "order": 11.6, "lookup": 4.64}
	from := time.Now()
	inst.callers.sendMix(10*time.Second, sound, "m0")
	before, sentBefore := inst.callers.served(from, time.Now())
	rec.printf("before: %d of %d sound requests served", before, sentBefore)
	if trouble {
		sound[kind] = 1
	}
	from = time.Now()
	inst.callers.sendMix(45*time.Second, sound, "m0")
	after, sentAfter := inst.callers.served(from, time.Now())
	rec.printf("then: %d of %d requests served", after, sentAfter)

	inst.fleet.mu.Lock()
	defer inst.fleet.mu.Unlock()
	crashes, runs := inst.fleet.crashes, inst.fleet.deadlyRuns
	if trouble && len(crashes) < freeCrashes {
		return exitNotRun, fmt.Errorf("%d replicas have crashed", len(crashes))
	}
	late := 0
	for _, at := range runs {
		if at.After(crashes[freeCrashes-1].Add(contactTime)) {
			late++
		}
	}
	rec.printf("%d crashes, %d runs of requests that crash replicas, %d of them later than %v after crash %d", len(crashes), len(runs), late, contactTime, freeCrashes)
	if late > maxLateRuns {
		rec.printf("BUDGET is broken")
		return exitBroken, nil
	}
	return exitHeld, nil
}
