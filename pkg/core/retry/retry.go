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
	if arrival, ok := in.(state.RequestArrived); ok {
		s.t.Requests.Put(arrival.ID, &state.Request{Arrival: arrival, ArrivedAt: now, Deadline: now + arrival.Timeout})
		return
	}
	ev, ok := in.(state.AttemptEvent)
	if !ok || ev.Stage != state.AttemptEnded {
		return
	}
	req := s.t.Requests.Get(ev.Request)
	if req == nil || s.t.IsGuarded(req) || !s.t.Accepts(req, ev) {
		return
	}
	if ev.Failure == state.FailureNone {
		s.t.EndWithAnswer(now, req, state.Reply{Answer: ev.Answer}, out)
		return
	}
	s.t.EndWithRefusal(now, req, apierror.New(apierror.KindTargetLost, "target_lost",
		"the target failed; send the request again", ev.Outcome), out)
}
