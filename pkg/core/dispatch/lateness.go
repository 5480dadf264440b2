package dispatch

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// lateness names the part of a request's way in which its answer became late. It is empty
// for an answer that met its objectives.
type lateness string

const (
	// lateInQueue is an answer whose request had waited here for longer than the target
	// was predicted to leave of the objective.
	lateInQueue lateness = "queue"
	// lateAfterFailure is an answer whose first event is that of a further attempt.
	lateAfterFailure lateness = "retry"
	// lateFirstEvent is an answer whose target took longer than predicted, or was chosen
	// although it would take too long.
	lateFirstEvent lateness = "first_event"
	// lateEvent is a stream whose first event was in time and a later one was not.
	lateEvent lateness = "gap"
)

// latenessCause returns why an answer missed the objectives of its route. Each cause has
// another remedy: more room, a better choice of targets, or less load on one target.
func latenessCause(req *state.Request, active *activeRequest, firstEventAt, longestGap time.Duration) lateness {
	objective := req.Route.LatencyObjective
	attempt := active.firstEventAttempt
	if attempt == 0 {
		// An answer that is no stream is that of the last attempt.
		attempt = active.attempts
	}
	switch {
	case objective <= 0:
		return ""
	case firstEventAt-req.ArrivedAt <= objective:
		if req.Route.MaxEventGap > 0 && longestGap > req.Route.MaxEventGap {
			return lateEvent
		}
		return ""
	case attempt > 1:
		return lateAfterFailure
	case active.firstSentAt-req.ArrivedAt > max(objective-active.predicted, 0):
		return lateInQueue
	}
	return lateFirstEvent
}
