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
func (s *System) Step(now time.Duration, _ state.Input, out *state.Outbox) {
	for _, id := range s.changed.Take() {
		req := s.t.Requests.Get(id)
		if req == nil || req.Gate == state.GateWaiting {
			continue
		}
		again := req.Phase == state.RequestSent && !req.Running() && req.Next != state.NextNone
		if req.Phase == state.RequestQueued || again {
			s.dispatch(now, req, out)
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
	req.Phase, req.Target, req.SentAt = state.RequestSent, target, now
	req.Attempt++
	var resume *state.ResumePoint
	if req.Next == state.NextResume || arrival.Resume != nil {
		resume = &state.ResumePoint{Target: target, Generation: req.Generation, Offset: req.Offset}
	}
	out.Add(state.StartAttempt{
		Request: arrival.ID, Attempt: req.Attempt, Resume: resume, Target: target, Address: s.t.Targets.Get(target).Address,
		NewConnection: arrival.Once || resume != nil, Timeout: req.Deadline - now,
	})
}
