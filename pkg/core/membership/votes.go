package membership

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// ownVerdictAge returns the age of the oldest probe behind this node's whole
// verdicts.
func (s *System) ownVerdictAge(now time.Duration) time.Duration {
	w := &s.watch
	if w.ageAt == now {
		return w.age
	}
	w.ageAt, w.age = now, 0
	for _, g := range w.groups {
		if g.published && g.own != nil && g.own.whole {
			w.age = max(w.age, now-g.own.at)
		}
	}
	return w.age
}

// ownVerdict returns this node's verdict on a group for a reply.
func (s *System) ownVerdict(now time.Duration, id state.GroupID) state.GroupHealthReport {
	g := s.watch.groups[id]
	if g == nil || !g.published || g.own == nil {
		return state.GroupHealthReport{Group: id, Age: -1}
	}
	v := state.GroupHealthReport{
		Group: id, FencingToken: g.own.fence, Healthy: g.own.whole, Age: now - g.own.at,
		Incarnations: g.own.incarnations, Straggler: g.own.straggler,
	}
	for _, d := range g.own.dead {
		v.DeadMembers = append(v.DeadMembers, state.DeadMember{Host: d.host, UnansweredFor: now - d.since})
	}
	return v
}

// takeVerdicts takes the verdicts in a reply and dates those that did not
// change anew.
func (s *System) takeVerdicts(now time.Duration, from state.NodeID, sentAt time.Duration, r *state.PollReply, out *state.Outbox) {
	ps := s.exchange.peers[from]
	for _, v := range r.HealthReports {
		if v.Age < 0 {
			ps.groups = without(ps.groups, v.Group)
			if g := s.watch.groups[v.Group]; g != nil {
				delete(g.votes, from)
				s.combine(now, g, out)
			}
			continue
		}
		ps.groups = with(ps.groups, v.Group)
		s.group(now, v.Group).votes[from] = newVote(now, sentAt, v)
	}
	for _, id := range ps.groups {
		g := s.watch.groups[id]
		if g == nil {
			continue
		}
		v := g.votes[from]
		if v == nil {
			continue
		}
		if v.whole {
			v.at = max(v.at, sentAt-r.HealthReportAge)
		} else {
			v.at = max(v.at, sentAt)
		}
		s.combine(now, g, out)
	}
}

// group returns the state of a group. A peer may judge a group before this node
// has read its row.
func (s *System) group(now time.Duration, id state.GroupID) *groupState {
	g := s.watch.groups[id]
	if g == nil {
		g = &groupState{id: id, since: now, votes: map[state.NodeID]*vote{}}
		s.watch.groups[id] = g
	}
	return g
}

func newVote(now, sentAt time.Duration, v state.GroupHealthReport) *vote {
	n := &vote{
		fence: v.FencingToken, whole: v.Healthy, at: sentAt - v.Age, incarnations: v.Incarnations, straggler: v.Straggler,
	}
	for _, d := range v.DeadMembers {
		// The time without an answer counts from the arrival of the reply, so
		// that a slow reply makes a member no longer dead than it is.
		n.dead = append(n.dead, deadMember{d.Host, now - d.UnansweredFor})
	}
	return n
}

// dropVotes forgets the verdicts of a peer.
func (s *System) dropVotes(from state.NodeID) {
	ps := s.exchange.peers[from]
	if ps == nil {
		return
	}
	for _, id := range ps.groups {
		if g := s.watch.groups[id]; g != nil {
			delete(g.votes, from)
		}
	}
	ps.groups = nil
	s.watch.changed = true
}
