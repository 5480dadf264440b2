package dispatch

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// maxExpectedWaitRatio is the largest expected wait of a request in the queue, as
	// a fraction of its latency objective. The rest is left for the prefill.
	maxExpectedWaitRatio = 0.6
	// maxQueueTimeRatio is the age, as a fraction of the latency objective, after
	// which a request that still finds no target is refused and retried later by its
	// caller.
	maxQueueTimeRatio = 1.0
	// Callers of the platform abandon a stream after a pause of minAbandonTime, of
	// abandonObjectives latency objectives or of abandonGaps of the route's longest
	// pauses between events, whichever is longest.
	minAbandonTime    = 2 * time.Second
	abandonObjectives = 4
	abandonGaps       = 8
	// minRetryAfter and maxRetryAfter bound the wait from which the Retry-After time is
	// drawn. Callers wait for at most a third of the time left until their deadline.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// noTargetRetryAfter is the expected wait for the Retry-After time if no target
	// is available. The repair of a replica group with hosts that have its model
	// staged takes about this long.
	noTargetRetryAfter = 1500 * time.Millisecond
)

// enqueue queues a request for which no target is eligible, or refuses it at once
// if no target is available or the expected wait is too long.
//
// Load pattern: a burst of 1.5 to 1.7 times the usual traffic for some seconds.
// An unbounded first-in-first-out queue then makes all requests late. Refusing
// the requests that would miss their objective keeps the others on time, and
// their callers retry after the burst.
func (s *System) enqueue(now time.Duration, active *activeRequest, out *state.Outbox) {
	pool := active.pool
	if s.refuseDuringPause(now, active, out) {
		return
	}
	if !s.hasAvailableTarget(now, pool) && !s.isAwaitingPauseEnd(now, active) {
		s.refuse(now, active.req, unavailable("no_target",
			"no target is available for this request; send it again").WithRetryAfter(s.retryAfter(active, now, noTargetRetryAfter)), out)
		return
	}
	expected := s.expectedWait(now, active, len(pool.queue)+1)
	if expected > maxExpectedWait(active.req) {
		s.refuse(now, active.req, overloaded().WithRetryAfter(s.overloadRetryAfter(active, now, expected)), out, s.overloadAttrs(now, active, expected)...)
		return
	}
	active.req.Phase = state.RequestQueued
	pool.queue = append(pool.queue, active)
	out.Log(event.RequestQueued, slog.String("request", active.req.Arrival.Routed.AttemptID), slog.Int("ahead", len(pool.queue)-1),
		slog.Duration("expected", expected))
}

// overloadAttrs returns the log attributes that explain a refusal for overload.
func (s *System) overloadAttrs(now time.Duration, active *activeRequest, expected time.Duration) []slog.Attr {
	pool := active.pool
	inFlight, slots := 0, 0
	excluded := map[exclusion]int{}
	for _, t := range pool.targets {
		inFlight += t.inFlight()
		slots += t.slots
		if reason := s.exclusion(now, t, active); reason != "" {
			excluded[reason]++
		}
	}
	attrs := []slog.Attr{
		slog.Duration("expected", expected), slog.Int("waiting", len(pool.queue)), slog.Int("targets", len(pool.targets)),
		slog.Int("in_flight", inFlight), slog.Int("slots", slots),
	}
	if s.hasRelayedCounts() {
		a := s.admission(now, active)
		attrs = append(attrs, slog.Float64("placed", a.placed), slog.Float64("arrivals", a.arrivals), slog.Duration("fixed_latency", pool.fixedLatency.value))
	}
	for _, reason := range state.SortedKeys(excluded) {
		attrs = append(attrs, slog.Int("excluded_"+string(reason), excluded[reason]))
	}
	return attrs
}

// hasAvailableTarget reports whether any target of a pool is usable, not stalled
// and not avoided after a failure. The target may be full.
func (s *System) hasAvailableTarget(now time.Duration, pool *targetPool) bool {
	for _, t := range pool.targets {
		if t.usable && !t.suspect && now >= t.avoidUntil && !s.managed.IsPaused(now, t.id, t.startID) {
			return true
		}
	}
	return false
}

// expectedWait returns the time until a target becomes free for the request at a
// position in the queue of a pool, at the recent rate of ended attempts of this
// node, and not before boundedWait. That rate counts as no wait if none has ended.
func (s *System) expectedWait(now time.Duration, active *activeRequest, position int) time.Duration {
	pool := active.pool
	bounded := s.boundedWait(now, pool, position)
	if s.hasRelayedCounts() {
		return max(bounded, s.roomWait(now, active))
	}
	pool.attemptEndRate.decay(now)
	if pool.attemptEndRate.perSecond <= 0 {
		return bounded
	}
	return max(bounded, time.Duration(float64(position)/pool.attemptEndRate.perSecond*float64(time.Second)))
}

// retryAfter returns a Retry-After time between half and one and a half times the
// expected wait, so that refused callers do not retry all at once. The wait lies
// within minRetryAfter and maxRetryAfter, and the result is at most a third of the
// time left until the deadline.
func (s *System) retryAfter(active *activeRequest, now, expected time.Duration) time.Duration {
	expected = min(max(expected, minRetryAfter), maxRetryAfter)
	jittered := expected/2 + time.Duration(s.tables.Rand.Int64N(int64(expected)))
	return min(jittered, (active.req.Deadline-now)/3)
}

// overloadRetryAfter returns the Retry-After time of a request that finds no room.
//
// Load pattern: many nodes refuse the requests that exceed the room of all targets for some
// seconds. Their answers are late in any case, and callers return once or twice. If they
// return within a few status periods, the same load refuses them again; room changes in the
// time in which streams end.
func (s *System) overloadRetryAfter(active *activeRequest, now, expected time.Duration) time.Duration {
	if s.hasRelayedCounts() && active.pool.key.model != "" {
		expected = max(expected, active.pool.residence())
	}
	return s.retryAfter(active, now, expected)
}

// placeQueued starts attempts for queued requests, most urgent first, and refuses
// the rest if they have waited too long or their pool has no available target.
func (s *System) placeQueued(now time.Duration, out *state.Outbox) {
	for _, pool := range s.poolOrder {
		if len(pool.queue) == 0 {
			continue
		}
		for _, active := range sortByUrgency(now, pool.queue) {
			if now >= active.nextDrawAt && s.place(now, active, out) {
				continue
			}
			if s.isWaitUseless(now, active) {
				expected := s.expectedWait(now, active, len(pool.queue))
				s.refuse(now, active.req, overloaded().WithRetryAfter(s.overloadRetryAfter(active, now, max(expected, minRetryAfter))), out, s.overloadAttrs(now, active, expected)...)
			}
		}
	}
}

// isWaitUseless reports whether a queued request is to be refused: it has waited too
// long, or no target is available. An answer that has begun can only be continued or cut
// off, so its request waits for as long as its caller does.
//
// Load pattern: a full group is lost, and for a second or so the other groups have fewer
// free slots than there are streams to continue. All these streams are older than the
// latency objective, which ends with the first event.
func (s *System) isWaitUseless(now time.Duration, active *activeRequest) bool {
	if active.hasBegun() {
		return now-active.queuedAt > abandonTime(active.req.Route)
	}
	return s.hasWaitedTooLong(now, active) || !s.hasAvailableTarget(now, active.pool) && !s.isAwaitingPauseEnd(now, active)
}

// abandonTime returns how long the caller of a stream waits for its next event.
func abandonTime(route *state.Route) time.Duration {
	return max(minAbandonTime, abandonObjectives*route.LatencyObjective, abandonGaps*route.MaxEventGap)
}

// hasWaitedTooLong reports whether a request has missed its latency objective in
// the queue. Its answer would be of little use to the caller, and serving it would
// make other requests miss their objectives.
func (s *System) hasWaitedTooLong(now time.Duration, active *activeRequest) bool {
	return now-active.req.ArrivedAt > time.Duration(float64(active.req.Route.LatencyObjective)*maxQueueTimeRatio)
}

// sortByUrgency returns queued requests in the order in which they get a target:
// first those whose answer has begun, then those whose objective has not passed, then
// the late ones, each by priority and by the end of the objective. A free slot goes to
// the most urgent request and not to the oldest.
func sortByUrgency(now time.Duration, queued []*activeRequest) []*activeRequest {
	sorted := slices.Clone(queued)
	slices.SortStableFunc(sorted, func(a, b *activeRequest) int {
		if a.hasBegun() != b.hasBegun() {
			if a.hasBegun() {
				return -1
			}
			return 1
		}
		if aLate, bLate := now > a.objectiveEnd, now > b.objectiveEnd; aLate != bLate {
			if aLate {
				return 1
			}
			return -1
		}
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(a.objectiveEnd - b.objectiveEnd)
	})
	return sorted
}

func (s *System) removeFromQueue(active *activeRequest) {
	pool := active.pool
	if i := slices.Index(pool.queue, active); i >= 0 {
		pool.queue = slices.Delete(pool.queue, i, i+1)
	}
}

func overloaded() *apierror.Error {
	return apierror.New(apierror.KindOverloaded, "overloaded",
		"all targets are full; send the request again after the given time", apierror.NotRun)
}
