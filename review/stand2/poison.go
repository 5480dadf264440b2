package main

import (
	"fmt"
	"time"
)

func init() { cases["poison"] = playPoison }

// contactTime is contact_ms of the small deployments.
const contactTime = 3 * time.Second

// playPoison is the case of a part of a prompt that crashes replicas, and that for a moment
// crashes the heads of all groups. Sound requests share their first part with it.
func playPoison(rec *recorder, dir string, trouble bool) (int, error) {
	inst, err := newPool(rec, dir, smallModel, 6, 3, 3)
	if err != nil {
		return exitNotRun, err
	}
	defer inst.killNodes()
	sound := map[string]float64{"draft": 10, "order": 17, "lookup": 7}

	from := time.Now()
	inst.callers.sendMix(12*time.Second, sound, "m0")
	before, sentBefore := inst.callers.begunAtFirst("draft", from, time.Now())
	rec.printf("before: %d of %d sound requests began at their first attempt", before, sentBefore)
	if sentBefore < 20 || 2*before < sentBefore {
		return exitNotRun, fmt.Errorf("too few sound requests began before the trouble")
	}
	began := time.Now()
	if trouble {
		// They come at any machine, no two alike.
		for range 9 {
			go inst.callers.send("poisoned draft", "m0")
		}
		sound["poisoned draft"] = 4
	}
	inst.callers.sendMix(45*time.Second, sound, "m0")

	// The rule counts from twice contact_ms after the last crash. Here the replicas have been
	// back for that long as well.
	since := began
	inst.fleet.mu.Lock()
	crashes := append([]time.Time(nil), inst.fleet.crashes...)
	inst.fleet.mu.Unlock()
	if len(crashes) > 0 {
		since = crashes[len(crashes)-1].Add(restartTime)
	}
	since = since.Add(2 * contactTime)
	after, sentAfter := inst.callers.begunAtFirst("draft", since, time.Now())
	rec.printf("%d crashes; after: %d of %d sound requests began at their first attempt that were sent later than %.1f s after the trouble began",
		len(crashes), after, sentAfter, since.Sub(began).Seconds())
	rec.printf("%d groups are open", len(inst.heads()))
	if sentAfter < 20 {
		return exitNotRun, fmt.Errorf("too few requests to judge")
	}
	if float64(after)/float64(sentAfter) < 0.5*float64(before)/float64(sentBefore) {
		rec.printf("LOST is broken")
		return exitBroken, nil
	}
	return exitHeld, nil
}
