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
	// waitShare is the part of the objective that a request may be predicted to
	// wait. The rest is for reading the prompt.
	waitShare = 0.6
	// lateWait bounds the wait of a request that has missed its objective, as a
	// part of the objective. What then finds no place comes back later.
	lateWait = 1.0
	// minRetry and maxRetry bound the time to come back after. Callers take up to
	// a third of the time that they have left.
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
	// repairRetry is the time to come back after where no target serves at all: a
	// replica group is mended from staged hosts in about this time.
	repairRetry = 1500 * time.Millisecond
)

// wait queues a request that finds no place, or refuses it at once if its place
// would come too late.
//
// Load pattern: a burst of 1.5 to 1.7 times the usual traffic for some seconds.
// A first-in-first-out queue then makes all requests late; refusing what would
// miss its objective keeps the others on time, and what is refused comes back
// after the burst.
func (s *System) wait(now time.Duration, j *job, out *state.Outbox) {
	c := j.class
	if !s.mayServe(now, c) {
		s.refuse(now, j.req, unavailable("no_target",
			"no target serves this now; send the request again").WithRetryAfter(s.spread(j, now, repairRetry)), out)
		return
	}
	expected := s.expectedWait(now, c, len(c.waiting)+1)
	bound := time.Duration(float64(j.req.Route.LatencyObjective) * waitShare)
	if expected > bound {
		s.refuse(now, j.req, overloaded().WithRetryAfter(s.spread(j, now, expected)), out, s.crowd(c, expected)...)
		return
	}
	j.req.Phase = state.RequestQueued
	c.waiting = append(c.waiting, j)
	out.Log(event.RequestQueued, slog.String("request", j.req.Arrival.Routed.AttemptID), slog.Int("ahead", len(c.waiting)-1),
		slog.Duration("expected", expected))
}

// crowd is what a refusal for want of room rests on.
func (s *System) crowd(c *class, expected time.Duration) []slog.Attr {
	inFlight, slots := 0, 0
	for _, t := range c.targets {
		inFlight += t.inFlight()
		slots += t.slots
	}
	return []slog.Attr{
		slog.Duration("expected", expected), slog.Int("waiting", len(c.waiting)), slog.Int("targets", len(c.targets)),
		slog.Int("in_flight", inFlight), slog.Int("slots", slots),
	}
}

// mayServe reports whether any target of a class is known that is not silent.
func (s *System) mayServe(now time.Duration, c *class) bool {
	for _, t := range c.targets {
		if t.usable && !t.suspect && now >= t.avoidUntil {
			return true
		}
	}
	return false
}

// expectedWait is the time in which a number of requests of a class end at this
// node, at the rate of the last seconds.
func (s *System) expectedWait(now time.Duration, c *class, position int) time.Duration {
	c.rate.decay(now)
	if c.rate.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(position) / c.rate.perSecond * float64(time.Second))
}

// spread returns a time to come back after around an expected wait, so that
// refused callers do not come back all at once, and within what the caller has.
func (s *System) spread(j *job, now, expected time.Duration) time.Duration {
	after := expected/2 + time.Duration(s.t.Rand.Int64N(int64(max(expected, time.Millisecond))))
	left := (j.req.Deadline - now) / 3
	return max(min(after, maxRetry, left), min(minRetry, left))
}

// serveWaiting places what waits, best first, and refuses what has waited too
// long.
func (s *System) serveWaiting(now time.Duration, out *state.Outbox) {
	for _, c := range s.order {
		if len(c.waiting) == 0 {
			continue
		}
		for _, j := range ranked(now, c.waiting) {
			if s.place(now, j, out) {
				continue
			}
			if s.isTooLate(now, j) || !s.mayServe(now, c) {
				expected := s.expectedWait(now, c, len(c.waiting))
				s.refuse(now, j.req, overloaded().WithRetryAfter(s.spread(j, now, max(expected, minRetry))), out, s.crowd(c, expected)...)
			}
		}
	}
}

// isTooLate reports whether a request has waited in vain: its objective is
// missed, so that it serves its caller little now and would keep others from
// theirs.
func (s *System) isTooLate(now time.Duration, j *job) bool {
	return now-j.req.ArrivedAt > time.Duration(float64(j.req.Route.LatencyObjective)*lateWait)
}

// ranked returns waiting requests in the order in which they are placed: those
// that can still be on time by priority and then by the end of their objective,
// and after them the late ones. A slot that frees goes to the best, not to the
// oldest.
func ranked(now time.Duration, waiting []*job) []*job {
	out := slices.Clone(waiting)
	slices.SortStableFunc(out, func(a, b *job) int {
		if la, lb := now > a.objective, now > b.objective; la != lb {
			if la {
				return 1
			}
			return -1
		}
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(a.objective - b.objective)
	})
	return out
}

func (s *System) leaveQueue(j *job) {
	c := j.class
	if i := slices.Index(c.waiting, j); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
}

func overloaded() *apierror.Error {
	return apierror.New(apierror.KindOverloaded, "overloaded",
		"all targets are full; send the request again after the given time", apierror.NotRun)
}
