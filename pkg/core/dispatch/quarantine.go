package dispatch

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// checkTraits sets the traits by which a request is judged, and returns an error if one
// of them is in quarantine and this node does not try it now.
func (s *System) checkTraits(now time.Duration, req *state.Request, out *state.Outbox) *apierror.Error {
	req.Traits = req.Arrival.Routed.Traits(req.Account, s.index.services[req.Service].Engine != nil)
	if !s.isQuarantined(req) {
		return nil
	}
	s.recordQuarantinedArrival(now, req)
	if !s.isTrialDue(now, req) {
		return s.quarantineRefusal(now, req)
	}
	s.recordTrial(now, req)
	out.Log(event.QuarantineTrial, slog.String("request", req.Arrival.Routed.AttemptID), slog.String("route", req.Route.Name),
		slog.String("fingerprint", fingerprint(req)))
	return nil
}

// recordQuarantinedArrival records the arrival of a request, which prolongs the quarantine of
// its traits.
func (s *System) recordQuarantinedArrival(now time.Duration, req *state.Request) {
	maps.DeleteFunc(s.managed.QuarantinedArrivals, func(trait state.Trait, _ time.Duration) bool {
		_, quarantined := s.managed.Quarantined[trait]
		return !quarantined
	})
	for _, trait := range req.Traits {
		if _, quarantined := s.managed.Quarantined[trait]; quarantined {
			s.managed.QuarantinedArrivals[trait] = now
		}
	}
}

// isQuarantined reports whether a trait of a request is in quarantine.
//
// A request that was lost with the beginning of its answer is repeated as long as none
// of its traits is in quarantine. A trait at fault ends the same number of targets until
// its quarantine, whether by repeats or by new requests, while a repeat that starts
// shows that the traits are sound, and serves its caller.
func (s *System) isQuarantined(req *state.Request) bool {
	return s.hasQuarantinedTrait(req, func(state.Trait) bool { return true })
}

// isRefused reports whether a trait of a request is in quarantine of which the request is not
// the trial.
func (s *System) isRefused(req *state.Request) bool {
	return s.hasQuarantinedTrait(req, func(trait state.Trait) bool { return !s.isTrial(req, trait) })
}

// hasQuarantinedTrait reports whether a request has a trait in quarantine that is selected.
func (s *System) hasQuarantinedTrait(req *state.Request, selects func(state.Trait) bool) bool {
	if len(s.managed.Quarantined) == 0 || s.tables.Switches.IgnoreQuarantine {
		return false
	}
	return slices.ContainsFunc(req.Traits, func(trait state.Trait) bool {
		_, quarantined := s.managed.Quarantined[trait]
		return quarantined && selects(trait)
	})
}

// quarantineRefusal returns the error for a request with a trait in quarantine. Its
// Retry-After time is not shortened to what the deadline allows, because the request is
// refused again until the next trial at this node.
func (s *System) quarantineRefusal(now time.Duration, req *state.Request) *apierror.Error {
	trialAt, code, message := now, "prompt_part_quarantined",
		"a part of the prompt has ended each target that began to answer it; send the request without this part"
	for _, trait := range req.Traits {
		if _, quarantined := s.managed.Quarantined[trait]; !quarantined {
			continue
		}
		trialAt = max(trialAt, s.nextTrialAt(now, trait))
		if trait.Kind == state.RequestTrait {
			code, message = "request_quarantined", "this request has ended each target that began to run it; do not send it again"
		}
	}
	return unavailable(code, message).WithRetryAfter(trialAt - now)
}

// endQuarantined refuses the open requests with a trait that has been put into
// quarantine, and cancels their attempts. A request with events goes on.
func (s *System) endQuarantined(now time.Duration, out *state.Outbox) {
	if s.quarantineVersion == s.managed.QuarantineVersion {
		return
	}
	s.quarantineVersion = s.managed.QuarantineVersion
	for _, id := range state.SortedKeys(s.activeRequests) {
		if active := s.activeRequests[id]; !active.hasBegun() && s.isRefused(active.req) {
			s.refuse(now, active.req, s.quarantineRefusal(now, active.req), out)
		}
	}
	s.placeQueued(now, out)
}
