// Package lifecycle starts a node and shuts it down without cutting requests.
package lifecycle

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// learnFor bounds the time that a starting node waits for verdicts. Without
	// the platform there may be none, and plain services need none.
	learnFor = 3 * time.Second
	// waitLog is the period of the event that says what a shutdown waits for.
	waitLog = 10 * time.Second
)

// System reads Config, Groups, Leases, Requests and Claims; it writes Ready and
// Draining.
type System struct {
	t          *state.Tables
	claims     *state.DirtySet[string]
	open       map[string]struct{}
	learned    bool
	freshSince time.Duration
	drainAt    time.Duration
	nextLog    time.Duration
	closed     bool
	exited     bool
}

// New returns the lifecycle system.
func New(t *state.Tables) *System {
	return &System{t: t, claims: t.Claims.Subscribe(), open: map[string]struct{}{}, freshSince: -1}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	s.followClaims()
	_, tick := in.(state.Tick)
	// A second Shutdown changes nothing: the sequence is not shortened.
	if _, ok := in.(state.Shutdown); ok && !s.t.Draining {
		s.t.Draining, s.drainAt, s.nextLog = true, now, now+waitLog
		out.Log(event.NodeDraining)
	}
	s.updateReady(now, tick, out)
	if s.t.Draining && (now-s.drainAt >= s.t.Self.DrainNotice || s.t.Switches.IgnoreDrain) {
		s.drain(now, tick, out)
	}
}

// followClaims keeps the claims of this node that are not in the table service
// in their last phase.
func (s *System) followClaims() {
	for _, key := range s.claims.Take() {
		claim := s.t.Claims.Get(key)
		if claim == nil || claim.Row.Holder != s.t.Self.ID || claim.Row.Incarnation != s.t.Self.Incarnation ||
			claim.Stored && claim.Row.Phase != state.ClaimHeld {
			delete(s.open, key)
			continue
		}
		s.open[key] = struct{}{}
	}
}

func (s *System) updateReady(now time.Duration, tick bool, out *state.Outbox) {
	if !s.learned && tick {
		s.learn(now)
	}
	ready := s.t.Config.Fresh && s.learned && !s.t.Draining
	if ready == s.t.Ready {
		return
	}
	s.t.Ready = ready
	if ready {
		out.Log(event.NodeReady)
	}
	out.Add(state.SetReadiness{Ready: ready})
}

// learn decides whether a starting node knows enough to serve: the
// configuration is fresh, and each group has a verdict.
func (s *System) learn(now time.Duration) {
	if !s.t.Config.Fresh {
		s.freshSince = -1
		return
	}
	if s.freshSince < 0 {
		s.freshSince = now
	}
	s.learned = now-s.freshSince >= learnFor || s.verdictsKnown()
}

func (s *System) verdictsKnown() bool {
	if len(s.t.Config.Document.Groups) > 0 && s.t.Groups.Len() == 0 {
		return false
	}
	for _, g := range s.t.Groups.All() {
		if !g.HealthKnown && (g.Phase == state.GroupLoading || g.Phase == state.GroupServing) {
			return false
		}
	}
	return true
}

// drain closes the listeners and lets the process exit once nothing would be
// cut: no request is running, no lease is held, and all claims are stored.
// Requests are looked at on ticks only, and only during a shutdown.
func (s *System) drain(now time.Duration, tick bool, out *state.Outbox) {
	if !s.closed {
		s.closed = true
		out.Add(state.StopAccepting{})
	}
	if s.exited || !tick {
		return
	}
	if !s.t.Switches.IgnoreDrain && (s.running() || s.leased(now) || len(s.open) > 0) {
		s.logWait(now, out)
		return
	}
	s.exited = true
	out.Log(event.NodeStopped)
	out.Add(state.ExitReady{})
}

func (s *System) running() bool {
	for _, req := range s.t.Requests.All() {
		if req.Phase != state.RequestEnded {
			return true
		}
	}
	return false
}

// leased reports whether this node holds a placement lease. The placement
// system releases leases while Draining is set; one that it cannot release
// because the table service is down ends by itself at HeldUntil.
func (s *System) leased(now time.Duration) bool {
	for _, l := range s.t.Leases.All() {
		if l.Row.Holder == s.t.Self.ID && now < l.HeldUntil {
			return true
		}
	}
	return false
}

func (s *System) logWait(now time.Duration, out *state.Outbox) {
	if now < s.nextLog || len(s.open) == 0 {
		return
	}
	s.nextLog = now + waitLog
	out.Log(event.DrainWaitsForClaims, slog.Int("claims", len(s.open)))
}
