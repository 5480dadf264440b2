package dispatch

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// fallbackAttempt is an attempt that has stalled and stays open while another attempt is
// to begin or continue the answer. It still counts in the load of its target.
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

// keepAsFallback makes the running attempt a fallback.
func (s *System) keepAsFallback(active *activeRequest) {
	attempt, _ := active.req.OpenAttempt(active.req.Attempt)
	t := active.target
	if active.stalled {
		t.stalledCount--
	}
	delete(t.activeRequests, active.req.Arrival.ID)
	active.setFallbacks(append(active.fallbacks, &fallbackAttempt{SentAttempt: attempt, target: t, begun: active.firstEventSeen}))
	active.target, active.firstEventSeen, active.stalled = nil, false, false
}

// setFallbacks sets the fallbacks of a request.
func (a *activeRequest) setFallbacks(fallbacks []*fallbackAttempt) {
	a.fallbacks, a.req.Fallbacks = fallbacks, a.req.Fallbacks[:0]
	for _, fallback := range fallbacks {
		a.req.Fallbacks = append(a.req.Fallbacks, fallback.SentAttempt)
	}
}

// fallback returns the fallback with an attempt number, or nil.
func (a *activeRequest) fallback(number int) *fallbackAttempt {
	i := slices.IndexFunc(a.fallbacks, func(f *fallbackAttempt) bool { return f.Number == number })
	if i < 0 {
		return nil
	}
	return a.fallbacks[i]
}

// removeFallback removes a fallback without a change of its target's load.
func (a *activeRequest) removeFallback(fallback *fallbackAttempt) {
	a.setFallbacks(slices.DeleteFunc(a.fallbacks, func(f *fallbackAttempt) bool { return f == fallback }))
}

// releaseFallback takes a fallback out of the load of its target.
func (s *System) releaseFallback(now time.Duration, active *activeRequest, fallback *fallbackAttempt) {
	active.removeFallback(fallback)
	fallback.target.removeLoad(active.req, fallback.begun)
	active.pool.attemptEndRate.add(now)
}

// handleFallbackEvent handles an event of a fallback. The fallback becomes the running
// attempt again if it delivers events or completes the answer before the running attempt
// has delivered any.
func (s *System) handleFallbackEvent(now time.Duration, active *activeRequest, fallback *fallbackAttempt, ev state.AttemptEvent, out *state.Outbox) {
	switch {
	case ev.Stage == state.AttemptStalled:
	case ev.Stage == state.AttemptEnded && ev.Failure != state.FailureNone:
		s.recordTargetHealth(now, fallback.target, ev)
		s.logAttemptFailure(now, active.req, fallback.target, ev, out)
		s.releaseFallback(now, active, fallback)
	default:
		out.Add(state.CancelAttempt{Request: active.req.Arrival.ID, Attempt: active.req.Attempt})
		out.Log(event.FallbackResumed, slog.String("request", active.req.Arrival.Routed.AttemptID), slog.Int("attempt", fallback.Number),
			slog.String("target", string(fallback.target.id)), slog.Duration("age", now-active.req.ArrivedAt))
		s.releaseTarget(now, active)
		s.resume(now, active, fallback, out)
		s.dropFallbacks(now, active, out)
		s.handleStage(now, active, ev, out)
	}
}

// resume makes a fallback the running attempt, which still counts as stalled.
func (s *System) resume(now time.Duration, active *activeRequest, fallback *fallbackAttempt, out *state.Outbox) {
	req, t := active.req, fallback.target
	active.removeFallback(fallback)
	req.Attempt, req.LastEndedAttempt, req.Phase = fallback.Number, fallback.Number-1, state.RequestSent
	req.Target, req.TargetStartID, req.SentAt = fallback.Target, fallback.StartID, fallback.SentAt
	active.target, active.firstEventSeen, active.stalled = t, fallback.begun, true
	t.activeRequests[req.Arrival.ID] = active
	t.stalledCount++
	if !s.hasActiveStream(t) {
		s.setSuspect(t, true, out)
		s.managed.StalledTargets[t.id] = now
	}
	s.failovers.Schedule(req.Arrival.ID, 0)
}

// dropFallbacks cancels the fallbacks once the running attempt continues the answer.
func (s *System) dropFallbacks(now time.Duration, active *activeRequest, out *state.Outbox) {
	for len(active.fallbacks) > 0 {
		out.Add(state.CancelAttempt{Request: active.req.Arrival.ID, Attempt: active.fallbacks[0].Number})
		s.releaseFallback(now, active, active.fallbacks[0])
	}
}
