package dispatch

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// checkPromptParts sets the parts by which a request is judged, and returns an error if
// one of them is in quarantine.
func (s *System) checkPromptParts(now time.Duration, req *state.Request) *apierror.Error {
	if s.index.services[req.Service].Engine == nil {
		return nil
	}
	req.PromptParts = req.Arrival.Routed.PromptParts
	if !s.isQuarantined(req) {
		return nil
	}
	return s.quarantineRefusal(now, req)
}

// isQuarantined reports whether a part of a request is in quarantine.
//
// A request that was lost with the beginning of its answer is repeated as long as none
// of its parts is in quarantine. A part at fault ends the same number of targets until
// its quarantine, whether by repeats or by new requests, while a repeat that starts
// shows that the parts are sound, and serves its caller.
func (s *System) isQuarantined(req *state.Request) bool {
	if len(s.managed.QuarantinedParts) == 0 || s.tables.Switches.IgnoreQuarantine {
		return false
	}
	return slices.ContainsFunc(req.PromptParts, func(part state.PromptPartID) bool {
		_, quarantined := s.managed.QuarantinedParts[part]
		return quarantined
	})
}

// quarantineRefusal returns the error for a request with a part in quarantine. Its
// Retry-After time is not shortened to what the deadline allows, because the request is
// refused again until the review.
func (s *System) quarantineRefusal(now time.Duration, req *state.Request) *apierror.Error {
	reviewAt := now
	for _, part := range req.PromptParts {
		reviewAt = max(reviewAt, s.managed.QuarantinedParts[part])
	}
	return unavailable("prompt_part_quarantined",
		"a part of the prompt has ended each target that began to answer it; send the request without this part").WithRetryAfter(reviewAt - now)
}

// endQuarantined refuses the open requests with a part that has been put into
// quarantine, and cancels their attempts. A request with events goes on.
func (s *System) endQuarantined(now time.Duration, out *state.Outbox) {
	if s.quarantineVersion == s.managed.QuarantineVersion {
		return
	}
	s.quarantineVersion = s.managed.QuarantineVersion
	for _, id := range state.SortedKeys(s.activeRequests) {
		if active := s.activeRequests[id]; !active.hasBegun() && s.isQuarantined(active.req) {
			s.refuse(now, active.req, s.quarantineRefusal(now, active.req), out)
		}
	}
	s.placeQueued(now, out)
}
