package routing

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/membership"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// candidates returns the targets that the request may use by its kind.
func (s *System) candidates(req *state.Request) []*targetState {
	a := &req.Arrival
	if a.Kind == state.KindService {
		return s.targetsByService[a.Service]
	}
	return s.targetsByModel[a.Model]
}

// Serves reports whether the configuration in force has a target for the
// request, whatever its present state.
func (s *System) Serves(req *state.Request) bool {
	for _, target := range s.candidates(req) {
		if s.matches(target.row, req) && !target.row.Disabled {
			return true
		}
	}
	return false
}

// matches reports whether a target serves what the request asks for.
func (s *System) matches(row *state.Target, req *state.Request) bool {
	a := &req.Arrival
	if id, isResume := resumeTarget(req); isResume && row.ID != id {
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

// resumeTarget returns the only target that a resumed generation can use.
func resumeTarget(req *state.Request) (state.TargetID, bool) {
	switch {
	case req.Arrival.Resume != nil:
		return req.Arrival.Resume.Target, true
	case req.NextStep == state.NextResume:
		return req.Target, true
	default:
		return "", false
	}
}

// isEligible reports whether a target can take the request now.
func (s *System) isEligible(now time.Duration, target *targetState, req *state.Request) bool {
	row := target.row
	if row.Disabled || row.Leaving || row.Address == "" || !s.matches(row, req) {
		return false
	}
	if s.reservations[req.Arrival.ID] != target && !s.hasCapacity(target) {
		return false
	}
	if row.Group != "" && !s.tables.Switches.IgnoreWholeness {
		group := target.group
		if group == nil || !group.Healthy || now-group.HealthyAt > membership.VerdictFor {
			return false
		}
	}
	if !s.isRecentlyChecked(now, target) {
		s.scheduleFetch(now, target)
		return false
	}
	// A resume is itself the test of a suspect target: it uses a new connection.
	_, isResume := resumeTarget(req)
	return !row.Suspect || isResume
}
