package dispatch

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// fallbackAttempt is an attempt that has stalled and stays open while another attempt is
// to begin or continue the answer.
//
// Load pattern: a target is silent on all its streams. Either a member of its group is
// lost, and the streams never continue, or the target is sound and continues after a
// second. The node cannot tell which. If it cancelled the attempts at the sound target,
// each request whose other attempt is then refused or lost would end without its answer,
// and a stream that has begun would be cut off.
type fallbackAttempt struct {
	state.SentAttempt
	target *target
	// begun is set if the attempt has delivered events.
	begun bool
}

// is reports whether an attempt number is that of the fallback.
func (f *fallbackAttempt) is(number int) bool { return f != nil && f.Number == number }

// setFallback sets the fallback of a request, nil for none.
func (a *activeRequest) setFallback(fallback *fallbackAttempt) {
	a.fallback, a.req.Fallback = fallback, nil
	if fallback != nil {
		a.req.Fallback = &fallback.SentAttempt
	}
}

// handleFallbackEvent handles an event of the fallback. The fallback becomes the running
// attempt again if it delivers events or completes the answer before the running attempt
// has delivered any.
func (s *System) handleFallbackEvent(now time.Duration, active *activeRequest, ev state.AttemptEvent, out *state.Outbox) {
	switch {
	case ev.Stage == state.AttemptStalled:
	case ev.Stage == state.AttemptEnded && ev.Failure != state.FailureNone:
		s.recordTargetHealth(now, active.fallback.target, ev)
		s.logAttemptFailure(now, active.req, active.fallback.target, ev, out)
		active.setFallback(nil)
	default:
		s.replaceByFallback(now, active, out)
		s.handleStage(now, active, ev, out)
	}
}

// replaceByFallback cancels the running attempt and resumes the fallback.
func (s *System) replaceByFallback(now time.Duration, active *activeRequest, out *state.Outbox) {
	out.Add(state.CancelAttempt{Request: active.req.Arrival.ID, Attempt: active.req.Attempt})
	out.Log(event.FallbackResumed, slog.String("request", active.req.Arrival.Routed.AttemptID), slog.Int("attempt", active.fallback.Number),
		slog.String("target", string(active.fallback.target.id)), slog.Duration("age", now-active.req.ArrivedAt))
	s.releaseTarget(now, active)
	s.resumeFallback(active)
}

// resumeFallback makes the fallback the running attempt, which still counts as stalled.
func (s *System) resumeFallback(active *activeRequest) {
	req, fallback, t := active.req, active.fallback, active.fallback.target
	req.Attempt, req.LastEndedAttempt, req.Phase = fallback.Number, fallback.Number-1, state.RequestSent
	req.Target, req.TargetStartID, req.SentAt = fallback.Target, fallback.StartID, fallback.SentAt
	active.target, active.firstEventSeen, active.stalled = t, fallback.begun, true
	active.setFallback(nil)
	t.activeRequests[req.Arrival.ID] = active
	t.stalledCount++
	if fallback.begun {
		t.load.Running++
	} else {
		t.load.Waiting++
		t.load.WaitingTokens += req.Arrival.Routed.PromptTokens
	}
	s.failovers.Schedule(req.Arrival.ID, 0)
}

// dropFallback cancels the fallback once the running attempt continues the answer.
func (s *System) dropFallback(active *activeRequest, out *state.Outbox) {
	if active.fallback == nil {
		return
	}
	out.Add(state.CancelAttempt{Request: active.req.Arrival.ID, Attempt: active.fallback.Number})
	active.setFallback(nil)
}
