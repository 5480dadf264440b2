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
	// sampleSize is the number of randomly drawn targets among which the best one is
	// chosen if there are more than MaxFullMeshNodes nodes. Of these, localSampleSize are
	// of the node's own data centre, if it has as many.
	sampleSize      = 3
	localSampleSize = 2
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
	if len(candidates) == 0 {
		return nil
	}
	t := candidates[s.tables.Rand.IntN(len(candidates))].target
	if share := s.share(now, t); share != nil {
		share.take(now)
	}
	return t
}

// sample returns up to sampleSize candidates, drawn at random. Most of them are of the
// node's own data centre, because bytes between data centres are charged: with five data
// centres, four of five requests crossed from one to another. A target elsewhere that is
// less loaded is still found.
//
// Load pattern: 79 nodes with 30 groups, where loads of peers are 200 to 300 ms
// old. Three requests per group arrive in that time. If all nodes send them to
// the few groups that were best, each of these gets twenty, and half of the
// requests miss their objective at three quarters of the full load. With the best
// of a random sample, a group gets at most sampleSize times its share.
func (s *System) sample(candidates []candidate) []candidate {
	s.tables.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	drawn, local := 0, 0
	for i := range candidates {
		if drawn == sampleSize {
			break
		}
		isLocal := candidates[i].target.dataCentre == s.tables.Self.DataCentre
		if isLocal && local == localSampleSize || !isLocal && drawn-local == sampleSize-localSampleSize {
			continue
		}
		if isLocal {
			local++
		}
		candidates[drawn], candidates[i] = candidates[i], candidates[drawn]
		drawn++
	}
	// Fewer are drawn if one of the two kinds is too rare. The others are in random order.
	return candidates[:min(sampleSize, len(candidates))]
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

// isEligible reports whether a target may get a request now. A target that peers
// report as stalled is eligible only while a stream of this node delivers events
// there. A target whose share is used up is not, since it has few requests and would
// hide the other targets by its low cost.
func (s *System) isEligible(now time.Duration, t *target, active *activeRequest) bool {
	if !t.usable || t.suspect || now < t.avoidUntil || now < t.fullUntil || s.managed.IsPaused(now, t.id, t.startID) {
		return false
	}
	if _, stalled := s.managed.PeerStalledTargets[t.id]; stalled && !s.hasActiveStream(t) {
		return false
	}
	if slices.Contains(active.req.TriedTargets, state.TargetID(t.id)) {
		return false
	}
	slots := t.slots
	if t.engine == nil {
		slots *= plainRequestsPerSlot
	}
	if t.inFlight() >= slots {
		return false
	}
	share := s.share(now, t)
	return share == nil || share.wait(now) == 0
}

// cost returns the predicted time to the first event at a target, plus penalties
// for recent failures and for another data centre.
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

// startAttempt sends a request to a target. It logs retries and requests that
// were queued.
func (s *System) startAttempt(now time.Duration, active *activeRequest, t *target, out *state.Outbox) {
	req := active.req
	s.removeFromQueue(active)
	routed := req.Arrival.Routed
	predicted := s.cost(now, t, active)
	req.Phase, req.Target, req.TargetStartID, req.SentAt = state.RequestSent, state.TargetID(t.id), t.startID, now
	active.attempts++
	req.Attempt = active.attempts
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
		attempt.StallAfter, attempt.FirstEventStallAfter = stallTimeout, 2*predicted+firstEventSlack
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
