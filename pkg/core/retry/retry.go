// Package retry decides what follows the end of an attempt.
package retry

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// System reads Config; it writes the outcome columns of Requests.
type System struct{ t *state.Tables }

// New returns the retry system.
func New(t *state.Tables) *System { return &System{t: t} }

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	ev, ok := in.(state.AttemptEvent)
	if !ok || ev.Stage != state.AttemptEnded {
		return
	}
	req := s.t.Requests.Get(ev.Request)
	if req == nil || req.Phase == state.RequestEnded {
		return
	}
	req.Phase, req.Outcome, req.EndedAt = state.RequestEnded, ev.Outcome, now
	if ev.Failure == state.FailureNone {
		out.Add(state.Reply{Request: ev.Request, Answer: ev.Answer})
		return
	}
	out.Refuse(ev.Request, apierror.New(apierror.KindTargetLost, "target_lost",
		"the target failed; send the request again", ev.Outcome))
}
