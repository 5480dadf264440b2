package retry

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// maxResumes bounds the resumes of one request.
	maxResumes = 3
	// maxAttempts bounds the attempts that start a request from its beginning.
	maxAttempts = 4
	// resumeBackoff is multiplied by the number of earlier resumes, so that a target
	// that restarts its listener can be reached again.
	resumeBackoff = 200 * time.Millisecond
	// resumeTimeout is how long a resume waits for its target to accept work.
	resumeTimeout = 2 * time.Second
)

// handleAttemptEvent handles progress of an attempt. Events of an attempt other than the
// running one are counted and dropped, because their answer belongs to no running attempt.
func (s *System) handleAttemptEvent(now time.Duration, ev state.AttemptEvent, out *state.Outbox) {
	req := s.tables.Requests.Get(ev.Request)
	if req == nil || (!req.IsCurrent(ev) && !s.tables.Switches.IgnoreAttempt) {
		s.tables.Counters.StaleEvents++
		return
	}
	req.AnswerStarted = req.AnswerStarted || ev.AnswerStarted
	if ev.Generation != "" {
		req.Generation = ev.Generation
	}
	req.Offset = max(req.Offset, ev.Offset)
	if ev.Stage != state.AttemptEnded {
		return
	}
	if req.IsCurrent(ev) {
		req.LastEndedAttempt = ev.Attempt
	}
	req.MayHaveRun = req.MayHaveRun || ev.Outcome != apierror.NotRun
	s.tables.Requests.Touch(ev.Request)
	if ev.Failure == state.FailureNone {
		budgetFor(s.accountBudgets, req.Arrival.Account).recordSuccess(now)
		budgetFor(s.targetBudgets, req.Target).recordSuccess(now)
	} else if ev.Failure != state.FailureCancelled {
		out.Log(event.AttemptFailed, slog.String("request", string(ev.Request)), slog.Int("attempt", ev.Attempt),
			slog.String("target", string(req.Target)), slog.Int("failure", int(ev.Failure)))
	}
	if req.Phase == state.RequestEnded || s.tables.NeedsClaim(req) {
		return
	}
	if ev.Failure == state.FailureNone {
		s.tables.EndWithAnswer(now, req, state.Reply{Answer: ev.Answer}, out)
		return
	}
	s.handleFailure(now, req, ev, out)
}

// handleFailure decides whether a request is resumed, retried or refused after a failed
// attempt.
func (s *System) handleFailure(now time.Duration, req *state.Request, ev state.AttemptEvent, out *state.Outbox) {
	switch {
	case now >= req.Deadline:
		s.tables.EndWithRefusal(now, req, deadlinePassedError(ev.Outcome), out)
	case req.CallerDisconnected:
		s.tables.EndWithRefusal(now, req, callerDisconnectedError(ev.Outcome), out)
	case s.canResume(req, ev):
		backoff := time.Duration(req.Resumes) * resumeBackoff
		req.Resumes++
		s.tables.Counters.Resumes++
		req.NextStep, req.NextStepAt = state.NextResume, now+backoff
		s.resumeTimeouts.Schedule(req.Arrival.ID, now+backoff+resumeTimeout)
	case s.canRetry(now, req, ev):
		s.retry(now, req)
	default:
		s.tables.EndWithRefusal(now, req, s.targetLostError(req, ev), out)
	}
}

// retry queues the request for an attempt from its beginning. Routing prefers targets
// that were not tried yet.
func (s *System) retry(now time.Duration, req *state.Request) {
	s.spendBudgets(now, req)
	if !slices.Contains(req.TriedTargets, req.Target) {
		req.TriedTargets = append(req.TriedTargets, req.Target)
	}
	s.tables.Counters.Retries++
	req.NextStep, req.NextStepAt, req.Generation, req.Offset = state.NextRetry, now, "", 0
	s.tables.Requests.Touch(req.Arrival.ID)
}

// handleResumeTimeout abandons a resume whose target accepts no work, and handles it like
// a failed connection.
func (s *System) handleResumeTimeout(now time.Duration, id state.RequestID, out *state.Outbox) {
	req := s.tables.Requests.Get(id)
	if req == nil || req.Phase == state.RequestEnded || req.HasRunningAttempt() || req.NextStep != state.NextResume {
		return
	}
	resumeFailure := state.AttemptEvent{Failure: state.FailureConnect, Outcome: apierror.Unknown}
	if s.canRetry(now, req, resumeFailure) {
		s.retry(now, req)
		return
	}
	s.tables.EndWithRefusal(now, req, s.targetLostError(req, resumeFailure), out)
}

// canResume reports whether the generation is assumed to still run at its target. After a
// failed connection, the resume is repeated only when a retry from the beginning is no
// longer possible.
func (s *System) canResume(req *state.Request, ev state.AttemptEvent) bool {
	if req.Arrival.Kind != state.KindModel || req.Generation == "" || req.Resumes >= maxResumes {
		return false
	}
	switch ev.Failure {
	case state.FailureConnectionLost, state.FailureInactivityTimeout, state.FailureDecisionExpired:
		return true
	case state.FailureConnect:
		return req.AnswerStarted || req.Arrival.Resume != nil
	default:
		return false
	}
}

// canRetry reports whether the request may be sent again from its beginning. That is not
// allowed once the answer has started, because the caller would receive parts of two
// answers.
func (s *System) canRetry(now time.Duration, req *state.Request, ev state.AttemptEvent) bool {
	if req.AnswerStarted || req.Arrival.Resume != nil || len(req.TriedTargets)+1 >= maxAttempts || req.Attempt >= maxAttempts+maxResumes {
		return false
	}
	if !req.Arrival.IsIdempotent() && req.MayHaveRun && !s.tables.Switches.IgnoreOutcome {
		return false
	}
	if ev.Outcome == apierror.Done || ev.Failure == state.FailureCancelled {
		return false
	}
	if budgetFor(s.accountBudgets, req.Arrival.Account).allowsRetry(now) && budgetFor(s.targetBudgets, req.Target).allowsRetry(now) {
		return true
	}
	s.tables.Counters.BudgetRefusals++
	return s.tables.Switches.IgnoreBudgets
}

func (s *System) spendBudgets(now time.Duration, req *state.Request) {
	budgetFor(s.accountBudgets, req.Arrival.Account).recordRetry(now)
	budgetFor(s.targetBudgets, req.Target).recordRetry(now)
}

func (s *System) targetLostError(req *state.Request, ev state.AttemptEvent) *apierror.Error {
	switch {
	case req.AnswerStarted:
		return apierror.New(apierror.KindTargetLost, "generation_lost",
			"the target failed in the middle of the answer; discard the partial answer and send the request again", ev.Outcome)
	case ev.Failure == state.FailureTargetRefused:
		return apierror.New(apierror.KindTargetRefused, "target_refused",
			"the target refused the request; send it again later", ev.Outcome).WithRetryAfter(s.tables.JitteredRetryAfter(0))
	case ev.Failure == state.FailureTargetError:
		return apierror.New(apierror.KindTargetRefused, "target_error",
			"the target answered with an error; check the request or send it again", ev.Outcome)
	default:
		return apierror.New(apierror.KindTargetLost, "target_lost",
			"the target failed and no retry is allowed now; send the request again later", ev.Outcome).WithRetryAfter(s.tables.JitteredRetryAfter(0))
	}
}

func deadlinePassedError(outcome apierror.Outcome) *apierror.Error {
	return apierror.New(apierror.KindDeadline, "deadline_passed",
		"no complete answer arrived before the deadline; send the request again with a later deadline", outcome)
}

func callerDisconnectedError(outcome apierror.Outcome) *apierror.Error {
	return apierror.New(apierror.KindUnavailable, "caller_gone",
		"the caller closed its connection; send the request again", outcome)
}
