package dispatch

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// targetStallFailoverDelay is the delay between the stall of all streams of a
	// target and the failover of a stream that has delivered events. Another target
	// must prefill the prompt again, which costs more than a short pause.
	targetStallFailoverDelay = 150 * time.Millisecond
	// streamStallFailoverDelay is the delay where other streams of the target still
	// deliver events. In that case the fault may be in one connection only.
	streamStallFailoverDelay = 700 * time.Millisecond
	// misdirectedAvoidTime is how long a target gets no requests after another
	// process answered at its address.
	misdirectedAvoidTime = 2 * time.Second
	// suspectHoldTime is how long a stalled target without attempts gets no new
	// ones. A replica group that has failed is retired within this time.
	suspectHoldTime = 1500 * time.Millisecond
	// targetRefusedRetryAfter is the expected wait for the Retry-After time of a
	// request that did not run at its target and gets no further attempt.
	targetRefusedRetryAfter = 60 * time.Millisecond
)

// handleAttemptEvent handles an event of an attempt. It drops events of attempts
// other than the running one, whose answers are no longer used.
func (s *System) handleAttemptEvent(now time.Duration, ev state.AttemptEvent, out *state.Outbox) {
	if active := s.activeRequests[ev.Request]; active != nil {
		if fallback := active.fallback(ev.Attempt); fallback != nil {
			s.handleFallbackEvent(now, active, fallback, ev, out)
			return
		}
	}
	req := s.tables.Requests.Get(ev.Request)
	if req == nil || !req.IsCurrent(ev) {
		s.tables.Counters.StaleEvents++
		return
	}
	req.AnswerStarted = req.AnswerStarted || ev.AnswerStarted
	active := s.activeRequests[ev.Request]
	if active == nil || active.target == nil {
		if ev.Stage == state.AttemptEnded {
			req.LastEndedAttempt = ev.Attempt
		}
		return
	}
	s.handleStage(now, active, ev, out)
}

// handleStage handles an event of the running attempt.
func (s *System) handleStage(now time.Duration, active *activeRequest, ev state.AttemptEvent, out *state.Outbox) {
	switch ev.Stage {
	case state.AttemptFirstByte:
		if active.firstEventAt == 0 {
			active.firstEventAt, active.firstEventAttempt = now, active.attempts
			s.countFirstEvent(now, active)
			s.countSaving(now, active)
		}
		s.dropFallbacks(now, active, out)
		s.handleFirstEvent(now, active, out)
	case state.AttemptStalled:
		s.handleStall(now, active, out)
	case state.AttemptStallEnded:
		s.clearStall(active, out)
	case state.AttemptEnded:
		s.handleAttemptEnd(now, active, ev, out)
	}
}

func (s *System) handleFirstEvent(now time.Duration, active *activeRequest, out *state.Outbox) {
	t := active.target
	if active.firstEventSeen {
		return
	}
	s.clearStall(active, out)
	active.firstEventSeen = true
	t.removeLoad(active.req, false)
	t.addLoad(active.req, true)
	s.countHeldPrompt(now, active)
}

// handleStall marks an attempt as stalled and schedules its failover. If no other
// stream of the target delivers events, it marks the target as suspect and
// schedules the failover of all its attempts: at once for those without an event,
// after targetStallFailoverDelay for the others. A leader that accepts requests
// but sends nothing indicates that a member of its group died or is unreachable.
func (s *System) handleStall(now time.Duration, active *activeRequest, out *state.Outbox) {
	if active.stalled {
		return
	}
	t := active.target
	active.stalled = true
	t.stalledCount++
	if s.hasActiveStream(t) {
		s.failovers.Schedule(active.req.Arrival.ID, now+streamStallFailoverDelay)
		return
	}
	s.setSuspect(t, true, out)
	s.managed.StalledTargets[t.id] = now
	for _, id := range state.SortedKeys(t.activeRequests) {
		other := t.activeRequests[id]
		switch {
		case !other.firstEventSeen && other != active:
			other.stalled = true
			t.stalledCount++
			s.failovers.Schedule(id, now)
		case !other.firstEventSeen:
			s.failovers.Schedule(id, now)
		default:
			s.failovers.Schedule(id, now+targetStallFailoverDelay)
		}
	}
}

// hasActiveStream reports whether a stream of the target has delivered events
// and is not stalled.
func (s *System) hasActiveStream(t *target) bool {
	for _, active := range t.activeRequests {
		if active.firstEventSeen && !active.stalled {
			return true
		}
	}
	return false
}

// clearStall ends the stall of an attempt that delivers events, and that of its
// target.
func (s *System) clearStall(active *activeRequest, out *state.Outbox) {
	t := active.target
	if active.stalled {
		active.stalled = false
		t.stalledCount--
		s.failovers.Cancel(active.req.Arrival.ID)
	}
	if t.suspect {
		s.setSuspect(t, false, out)
	}
	delete(s.managed.StalledTargets, t.id)
}

// clearSuspects withdraws stall reports that are older than suspectHoldTime,
// except those on suspect targets that still have attempts. A suspect target
// without attempts becomes eligible again, since only a new request can show
// whether it has recovered.
func (s *System) clearSuspects(now time.Duration, out *state.Outbox) {
	for _, id := range slices.Sorted(maps.Keys(s.managed.StalledTargets)) {
		t := s.targets[id]
		if now-s.managed.StalledTargets[id] < suspectHoldTime {
			continue
		}
		if t != nil && t.suspect && len(t.activeRequests) > 0 {
			continue
		}
		if t != nil {
			s.setSuspect(t, false, out)
		}
		delete(s.managed.StalledTargets, id)
	}
}

// setSuspect sets whether a target is suspect, and logs a change unless out is
// nil.
func (s *System) setSuspect(t *target, suspect bool, out *state.Outbox) {
	if t.suspect == suspect {
		return
	}
	t.suspect = suspect
	if out == nil {
		return
	}
	eventID := event.TargetStallEnded
	if suspect {
		eventID = event.TargetStalled
	}
	out.Log(eventID, slog.String("target", string(t.id)), slog.String("group", string(t.group)), slog.Int("streams", len(t.activeRequests)))
}

// failOver starts another attempt of a request whose attempt has stalled and stays open
// as a fallback. It does nothing if the request may not be retried. If no other target is
// eligible, or the retry budget is used up, it tries again after targetStallFailoverDelay.
func (s *System) failOver(now time.Duration, active *activeRequest, out *state.Outbox) {
	if active.req.Route.RetryClass == state.NonIdempotent || !s.hasAttemptsLeft(now, active) {
		return
	}
	if !s.hasRetryBudget(now, active) {
		s.failovers.Schedule(active.req.Arrival.ID, now+targetStallFailoverDelay)
		return
	}
	triedBefore := slices.Clone(active.req.TriedTargets)
	active.req.TriedTargets = append(active.req.TriedTargets, active.req.Target)
	replacement := s.pickTarget(now, active)
	if replacement == nil {
		active.req.TriedTargets = triedBefore
		s.failovers.Schedule(active.req.Arrival.ID, now+targetStallFailoverDelay)
		return
	}
	out.Log(event.AttemptFailed, slog.String("request", active.req.Arrival.Routed.AttemptID), slog.Int("attempt", active.req.Attempt),
		slog.String("target", string(active.target.id)), slog.String("group", string(active.target.group)), slog.String("failure", failureNames[state.FailureInactivityTimeout]),
		slog.Bool("begun", active.firstEventSeen), slog.Duration("age", now-active.req.ArrivedAt), slog.Bool("all_silent", active.target.suspect))
	s.keepAsFallback(active)
	active.req.LastEndedAttempt, active.req.MayHaveRun = active.req.Attempt, true
	s.startAttempt(now, active, replacement, out)
}

// mayRetry reports whether the route's number of attempts, the deadline and the
// retry budget allow one more attempt. A node that no longer admits requests
// starts none.
func (s *System) mayRetry(now time.Duration, active *activeRequest) bool {
	return s.hasAttemptsLeft(now, active) && s.hasRetryBudget(now, active)
}

func (s *System) hasAttemptsLeft(now time.Duration, active *activeRequest) bool {
	return active.attempts-active.unsent < active.req.Route.MaxAttempts && now < active.req.Deadline &&
		(!s.tables.Draining || !s.admissionClosed(now)) && !s.isQuarantined(active.req)
}

func (s *System) hasRetryBudget(now time.Duration, active *activeRequest) bool {
	if s.retryBudget(active.req.Service).remaining(now, newRetryLimit(&s.tables.Self, active.req.Service, s.managed.Nodes.Len(), now)) > 0 {
		return true
	}
	s.tables.Counters.BudgetRefusals++
	return false
}

// retry starts the next attempt of a request, or queues the request if no target
// is eligible.
func (s *System) retry(now time.Duration, active *activeRequest, out *state.Outbox) {
	if !s.place(now, active, out) {
		active.req.Phase, active.queuedAt = state.RequestQueued, now
		active.pool.queue = append(active.pool.queue, active)
	}
}

// handleAttemptEnd ends the request with an answer or a refusal, or retries it.
func (s *System) handleAttemptEnd(now time.Duration, active *activeRequest, ev state.AttemptEvent, out *state.Outbox) {
	req, t := active.req, active.target
	req.LastEndedAttempt = ev.Attempt
	req.MayHaveRun = req.MayHaveRun || ev.Outcome != apierror.NotRun
	s.recordTargetHealth(now, t, ev)
	s.releaseTarget(now, active)
	if ev.Failure == state.FailureNone {
		// A refusal or a lost connection says nothing of how long requests stay.
		active.pool.countResidence(now - req.SentAt)
		s.dropFallbacks(now, active, out)
		s.answer(now, req, ev.AnswerBuffered, ev.LongestGap, out)
		s.placeQueued(now, out)
		return
	}
	s.logAttemptFailure(now, req, t, ev, out)
	if ev.Failure == state.FailureDecisionExpired {
		active.unsent++
	}
	if n := len(active.fallbacks); n > 0 {
		req.TriedTargets = append(req.TriedTargets, req.Target)
		s.resume(now, active, active.fallbacks[n-1], out)
		s.placeQueued(now, out)
		return
	}
	if s.isRetryable(req, ev) && s.mayRetry(now, active) {
		req.TriedTargets = append(req.TriedTargets, req.Target)
		s.retry(now, active, out)
		return
	}
	if ev.AnswerBuffered {
		s.answer(now, req, true, 0, out)
		return
	}
	s.refuse(now, req, s.failureRefusal(now, active), out)
	s.placeQueued(now, out)
}

func (s *System) logAttemptFailure(now time.Duration, req *state.Request, t *target, ev state.AttemptEvent, out *state.Outbox) {
	out.Log(event.AttemptFailed, appendParts([]slog.Attr{
		slog.String("request", req.Arrival.Routed.AttemptID), slog.Int("attempt", ev.Attempt),
		slog.String("fingerprint", fingerprint(req)),
		slog.String("target", string(t.id)), slog.String("group", string(t.group)), slog.String("failure", failureNames[ev.Failure]),
		slog.String("outcome", string(ev.Outcome)), slog.Int("status", ev.Status), slog.Int("events", ev.EventCount),
		slog.Duration("age", now-req.ArrivedAt), slog.String("at_fault", string(ev.FaultyHost)),
	}, req.Arrival.Routed, ev)...)
}

// isRetryable reports whether the retry class of the route allows another attempt
// after the given end of an attempt. Any request that has not run may be retried.
func (s *System) isRetryable(req *state.Request, ev state.AttemptEvent) bool {
	switch {
	case req.CallerDisconnected || ev.Failure == state.FailureCancelled:
		return false
	case !req.MayHaveRun:
		return true
	case req.Route.RetryClass == state.Idempotent:
		return !req.AnswerStarted
	case req.Route.RetryClass == state.Resumable:
		return ev.Failure != state.FailureTargetError
	}
	return false
}

// recordTargetHealth updates the failure rate, the avoid times and the stall
// report of a target after the end of an attempt. Cancelled attempts and attempts
// that this node did not send carry no information about the target. A target that may have
// ended is no longer known to hold any prompt.
func (s *System) recordTargetHealth(now time.Duration, t *target, ev state.AttemptEvent) {
	if ev.Failure == state.FailureCancelled || ev.Failure == state.FailureDecisionExpired {
		return
	}
	t.countEnd(now, ev.Failure != state.FailureNone)
	switch {
	case ev.Misdirected:
		t.avoidUntil = now + misdirectedAvoidTime
		s.managed.StalledTargets[t.id] = now
		t.forget()
	case ev.FaultyHost != "":
		t.avoidUntil = now + failureAvoidTime
		s.managed.StalledTargets[t.id] = now
		t.forget()
	case ev.Failure == state.FailureTargetRefused:
		t.fullUntil = now + fullAvoidTime
	case ev.Failure == state.FailureConnect, ev.Failure == state.FailureConnectionLost && t.engine != nil:
		t.avoidUntil = now + failureAvoidTime
		s.managed.StalledTargets[t.id] = now
		t.forget()
	}
}

// failureRefusal returns the error for a request whose last attempt failed.
func (s *System) failureRefusal(now time.Duration, active *activeRequest) *apierror.Error {
	if s.isQuarantined(active.req) {
		return s.quarantineRefusal(now, active.req)
	}
	if !active.req.MayHaveRun {
		return unavailable("target_refused",
			"the target did not run the request; send it again").WithRetryAfter(s.retryAfter(active, now, targetRefusedRetryAfter))
	}
	return apierror.New(apierror.KindTargetLost, "target_lost",
		"the target failed and the request may have run; check before sending it again", apierror.Unknown)
}

var failureNames = map[state.AttemptFailure]string{
	state.FailureConnect: "connect", state.FailureConnectionLost: "broken", state.FailureInactivityTimeout: "silent",
	state.FailureTargetRefused: "refused", state.FailureTargetError: "target", state.FailureCancelled: "cancelled",
	state.FailureDecisionExpired: "held_up",
}
