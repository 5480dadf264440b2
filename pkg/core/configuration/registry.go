package configuration

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// registryCheckPeriod is the interval between two checks of the registry.
	registryCheckPeriod = 250 * time.Millisecond
	// rejoinDelay is how long a node that was removed while it ran waits before it
	// registers again. It limits the rate of new versions when a node that the others
	// do not reach keeps being removed.
	rejoinDelay = 5 * time.Second
	// maxRemovalJitter bounds the random delay of a removal, so that the nodes that
	// detect the same unreachable node do not all write at once.
	maxRemovalJitter = 2 * time.Second
	// maxMajorityNodes is the registry size up to which a majority must agree on a
	// removal. Nodes of a larger registry poll only a fan-out of peers, so
	// removalWitnesses nodes suffice; the commit itself needs reports of half the
	// nodes.
	maxMajorityNodes = 8
	removalWitnesses = 5
)

// registryWatcher decides which registry change this node makes.
type registryWatcher struct {
	nextCheckAt time.Duration
	// pendingChange is the registry change that is to be committed when no operator
	// command is queued.
	pendingChange *configChange
	// wasRegistered is set once the registry contained this node in this incarnation.
	wasRegistered bool
	// rejoinAt is the earliest time of the next registration; 0 means at once.
	rejoinAt time.Duration
	// unreachableNodes is sorted.
	unreachableNodes []state.NodeID
	// removeAt is when a lost node is removed; 0 when no node is lost.
	removeAt time.Duration
}

func (s *System) updateUnreachable(id state.NodeID, peer *state.Peer) {
	registry := &s.registry
	registry.unreachableNodes, _ = setElement(registry.unreachableNodes, id, peer != nil && peer.Unreachable)
}

// planRegistryChange decides which registry change this node makes next: first its own
// registration, then the removal of a node that no other node reaches.
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

// shouldRegister reports whether this node's entry is missing or outdated and may be
// written now.
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
// other live node reaches, or "".
func (s *System) findLostNode() state.NodeID {
	for _, id := range s.registry.unreachableNodes {
		if findNode(s.tables.Config.Head.Nodes, id) != nil && s.isLost(id) {
			return id
		}
	}
	return ""
}

// isLost reports whether enough nodes witness that a node is unreachable. A live peer
// that does not report it as unreachable prevents the removal. In a registry of two
// nodes this node is the only witness.
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
