package membership

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/rendezvous"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// watchersPerGroup is the number of nodes that watch a group.
const watchersPerGroup = 2

// watch is the choice of watchers and what is known of each group.
type watch struct {
	groups map[state.GroupID]*groupState
	dirty  *state.DirtySet[state.GroupID]
	// memberOf is the group of each member host.
	memberOf map[state.HostID]state.GroupID
	// due orders the groups by when their verdict may change without an input.
	due *state.DueQueue[state.GroupID]
	// live are the nodes that may watch, with this node, sorted.
	live []state.NodeID
	// changed is set when the live nodes or what they reach may have changed.
	changed bool
	// settled is set once this node has known the registry for aloneAfter. Its
	// peers have told their verdicts by then; before, it would take any members
	// that it finds for those that loaded together.
	settled bool
	knownAt time.Duration
	// draining is whether this node had given its watch up.
	draining bool
	// again holds the groups whose watchers are chosen again in this step.
	again []state.GroupID
	// ageAt and age cache the age of this node's verdicts for one instant.
	ageAt, age time.Duration
}

// groupState is what this node keeps about a group.
type groupState struct {
	id      state.GroupID
	members []state.HostID
	// watchers are the live nodes whose word on dead members counts. It is
	// empty when every live node is blind for the group's data centre.
	watchers []state.NodeID
	// duty is set when this node is to probe the members.
	duty bool
	// alone is set while this node probes because it lacks a fresh verdict.
	alone bool
	// loaded are the incarnations that loaded together at fence loadedFence.
	loaded      []state.Incarnation
	loadedFence state.FencingToken
	// heardFence is the fencing number of the last whole verdict in force.
	heardFence state.FencingToken
	// since is when this node heard of the group. Its peers get time to tell
	// their verdicts before it probes without duty.
	since time.Duration
	// own is this node's verdict from its own probes.
	own   *vote
	votes map[state.NodeID]*vote
	// published is whether the peers hold a verdict of this node.
	published bool
}

func (w *watch) init(t *state.Tables) {
	w.groups, w.memberOf = map[state.GroupID]*groupState{}, map[state.HostID]state.GroupID{}
	w.dirty, w.due = t.Groups.Subscribe(), state.NewDueQueue[state.GroupID]()
	w.changed, w.ageAt, w.knownAt = true, -1, -1
}

// settle lets a node that has started watch once its peers had time to tell.
func (s *System) settle(now time.Duration) {
	w := &s.watch
	if w.settled || !s.t.Config.Loaded {
		return
	}
	if w.knownAt < 0 {
		w.knownAt = now
	}
	if now-w.knownAt >= aloneAfter {
		w.settled, w.changed = true, true
	}
}

// followGroups takes changes of the group rows.
func (s *System) followGroups(now time.Duration) {
	w := &s.watch
	for _, id := range w.dirty.Take() {
		row, g := s.t.Groups.Get(id), w.groups[id]
		if row == nil || row.Phase == state.GroupDissolved {
			s.dropGroup(g)
			continue
		}
		if g == nil {
			g = s.group(now, id)
			w.again = append(w.again, id)
		}
		if slices.Equal(g.members, row.Members) && g.loadedFence == row.FencingToken {
			continue
		}
		s.setMembers(now, g, row)
	}
}

func (s *System) setMembers(now time.Duration, g *groupState, row *state.Group) {
	w := &s.watch
	for _, m := range g.members {
		if w.memberOf[m] == g.id {
			delete(w.memberOf, m)
		}
	}
	g.members = slices.Clone(row.Members)
	for _, m := range g.members {
		w.memberOf[m] = g.id
		s.startProbing(now, m)
	}
	// A higher fencing number means that the members are loaded anew.
	g.loaded, g.loadedFence, g.own = nil, row.FencingToken, nil
	w.again = append(w.again, g.id)
}

func (s *System) dropGroup(g *groupState) {
	if g == nil {
		return
	}
	w := &s.watch
	for _, m := range g.members {
		if w.memberOf[m] == g.id {
			delete(w.memberOf, m)
		}
	}
	delete(w.groups, g.id)
	w.due.Cancel(g.id)
	if g.published {
		s.log.changed(item{itemVerdict, string(g.id)})
	}
}

// reassign chooses the watchers again where that may change them.
func (s *System) reassign(now time.Duration, out *state.Outbox) {
	w := &s.watch
	if w.changed || w.draining != s.t.Draining {
		w.changed, w.draining = false, s.t.Draining
		w.live = s.liveNodes(now)
		w.again = w.again[:0]
		for id := range w.groups {
			w.again = append(w.again, id)
		}
	}
	if len(w.again) == 0 {
		return
	}
	again := w.again
	w.again = nil
	slices.Sort(again)
	for _, id := range slices.Compact(again) {
		if g := w.groups[id]; g != nil {
			s.chooseWatchers(now, g)
			s.judge(now, g)
			s.combine(now, g, out)
		}
	}
}

// liveNodes returns the registered nodes that answer and are not leaving.
func (s *System) liveNodes(now time.Duration) []state.NodeID {
	var live []state.NodeID
	self := false
	for _, n := range s.t.Config.Head.Nodes {
		if n.ID == s.t.Self.ID {
			self = !s.t.Draining && s.watch.settled
			continue
		}
		if p := s.t.Peers.Get(n.ID); p != nil && s.isLive(now, p) {
			live = append(live, n.ID)
		}
	}
	if self {
		live = with(live, s.t.Self.ID)
	}
	return live
}

func (s *System) isLive(now time.Duration, p *state.Peer) bool {
	return p.Linked && !p.Leaving && p.LastReplyAt > 0 && s.isRegistered(p.ID) &&
		(p.UnansweredSince == 0 || now-p.UnansweredSince < silentFor)
}

// chooseWatchers takes the live nodes in rendezvous order. Nodes that are blind
// for the group's data centre probe as well, so that they notice when they see
// again, but they do not count.
func (s *System) chooseWatchers(now time.Duration, g *groupState) {
	ranking := rendezvous.Rank(string(g.id), s.watch.live)
	dc := s.dataCentre(g)
	g.watchers, g.duty = nil, false
	for len(g.watchers) < watchersPerGroup {
		id, ok := ranking.Next()
		if !ok {
			break
		}
		if id == s.t.Self.ID {
			g.duty = true
		}
		if !s.isBlind(id, dc) {
			g.watchers = append(g.watchers, id)
		}
	}
	if g.duty {
		s.probeMembers(now, g)
	}
	if g.duty != g.published {
		g.published = g.duty
		s.log.changed(item{itemVerdict, string(g.id)})
	}
}

func (s *System) probeMembers(now time.Duration, g *groupState) {
	for _, m := range g.members {
		s.startProbing(now, m)
	}
}

func (s *System) dataCentre(g *groupState) state.DataCentre {
	if len(g.members) > 0 {
		if host := s.t.Hosts.Get(g.members[0]); host != nil {
			return host.DataCentre
		}
	}
	return ""
}

func (s *System) isBlind(id state.NodeID, dc state.DataCentre) bool {
	if id == s.t.Self.ID {
		return slices.Contains(s.prober.blind, dc)
	}
	p := s.t.Peers.Get(id)
	return p != nil && slices.Contains(p.UnreachableDataCentres, dc)
}
