package dispatch

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// firstPauseEnd returns when the first target of a pool is available again, if the
// only targets that are usable have asked for a pause.
func (s *System) firstPauseEnd(now time.Duration, pool *targetPool) (time.Duration, bool) {
	if s.hasAvailableTarget(now, pool) {
		return 0, false
	}
	first, paused := time.Duration(0), false
	for _, t := range pool.targets {
		if end, ok := s.managed.PauseEnd(now, t.id, t.startID); ok && t.usable && !t.suspect {
			end = max(end, t.avoidUntil)
			if !paused || end < first {
				first, paused = end, true
			}
		}
	}
	return first, paused
}

// isAwaitingPauseEnd reports whether a request may stay in the queue because a target
// ends its pause while the objective of the request can still be met.
func (s *System) isAwaitingPauseEnd(now time.Duration, active *activeRequest) bool {
	end, paused := s.firstPauseEnd(now, active.pool)
	return paused && end-active.req.ArrivedAt <= maxExpectedWait(active.req)
}

// maxExpectedWait returns how long a request may be expected to wait for a target.
func maxExpectedWait(req *state.Request) time.Duration {
	return time.Duration(float64(req.Route.LatencyObjective) * maxExpectedWaitRatio)
}

// refuseDuringPause refuses a request that arrives while all targets pause and whose
// objective does not allow it to wait. It returns false for any other request.
//
// Load pattern: the only replica of a plain service, or all of them, turn requests
// away and ask for a pause. Each request that is offered to them during the pause is
// lost work for both sides, and each caller that is told to return before its end is
// refused again. Requests whose objective allows it wait for the end of the first
// pause. All others are refused at once, and their callers return after it, spread
// over some time.
func (s *System) refuseDuringPause(now time.Duration, active *activeRequest, out *state.Outbox) bool {
	end, paused := s.firstPauseEnd(now, active.pool)
	if !paused || s.isAwaitingPauseEnd(now, active) {
		return false
	}
	s.refuse(now, active.req, unavailable("targets_paused",
		"all targets asked for a pause; send the request again after the given time").WithRetryAfter(s.retryAfterPause(now, end)), out,
		slog.Duration("pause", end-now))
	return true
}

// retryAfterPause returns a Retry-After time between the end of a pause and half as
// much later. It is not shortened to what the caller's deadline allows, because a
// request that returns during the pause is refused again.
func (s *System) retryAfterPause(now, end time.Duration) time.Duration {
	wait := end - now
	return wait + time.Duration(s.tables.Rand.Int64N(int64(max(wait/2, minRetryAfter))))
}
