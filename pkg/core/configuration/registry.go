package configuration

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// registryPeriod is the period at which the registry is looked at.
	registryPeriod = 250 * time.Millisecond
	// rejoinAfter is how long a node that was removed while it ran waits before
	// it registers again, so that a node that others do not reach does not
	// make versions without end.
	rejoinAfter = 5 * time.Second
	// removalSpread spreads the nodes that notice the same unreachable node, so
	// that they do not all write at once.
	removalSpread = 2 * time.Second
	// manyNodes is the size of a registry above which nodes poll a fan-out
	// only. Below it, a majority must agree on a removal; above it
	// fewWitnesses do, as the commit itself needs reports of half the nodes.
	manyNodes    = 8
	fewWitnesses = 5
)

// registry is this node's wish for a change of the registry.
type registry struct {
	next   time.Duration
	wanted *change
	// wasIn is set once the registry held this node in this incarnation.
	wasIn    bool
	rejoinAt time.Duration
	// unreachable is sorted.
	unreachable []state.NodeID
	removeAt    time.Duration
}

func (s *System) noteUnreachable(id state.NodeID, p *state.Peer) {
	r := &s.registry
	r.unreachable, _ = toggle(r.unreachable, id, p != nil && p.Unreachable)
}

// watchRegistry decides which change of the registry this node wants: first its
// own entry, then the removal of a node that no other node reaches.
func (s *System) watchRegistry(now time.Duration) {
	r, c := &s.registry, &s.t.Config
	if now < r.next || s.commits.current != nil {
		return
	}
	r.next = now + registryPeriod
	r.wanted = nil
	if s.t.Draining || !c.Synced && !s.head.absent {
		return
	}
	if s.wantsJoin(now) {
		self := s.t.Self
		r.wanted = &change{arrived: now, join: &state.NodeEntry{
			ID: self.ID, DataCentre: self.DataCentre, Address: self.Address, Incarnation: self.Incarnation,
		}}
		return
	}
	if id := s.lostNode(); id == "" {
		r.removeAt = 0
	} else if r.removeAt == 0 {
		r.removeAt = now + s.jitter(removalSpread)
	} else if now >= r.removeAt {
		r.wanted = &change{arrived: now, leave: id}
	}
}

func (s *System) wantsJoin(now time.Duration) bool {
	r := &s.registry
	self := s.t.Self
	entry := find(s.t.Config.Head.Nodes, self.ID)
	if entry != nil && entry.Incarnation == self.Incarnation && entry.Address == self.Address && entry.DataCentre == self.DataCentre {
		r.wasIn, r.rejoinAt = true, 0
		return false
	}
	if entry == nil && r.wasIn && r.rejoinAt == 0 {
		r.rejoinAt = now + rejoinAfter
	}
	return now >= r.rejoinAt
}

// lostNode returns the first registered node that neither this node nor any
// other live one reaches, or "".
func (s *System) lostNode() state.NodeID {
	for _, id := range s.registry.unreachable {
		if find(s.t.Config.Head.Nodes, id) != nil && s.agreeLost(id) {
			return id
		}
	}
	return ""
}

func (s *System) agreeLost(id state.NodeID) bool {
	nodes := s.t.Config.Head.Nodes
	witnesses := 0
	for _, n := range nodes {
		if n.ID == s.t.Self.ID {
			witnesses++
			continue
		}
		p := s.t.Peers.Get(n.ID)
		if n.ID == id || p == nil || p.Unreachable || p.LastReplyAt == 0 || !p.Linked {
			continue
		}
		if !slices.Contains(p.UnreachableNodes, id) {
			return false
		}
		witnesses++
	}
	need := len(nodes)/2 + 1
	if len(nodes) == 2 {
		need = 1
	}
	if len(nodes) > manyNodes {
		need = fewWitnesses
	}
	return witnesses >= need
}
