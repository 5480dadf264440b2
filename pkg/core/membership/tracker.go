package membership

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/rendezvous"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// watchersPerGroup is the number of nodes that watch a group.
const watchersPerGroup = 2

// groupTracker is the choice of watchers and what is known of each group.
type groupTracker struct {
	groups      map[state.GroupID]*groupState
	dirtyGroups *state.DirtySet[state.GroupID]
	// memberOf is the group of each member host.
	memberOf map[state.HostID]state.GroupID
	// reevaluationDue orders the groups by when their verdict may change without an input.
	reevaluationDue *state.DueQueue[state.GroupID]
	// liveNodes are the nodes that may watch, with this node, sorted.
	liveNodes []state.NodeID
	// reassignAll is set when the live nodes or what they reach may have changed.
	reassignAll bool
	// eligible is set once this node has known the registry for aloneAfter. Its
	// peers have told their verdicts by then; before, it would take any members
	// that it finds for those that loaded together.
	eligible         bool
	registryLoadedAt time.Duration
	// wasDraining is whether this node had given its watch up.
	wasDraining bool
	// reassignGroups holds the groups whose watchers are chosen again in this step.
	reassignGroups []state.GroupID
	// evidenceAgeAt and age cache the age of this node's verdicts for one instant.
	evidenceAgeAt, evidenceAge time.Duration
}

// groupState is what this node keeps about a group.
type groupState struct {
	id      state.GroupID
	members []state.HostID
	// watchers are the live nodes whose word on dead members counts. It is
	// empty when every live node is blind for the group's data centre.
	watchers []state.NodeID
	// probesAsWatcher is set when this node is to probe the members.
	probesAsWatcher bool
	// probesAsFallback is set while this node probes because it lacks a fresh verdict.
	probesAsFallback bool
	// loadedIncarnations are the incarnations that loaded together at fence loadedFence.
	loadedIncarnations []state.Incarnation
	loadedToken        state.FencingToken
	// healthyToken is the fencing number of the last whole verdict in force.
	healthyToken state.FencingToken
	// firstSeenAt is when this node heard of the group. Its peers get time to tell
	// their verdicts before it probes without duty.
	firstSeenAt time.Duration
	// ownReport is this node's verdict from its own probes.
	ownReport   *healthReport
	peerReports map[state.NodeID]*healthReport
	// published is whether the peers hold a verdict of this node.
	published bool
}

func (tr *groupTracker) init(t *state.Tables) {
	tr.groups, tr.memberOf = map[state.GroupID]*groupState{}, map[state.HostID]state.GroupID{}
	tr.dirtyGroups, tr.reevaluationDue = t.Groups.Subscribe(), state.NewDueQueue[state.GroupID]()
	tr.reassignAll, tr.evidenceAgeAt, tr.registryLoadedAt = true, -1, -1
}

// updateEligibility lets a node that has started watch once its peers had time to tell.
func (s *System) updateEligibility(now time.Duration) {
	tr := &s.tracker
	if tr.eligible || !s.t.Config.Loaded {
		return
	}
	if tr.registryLoadedAt < 0 {
		tr.registryLoadedAt = now
	}
	if now-tr.registryLoadedAt >= fallbackProbeDelay {
		tr.eligible, tr.reassignAll = true, true
	}
}

// applyGroupChanges takes changes of the group rows.
func (s *System) applyGroupChanges(now time.Duration) {
	tr := &s.tracker
	for _, id := range tr.dirtyGroups.Take() {
		row, g := s.t.Groups.Get(id), tr.groups[id]
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
	// A higher fencing number means that the members are loaded anew.
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

// reassignWatchers chooses the watchers again where that may change them.
func (s *System) reassignWatchers(now time.Duration, out *state.Outbox) {
	tr := &s.tracker
	if tr.reassignAll || tr.wasDraining != s.t.Draining {
		tr.reassignAll, tr.wasDraining = false, s.t.Draining
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

// liveNodes returns the registered nodes that answer and are not leaving.
func (s *System) liveNodes(now time.Duration) []state.NodeID {
	var live []state.NodeID
	includeSelf := false
	for _, n := range s.t.Config.Head.Nodes {
		if n.ID == s.t.Self.ID {
			includeSelf = !s.t.Draining && s.tracker.eligible
			continue
		}
		if peer := s.t.Peers.Get(n.ID); peer != nil && s.isLive(now, peer) {
			live = append(live, n.ID)
		}
	}
	if includeSelf {
		live = insertSorted(live, s.t.Self.ID)
	}
	return live
}

func (s *System) isLive(now time.Duration, peer *state.Peer) bool {
	return peer.Linked && !peer.Leaving && peer.LastReplyAt > 0 && s.isRegistered(peer.ID) &&
		(peer.UnansweredSince == 0 || now-peer.UnansweredSince < silentTimeout)
}

// chooseWatchers takes the live nodes in rendezvous order. Nodes that are blind
// for the group's data centre probe as well, so that they notice when they see
// again, but they do not count.
func (s *System) chooseWatchers(now time.Duration, g *groupState) {
	ranking := rendezvous.Rank(string(g.id), s.tracker.liveNodes)
	dc := s.groupDataCentre(g)
	g.watchers, g.probesAsWatcher = nil, false
	for len(g.watchers) < watchersPerGroup {
		id, ok := ranking.Next()
		if !ok {
			break
		}
		if id == s.t.Self.ID {
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

func (s *System) groupDataCentre(g *groupState) state.DataCentre {
	if len(g.members) > 0 {
		if host := s.t.Hosts.Get(g.members[0]); host != nil {
			return host.DataCentre
		}
	}
	return ""
}

func (s *System) isDataCentreUnreachable(id state.NodeID, dc state.DataCentre) bool {
	if id == s.t.Self.ID {
		return slices.Contains(s.prober.unreachableDataCentres, dc)
	}
	peer := s.t.Peers.Get(id)
	return peer != nil && slices.Contains(peer.UnreachableDataCentres, dc)
}
