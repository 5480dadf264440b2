package claims

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// handleAttemptEvent sets the final phase of a claim whose attempt has ended.
func (s *System) handleAttemptEvent(now time.Duration, ev state.AttemptEvent, out *state.Outbox) {
	req := s.tables.Requests.Get(ev.Request)
	if req == nil || ev.Stage != state.AttemptEnded || !s.tables.NeedsClaim(req) {
		return
	}
	e := s.entries[state.KeyClaim(req.Arrival.Account, req.Arrival.IdempotencyKey)]
	if ev.Attempt != req.Attempt && !s.tables.Switches.IgnoreAttempt {
		return
	}
	if e == nil || e.claimant != ev.Request || e.stage != stageHeld {
		return
	}
	outcome := ev.Outcome
	if outcome == apierror.Unknown && s.tables.Switches.IgnoreOutcome {
		outcome = apierror.NotRun
	}
	switch outcome {
	case apierror.Done:
		e.waiters = append([]state.RequestID{ev.Request}, e.waiters...)
		s.setFinalPhase(now, e, state.ClaimDone, ev.Answer, out)
	case apierror.NotRun:
		s.refuse(now, ev.Request, s.notRunError(ev), out)
		s.setFinalPhase(now, e, state.ClaimNotRun, nil, out)
	default:
		out.Log(event.ClaimOutcomeUnknown, slog.String("account", string(e.account)), slog.String("request", string(ev.Request)))
		e.waiters = append([]state.RequestID{ev.Request}, e.waiters...)
		s.setFinalPhase(now, e, state.ClaimUnknown, nil, out)
	}
}

// setFinalPhase sets the final phase of a claim and stores it.
func (s *System) setFinalPhase(now time.Duration, e *entry, phase state.ClaimPhase, answer *state.Answer, out *state.Outbox) {
	e.stage, e.finalAt = stageFinal, now
	e.claim.Row.Phase, e.claim.Row.Answer, e.claim.Stored = phase, answer, false
	s.tables.Claims.Touch(e.key)
	s.persist(e, out)
	s.serveWaiters(now, e, out)
}

// persist stores the phase and the answer of a claim. A large answer is first written
// to the object store.
func (s *System) persist(e *entry, out *state.Outbox) {
	if e.storeRequest != 0 {
		return
	}
	row := &e.claim.Row
	if row.Answer != nil && len(row.Answer.Body) > maxRowAnswerBytes && !e.objectStored {
		row.AnswerObjectKey = "claim-answer/" + string(row.Op)
		s.sendStoreRequest(e, opPutObject, state.StoreRequest{PutObject: &state.Object{Key: row.AnswerObjectKey, Value: state.Encode(row.Answer)}}, out)
		return
	}
	s.writeRow(e, opPersist, out)
}

// handlePersistReply handles the reply to a write of a final phase or of its answer
// object, and to an insert that was in flight when the phase became final.
func (s *System) handlePersistReply(now time.Duration, e *entry, reply state.StoreReply, out *state.Outbox) {
	row := &e.claim.Row
	if reply.Result == state.StoreUnavailable || reply.Result == state.StoreUnknown {
		if row.Phase == state.ClaimNotRun {
			s.refuseWaiters(now, e, s.storeDownError(), out)
		}
		delay := min(persistRetryDelay<<min(e.persistFailures, 8), maxPersistRetryDelay)
		e.persistFailures++
		s.entryTimers.Schedule(e.key, now+delay/2+time.Duration(s.tables.Rand.Int64N(int64(delay))))
		return
	}
	e.persistFailures = 0
	if e.pendingOp == opPutObject {
		e.objectStored = true
		s.persist(e, out)
		return
	}
	if reply.Result == state.StoreOK {
		e.claim.Revision = revisionOf(e.key, reply.Rows)
		s.handleStoredPhase(now, e, e.writtenPhase, out)
		return
	}
	storedRow, revision, ok := decodeRow(e.key, reply.Rows)
	if ok && storedRow.Op != row.Op {
		// The key has a later claim, which is possible only after a claim that was
		// not run.
		s.adoptRow(now, e, storedRow, revision, out)
		return
	}
	e.claim.Revision = revision
	if !ok {
		storedRow.Phase = state.ClaimNone
	}
	if ok && storedRow.Phase == state.ClaimDone && row.Phase == state.ClaimUnknown {
		s.adoptRow(now, e, storedRow, revision, out)
		return
	}
	s.handleStoredPhase(now, e, storedRow.Phase, out)
}

// handleStoredPhase compares the phase in the table service with that of the claim. It
// writes the row again if they differ, and otherwise serves the waiters.
func (s *System) handleStoredPhase(now time.Duration, e *entry, phase state.ClaimPhase, out *state.Outbox) {
	if phase != e.claim.Row.Phase {
		s.persist(e, out)
		return
	}
	e.claim.Stored = true
	s.tables.Claims.Touch(e.key)
	s.entryTimers.Schedule(e.key, now+claimRetention)
	s.serveWaiters(now, e, out)
	s.dropLargeAnswer(e)
}

// dropLargeAnswer releases an answer that is in the object store, so that large answers
// do not occupy memory for the retention time of their claims.
func (s *System) dropLargeAnswer(e *entry) {
	if e.claim.Stored && e.claim.Row.AnswerObjectKey != "" && len(e.waiters) == 0 {
		e.claim.Row.Answer = nil
	}
}

func (s *System) handleObjectReply(now time.Duration, e *entry, reply state.StoreReply, out *state.Outbox) {
	var answer state.Answer
	if reply.Result != state.StoreOK || state.Decode(reply.Object, &answer) != nil {
		s.refuseWaiters(now, e, answerUnreadableError(), out)
		return
	}
	e.claim.Row.Answer = &answer
	s.answerWaiters(now, e, out)
	s.dropLargeAnswer(e)
}

func keyReusedError() *apierror.Error {
	return apierror.New(apierror.KindKeyReused, "idempotency_key_reused",
		"the key was used with another body; this body was not sent; use a new key for a new request", apierror.NotRun)
}

func (s *System) storeDownError() *apierror.Error {
	return apierror.New(apierror.KindStoreDown, "claim_store_unavailable",
		"the claim could not be written and the request was not sent; send it again with the same key",
		apierror.NotRun).WithRetryAfter(s.tables.JitteredRetryAfter(0))
}

func deadlinePassedError() *apierror.Error {
	return apierror.New(apierror.KindDeadline, "deadline_passed",
		"the deadline passed before the request was sent; send it again with the same key", apierror.NotRun)
}

func (s *System) notRunError(ev state.AttemptEvent) *apierror.Error {
	if ev.Failure == state.FailureTargetRefused {
		return apierror.New(apierror.KindTargetRefused, "target_refused",
			"the target did not run the request; send it again with the same key", apierror.NotRun).WithRetryAfter(s.tables.JitteredRetryAfter(0))
	}
	return apierror.New(apierror.KindTargetLost, "target_not_reached",
		"no connection to the target was established; send the request again with the same key", apierror.NotRun).WithRetryAfter(s.tables.JitteredRetryAfter(0))
}

func outcomeUnknownError() *apierror.Error {
	return apierror.New(apierror.KindUnknown, "outcome_unknown",
		"the request may have been executed; repeat it with the same key and body to learn its outcome", apierror.Unknown)
}

func answerUnreadableError() *apierror.Error {
	return apierror.New(apierror.KindUnavailable, "answer_not_readable",
		"the request was executed, but its answer cannot be read now; repeat it with the same key", apierror.Done)
}
