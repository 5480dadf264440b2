package formation

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// unassignedHostTimeout is how long a host that answers may be neither in a group that
	// serves or is being formed, nor free for one, since it last changed its group. Members of a
	// leader that nobody knows take longest, 8.5 s; a group that is to end finishes its work
	// within 6 s.
	unassignedHostTimeout = 15 * time.Second
	// unassignedCheckPeriod is the interval between looks for such hosts.
	unassignedCheckPeriod = time.Second
)

// checkUnassigned reports the hosts that serve nobody and that this node does not use, since
// when, and when that has ended. Each of them is a fault: capacity that is lost until somebody
// restarts the host.
func (s *System) checkUnassigned(now time.Duration, out *state.Outbox) {
	if now < s.nextUnassignedCheckAt {
		return
	}
	s.nextUnassignedCheckAt = now + unassignedCheckPeriod
	for _, h := range s.hosts.all() {
		switch {
		case s.isAssigned(now, h):
			s.endUnassigned(h, out)
		case h.unassignedSince == 0 || h.unassignedGroup != h.lastGroup:
			s.endUnassigned(h, out)
			h.unassignedSince, h.unassignedGroup = now, h.lastGroup
		case !h.unassignedReported && now-h.unassignedSince > unassignedHostTimeout:
			h.unassignedReported = true
			out.Log(event.HostUnassigned, slog.String("host", string(h.id)), slog.String("group", string(h.lastGroup.id)),
				slog.Duration("age", now-h.unassignedSince))
		}
	}
}

// endUnassigned ends the report of a host.
func (s *System) endUnassigned(h *host, out *state.Outbox) {
	if h.unassignedReported {
		out.Log(event.HostAssigned, slog.String("host", string(h.id)))
	}
	h.unassignedSince, h.unassignedGroup, h.unassignedReported = 0, nil, false
}

// isAssigned reports whether a host is in a group that serves or is being formed, is free for
// one, or cannot be used.
func (s *System) isAssigned(now time.Duration, h *host) bool {
	if h.row == nil || h.row.Draining || h.dead || h.plan != nil || h.lastGroup == nil || s.isEnded(now, h.lastGroup) {
		return true
	}
	phase, known := s.leaderPhase(now, h.lastGroup)
	return known && (phase == state.MemberOpen || phase == state.MemberClosing)
}
