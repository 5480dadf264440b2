package dispatch

import (
	"maps"
	"slices"
	"time"
)

const (
	// latencySamples is the number of attempts from which the fixed latency of a pool is
	// derived, and latencyQuantile the part of them that have a lower one. A low quantile
	// leaves out what load adds that the prediction does not know of.
	// From minLatencySamples on it is used.
	latencySamples    = 32
	minLatencySamples = 8
	latencyQuantile   = 0.25
	// ratePrior is added to the rates of arrivals and admissions, in requests per second.
	ratePrior = 1.0
	// maxOfferedRatio bounds the overload that is assumed. Callers return once or twice.
	maxOfferedRatio = 3.0
	// leastAdmittedPart is the part of the mean chance of admission that a request of the
	// least urgent class keeps.
	leastAdmittedPart = 0.5
)

// fixedLatency learns how much longer first events take than predicted. Engines spend time
// on a request before its prefill that no profile names.
type fixedLatency struct {
	samples []time.Duration
	next    int
	value   time.Duration
}

// add takes in the difference of one attempt.
func (f *fixedLatency) add(difference time.Duration) {
	if len(f.samples) < latencySamples {
		f.samples = append(f.samples, difference)
	} else {
		f.samples[f.next] = difference
		f.next = (f.next + 1) % latencySamples
	}
	if len(f.samples) < minLatencySamples {
		return
	}
	sorted := slices.Sorted(slices.Values(f.samples))
	f.value = max(sorted[int(latencyQuantile*float64(len(sorted)))], 0)
}

// countFirstEvent learns from the first event of an attempt at a target that has free slots.
// At a full one the request may have waited for a slot.
func (s *System) countFirstEvent(now time.Duration, active *activeRequest) {
	if t := active.target; t.engine != nil && t.inFlight() < t.capacity() {
		active.pool.fixedLatency.add(now - active.req.SentAt - active.predicted)
	}
}

// limitToObjective reduces the room of targets to the requests whose first events are in time
// there. Half of the slots of a target stay open to all requests, so that none is refused
// while targets have much room, however slow they are. A request that is late already, a
// further attempt and one for a plain service are bounded by the slots only. A held prefix
// counts like a prompt that is shorter by as much.
//
// Load pattern: for tens of seconds there are a third more requests than the targets can
// serve in time. If every slot is filled, the first events of all requests come late.
func (s *System) limitToObjective(now time.Duration, active *activeRequest, options []option) {
	left := active.objectiveEnd - now
	if left <= 0 || active.attempts > 0 || active.pool.key.model == "" {
		return
	}
	level := left - active.pool.fixedLatency.value
	for i := range options {
		o := &options[i]
		inTime := float64(level-o.cost+o.saved) / float64(o.slope)
		unloaded := float64((o.target.capacity()+1)/2 - o.target.inFlight())
		o.room = min(o.room, max(inTime, unloaded, 0))
	}
}

// classRates counts the requests of each priority that arrive at a pool, and those that were
// admitted.
type classRates struct {
	arrived  map[int]*decayingRate
	admitted decayingRate
}

func (c *classRates) countArrival(now time.Duration, priority int) {
	rate := c.arrived[priority]
	if rate == nil {
		if c.arrived == nil {
			c.arrived = map[int]*decayingRate{}
		}
		rate = &decayingRate{updatedAt: now}
		c.arrived[priority] = rate
	}
	rate.add(now)
}

// offeredRatio returns how many requests arrive for each one that is admitted. Those in
// flight, from which the rate of all nodes is derived, are the admitted ones only.
//
// A node sees a few requests a second. Without ratePrior, a node that had admitted none for a
// few seconds would take the load for a hundred times what it is, and admit none further.
func (p *targetPool) offeredRatio(now time.Duration) float64 {
	total := ratePrior
	for _, priority := range slices.Sorted(maps.Keys(p.classes.arrived)) {
		rate := p.classes.arrived[priority]
		rate.decay(now)
		total += rate.perSecond
	}
	p.classes.admitted.decay(now)
	return min(max(total/(p.classes.admitted.perSecond+ratePrior), 1), maxOfferedRatio)
}

// admittedPart returns the chance with which a request of a priority is admitted if there is
// room for a part of all requests. The room goes to the more urgent ones first, but none has
// less than leastAdmittedPart of the mean chance, so that no class starves.
func (p *targetPool) admittedPart(now time.Duration, priority int, part float64) float64 {
	total, moreUrgent, equal := 0.0, 0.0, 0.0
	for _, other := range slices.Sorted(maps.Keys(p.classes.arrived)) {
		rate := p.classes.arrived[other]
		rate.decay(now)
		total += rate.perSecond
		switch {
		case other < priority:
			moreUrgent += rate.perSecond
		case other == priority:
			equal += rate.perSecond
		}
	}
	if part >= 1 || equal <= 0 {
		return part
	}
	return max((part*total-moreUrgent)/equal, leastAdmittedPart*part)
}
