package routing

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/membership"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// candidates returns the targets that the request may use by its kind.
func (s *System) candidates(req *state.Request) []*track {
	a := &req.Arrival
	if a.Kind == state.KindService {
		return s.services[a.Service]
	}
	return s.models[a.Model]
}

// Serves reports whether the configuration in force has a target for the
// request, whatever its present state.
func (s *System) Serves(req *state.Request) bool {
	for _, tr := range s.candidates(req) {
		if s.matches(tr.row, req) && !tr.row.Disabled {
			return true
		}
	}
	return false
}

// matches reports whether a target serves what the request asks for.
func (s *System) matches(row *state.Target, req *state.Request) bool {
	a := &req.Arrival
	if id, bound := boundTo(req); bound && row.ID != id {
		return false
	}
	if a.Kind == state.KindService {
		return true
	}
	if a.Version != "" && a.Version != row.Version {
		return false
	}
	return a.Adapter == "" || slices.Contains(row.Adapters, a.Adapter)
}

// boundTo returns the only target that a resumed generation can use.
func boundTo(req *state.Request) (state.TargetID, bool) {
	switch {
	case req.Arrival.Resume != nil:
		return req.Arrival.Resume.Target, true
	case req.NextStep == state.NextResume:
		return req.Target, true
	default:
		return "", false
	}
}

// fits reports whether a target can take the request now.
func (s *System) fits(now time.Duration, tr *track, req *state.Request) bool {
	row := tr.row
	if row.Disabled || row.Leaving || row.Address == "" || !s.matches(row, req) {
		return false
	}
	if s.held[req.Arrival.ID] != tr && !s.hasRoom(tr) {
		return false
	}
	if row.Group != "" && !s.t.Switches.IgnoreWholeness {
		group := tr.group
		if group == nil || !group.Healthy || now-group.HealthyAt > membership.VerdictFor {
			return false
		}
	}
	if !s.isChecked(now, tr) {
		s.watch(now, tr)
		return false
	}
	// A resume is itself the test of a suspect target: it uses a new connection.
	_, bound := boundTo(req)
	return !row.Suspect || bound
}
