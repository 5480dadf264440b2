// Package admission queues requests and shares the targets between client
// accounts.
package admission

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Picker chooses the target of a request.
type Picker interface {
	Pick(now time.Duration, req *state.Request) (state.TargetID, bool)
}

// System reads Config and Accounts; it writes Requests up to their dispatch.
type System struct {
	t      *state.Tables
	picker Picker
}

// New returns the admission system.
func New(t *state.Tables, picker Picker) *System { return &System{t: t, picker: picker} }

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	arrival, ok := in.(state.RequestArrived)
	if !ok {
		return
	}
	req := &state.Request{Arrival: arrival, ArrivedAt: now, Deadline: now + arrival.Timeout}
	s.t.Requests.Put(arrival.ID, req)
	target, found := s.picker.Pick(now, req)
	if !found {
		req.Phase, req.Outcome, req.EndedAt = state.RequestEnded, apierror.NotRun, now
		out.Refuse(arrival.ID, apierror.New(apierror.KindUnavailable, "no_target",
			"no target can take the request now; send it again later", apierror.NotRun).After(time.Second))
		return
	}
	req.Phase, req.Target, req.Attempt, req.SentAt = state.RequestSent, target, 1, now
	out.Add(state.StartAttempt{
		Request: arrival.ID, Attempt: 1, Target: target, Address: s.t.Targets.Get(target).Address,
		NewConnection: arrival.Once, Timeout: arrival.Timeout,
	})
}
