package membership

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// ownEvidenceAge returns the age of the oldest probe behind the healthy reports
// that this node publishes.
func (s *System) ownEvidenceAge(now time.Duration) time.Duration {
	tr := &s.tracker
	if tr.evidenceAgeAt == now {
		return tr.evidenceAge
	}
	tr.evidenceAgeAt, tr.evidenceAge = now, 0
	for _, g := range tr.groups {
		if g.published && g.ownReport != nil && g.ownReport.healthy {
			tr.evidenceAge = max(tr.evidenceAge, now-g.ownReport.evidenceAt)
		}
	}
	return tr.evidenceAge
}

// ownHealthReport returns this node's report on a group for a poll reply. An age
// of -1 withdraws an earlier report.
func (s *System) ownHealthReport(now time.Duration, id state.GroupID) state.GroupHealthReport {
	g := s.tracker.groups[id]
	if g == nil || !g.published || g.ownReport == nil {
		return state.GroupHealthReport{Group: id, Age: -1}
	}
	report := state.GroupHealthReport{
		Group: id, FencingToken: g.ownReport.fencingToken, Healthy: g.ownReport.healthy,
		Age: now - g.ownReport.evidenceAt, Incarnations: g.ownReport.incarnations, Straggler: g.ownReport.straggler,
	}
	for _, d := range g.ownReport.deadMembers {
		report.DeadMembers = append(report.DeadMembers, state.DeadMember{Host: d.host, UnansweredFor: now - d.unansweredSince})
	}
	return report
}

// applyHealthReports stores the health reports of a poll reply and updates the time
// of those that did not change since the last reply.
func (s *System) applyHealthReports(now time.Duration, from state.NodeID, sentAt time.Duration, reply *state.PollReply, out *state.Outbox) {
	ps := s.poller.peers[from]
	for _, report := range reply.HealthReports {
		if report.Age < 0 {
			ps.reportedGroups = removeSorted(ps.reportedGroups, report.Group)
			if g := s.tracker.groups[report.Group]; g != nil {
				delete(g.peerReports, from)
				s.updateGroupHealth(now, g, out)
			}
			continue
		}
		ps.reportedGroups = insertSorted(ps.reportedGroups, report.Group)
		s.ensureGroup(now, report.Group).peerReports[from] = newHealthReport(now, sentAt, report)
	}
	for _, id := range ps.reportedGroups {
		g := s.tracker.groups[id]
		if g == nil {
			continue
		}
		report := g.peerReports[from]
		if report == nil {
			continue
		}
		if report.healthy {
			report.evidenceAt = max(report.evidenceAt, sentAt-reply.HealthReportAge)
		} else {
			report.evidenceAt = max(report.evidenceAt, sentAt)
		}
		s.updateGroupHealth(now, g, out)
	}
}

// ensureGroup returns the state of a group and creates it if it does not exist. A
// peer may report on a group before this node has read its row.
func (s *System) ensureGroup(now time.Duration, id state.GroupID) *groupState {
	g := s.tracker.groups[id]
	if g == nil {
		g = &groupState{id: id, firstSeenAt: now, peerReports: map[state.NodeID]*healthReport{}}
		s.tracker.groups[id] = g
	}
	return g
}

// newHealthReport converts a received report to the clock of this node.
func newHealthReport(now, sentAt time.Duration, received state.GroupHealthReport) *healthReport {
	report := &healthReport{
		fencingToken: received.FencingToken, healthy: received.Healthy, evidenceAt: sentAt - received.Age,
		incarnations: received.Incarnations, straggler: received.Straggler,
	}
	for _, d := range received.DeadMembers {
		// The time without an answer counts back from the arrival of the reply, so
		// that a delayed reply does not make it longer than it is.
		report.deadMembers = append(report.deadMembers, deadMember{d.Host, now - d.UnansweredFor})
	}
	return report
}

// removePeerReports removes the health reports of a peer from all groups.
func (s *System) removePeerReports(from state.NodeID) {
	ps := s.poller.peers[from]
	if ps == nil {
		return
	}
	for _, id := range ps.reportedGroups {
		if g := s.tracker.groups[id]; g != nil {
			delete(g.peerReports, from)
		}
	}
	ps.reportedGroups = nil
	s.tracker.reassignAll = true
}
