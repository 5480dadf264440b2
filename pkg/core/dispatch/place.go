package dispatch

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// nearBest is the factor on the best cost up to which targets count as equally
	// good. Nodes whose counts of each other are up to a bulletin old spread over
	// all of these and do not all choose the same one.
	nearBest = 1.15
	// nearBestSlack is added, so that idle targets spread too.
	nearBestSlack = 4 * time.Millisecond
	// sampled is the number of targets of which the best gets a request where there
	// are more nodes than are linked with each other.
	sampled = 3
	// otherDataCentre is the cost of the way to another data centre: a round trip
	// of 1 ms, and the bytes between data centres, which are charged.
	otherDataCentre = 6 * time.Millisecond
	// failureCost is the cost of a target at which all attempts fail: a repeat
	// takes about as long as the objective.
	failureCost = 400 * time.Millisecond
	// plainTime is the usual time of a plain service, used for its cost only.
	plainTime = 20 * time.Millisecond
	// plainQueue is the number of requests per slot that a replica of a plain
	// service may have: its queue is a few times its slots.
	plainQueue = 2
	// stallAfter is the silence after which a stream counts as stalled. A pass of
	// a full engine with the most prompt tokens that it can read takes about
	// 290 ms.
	stallAfter = 450 * time.Millisecond
	// firstSlack is added to twice the predicted time to the first event.
	firstSlack = 500 * time.Millisecond
)

// place starts an attempt at the best target for a request. It returns false
// when none can take it now.
func (s *System) place(now time.Duration, j *job, out *state.Outbox) bool {
	t := s.pick(now, j)
	if t == nil {
		return false
	}
	s.start(now, j, t, out)
	return true
}

type candidate struct {
	target *target
	cost   time.Duration
}

// pick returns a target, or nil. It filters, rates and draws among the best.
func (s *System) pick(now time.Duration, j *job) *target {
	var fit []candidate
	for _, t := range j.class.targets {
		if s.fits(now, t, j) {
			fit = append(fit, candidate{t, s.cost(now, t, j)})
		}
	}
	if s.m.Nodes.Len() > state.MaxFullMeshNodes {
		fit = s.sample(fit)
	}
	fit = nearestBest(fit)
	for len(fit) > 0 {
		i := s.t.Rand.IntN(len(fit))
		t := fit[i].target
		if now >= t.coldUntil || s.mayUseCold(now, t) {
			return t
		}
		fit = slices.Delete(fit, i, i+1)
	}
	return nil
}

// sample keeps a few candidates, drawn at random.
//
// Load pattern: 79 nodes with 30 groups, whose counts of each other are 200 to
// 300 ms old. In that time three requests come for each group. Where all nodes
// send to the few groups that were best, these get twenty, and half of the
// requests miss their objective at three quarters of the load. The best of a few
// drawn ones gets at most that many times its part.
func (s *System) sample(fit []candidate) []candidate {
	for i := range min(sampled, len(fit)) {
		j := i + s.t.Rand.IntN(len(fit)-i)
		fit[i], fit[j] = fit[j], fit[i]
	}
	return fit[:min(sampled, len(fit))]
}

// nearestBest keeps the candidates that are about as good as the best one.
func nearestBest(fit []candidate) []candidate {
	best := time.Duration(math.MaxInt64)
	for _, c := range fit {
		best = min(best, c.cost)
	}
	bound := time.Duration(float64(best)*nearBest) + nearBestSlack
	return slices.DeleteFunc(fit, func(c candidate) bool { return c.cost > bound })
}

// fits reports whether a target may get a request now.
func (s *System) fits(now time.Duration, t *target, j *job) bool {
	if !t.usable || t.suspect || now < t.avoidUntil || now < t.fullUntil {
		return false
	}
	if _, stalled := s.m.PeerStalledTargets[t.id]; stalled && t.load.Running == t.stalled {
		return false
	}
	if slices.Contains(j.req.TriedTargets, state.TargetID(t.id)) {
		return false
	}
	if t.engine == nil {
		return t.inFlight() < t.slots*plainQueue
	}
	return t.inFlight() < t.slots
}

// cost is the predicted time to the first event with what speaks against the
// target.
func (s *System) cost(now time.Duration, t *target, j *job) time.Duration {
	cost := time.Duration(t.failureRate(now) * float64(failureCost))
	if t.dataCentre != s.t.Self.DataCentre {
		cost += otherDataCentre
	}
	if t.engine == nil {
		return cost + plainTime*time.Duration(t.inFlight()+1)/time.Duration(t.slots)
	}
	return cost + firstEvent(t.engine, t.pace, t.engineLoad(), j.req.Arrival.Routed.PromptTokens)
}

// start sends an attempt.
func (s *System) start(now time.Duration, j *job, t *target, out *state.Outbox) {
	req := j.req
	s.leaveQueue(j)
	a := req.Arrival.Routed
	predicted := s.cost(now, t, j)
	req.Phase, req.Target, req.SentAt = state.RequestSent, state.TargetID(t.id), now
	req.Attempt++
	j.at, j.begun, j.stalled = t, false, false
	t.jobs[req.Arrival.ID] = j
	t.load.Waiting++
	t.load.WaitingTokens += a.PromptTokens
	if req.Attempt > 1 {
		s.budget(req.Service).repeated(now)
		s.t.Counters.Retries++
	}
	start := state.StartAttempt{
		Request: req.Arrival.ID, Attempt: req.Attempt, Target: req.Target, Address: t.address, NewConnection: true,
		Timeout: req.Deadline - now, DecidedAt: now, ExpectedInstance: t.id, Account: req.Account,
	}
	if req.Route.Stream {
		start.StallAfter, start.FirstEventStallAfter = stallAfter, 2*predicted+firstSlack
	}
	out.Add(start)
	if req.Attempt > 1 || now > req.ArrivedAt {
		out.Log(event.AttemptStarted, slog.String("request", a.AttemptID), slog.Int("attempt", req.Attempt),
			slog.String("target", string(t.id)), slog.String("group", string(t.group)), slog.Duration("age", now-req.ArrivedAt),
			slog.Duration("predicted", predicted), slog.Int("in_flight", t.inFlight()))
	}
}

// release frees the place of a request at its target.
func (s *System) release(now time.Duration, j *job) {
	t := j.at
	if t == nil {
		return
	}
	if j.begun {
		t.load.Running--
	} else {
		t.load.Waiting--
		t.load.WaitingTokens -= j.req.Arrival.Routed.PromptTokens
	}
	if j.stalled {
		t.stalled--
	}
	j.at, j.begun, j.stalled = nil, false, false
	delete(t.jobs, j.req.Arrival.ID)
	j.class.rate.add(now)
	if !t.usable && len(t.jobs) == 0 && s.targets[t.id] == t {
		delete(s.targets, t.id)
		delete(s.m.Loads, t.id)
		delete(s.m.StalledTargets, t.id)
	}
}
