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

	changed *state.DirtySet[state.RequestID]
}

// New returns the admission system.
func New(t *state.Tables, picker Picker) *System {
	return &System{t: t, picker: picker, changed: t.Requests.Subscribe()}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	for _, id := range s.changed.Take() {
		req := s.t.Requests.Get(id)
		if req == nil || req.Phase != state.RequestQueued || req.Gate == state.GateWaiting {
			continue
		}
		s.dispatch(now, req, out)
	}
	if ev, ok := in.(state.AttemptEvent); ok && ev.Stage == state.AttemptEnded {
		if req := s.t.Requests.Get(ev.Request); req != nil && req.IsCurrent(ev) {
			req.Running = false
		}
	}
}

func (s *System) dispatch(now time.Duration, req *state.Request, out *state.Outbox) {
	arrival := &req.Arrival
	target, found := s.picker.Pick(now, req)
	if !found {
		s.t.EndWithRefusal(now, req, apierror.New(apierror.KindUnavailable, "no_target",
			"no target can take the request now; send it again later", apierror.NotRun).After(time.Second), out)
		return
	}
	req.Phase, req.Target, req.Attempt, req.SentAt, req.Running = state.RequestSent, target, 1, now, true
	out.Add(state.StartAttempt{
		Request: arrival.ID, Attempt: 1, Target: target, Address: s.t.Targets.Get(target).Address,
		NewConnection: arrival.Once, Timeout: req.Deadline - now,
	})
}
