// Package lifecycle starts a node and shuts it down without cutting requests.
package lifecycle

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// System reads Config and Requests; it writes Ready and Draining.
type System struct {
	t       *state.Tables
	drainAt time.Duration
	closed  bool
	exited  bool
}

// New returns the lifecycle system.
func New(t *state.Tables) *System { return &System{t: t} }

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	if _, ok := in.(state.Shutdown); ok && !s.t.Draining {
		s.t.Draining, s.drainAt = true, now
		out.Log(event.NodeDrain)
	}
	if ready := s.t.Config.Fresh && !s.t.Draining; ready != s.t.Ready {
		s.t.Ready = ready
		out.Add(state.SetReadiness{Ready: ready})
	}
	if s.t.Draining && now-s.drainAt >= s.t.Self.DrainNotice {
		s.drain(out)
	}
}

func (s *System) drain(out *state.Outbox) {
	if !s.closed {
		s.closed = true
		out.Add(state.StopAccepting{})
	}
	if s.exited {
		return
	}
	for _, req := range s.t.Requests.All() {
		if req.Phase != state.RequestEnded {
			return
		}
	}
	s.exited = true
	out.Add(state.ExitReady{})
}
