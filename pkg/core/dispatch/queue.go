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
	// maxExpectedWaitRatio is the part of the objective that a request may be predicted to
	// wait. The rest is for reading the prompt.
	maxExpectedWaitRatio = 0.6
	// maxQueueTimeRatio bounds the wait of a request that has missed its objective, as a
	// part of the objective. What then finds no place comes back later.
	maxQueueTimeRatio = 1.0
	// minRetryAfter and maxRetry bound the time to come back after. Callers take up to
	// a third of the time that they have left.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// noTargetRetryAfter is the time to come back after where no target serves at all: a
	// replica group is mended from staged hosts in about this time.
	noTargetRetryAfter = 1500 * time.Millisecond
)

// enqueue queues a request that finds no place, or refuses it at once if its place
// would come too late.
//
// Load pattern: a burst of 1.5 to 1.7 times the usual traffic for some seconds.
// A first-in-first-out queue then makes all requests late; refusing what would
// miss its objective keeps the others on time, and what is refused comes back
// after the burst.
func (s *System) enqueue(now time.Duration, active *activeRequest, out *state.Outbox) {
	pool := active.pool
	if !s.hasAvailableTarget(now, pool) {
		s.refuse(now, active.req, unavailable("no_target",
			"no target serves this now; send the request again").WithRetryAfter(s.retryAfter(active, now, noTargetRetryAfter)), out)
		return
	}
	expected := s.expectedWait(now, pool, len(pool.queue)+1)
	maxWait := time.Duration(float64(active.req.Route.LatencyObjective) * maxExpectedWaitRatio)
	if expected > maxWait {
		s.refuse(now, active.req, overloaded().WithRetryAfter(s.retryAfter(active, now, expected)), out, s.overloadAttrs(pool, expected)...)
		return
	}
	active.req.Phase = state.RequestQueued
	pool.queue = append(pool.queue, active)
	out.Log(event.RequestQueued, slog.String("request", active.req.Arrival.Routed.AttemptID), slog.Int("ahead", len(pool.queue)-1),
		slog.Duration("expected", expected))
}

// overloadAttrs is what a refusal for want of room rests on.
func (s *System) overloadAttrs(pool *targetPool, expected time.Duration) []slog.Attr {
	inFlight, slots := 0, 0
	for _, t := range pool.targets {
		inFlight += t.inFlight()
		slots += t.slots
	}
	return []slog.Attr{
		slog.Duration("expected", expected), slog.Int("waiting", len(pool.queue)), slog.Int("targets", len(pool.targets)),
		slog.Int("in_flight", inFlight), slog.Int("slots", slots),
	}
}

// hasAvailableTarget reports whether any target of a class is known that is not silent.
func (s *System) hasAvailableTarget(now time.Duration, pool *targetPool) bool {
	for _, t := range pool.targets {
		if t.usable && !t.suspect && now >= t.avoidUntil {
			return true
		}
	}
	return false
}

// expectedWait is the time in which a number of requests of a class end at this
// node, at the rate of the last seconds.
func (s *System) expectedWait(now time.Duration, pool *targetPool, position int) time.Duration {
	pool.attemptEndRate.decay(now)
	if pool.attemptEndRate.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(position) / pool.attemptEndRate.perSecond * float64(time.Second))
}

// retryAfter returns a time to come back after around an expected wait, so that
// refused callers do not come back all at once, and within what the caller has.
func (s *System) retryAfter(active *activeRequest, now, expected time.Duration) time.Duration {
	jittered := expected/2 + time.Duration(s.tables.Rand.Int64N(int64(max(expected, time.Millisecond))))
	limit := (active.req.Deadline - now) / 3
	return max(min(jittered, maxRetryAfter, limit), min(minRetryAfter, limit))
}

// placeQueued places what waits, best first, and refuses what has waited too
// long.
func (s *System) placeQueued(now time.Duration, out *state.Outbox) {
	for _, pool := range s.poolOrder {
		if len(pool.queue) == 0 {
			continue
		}
		for _, active := range sortByUrgency(now, pool.queue) {
			if s.place(now, active, out) {
				continue
			}
			if s.hasWaitedTooLong(now, active) || !s.hasAvailableTarget(now, pool) {
				expected := s.expectedWait(now, pool, len(pool.queue))
				s.refuse(now, active.req, overloaded().WithRetryAfter(s.retryAfter(active, now, max(expected, minRetryAfter))), out, s.overloadAttrs(pool, expected)...)
			}
		}
	}
}

// hasWaitedTooLong reports whether a request has waited in vain: its objective is
// missed, so that it serves its caller little now and would keep others from
// theirs.
func (s *System) hasWaitedTooLong(now time.Duration, active *activeRequest) bool {
	return now-active.req.ArrivedAt > time.Duration(float64(active.req.Route.LatencyObjective)*maxQueueTimeRatio)
}

// sortByUrgency returns waiting requests in the order in which they are placed: those
// that can still be on time by priority and then by the end of their objective,
// and after them the late ones. A slot that frees goes to the best, not to the
// oldest.
func sortByUrgency(now time.Duration, waiting []*activeRequest) []*activeRequest {
	sorted := slices.Clone(waiting)
	slices.SortStableFunc(sorted, func(a, b *activeRequest) int {
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
