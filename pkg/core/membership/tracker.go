package membership

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/rendezvous"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// watchersPerGroup is the number of watchers of a group, if enough live nodes reach
// its data centre.
const watchersPerGroup = 2

// groupTracker holds the state of each group and the choice of its watchers.
type groupTracker struct {
	groups      map[state.GroupID]*groupState
	dirtyGroups *state.DirtySet[state.GroupID]
	// memberOf maps each member host to its group.
	memberOf map[state.HostID]state.GroupID
	// reevaluationDue holds the groups by the time at which their health may change
	// without an input.
	reevaluationDue *state.DueQueue[state.GroupID]
	// liveNodes are the nodes that may be watchers, sorted. They include this node
	// while it is eligible and not draining.
	liveNodes []state.NodeID
	// reassignAll is set when the live nodes or the data centres that they reach
	// may have changed, so that the watchers of all groups are chosen again.
	reassignAll bool
	// eligible is set once this node has had the registry for fallbackProbeDelay.
	// Its peers have sent their health reports by then; a watcher without them
	// would accept any members that it finds as those that loaded together.
	eligible         bool
	registryLoadedAt time.Duration
	// wasDraining is the value of Draining when watchers were last chosen for all
	// groups. A draining node is no watcher.
	wasDraining bool
	// reassignGroups are the groups whose watchers are chosen again in this step.
	reassignGroups []state.GroupID
	// evidenceAge caches the result of ownEvidenceAge at the time evidenceAgeAt.
	evidenceAgeAt, evidenceAge time.Duration
}

// groupState holds the watchers and the health reports of a group.
type groupState struct {
	id      state.GroupID
	members []state.HostID
	// watchers are the live nodes that must agree that a member is dead. It is
	// empty when the group's data centre is unreachable from every live node.
	watchers []state.NodeID
	// probesAsWatcher is set when chooseWatchers selected this node to probe the
	// members, even if their data centre is unreachable from it.
	probesAsWatcher bool
	// probesAsFallback is set while this node probes because it has no recent report
	// of a peer.
	probesAsFallback bool
	// loadedIncarnations are the incarnations of the members that loaded together
	// under the fencing token loadedToken.
	loadedIncarnations []state.Incarnation
	loadedToken        state.FencingToken
	// healthyToken is the fencing token of the last healthy report in force.
	healthyToken state.FencingToken
	// firstSeenAt is when this node first had a row or a report of the group. Its
	// peers have fallbackProbeDelay from then to report before this node probes
	// the group without being a watcher.
	firstSeenAt time.Duration
	// ownReport is this node's report from its own probes; nil without any.
	ownReport   *healthReport
	peerReports map[state.NodeID]*healthReport
	// published is set while this node sends its report to its peers.
	published bool
}

func (tr *groupTracker) init(t *state.Tables) {
	tr.groups, tr.memberOf = map[state.GroupID]*groupState{}, map[state.HostID]state.GroupID{}
	tr.dirtyGroups, tr.reevaluationDue = t.Groups.Subscribe(), state.NewDueQueue[state.GroupID]()
	tr.reassignAll, tr.evidenceAgeAt, tr.registryLoadedAt = true, -1, -1
}

// updateEligibility makes a started node eligible as a watcher once its peers have
// had time to report.
func (s *System) updateEligibility(now time.Duration) {
	tr := &s.tracker
	if tr.eligible || !s.tables.Config.Loaded {
		return
	}
	if tr.registryLoadedAt < 0 {
		tr.registryLoadedAt = now
	}
	if now-tr.registryLoadedAt >= fallbackProbeDelay {
		tr.eligible, tr.reassignAll = true, true
	}
}

// applyGroupChanges applies changes of the group rows.
func (s *System) applyGroupChanges(now time.Duration) {
	tr := &s.tracker
	for _, id := range tr.dirtyGroups.Take() {
		row, g := s.tables.Groups.Get(id), tr.groups[id]
		if row == nil || row.Phase == state.GroupDissolved {
			s.removeGroup(g)
			continue
		}
		if g == nil {
			g = s.ensureGroup(now, id)
			tr.reassignGroups = append(tr.reassignGroups, id)
		}
		if slices.Equal(g.members, row.Members) && g.loadedToken == row.FencingToken {
			continue
		}
		s.setMembers(now, g, row)
	}
}

func (s *System) setMembers(now time.Duration, g *groupState, row *state.Group) {
	tr := &s.tracker
	for _, m := range g.members {
		if tr.memberOf[m] == g.id {
			delete(tr.memberOf, m)
		}
	}
	g.members = slices.Clone(row.Members)
	for _, m := range g.members {
		tr.memberOf[m] = g.id
		s.scheduleProbe(now, m)
	}
	// A higher fencing token means that the members are loaded again.
	g.loadedIncarnations, g.loadedToken, g.ownReport = nil, row.FencingToken, nil
	tr.reassignGroups = append(tr.reassignGroups, g.id)
}

func (s *System) removeGroup(g *groupState) {
	if g == nil {
		return
	}
	tr := &s.tracker
	for _, m := range g.members {
		if tr.memberOf[m] == g.id {
			delete(tr.memberOf, m)
		}
	}
	delete(tr.groups, g.id)
	tr.reevaluationDue.Cancel(g.id)
	if g.published {
		s.changeLog.record(item{itemHealthReport, string(g.id)})
	}
}

// reassignWatchers chooses the watchers of the groups for which they may have
// changed.
func (s *System) reassignWatchers(now time.Duration, out *state.Outbox) {
	tr := &s.tracker
	if tr.reassignAll || tr.wasDraining != s.tables.Draining {
		tr.reassignAll, tr.wasDraining = false, s.tables.Draining
		tr.liveNodes = s.liveNodes(now)
		tr.reassignGroups = tr.reassignGroups[:0]
		for id := range tr.groups {
			tr.reassignGroups = append(tr.reassignGroups, id)
		}
	}
	if len(tr.reassignGroups) == 0 {
		return
	}
	groups := tr.reassignGroups
	tr.reassignGroups = nil
	slices.Sort(groups)
	for _, id := range slices.Compact(groups) {
		if g := tr.groups[id]; g != nil {
			s.chooseWatchers(now, g)
			s.updateOwnReport(now, g)
			s.updateGroupHealth(now, g, out)
		}
	}
}

// liveNodes returns the registered nodes that answer polls and are not leaving,
// sorted.
func (s *System) liveNodes(now time.Duration) []state.NodeID {
	var live []state.NodeID
	includeSelf := false
	for _, n := range s.tables.Config.Head.Nodes {
		if n.ID == s.tables.Self.ID {
			includeSelf = !s.tables.Draining && s.tracker.eligible
			continue
		}
		if peer := s.tables.Peers.Get(n.ID); peer != nil && s.isLive(now, peer) {
			live = append(live, n.ID)
		}
	}
	if includeSelf {
		live = insertSorted(live, s.tables.Self.ID)
	}
	return live
}

func (s *System) isLive(now time.Duration, peer *state.Peer) bool {
	return peer.Linked && !peer.Leaving && peer.LastReplyAt > 0 && s.isRegistered(peer.ID) &&
		(peer.UnansweredSince == 0 || now-peer.UnansweredSince < livenessTimeout)
}

// chooseWatchers chooses the first live nodes in rendezvous order. A node from
// which the group's data centre is unreachable probes as well, so that it detects
// when it reaches the hosts again, but it does not count as a watcher.
func (s *System) chooseWatchers(now time.Duration, g *groupState) {
	ranking := rendezvous.Rank(string(g.id), s.tracker.liveNodes)
	dc := s.groupDataCentre(g)
	g.watchers, g.probesAsWatcher = nil, false
	for len(g.watchers) < watchersPerGroup {
		id, ok := ranking.Next()
		if !ok {
			break
		}
		if id == s.tables.Self.ID {
			g.probesAsWatcher = true
		}
		if !s.isDataCentreUnreachable(id, dc) {
			g.watchers = append(g.watchers, id)
		}
	}
	if g.probesAsWatcher {
		s.scheduleMemberProbes(now, g)
	}
	if g.probesAsWatcher != g.published {
		g.published = g.probesAsWatcher
		s.changeLog.record(item{itemHealthReport, string(g.id)})
	}
}

func (s *System) scheduleMemberProbes(now time.Duration, g *groupState) {
	for _, m := range g.members {
		s.scheduleProbe(now, m)
	}
}

// groupDataCentre returns the data centre of the members, which share one, or ""
// if it is not known.
func (s *System) groupDataCentre(g *groupState) state.DataCentre {
	if len(g.members) > 0 {
		if host := s.tables.Hosts.Get(g.members[0]); host != nil {
			return host.DataCentre
		}
	}
	return ""
}

// isDataCentreUnreachable reports whether a data centre is unreachable from a node,
// which may be this node.
func (s *System) isDataCentreUnreachable(id state.NodeID, dc state.DataCentre) bool {
	if id == s.tables.Self.ID {
		return slices.Contains(s.prober.unreachableDataCentres, dc)
	}
	peer := s.tables.Peers.Get(id)
	return peer != nil && slices.Contains(peer.UnreachableDataCentres, dc)
}
