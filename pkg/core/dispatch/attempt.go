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
	// moveAfter is how much longer a begun stream waits at a target whose streams
	// are all silent before it goes on elsewhere. Its prompt must be read again
	// there, so a short pause is better sat out.
	moveAfter = 150 * time.Millisecond
	// aloneAfter is the same where other streams of the target go on: only the
	// connection may be silent then.
	aloneAfter = 700 * time.Millisecond
	// misdirectedTime is for how long a target is avoided whose address belongs to
	// another process.
	misdirectedTime = 2 * time.Second
	// suspectTime is for how long a silent target that has no attempts any more
	// gets no new ones. A group that does not stand is retired meanwhile.
	suspectTime = 1500 * time.Millisecond
	// refusedRetry is the time to come back after where a target refused a request
	// that may be sent to no other.
	refusedRetry = 60 * time.Millisecond
)

// attempted handles progress of an attempt. Events of another attempt than the
// running one are dropped: their answer belongs to nobody.
func (s *System) attempted(now time.Duration, ev state.AttemptEvent, out *state.Outbox) {
	req := s.t.Requests.Get(ev.Request)
	if req == nil || !req.IsCurrent(ev) {
		s.t.Counters.StaleEvents++
		return
	}
	req.AnswerStarted = req.AnswerStarted || ev.AnswerStarted
	j := s.jobs[ev.Request]
	if j == nil || j.at == nil {
		if ev.Stage == state.AttemptEnded {
			req.LastEndedAttempt = ev.Attempt
		}
		return
	}
	switch ev.Stage {
	case state.AttemptFirstByte:
		if j.firstAt == 0 {
			j.firstAt = now
		}
		s.began(j, out)
	case state.AttemptStalled:
		s.stalled(now, j, out)
	case state.AttemptStallEnded:
		s.flows(j, out)
	case state.AttemptEnded:
		s.attemptEnded(now, j, ev, out)
	}
}

func (s *System) began(j *job, out *state.Outbox) {
	t := j.at
	if j.begun {
		return
	}
	s.flows(j, out)
	j.begun = true
	t.load.Waiting--
	t.load.WaitingTokens -= j.req.Arrival.Routed.PromptTokens
	t.load.Running++
}

// stalled marks the target as suspect when nothing of it that has begun still
// flows. A member that died or was cut off shows so: the leader takes requests
// and sends nothing.
func (s *System) stalled(now time.Duration, j *job, out *state.Outbox) {
	if j.stalled {
		return
	}
	t := j.at
	j.stalled = true
	t.stalled++
	if s.flowsElsewhere(t) {
		s.moves.Schedule(j.req.Arrival.ID, now+aloneAfter)
		return
	}
	s.setSuspect(t, true, out)
	s.m.StalledTargets[t.id] = now
	for _, id := range state.SortedKeys(t.jobs) {
		other := t.jobs[id]
		switch {
		case !other.begun && other != j:
			other.stalled = true
			t.stalled++
			s.moves.Schedule(id, now)
		case !other.begun:
			s.moves.Schedule(id, now)
		default:
			s.moves.Schedule(id, now+moveAfter)
		}
	}
}

// flowsElsewhere reports whether another stream of the target that has begun is
// not silent.
func (s *System) flowsElsewhere(t *target) bool {
	for _, j := range t.jobs {
		if j.begun && !j.stalled {
			return true
		}
	}
	return false
}

func (s *System) flows(j *job, out *state.Outbox) {
	t := j.at
	if j.stalled {
		j.stalled = false
		t.stalled--
		s.moves.Cancel(j.req.Arrival.ID)
	}
	if t.suspect {
		s.setSuspect(t, false, out)
	}
	delete(s.m.StalledTargets, t.id)
}

// clearSuspects lets targets have a new request on trial once no attempt is
// left there, and takes back words on targets that are not silent any more.
func (s *System) clearSuspects(now time.Duration, out *state.Outbox) {
	for _, id := range slices.Sorted(maps.Keys(s.m.StalledTargets)) {
		t := s.targets[id]
		if now-s.m.StalledTargets[id] < suspectTime {
			continue
		}
		if t != nil && t.suspect && len(t.jobs) > 0 {
			continue
		}
		if t != nil {
			s.setSuspect(t, false, out)
		}
		delete(s.m.StalledTargets, id)
	}
}

func (s *System) setSuspect(t *target, suspect bool, out *state.Outbox) {
	if t.suspect == suspect {
		return
	}
	t.suspect = suspect
	if out == nil {
		return
	}
	id := event.TargetStallEnded
	if suspect {
		id = event.TargetStalled
	}
	out.Log(id, slog.String("target", string(t.id)), slog.String("group", string(t.group)), slog.Int("streams", len(t.jobs)))
}

// move takes a silent attempt from its target and goes on elsewhere, where the
// request allows it.
func (s *System) move(now time.Duration, j *job, out *state.Outbox) {
	if j.req.Route.RetryClass == state.NonIdempotent || !s.mayRepeat(now, j) {
		return
	}
	tried := slices.Clone(j.req.TriedTargets)
	j.req.TriedTargets = append(j.req.TriedTargets, j.req.Target)
	if s.pick(now, j) == nil {
		j.req.TriedTargets = tried
		s.moves.Schedule(j.req.Arrival.ID, now+moveAfter)
		return
	}
	out.Add(state.CancelAttempt{Request: j.req.Arrival.ID, Attempt: j.req.Attempt})
	out.Log(event.AttemptFailed, slog.String("request", j.req.Arrival.Routed.AttemptID), slog.Int("attempt", j.req.Attempt),
		slog.String("target", string(j.at.id)), slog.String("group", string(j.at.group)), slog.String("failure", failureNames[state.FailureInactivityTimeout]),
		slog.Bool("begun", j.begun), slog.Duration("age", now-j.req.ArrivedAt), slog.Bool("all_silent", j.at.suspect))
	j.req.LastEndedAttempt, j.req.MayHaveRun = j.req.Attempt, true
	s.release(now, j)
	s.again(now, j, out)
}

// mayRepeat reports whether the route and the budget allow one more attempt.
func (s *System) mayRepeat(now time.Duration, j *job) bool {
	if j.req.Attempt >= j.req.Route.MaxAttempts || now >= j.req.Deadline || s.t.Draining && s.closed(now) {
		return false
	}
	if s.budget(j.req.Service).left(now, s.m.Nodes.Len()) <= 0 {
		s.t.Counters.BudgetRefusals++
		return false
	}
	return true
}

// again places the next attempt of a request, or lets it wait for a place.
func (s *System) again(now time.Duration, j *job, out *state.Outbox) {
	if !s.place(now, j, out) {
		j.req.Phase = state.RequestQueued
		j.class.waiting = append(j.class.waiting, j)
	}
}

// attemptEnded decides between an answer, a further attempt and a refusal.
func (s *System) attemptEnded(now time.Duration, j *job, ev state.AttemptEvent, out *state.Outbox) {
	req, t := j.req, j.at
	req.LastEndedAttempt = ev.Attempt
	req.MayHaveRun = req.MayHaveRun || ev.Outcome != apierror.NotRun
	s.judgeTarget(now, t, ev)
	s.release(now, j)
	if ev.Failure == state.FailureNone {
		s.answer(now, req, ev.AnswerBuffered, out)
		s.serveWaiting(now, out)
		return
	}
	out.Log(event.AttemptFailed, slog.String("request", req.Arrival.Routed.AttemptID), slog.Int("attempt", ev.Attempt),
		slog.String("target", string(t.id)), slog.String("group", string(t.group)), slog.String("failure", failureNames[ev.Failure]),
		slog.String("outcome", string(ev.Outcome)), slog.Int("status", ev.Status), slog.Int("events", ev.EventCount),
		slog.Duration("age", now-req.ArrivedAt), slog.String("at_fault", string(ev.FaultyHost)))
	if s.isRepeatable(req, ev) && s.mayRepeat(now, j) {
		req.TriedTargets = append(req.TriedTargets, req.Target)
		s.again(now, j, out)
		return
	}
	if ev.AnswerBuffered {
		s.answer(now, req, true, out)
		return
	}
	s.refuse(now, req, s.failure(now, j), out)
	s.serveWaiting(now, out)
}

// isRepeatable reports whether what is known of the attempts allows another one.
func (s *System) isRepeatable(req *state.Request, ev state.AttemptEvent) bool {
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

// judgeTarget draws conclusions on a target from the end of an attempt.
func (s *System) judgeTarget(now time.Duration, t *target, ev state.AttemptEvent) {
	if ev.Failure == state.FailureCancelled || ev.Failure == state.FailureDecisionExpired {
		return
	}
	t.weigh(now, ev.Failure != state.FailureNone)
	switch {
	case ev.Misdirected:
		t.avoidUntil = now + misdirectedTime
		s.m.StalledTargets[t.id] = now
	case ev.FaultyHost != "":
		t.avoidUntil = now + avoidTime
		s.m.StalledTargets[t.id] = now
	case ev.Failure == state.FailureTargetRefused:
		t.fullUntil = now + fullTime
	case ev.Failure == state.FailureConnect, ev.Failure == state.FailureConnectionLost && t.engine != nil:
		t.avoidUntil = now + avoidTime
		s.m.StalledTargets[t.id] = now
	}
}

func (s *System) failure(now time.Duration, j *job) *apierror.Error {
	if !j.req.MayHaveRun {
		return unavailable("target_refused",
			"the target did not run the request; send it again").WithRetryAfter(s.spread(j, now, refusedRetry))
	}
	return apierror.New(apierror.KindTargetLost, "target_lost",
		"the target failed and the request may have run; check before sending it again", apierror.Unknown)
}

var failureNames = map[state.AttemptFailure]string{
	state.FailureConnect: "connect", state.FailureConnectionLost: "broken", state.FailureInactivityTimeout: "silent",
	state.FailureTargetRefused: "refused", state.FailureTargetError: "target", state.FailureCancelled: "cancelled",
	state.FailureDecisionExpired: "held_up",
}
