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
	// maxResumes bounds how often one request resumes its generation.
	maxResumes = 3
	// maxAttempts bounds the attempts that start a request anew.
	maxAttempts = 4
	// resumePause grows with each resume, so that a target that restarts its
	// listener is found again.
	resumePause = 200 * time.Millisecond
	// resumeFor is how long a resume waits for its target to take work.
	resumeFor = 2 * time.Second
)

// attempted handles progress of an attempt. Events of another attempt than the
// running one are dropped and counted: their answer belongs to nobody.
func (s *System) attempted(now time.Duration, ev state.AttemptEvent, out *state.Outbox) {
	req := s.t.Requests.Get(ev.Request)
	if req == nil || (!req.IsCurrent(ev) && !s.t.Switches.IgnoreAttempt) {
		s.t.Counters.StaleEvents++
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
	s.t.Requests.Touch(ev.Request)
	if ev.Failure == state.FailureNone {
		budgetOf(s.accounts, req.Arrival.Account).succeeded(now)
		budgetOf(s.targets, req.Target).succeeded(now)
	} else if ev.Failure != state.FailureCancelled {
		out.Log(event.AttemptFailed, slog.String("request", string(ev.Request)), slog.Int("attempt", ev.Attempt),
			slog.String("target", string(req.Target)), slog.Int("failure", int(ev.Failure)))
	}
	if req.Phase == state.RequestEnded || s.t.NeedsClaim(req) {
		return
	}
	if ev.Failure == state.FailureNone {
		s.t.EndWithAnswer(now, req, state.Reply{Answer: ev.Answer}, out)
		return
	}
	s.failed(now, req, ev, out)
}

// failed decides between resuming, restarting and refusing.
func (s *System) failed(now time.Duration, req *state.Request, ev state.AttemptEvent, out *state.Outbox) {
	switch {
	case now >= req.Deadline:
		s.t.EndWithRefusal(now, req, deadlinePassed(ev.Outcome), out)
	case req.CallerDisconnected:
		s.t.EndWithRefusal(now, req, callerGone(ev.Outcome), out)
	case s.canResume(req, ev):
		pause := time.Duration(req.Resumes) * resumePause
		req.Resumes++
		s.t.Counters.Resumes++
		req.NextStep, req.NextStepAt = state.NextResume, now+pause
		s.resumes.Schedule(req.Arrival.ID, now+pause+resumeFor)
	case s.canRestart(now, req, ev):
		s.restart(now, req)
	default:
		s.t.EndWithRefusal(now, req, s.targetLost(req, ev), out)
	}
}

// restart sends the request again from its start, elsewhere first.
func (s *System) restart(now time.Duration, req *state.Request) {
	s.spend(now, req)
	if !slices.Contains(req.TriedTargets, req.Target) {
		req.TriedTargets = append(req.TriedTargets, req.Target)
	}
	s.t.Counters.Retries++
	req.NextStep, req.NextStepAt, req.Generation, req.Offset = state.NextRetry, now, "", 0
	s.t.Requests.Touch(req.Arrival.ID)
}

// resumeTimedOut gives up a resume whose target takes no work: the target
// counts as gone.
func (s *System) resumeTimedOut(now time.Duration, id state.RequestID, out *state.Outbox) {
	req := s.t.Requests.Get(id)
	if req == nil || req.Phase == state.RequestEnded || req.HasRunningAttempt() || req.NextStep != state.NextResume {
		return
	}
	lost := state.AttemptEvent{Failure: state.FailureConnect, Outcome: apierror.Unknown}
	if s.canRestart(now, req, lost) {
		s.restart(now, req)
		return
	}
	s.t.EndWithRefusal(now, req, s.targetLost(req, lost), out)
}

// canResume reports whether the generation still runs at its target as far as
// is known. A resume that finds no target is repeated only when a restart is
// not possible any more.
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

// canRestart reports whether the request may be sent again from its start. An
// answer that was passed on in part would be mixed with another one.
func (s *System) canRestart(now time.Duration, req *state.Request, ev state.AttemptEvent) bool {
	if req.AnswerStarted || req.Arrival.Resume != nil || len(req.TriedTargets)+1 >= maxAttempts || req.Attempt >= maxAttempts+maxResumes {
		return false
	}
	if !req.Arrival.IsIdempotent() && req.MayHaveRun && !s.t.Switches.IgnoreOutcome {
		return false
	}
	if ev.Outcome == apierror.Done || ev.Failure == state.FailureCancelled {
		return false
	}
	if budgetOf(s.accounts, req.Arrival.Account).allows(now) && budgetOf(s.targets, req.Target).allows(now) {
		return true
	}
	s.t.Counters.BudgetRefusals++
	return s.t.Switches.IgnoreBudgets
}

func (s *System) spend(now time.Duration, req *state.Request) {
	budgetOf(s.accounts, req.Arrival.Account).spend(now)
	budgetOf(s.targets, req.Target).spend(now)
}

func (s *System) targetLost(req *state.Request, ev state.AttemptEvent) *apierror.Error {
	switch {
	case req.AnswerStarted:
		return apierror.New(apierror.KindTargetLost, "generation_lost",
			"the target was lost in the middle of the answer; discard the part and send the request again", ev.Outcome)
	case ev.Failure == state.FailureTargetRefused:
		return apierror.New(apierror.KindTargetRefused, "target_refused",
			"the target refused the request; send it again later", ev.Outcome).WithRetryAfter(s.t.JitteredRetryAfter(0))
	case ev.Failure == state.FailureTargetError:
		return apierror.New(apierror.KindTargetRefused, "target_error",
			"the target answered with an error; check the request or send it again", ev.Outcome)
	default:
		return apierror.New(apierror.KindTargetLost, "target_lost",
			"the target failed and no retry is allowed now; send the request again later", ev.Outcome).WithRetryAfter(s.t.JitteredRetryAfter(0))
	}
}

func deadlinePassed(outcome apierror.Outcome) *apierror.Error {
	return apierror.New(apierror.KindDeadline, "deadline_passed",
		"no whole answer arrived before the deadline; send the request again with a later deadline", outcome)
}

func callerGone(outcome apierror.Outcome) *apierror.Error {
	return apierror.New(apierror.KindUnavailable, "caller_gone",
		"the caller closed its connection; send the request again", outcome)
}
