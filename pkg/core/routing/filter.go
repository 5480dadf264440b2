package routing

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/membership"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// candidates returns the targets of the service or model that the request names.
func (s *System) candidates(req *state.Request) []*targetState {
	a := &req.Arrival
	if a.Kind == state.KindService {
		return s.targetsByService[a.Service]
	}
	return s.targetsByModel[a.Model]
}

// Serves reports whether the configuration in force has an enabled target for the
// request, regardless of the target's health and load.
func (s *System) Serves(req *state.Request) bool {
	for _, target := range s.candidates(req) {
		if s.matches(target.row, req) && !target.row.Disabled {
			return true
		}
	}
	return false
}

// matches reports whether a target serves the requested generation, version and
// adapter.
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

// resumeTarget returns the only target that a resume can use, or false for any other
// request.
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

// isEligible reports whether a target can accept the request now. It requests the load
// of a target whose last check is too old.
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
		if group == nil || !group.Healthy || now-group.HealthyAt > membership.MaxHealthEvidenceAge {
			return false
		}
	}
	if !s.isRecentlyChecked(now, target) {
		s.scheduleFetch(now, target)
		return false
	}
	// A resume may use a suspect target, because it tests the target with a new
	// connection.
	_, isResume := resumeTarget(req)
	return !row.Suspect || isResume
}
