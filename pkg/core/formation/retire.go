package formation

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// retireGroup orders the leader of a group to close, so that its members may
// join other groups. If the leader does not answer, the other members are
// ordered to leave: the leader may still serve requests of nodes that reach it,
// and stalls once a member has left.
func (s *System) retireGroup(now time.Duration, g *group, leader *host, phase state.MemberPhase, out *state.Outbox) {
	if !g.closeImmediately && now-g.retiredAt > g.closeTimeLimit() {
		if g.converting && now-g.retiredAt <= gracefulCloseTimeout && !s.hasRoomElsewhere(now, g) {
			s.prolongReservation(now, leader)
		} else {
			g.closeImmediately, g.closeStarted = true, false
		}
	}
	if leader == nil || leader.dead {
		s.orderMembersToLeave(now, g, out)
		return
	}
	if g.closeStarted && now-g.retiredAt < orderTimeout || phase == state.MemberClosing && !g.closeImmediately {
		return
	}
	operation := state.HostCloseGraceful
	if g.closeImmediately {
		operation = state.HostCloseImmediate
	}
	s.sendOrder(now, leader, state.HostOrder{Operation: operation, Group: g.id, Epoch: g.epoch}, out)
}

func (s *System) orderMembersToLeave(now time.Duration, g *group, out *state.Outbox) {
	for rank, id := range g.members {
		h := s.hosts.get(id)
		if rank == 0 || h == nil || h.row == nil || h.dead {
			continue
		}
		if m := h.row.Membership; m.Group != g.id || m.Epoch != g.epoch {
			if g.memberLeftAt == 0 {
				g.memberLeftAt = now
			}
			continue
		}
		s.sendOrder(now, h, state.HostOrder{Operation: state.HostLeave, Group: g.id, Epoch: g.epoch}, out)
	}
}
