// Package lifecycle controls the readiness of a node and its graceful shutdown,
// which interrupts no request.
package lifecycle

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// maxHealthWait bounds the time that a starting node waits until the health of
	// its groups is known. Without the platform it may stay unknown, and services
	// without replica groups do not need it.
	maxHealthWait = 3 * time.Second
	// drainLogPeriod is the interval between two events that report what a
	// shutdown waits for.
	drainLogPeriod = 10 * time.Second
)

// System reads Config, Groups, Leases, Requests and Claims; it writes Ready and
// Draining.
type System struct {
	tables      *state.Tables
	dirtyClaims *state.DirtySet[string]
	// openClaims are the claims of this node whose final phase is not yet stored.
	openClaims      map[string]struct{}
	startupComplete bool
	// freshSince is when the configuration became fresh during the startup; -1
	// while it is not.
	freshSince       time.Duration
	drainStartedAt   time.Duration
	nextDrainLogAt   time.Duration
	acceptingStopped bool
	exitSent         bool
}

// New returns the lifecycle system.
func New(t *state.Tables) *System {
	return &System{tables: t, dirtyClaims: t.Claims.Subscribe(), openClaims: map[string]struct{}{}, freshSince: -1}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	s.trackOpenClaims()
	_, isTick := in.(state.Tick)
	// A second Shutdown has no effect; it does not shorten the sequence.
	if _, ok := in.(state.Shutdown); ok && !s.tables.Draining {
		s.tables.Draining, s.drainStartedAt, s.nextDrainLogAt = true, now, now+drainLogPeriod
		out.Log(event.NodeDraining)
	}
	s.updateReadiness(now, isTick, out)
	if s.tables.Draining && (now-s.drainStartedAt >= s.tables.Self.DrainNotice || s.tables.Switches.IgnoreDrain) {
		s.drain(now, isTick, out)
	}
}

// trackOpenClaims updates the set of claims of this node whose final phase is not
// yet stored in the table service.
func (s *System) trackOpenClaims() {
	for _, key := range s.dirtyClaims.Take() {
		claim := s.tables.Claims.Get(key)
		if claim == nil || claim.Row.Holder != s.tables.Self.ID || claim.Row.Incarnation != s.tables.Self.Incarnation ||
			claim.Stored && claim.Row.Phase != state.ClaimHeld {
			delete(s.openClaims, key)
			continue
		}
		s.openClaims[key] = struct{}{}
	}
}

func (s *System) updateReadiness(now time.Duration, isTick bool, out *state.Outbox) {
	if !s.startupComplete && isTick {
		s.updateStartup(now)
	}
	ready := s.tables.Config.Fresh && s.startupComplete && !s.tables.Draining
	if ready == s.tables.Ready {
		return
	}
	s.tables.Ready = ready
	if ready {
		out.Log(event.NodeReady)
	}
	out.Add(state.SetReadiness{Ready: ready})
}

// updateStartup completes the startup of a node once it can serve: the
// configuration is fresh, and the health of each group is known or maxHealthWait
// has passed.
func (s *System) updateStartup(now time.Duration) {
	if !s.tables.Config.Fresh {
		s.freshSince = -1
		return
	}
	if s.freshSince < 0 {
		s.freshSince = now
	}
	s.startupComplete = now-s.freshSince >= maxHealthWait || s.allGroupsHealthKnown()
}

func (s *System) allGroupsHealthKnown() bool {
	if len(s.tables.Config.Document.Groups) > 0 && s.tables.Groups.Len() == 0 {
		return false
	}
	for _, g := range s.tables.Groups.All() {
		if !g.HealthKnown && (g.Phase == state.GroupLoading || g.Phase == state.GroupServing) {
			return false
		}
	}
	return true
}

// drain closes the listeners and lets the process exit once nothing would be
// interrupted: no request is running, this node holds no lease, and all its claims
// are stored. Requests are checked on ticks only, and only during a shutdown.
func (s *System) drain(now time.Duration, isTick bool, out *state.Outbox) {
	if !s.acceptingStopped {
		s.acceptingStopped = true
		out.Add(state.StopAccepting{})
	}
	if s.exitSent || !isTick {
		return
	}
	if !s.tables.Switches.IgnoreDrain && (s.hasRunningRequests() || s.holdsLease(now) || len(s.openClaims) > 0) {
		s.logDrainWait(now, out)
		return
	}
	s.exitSent = true
	out.Log(event.NodeStopped)
	out.Add(state.ExitReady{})
}

func (s *System) hasRunningRequests() bool {
	for _, req := range s.tables.Requests.All() {
		if req.Phase != state.RequestEnded {
			return true
		}
	}
	return false
}

// holdsLease reports whether this node holds a placement lease. The placement
// system releases leases while Draining is set. A lease that it cannot release
// because the table service is down expires at ValidUntil.
func (s *System) holdsLease(now time.Duration) bool {
	for _, lease := range s.tables.Leases.All() {
		if lease.Row.Holder == s.tables.Self.ID && now < lease.ValidUntil {
			return true
		}
	}
	return false
}

func (s *System) logDrainWait(now time.Duration, out *state.Outbox) {
	if now < s.nextDrainLogAt || len(s.openClaims) == 0 {
		return
	}
	s.nextDrainLogAt = now + drainLogPeriod
	out.Log(event.DrainWaitsForClaims, slog.Int("claims", len(s.openClaims)))
}
