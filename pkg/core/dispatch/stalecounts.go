package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// relayTime is the mean age of a peer's count when it arrives through two hubs: it
	// waits for half a status period at the peer, and at each hub.
	relayTime = 3 * state.PeerStatusPeriod / 2
	// maxSilence is the time without a status of any peer after which the last counts are no
	// longer used. It covers the loss of a few messages.
	maxSilence = 5 * state.PeerStatusPeriod
	// residenceWeight is the weight of the last ended attempt in the mean residence time of
	// a pool.
	residenceWeight = 1.0 / 16
	// defaultResidence is the residence time of a stream of which nothing is known.
	defaultResidence = time.Second
	// leastChance bounds the expected number of status periods until a request is admitted.
	leastChance = 0.001
	// firstEventPasses is the number of passes until the first event of a request, without
	// the step of its prefill: half of the current one and a whole one.
	firstEventPasses = 1.5
)

// option is a target to which a request may be sent.
type option struct {
	target *target
	// cost is the predicted time to the first event, and slope what each further request
	// adds to it.
	cost, slope time.Duration
	// saved is the prefill time that the request needs less because the target holds a prefix.
	saved time.Duration
	// room is the number of requests that the target can begin to run before newer counts
	// arrive.
	room float64
}

// hasRelayedCounts reports whether this node learns the loads of other nodes through hubs,
// as in installations without a full mesh.
func (s *System) hasRelayedCounts() bool { return s.managed.Nodes.Len() > state.MaxFullMeshNodes }

// countAge returns the mean age of the counts of peers. Assumed counts are of this moment and
// get the least age.
func (s *System) countAge(now time.Duration) time.Duration {
	if s.assumesPeerLoads(now) {
		return relayTime
	}
	return now - s.peerStatusAt + relayTime
}

// assumesPeerLoads reports whether the counts of peers cannot be used: there are none, the last
// ones are too old, or they have come for a short time only. The first counts after a start of
// all nodes are those of the few nodes that are linked already.
func (s *System) assumesPeerLoads(now time.Duration) bool {
	return now-s.peerStatusAt > maxSilence || now-s.peerStatusSince < maxSilence
}

// assumePeerLoads sets the loads of other nodes on the targets of a pool while no peer reports
// any: each node is assumed to have as many requests in flight as this one, spread over all
// targets.
//
// Load pattern: all nodes start at the same moment, and all callers return at once. Until the
// nodes are linked again, for a second or so, each of them finds all targets idle, and
// together they send three times as many requests as there are slots.
func (s *System) assumePeerLoads(now time.Duration, pool *targetPool) {
	if !s.assumesPeerLoads(now) || len(pool.targets) == 0 {
		return
	}
	own := 0
	for _, t := range pool.targets {
		own += t.load.Running + t.load.Waiting
	}
	for _, t := range pool.targets {
		t.peerLoad = state.TargetLoad{Running: own * (s.managed.Nodes.Len() - 1) / len(pool.targets)}
	}
}

// residence returns the mean time that a request stays at a target of a pool.
func (p *targetPool) residence() time.Duration {
	if p.meanResidence > 0 || len(p.targets) == 0 {
		return max(p.meanResidence, time.Millisecond)
	}
	t := p.targets[0]
	switch {
	case t.engine == nil:
		return plainServiceTime
	case t.engine.TypicalAnswerTokens == 0:
		return defaultResidence
	}
	return time.Duration(t.engine.TypicalAnswerTokens+t.engine.StepsPerPass) * stepTime(t.engine, t.timeFactor, t.engine.Slots/2)
}

// countResidence adds the time of an ended attempt to the mean of its pool.
func (p *targetPool) countResidence(d time.Duration) {
	if p.meanResidence == 0 {
		p.meanResidence = d
		return
	}
	p.meanResidence += time.Duration(residenceWeight * float64(d-p.meanResidence))
}

// unseenArrivals returns how many requests that all nodes have sent to the targets of a pool
// since the counts of peers were taken are still there. By Little's law the rate is the number
// of requests in flight divided by the time that each of them stays.
func (s *System) unseenArrivals(now time.Duration, pool *targetPool) float64 {
	inFlight := 0
	for _, t := range pool.targets {
		inFlight += t.inFlight()
	}
	return float64(inFlight) * s.endedPart(now, pool)
}

// endedPart returns the part of the requests that peers have counted that have ended since.
func (s *System) endedPart(now time.Duration, pool *targetPool) float64 {
	return min(float64(s.countAge(now))/float64(pool.residence()), 1)
}

// options returns the targets to which a request may be sent. A target that is full by the
// last counts has room only if the others have not enough for the unseen requests.
func (s *System) options(now time.Duration, active *activeRequest, arrivals float64) []option {
	options := make([]option, 0, len(active.pool.targets))
	for _, t := range active.pool.targets {
		if s.exclusion(now, t, active) == "" {
			computed := active.req.Arrival.Routed.PromptTokens - s.heldTokens(now, t, active)
			options = append(options, option{
				target: t, cost: s.cost(now, t, active), saved: s.savedTime(now, t, active), slope: t.slope(computed, s.countAge(now)),
				room: max(float64(t.capacity()-t.inFlight()), 0),
			})
		}
	}
	if room(options) < arrivals {
		// The draws of all nodes scatter around the shares like arrivals of a Poisson process.
		spread := math.Sqrt(arrivals / float64(len(options)))
		ended := s.endedPart(now, active.pool)
		for i := range options {
			t := options[i].target
			options[i].room = max(options[i].room, float64(t.capacity())-spread-(1-ended)*float64(t.inFlight()))
		}
	}
	return slices.DeleteFunc(options, func(o option) bool { return o.room < 1 })
}

// room returns the number of requests for which some targets have room.
func room(options []option) float64 {
	total := 0.0
	for _, o := range options {
		total += o.room
	}
	return total
}

// slope returns what each unseen request, with a prompt like that of the one to be placed,
// adds to the time to the first event: its part of each step, and its prefill if it falls
// into the passes for which the request waits.
func (t *target) slope(promptTokens int, age time.Duration) time.Duration {
	if t.engine == nil {
		return plainServiceTime / time.Duration(t.slots)
	}
	steps := firstEventPasses * float64(t.engine.StepsPerPass)
	slope := (steps + 1) * t.timeFactor * float64(t.engine.StepTimePerSequence)
	if t.engine.PrefillRate > 0 {
		waiting := steps * float64(stepTime(t.engine, t.timeFactor, t.engine.Slots/2))
		slope += float64(promptTokens) / t.engine.PrefillRate * t.timeFactor * float64(time.Second) * min(waiting/float64(age), 1)
	}
	return max(time.Duration(slope), time.Microsecond)
}

// pickOnRelayedCounts draws a target so that the requests of all nodes together level the
// costs of the targets, or returns nil if the request is one of those for which there is no
// room.
//
// Load pattern: 91 nodes send 5 requests a second each to 19 groups, by counts that are 200
// to 300 ms old. Three to six requests for each group arrive in that time. If each node
// takes the best of a few random groups, the same few groups are best for all nodes: they get
// 10 to 15 requests in 200 ms, and the first events of these requests take twice as long.
// If each node fills the last slot that it sees, a full group gets many requests at once,
// which wait in its queue for other streams to end.
//
// The level to which the unseen requests raise the costs is that of water-filling, as in M.
// Dahlin, "Interpreting stale load information", IEEE TPDS 11(10), 2000. With no unseen
// requests the best target is drawn, with many of them all targets alike.
func (s *System) pickOnRelayedCounts(now time.Duration, active *activeRequest) *target {
	a := s.admission(now, active)
	// A further attempt is not held back, since its request has waited already.
	if a.placed == 0 || active.attempts == 0 && s.tables.Rand.Float64() >= active.pool.admittedPart(now, active.priority, a.part()) {
		return nil
	}
	shares := active.pool.followSavings(active, a.options, a.shares, a.arrivals)
	drawn := s.tables.Rand.Float64() * sum(shares)
	for i := range a.options {
		if drawn -= shares[i]; drawn < 0 {
			return a.options[i].target
		}
	}
	// Rounding may leave a rest.
	return a.options[slices.IndexFunc(shares, func(share float64) bool { return share > 0 })].target
}

// admission is what a node knows of the room for a request.
type admission struct {
	// options holds the targets that may get it, and shares the unseen requests that each of
	// them takes, placed in sum, of all arrivals.
	options          []option
	shares           []float64
	placed, arrivals float64
}

// part returns the part of the arrivals for which there is room.
func (a *admission) part() float64 { return a.placed / a.arrivals }

// admission distributes the unseen requests over the targets that may get a request.
func (s *System) admission(now time.Duration, active *activeRequest) admission {
	s.assumePeerLoads(now, active.pool)
	a := admission{arrivals: max(s.unseenArrivals(now, active.pool)*active.pool.offeredRatio(now), 1)}
	a.options = s.options(now, active, a.arrivals)
	if len(a.options) == 0 {
		return a
	}
	s.limitToObjective(now, active, a.options)
	if local, part := s.localOptions(a.options, a.arrivals); local != nil {
		a.options, a.arrivals = local, part
	}
	a.shares, _ = fillShares(a.options, a.arrivals)
	a.placed = sum(a.shares)
	return a
}

// localOptions returns the targets of the node's own data centre, and the requests of its
// nodes, or nil if these requests would raise the cost there further above that of all targets
// than a target elsewhere costs more.
//
// Load pattern: the data centres are about equally loaded. Bytes between them are charged:
// with five of them, four of five requests crossed from one to another.
func (s *System) localOptions(options []option, arrivals float64) ([]option, float64) {
	local := make([]option, 0, len(options))
	for _, o := range options {
		if o.target.dataCentre == s.tables.Self.DataCentre {
			local = append(local, o)
		}
	}
	part := arrivals * s.localNodePart()
	if len(local) == 0 || len(local) == len(options) || part > room(local) {
		return nil, 0
	}
	_, localLevel := fillShares(local, part)
	_, level := fillShares(options, arrivals)
	if localLevel > level+crossDataCentreCost {
		return nil, 0
	}
	return local, max(part, 1)
}

// localNodePart returns the part of the nodes that are in this node's data centre.
func (s *System) localNodePart() float64 {
	local := 0
	for _, row := range s.managed.Nodes.All() {
		if row.Entry.DataCentre == s.tables.Self.DataCentre {
			local++
		}
	}
	return float64(max(local, 1)) / float64(max(s.managed.Nodes.Len(), 1))
}

// fillShares distributes a number of requests over targets by water-filling: all targets
// that get some reach the same cost, unless their room ends before. The sum of the shares is the
// number of requests, or the room of all targets if that is less.
func fillShares(options []option, requests float64) (shares []float64, level time.Duration) {
	shares = make([]float64, len(options))
	fill := func(level float64) float64 {
		for i, o := range options {
			shares[i] = min(max((level-float64(o.cost))/float64(o.slope), 0), o.room)
		}
		return sum(shares)
	}
	low := float64(slices.MinFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) }).cost)
	high := low
	for _, o := range options {
		high = max(high, float64(o.cost)+min(requests, o.room)*float64(o.slope))
	}
	if fill(high) <= requests {
		return shares, time.Duration(high)
	}
	for range fillIterations {
		if middle := (low + high) / 2; fill(middle) < requests {
			low = middle
		} else {
			high = middle
		}
	}
	fill(high)
	return shares, time.Duration(high)
}

// fillIterations halves the interval of the level often enough for microseconds.
const fillIterations = 24

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// roomWait returns the expected time until a request finds room. While there is room for a
// part of the requests, each of them is drawn anew with each status of the peers. Otherwise the
// requests beyond the slots have to end first.
//
// Load pattern: a node with 5 requests a second sees an attempt end each 200 ms, and all
// nodes together see 400 in a second. By its own attempts alone the node refuses requests
// for which there is room.
func (s *System) roomWait(now time.Duration, active *activeRequest) time.Duration {
	a := s.admission(now, active)
	if a.placed > 0 {
		return time.Duration(float64(state.PeerStatusPeriod) / max(active.pool.admittedPart(now, active.priority, a.part()), leastChance))
	}
	excess, inFlight := 0, 0
	for _, t := range active.pool.targets {
		inFlight += t.inFlight()
		excess += t.inFlight() - t.capacity()
	}
	return time.Duration(float64(max(excess, 0)+1) / float64(max(inFlight, 1)) * float64(active.pool.residence()))
}
