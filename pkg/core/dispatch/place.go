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
	// nearBestFactor is the factor on the best cost up to which targets count as equally
	// good. Nodes whose counts of each other are up to a bulletin old spread over
	// all of these and do not all choose the same one.
	nearBestFactor = 1.15
	// nearBestSlack is added, so that idle targets spread too.
	nearBestSlack = 4 * time.Millisecond
	// sampleSize is the number of targets of which the best gets a request where there
	// are more nodes than are linked with each other.
	sampleSize = 3
	// crossDataCentreCost is the cost of the way to another data centre: a round trip
	// of 1 ms, and the bytes between data centres, which are charged.
	crossDataCentreCost = 6 * time.Millisecond
	// failureCost is the cost of a target at which all attempts fail: a repeat
	// takes about as long as the objective.
	failureCost = 400 * time.Millisecond
	// plainServiceTime is the usual time of a plain service, used for its cost only.
	plainServiceTime = 20 * time.Millisecond
	// plainRequestsPerSlot is the number of requests per slot that a replica of a plain
	// service may have: its queue is a few times its slots.
	plainRequestsPerSlot = 2
	// stallTimeout is the silence after which a stream counts as stalled. A pass of
	// a full engine with the most prompt tokens that it can read takes about
	// 290 ms.
	stallTimeout = 450 * time.Millisecond
	// firstEventSlack is added to twice the predicted time to the first event.
	firstEventSlack = 500 * time.Millisecond
)

// place starts an attempt at the best target for a request. It returns false
// when none can take it now.
func (s *System) place(now time.Duration, active *activeRequest, out *state.Outbox) bool {
	t := s.pickTarget(now, active)
	if t == nil {
		return false
	}
	s.startAttempt(now, active, t, out)
	return true
}

type candidate struct {
	target *target
	cost   time.Duration
}

// pickTarget returns a target, or nil. It filters, rates and draws among the best.
func (s *System) pickTarget(now time.Duration, active *activeRequest) *target {
	var candidates []candidate
	for _, t := range active.pool.targets {
		if s.isEligible(now, t, active) {
			candidates = append(candidates, candidate{t, s.cost(now, t, active)})
		}
	}
	if s.managed.Nodes.Len() > state.MaxFullMeshNodes {
		candidates = s.sample(candidates)
	}
	candidates = nearBestCandidates(candidates)
	for len(candidates) > 0 {
		i := s.tables.Rand.IntN(len(candidates))
		t := candidates[i].target
		if now >= t.coldUntil || s.allowColdRequest(now, t) {
			return t
		}
		candidates = slices.Delete(candidates, i, i+1)
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
func (s *System) sample(candidates []candidate) []candidate {
	for i := range min(sampleSize, len(candidates)) {
		j := i + s.tables.Rand.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:min(sampleSize, len(candidates))]
}

// nearBestCandidates keeps the candidates that are about as good as the best one.
func nearBestCandidates(candidates []candidate) []candidate {
	best := time.Duration(math.MaxInt64)
	for _, c := range candidates {
		best = min(best, c.cost)
	}
	maxCost := time.Duration(float64(best)*nearBestFactor) + nearBestSlack
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.cost > maxCost })
}

// isEligible reports whether a target may get a request now.
func (s *System) isEligible(now time.Duration, t *target, active *activeRequest) bool {
	if !t.usable || t.suspect || now < t.avoidUntil || now < t.fullUntil {
		return false
	}
	if _, stalled := s.managed.PeerStalledTargets[t.id]; stalled && t.load.Running == t.stalledCount {
		return false
	}
	if slices.Contains(active.req.TriedTargets, state.TargetID(t.id)) {
		return false
	}
	if t.engine == nil {
		return t.inFlight() < t.slots*plainRequestsPerSlot
	}
	return t.inFlight() < t.slots
}

// cost is the predicted time to the first event with what speaks against the
// target.
func (s *System) cost(now time.Duration, t *target, active *activeRequest) time.Duration {
	cost := time.Duration(t.failureRate(now) * float64(failureCost))
	if t.dataCentre != s.tables.Self.DataCentre {
		cost += crossDataCentreCost
	}
	if t.engine == nil {
		return cost + plainServiceTime*time.Duration(t.inFlight()+1)/time.Duration(t.slots)
	}
	return cost + timeToFirstEvent(t.engine, t.timeFactor, t.engineLoad(), active.req.Arrival.Routed.PromptTokens)
}

// startAttempt sends an attempt.
func (s *System) startAttempt(now time.Duration, active *activeRequest, t *target, out *state.Outbox) {
	req := active.req
	s.removeFromQueue(active)
	routed := req.Arrival.Routed
	predicted := s.cost(now, t, active)
	req.Phase, req.Target, req.SentAt = state.RequestSent, state.TargetID(t.id), now
	req.Attempt++
	active.target, active.firstEventSeen, active.stalled = t, false, false
	t.activeRequests[req.Arrival.ID] = active
	t.load.Waiting++
	t.load.WaitingTokens += routed.PromptTokens
	if req.Attempt > 1 {
		s.retryBudget(req.Service).countRetry(now)
		s.tables.Counters.Retries++
	}
	attempt := state.StartAttempt{
		Request: req.Arrival.ID, Attempt: req.Attempt, Target: req.Target, Address: t.address, NewConnection: true,
		Timeout: req.Deadline - now, DecidedAt: now, ExpectedInstance: t.id, Account: req.Account,
	}
	if req.Route.Stream {
		attempt.StallAfter, attempt.FirstEventStallAfter = stallTimeout, 2*predicted+firstEventSlack
	}
	out.Add(attempt)
	if req.Attempt > 1 || now > req.ArrivedAt {
		out.Log(event.AttemptStarted, slog.String("request", routed.AttemptID), slog.Int("attempt", req.Attempt),
			slog.String("target", string(t.id)), slog.String("group", string(t.group)), slog.Duration("age", now-req.ArrivedAt),
			slog.Duration("predicted", predicted), slog.Int("in_flight", t.inFlight()))
	}
}

// releaseTarget frees the place of a request at its target.
func (s *System) releaseTarget(now time.Duration, active *activeRequest) {
	t := active.target
	if t == nil {
		return
	}
	if active.firstEventSeen {
		t.load.Running--
	} else {
		t.load.Waiting--
		t.load.WaitingTokens -= active.req.Arrival.Routed.PromptTokens
	}
	if active.stalled {
		t.stalledCount--
	}
	active.target, active.firstEventSeen, active.stalled = nil, false, false
	delete(t.activeRequests, active.req.Arrival.ID)
	active.pool.attemptEndRate.add(now)
	if !t.usable && len(t.activeRequests) == 0 && s.targets[t.id] == t {
		delete(s.targets, t.id)
		delete(s.managed.Loads, t.id)
		delete(s.managed.StalledTargets, t.id)
	}
}
