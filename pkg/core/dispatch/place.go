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
	// nearBestFactor is the ratio to the lowest cost up to which targets count as
	// equally good. Loads of peers are up to one status period old, so nodes spread
	// their requests over these targets and do not all choose the same one.
	nearBestFactor = 1.15
	// nearBestSlack is added to the bound, so that requests also spread over idle
	// targets, whose costs are low.
	nearBestSlack = 4 * time.Millisecond
	// crossDataCentreCost is the cost of a target in another data centre: a round
	// trip of 1 ms, and traffic between data centres, which is charged by the byte.
	crossDataCentreCost = 6 * time.Millisecond
	// failureCost is the cost of a target at which all attempts fail. A retry takes
	// about as long as the latency objective.
	failureCost = 400 * time.Millisecond
	// plainServiceTime is the typical response time of a plain service. It is used
	// for the cost only.
	plainServiceTime = 20 * time.Millisecond
	// plainRequestsPerSlot is the limit of requests in flight per slot of a replica
	// of a plain service, which queues a few times as many requests as it has slots.
	plainRequestsPerSlot = 2
	// stallTimeout is the time without events after which a stream counts as
	// stalled. A pass of a full engine with as many prompt tokens as it can prefill
	// takes about 290 ms.
	stallTimeout = 450 * time.Millisecond
	// firstEventSlack is added to twice the predicted time to the first event. The
	// sum is the stall timeout of the first event.
	firstEventSlack = 500 * time.Millisecond
)

// place starts an attempt at one of the best targets for a request. It returns
// false if no target is eligible.
func (s *System) place(now time.Duration, active *activeRequest, out *state.Outbox) bool {
	t := s.pickTarget(now, active)
	if t == nil {
		return false
	}
	s.startAttempt(now, active, t, out)
	return true
}

// candidate is an eligible target with its cost for one request.
type candidate struct {
	target *target
	cost   time.Duration
}

// pickTarget draws a target at random among the eligible ones of about the lowest
// cost, or returns nil if there is none.
func (s *System) pickTarget(now time.Duration, active *activeRequest) *target {
	if s.peerLoadsChanged {
		s.sumPeerLoads()
	}
	pick := s.pickNearBest
	if s.hasRelayedCounts() {
		pick = s.pickOnRelayed
	}
	t := pick(now, active)
	if t == nil {
		if s.hasRelayedCounts() && active.attempts == 0 && active.pool.key.model != "" {
			active.nextDrawAt = now + state.PeerStatusPeriod
		}
		return nil
	}
	if share := s.share(now, t); share != nil {
		share.take(now)
	}
	return t
}

// pickNearBest draws one of the eligible targets of about the lowest cost.
func (s *System) pickNearBest(now time.Duration, active *activeRequest) *target {
	var candidates []candidate
	for _, t := range active.pool.targets {
		if s.exclusion(now, t, active) == "" && t.inFlight() < t.capacity() {
			candidates = append(candidates, candidate{t, s.cost(now, t, active) - s.savedTime(now, t, active)})
		}
	}
	candidates = nearBestCandidates(candidates)
	if len(candidates) == 0 {
		return nil
	}
	return candidates[s.tables.Rand.IntN(len(candidates))].target
}

// nearBestCandidates returns the candidates whose cost is close to the lowest
// one. It reuses the given slice.
func nearBestCandidates(candidates []candidate) []candidate {
	best := time.Duration(math.MaxInt64)
	for _, c := range candidates {
		best = min(best, c.cost)
	}
	maxCost := time.Duration(float64(best)*nearBestFactor) + nearBestSlack
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.cost > maxCost })
}

// exclusion names why a target may get no requests now, apart from its load.
type exclusion string

const (
	excludedUnusable exclusion = "unusable"
	excludedStalled  exclusion = "stalled"
	excludedFailed   exclusion = "failed"
	excludedRefused  exclusion = "refused"
	excludedPaused   exclusion = "paused"
	excludedTried    exclusion = "tried"
	excludedBounded  exclusion = "bounded"
)

// exclusion returns why a target may not get a request now, or "". A target that peers
// report as stalled may only while a stream of this node delivers events there. A target
// whose share is used up may not, since it has few requests and would hide the other targets
// by its low cost.
func (s *System) exclusion(now time.Duration, t *target, active *activeRequest) exclusion {
	switch {
	case !t.usable:
		return excludedUnusable
	case t.suspect:
		return excludedStalled
	case now < t.avoidUntil:
		return excludedFailed
	case now < t.fullUntil:
		return excludedRefused
	case s.managed.IsPaused(now, t.id, t.startID):
		return excludedPaused
	case slices.Contains(active.req.TriedTargets, state.TargetID(t.id)):
		return excludedTried
	}
	if s.isStalledAtPeers(t) && !s.hasActiveStream(t) {
		return excludedStalled
	}
	if share := s.share(now, t); share != nil && share.wait(now) > 0 {
		return excludedBounded
	}
	return ""
}

// isStalledAtPeers reports whether peers find a target stalled. A leaf receives those that all
// nodes with streams there find stalled. A hub receives the reports of single nodes and judges
// them itself.
func (s *System) isStalledAtPeers(t *target) bool {
	stalled := s.managed.PeerStalledTargets
	if s.managed.Hubs[s.tables.Self.ID] {
		stalled = s.managed.GloballyStalledTargets
	}
	_, ok := stalled[t.id]
	return ok
}

// capacity returns the number of requests in flight that a target may have.
func (t *target) capacity() int {
	if t.engine == nil {
		return t.slots * plainRequestsPerSlot
	}
	return t.slots
}

// cost returns the predicted time to the first event at a target, plus penalties
// for recent failures and for another data centre.
func (s *System) cost(now time.Duration, t *target, active *activeRequest) time.Duration {
	return s.penalty(now, t) + s.predict(t, active)
}

// predict returns the predicted time to the first event at a target, or to the answer of a
// plain service.
//
// Counts that come through hubs are older than the time to a first event: what peers reported
// as waiting for it runs by now. Otherwise a target with many such requests would get none for
// a status period, and all of those that follow in the next.
func (s *System) predict(t *target, active *activeRequest) time.Duration {
	return s.predictTokens(t, active.req.Arrival.Routed.PromptTokens)
}

// predictTokens returns the same for a prompt of which a number of tokens is computed.
func (s *System) predictTokens(t *target, promptTokens int) time.Duration {
	if t.engine == nil {
		return plainServiceTime * time.Duration(t.inFlight()+1) / time.Duration(t.slots)
	}
	load := t.engineLoad()
	if s.hasRelayedCounts() {
		load = engineLoad{
			Running: t.load.Running + t.peerLoad.Running + t.peerLoad.Waiting, Waiting: t.load.Waiting, WaitingTokens: t.load.WaitingTokens,
		}
	}
	return timeToFirstEvent(t.engine, t.timeFactor, load, promptTokens)
}

// penalty returns the cost of a target for its recent failures and for another data centre.
func (s *System) penalty(now time.Duration, t *target) time.Duration {
	penalty := time.Duration(t.failureRate(now) * float64(failureCost))
	if t.dataCentre != s.tables.Self.DataCentre {
		penalty += crossDataCentreCost
	}
	return penalty
}

// startAttempt sends a request to a target. It logs retries and requests that
// were queued.
func (s *System) startAttempt(now time.Duration, active *activeRequest, t *target, out *state.Outbox) {
	req := active.req
	s.removeFromQueue(active)
	routed := req.Arrival.Routed
	plain, stallAfter := s.predict(t, active), 2*s.cost(now, t, active)+firstEventSlack
	predicted := plain - s.savedTime(now, t, active)
	active.heldTokens = s.heldTokens(now, t, active)
	active.predictedHeld = plain - s.prefillSaved(t, active, active.heldTokens)
	s.countPromptSize(active, t)
	req.Phase, req.Target, req.TargetStartID, req.SentAt = state.RequestSent, state.TargetID(t.id), t.startID, now
	active.attempts++
	req.Attempt = active.attempts
	active.predicted = predicted
	if active.attempts == 1 {
		active.firstSentAt = now
		active.pool.classes.admitted.add(now)
	}
	active.target, active.firstEventSeen, active.stalled = t, false, false
	t.activeRequests[req.Arrival.ID] = active
	t.addLoad(req, false)
	if req.Attempt > 1 {
		s.retryBudget(req.Service).countRetry(now)
		s.tables.Counters.Retries++
	}
	attempt := state.StartAttempt{
		Request: req.Arrival.ID, Attempt: req.Attempt, Target: req.Target, Address: t.address, NewConnection: true,
		Timeout: req.Deadline - now, DecidedAt: now, ExpectedInstance: t.id, StartID: t.startID, Account: req.Account,
		KeepPrevious: len(active.fallbacks) > 0, EndsWithCaller: true,
	}
	if req.Route.Stream {
		attempt.StallAfter, attempt.FirstEventStallAfter = stallTimeout, stallAfter
	}
	out.Add(attempt)
	if req.Attempt > 1 || now > req.ArrivedAt {
		out.Log(event.AttemptStarted, slog.String("request", routed.AttemptID), slog.Int("attempt", req.Attempt),
			slog.String("target", string(t.id)), slog.String("group", string(t.group)), slog.Duration("age", now-req.ArrivedAt),
			slog.Duration("predicted", predicted), slog.Int("in_flight", t.inFlight()))
	}
}

// releaseTarget takes the running attempt of a request out of the load of its
// target, and deletes an unusable target without attempts.
func (s *System) releaseTarget(now time.Duration, active *activeRequest) {
	t := active.target
	if t == nil {
		return
	}
	t.removeLoad(active.req, active.firstEventSeen)
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
