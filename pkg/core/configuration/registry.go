package configuration

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// registryCheckPeriod is the period at which the registry is looked at.
	registryCheckPeriod = 250 * time.Millisecond
	// rejoinDelay is how long a node that was removed while it ran waits before
	// it registers again, so that a node that others do not reach does not
	// make versions without end.
	rejoinDelay = 5 * time.Second
	// maxRemovalJitter spreads the nodes that notice the same unreachable node, so
	// that they do not all write at once.
	maxRemovalJitter = 2 * time.Second
	// maxMajorityNodes is the size of a registry above which nodes poll a fan-out
	// only. Below it, a majority must agree on a removal; above it
	// fewWitnesses do, as the commit itself needs reports of half the nodes.
	maxMajorityNodes = 8
	removalWitnesses = 5
)

// registryWatcher is this node's wish for a change of the registry.
type registryWatcher struct {
	nextCheckAt   time.Duration
	pendingChange *configChange
	// wasRegistered is set once the registry held this node in this incarnation.
	wasRegistered bool
	rejoinAt      time.Duration
	// unreachableNodes is sorted.
	unreachableNodes []state.NodeID
	removeAt         time.Duration
}

func (s *System) updateUnreachable(id state.NodeID, peer *state.Peer) {
	registry := &s.registry
	registry.unreachableNodes, _ = setElement(registry.unreachableNodes, id, peer != nil && peer.Unreachable)
}

// planRegistryChange decides which change of the registry this node wants: first its
// own entry, then the removal of a node that no other node reaches.
func (s *System) planRegistryChange(now time.Duration) {
	registry, config := &s.registry, &s.tables.Config
	if now < registry.nextCheckAt || s.commits.current != nil {
		return
	}
	registry.nextCheckAt = now + registryCheckPeriod
	registry.pendingChange = nil
	if s.tables.Draining || !config.Synced && !s.headReader.headAbsent {
		return
	}
	if s.shouldRegister(now) {
		self := s.tables.Self
		registry.pendingChange = &configChange{arrivedAt: now, registerNode: &state.NodeEntry{
			ID: self.ID, DataCentre: self.DataCentre, Address: self.Address, Incarnation: self.Incarnation,
		}}
		return
	}
	if id := s.findLostNode(); id == "" {
		registry.removeAt = 0
	} else if registry.removeAt == 0 {
		registry.removeAt = now + s.jitter(maxRemovalJitter)
	} else if now >= registry.removeAt {
		registry.pendingChange = &configChange{arrivedAt: now, removeNode: id}
	}
}

func (s *System) shouldRegister(now time.Duration) bool {
	registry := &s.registry
	self := s.tables.Self
	entry := findNode(s.tables.Config.Head.Nodes, self.ID)
	if entry != nil && entry.Incarnation == self.Incarnation && entry.Address == self.Address && entry.DataCentre == self.DataCentre {
		registry.wasRegistered, registry.rejoinAt = true, 0
		return false
	}
	if entry == nil && registry.wasRegistered && registry.rejoinAt == 0 {
		registry.rejoinAt = now + rejoinDelay
	}
	return now >= registry.rejoinAt
}

// findLostNode returns the first registered node that neither this node nor any
// other live one reaches, or "".
func (s *System) findLostNode() state.NodeID {
	for _, id := range s.registry.unreachableNodes {
		if findNode(s.tables.Config.Head.Nodes, id) != nil && s.isLost(id) {
			return id
		}
	}
	return ""
}

func (s *System) isLost(id state.NodeID) bool {
	nodes := s.tables.Config.Head.Nodes
	witnesses := 0
	for _, n := range nodes {
		if n.ID == s.tables.Self.ID {
			witnesses++
			continue
		}
		peer := s.tables.Peers.Get(n.ID)
		if n.ID == id || peer == nil || peer.Unreachable || peer.LastReplyAt == 0 || !peer.Linked {
			continue
		}
		if !slices.Contains(peer.UnreachableNodes, id) {
			return false
		}
		witnesses++
	}
	neededWitnesses := len(nodes)/2 + 1
	if len(nodes) == 2 {
		neededWitnesses = 1
	}
	if len(nodes) > maxMajorityNodes {
		neededWitnesses = removalWitnesses
	}
	return witnesses >= neededWitnesses
}
