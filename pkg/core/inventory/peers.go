package inventory

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// reachableTimeout is how long a word on a node that another one hears holds.
const reachableTimeout = 3 * time.Second

// register writes this node's row in the system's own table where it is absent
// or from an earlier life.
func (s *System) register(now time.Duration, out *state.Outbox) {
	if !s.managed.Tables[state.NodeTable].Loaded || s.tables.Draining || s.registerCallID != 0 || now < s.nextRegisterAt {
		return
	}
	self := state.NodeEntry{
		ID: s.tables.Self.ID, DataCentre: s.tables.Self.DataCentre, Address: s.tables.Self.Address, Incarnation: s.tables.Self.Incarnation,
	}
	if row := s.managed.Nodes.Get(self.ID); row != nil && row.Entry == self {
		return
	}
	s.nextRegisterAt = now + registerInterval
	s.registerCallID = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Transact: &state.Transaction{
		Writes: []state.Write{{Key: state.PrefixNode + string(self.ID), Value: state.Encode(self)}},
	}})
}

func (s *System) handlePeerLink(now time.Duration, in state.PeerLinkChanged, out *state.Outbox) {
	if in.Up {
		s.linkedPeers[in.Peer] = true
		out.Log(event.PeerUp, slog.String("peer", string(in.Peer)))
		return
	}
	delete(s.linkedPeers, in.Peer)
	s.forgetPeer(in.Peer)
	out.Log(event.PeerDown, slog.String("peer", string(in.Peer)))
	s.updateWatching(now, out)
}

// forgetPeer forgets what a peer last said.
func (s *System) forgetPeer(id state.NodeID) {
	delete(s.managed.PeerStatusAt, id)
	delete(s.managed.PeerLoads, id)
	delete(s.managed.PeerDemand, id)
	delete(s.peerStatuses, id)
}

func (s *System) handlePeerMessage(now time.Duration, in state.PeerMessage, out *state.Outbox) {
	switch m := &in.Message; {
	case m.PeerStatus != nil:
		s.handlePeerStatus(now, in.From, m.PeerStatus)
	case m.TableRequest != nil:
		if rows, ok := s.tableSnapshot(m.TableRequest.Table); ok {
			out.Add(state.SendPeer{To: in.From, Message: state.Message{TableUpdate: &rows}})
		}
	case m.TableUpdate != nil:
		s.handleRelayedUpdate(now, in.From, *m.TableUpdate, out)
	case m.HostState != nil:
		s.handleRelayedHostState(now, in.From, m.HostState, out)
	}
}

// handleRelayedUpdate takes rows that a peer passed on. Rows after a gap are left out: the
// whole table is asked for when the peer's bulletin shows it to be ahead.
func (s *System) handleRelayedUpdate(now time.Duration, from state.NodeID, rows state.TableUpdate, out *state.Outbox) {
	if int(rows.Table) >= len(s.managed.Tables) {
		return
	}
	view := &s.managed.Tables[rows.Table]
	if rows.Revision <= view.Revision || !rows.Snapshot && rows.BaseRevision > view.Revision {
		return
	}
	if rows.Snapshot {
		out.Log(event.TableReceivedFromPeer, slog.Int("table", int(rows.Table)), slog.String("peer", string(from)),
			slog.Uint64("revision", rows.Revision))
	}
	since := view.Revision
	s.applyUpdate(now, rows, out)
	view.Revision = max(view.Revision, rows.Revision)
	s.updateFreshness(now, out)
	if !rows.Snapshot {
		s.relayUpdate(rows, since, from, out)
	}
}

func (s *System) handlePeerStatus(now time.Duration, from state.NodeID, status *state.PeerStatus) {
	if !s.linkedPeers[from] {
		return
	}
	s.managed.PeerStatusAt[from] = now
	s.lastReachableAt[from] = now
	s.peerStatuses[from] = status
	for _, id := range status.ReachableNodes {
		s.lastReachableAt[id] = max(s.lastReachableAt[id], now-reachableTimeout/2)
	}
	loads := status.Loads
	if status.ClusterTotals {
		loads = subtractLoads(loads, s.sentLoads)
	}
	s.managed.PeerLoads[from] = loads
	for _, id := range status.StalledTargets {
		s.managed.PeerStalledTargets[id] = now
	}
	demand := map[string]float64{}
	for _, modelDemand := range status.Demand {
		demand[modelDemand.Model] = modelDemand.Work
	}
	s.managed.PeerDemand[from] = demand
	s.managed.TrafficStarted = s.managed.TrafficStarted || status.TrafficStarted
}

// sendPeerStatus tells peers what this node does and knows. A hub speaks for its
// leaves to the other hubs, and tells its leaves the sums over all nodes.
func (s *System) sendPeerStatus(now time.Duration, out *state.Outbox) {
	s.expirePeerReports(now)
	s.updateGloballyStalled(now)
	own := s.newPeerStatus(now)
	own.Loads, own.StalledTargets = s.ownLoads(), state.SortedKeys(s.managed.StalledTargets)
	own.Demand = demandList(s.managed.Demand)
	if s.hubs == nil {
		for _, id := range state.SortedKeys(s.linkedPeers) {
			out.Add(state.SendPeer{To: id, Message: state.Message{PeerStatus: own}})
		}
		return
	}
	if !s.hubs[s.tables.Self.ID] {
		if hub := s.primaryHub(now); hub != "" {
			s.sentLoads = own.Loads
			out.Add(state.SendPeer{To: hub, Message: state.Message{PeerStatus: own}})
		}
		return
	}
	s.sendHubPeerStatus(now, own, out)
}

func (s *System) sendHubPeerStatus(now time.Duration, own *state.PeerStatus, out *state.Outbox) {
	forHubs, forLeaves := *own, *own
	leafLoads, totalLoads := [][]state.TargetLoad{own.Loads}, [][]state.TargetLoad{own.Loads}
	leafDemand := []map[string]float64{s.managed.Demand}
	for _, id := range state.SortedKeys(s.managed.PeerLoads) {
		totalLoads = append(totalLoads, s.managed.PeerLoads[id])
		if s.isLeaf(id) {
			leafLoads = append(leafLoads, s.managed.PeerLoads[id])
			leafDemand = append(leafDemand, s.managed.PeerDemand[id])
		}
	}
	forHubs.Loads, forHubs.Demand = sumLoads(leafLoads), demandList(sumDemand(leafDemand))
	forHubs.StalledTargets = state.SortedKeys(unanimouslyStalled(s.streamReports(s.isLeaf)))
	forLeaves.Loads, forLeaves.Demand, forLeaves.ClusterTotals = sumLoads(totalLoads), nil, true
	forLeaves.StalledTargets = unionTargets(s.managed.StalledTargets, s.managed.PeerStalledTargets)
	for _, id := range state.SortedKeys(s.linkedPeers) {
		switch {
		case s.hubs[id]:
			out.Add(state.SendPeer{To: id, Message: state.Message{PeerStatus: &forHubs}})
		case now-s.managed.PeerStatusAt[id] < peerStatusTimeout:
			out.Add(state.SendPeer{To: id, Message: state.Message{PeerStatus: &forLeaves}})
		}
	}
}

func (s *System) newPeerStatus(now time.Duration) *state.PeerStatus {
	status := &state.PeerStatus{StoreReplyAge: -1, InstancesAge: s.instancesAge(now), TrafficStarted: s.managed.TrafficStarted}
	for i := range s.managed.Tables {
		status.TableRevisions = append(status.TableRevisions, s.managed.Tables[i].Revision)
	}
	status.StoreReplyAge = s.managed.Tables[state.OperatorTable].Age(now)
	if now >= s.nextReachableListAt {
		s.nextReachableListAt = now + reachableTimeout/3
		for _, id := range state.SortedKeys(s.managed.PeerStatusAt) {
			if now-s.managed.PeerStatusAt[id] < peerStatusTimeout {
				status.ReachableNodes = append(status.ReachableNodes, id)
			}
		}
	}
	return status
}

// instancesAge returns the age of the list of instances: that of the own call of
// the store, or of the peer from which the rows come.
func (s *System) instancesAge(now time.Duration) time.Duration {
	age := s.managed.Tables[state.InstanceTable].Age(now)
	if holderStatus := s.peerStatuses[s.managed.Lease.Row.Holder]; holderStatus != nil && holderStatus.InstancesAge >= 0 {
		if relayedAge := holderStatus.InstancesAge + now - s.managed.PeerStatusAt[s.managed.Lease.Row.Holder]; age < 0 || relayedAge < age {
			age = relayedAge
		}
	}
	return age
}

// expirePeerReports drops what peers said too long ago.
func (s *System) expirePeerReports(now time.Duration) {
	for id, at := range s.managed.PeerStalledTargets {
		if now-at > peerStalledTimeout {
			delete(s.managed.PeerStalledTargets, id)
		}
	}
	for id, at := range s.managed.PeerStatusAt {
		if now-at > reachableTimeout {
			s.forgetPeer(id)
		}
	}
}

func (s *System) ownLoads() []state.TargetLoad {
	var loads []state.TargetLoad
	for _, id := range state.SortedKeys(s.managed.Loads) {
		if l := s.managed.Loads[id]; l.Running != 0 || l.Waiting != 0 {
			loads = append(loads, *l)
		}
	}
	return loads
}

// requestNewerTables asks a peer that holds a newer table than this node, where neither
// the feed of the store nor the rows passed on have brought it.
func (s *System) requestNewerTables(now time.Duration, out *state.Outbox) {
	for i := range s.managed.Tables {
		newest, from := s.managed.Tables[i].Revision, state.NodeID("")
		for _, id := range state.SortedKeys(s.peerStatuses) {
			if status := s.peerStatuses[id]; i < len(status.TableRevisions) && status.TableRevisions[i] > newest {
				newest, from = status.TableRevisions[i], id
			}
		}
		if from == "" {
			s.peerAheadSince[i] = 0
			continue
		}
		if s.peerAheadSince[i] == 0 {
			s.peerAheadSince[i] = now
		}
		if now-s.peerAheadSince[i] < tableRequestDelay || now < s.nextTableRequestAt[i] {
			continue
		}
		s.nextTableRequestAt[i] = now + tableRequestInterval
		out.Add(state.SendPeer{To: from, Message: state.Message{TableRequest: &state.TableRequest{Table: state.TableKind(i)}}})
	}
}

// tableSnapshot returns a table as this node holds it.
func (s *System) tableSnapshot(table state.TableKind) (state.TableUpdate, bool) {
	if int(table) >= len(s.managed.Tables) || !s.managed.Tables[table].Loaded {
		return state.TableUpdate{}, false
	}
	result := state.TableUpdate{Table: table, Snapshot: true, Revision: s.managed.Tables[table].Revision}
	switch table {
	case state.OperatorTable:
		if s.managed.PlatformConfig != nil {
			result.Rows = append(result.Rows, state.RowUpdate{Key: "config", Revision: result.Revision, PlatformConfig: s.managed.PlatformConfig})
		}
		for _, dc := range state.SortedKeys(s.managed.Evacuated) {
			result.Rows = append(result.Rows, state.RowUpdate{Key: evacuationKey(dc), Revision: result.Revision, Evacuated: dc})
		}
	case state.InstanceTable:
		for id, row := range s.managed.Instances.All() {
			if !s.lapsedInstances.Has(id) {
				result.Rows = append(result.Rows, state.RowUpdate{Key: string(id), Revision: row.Revision, Instance: row})
			}
		}
	default:
		for id, row := range s.managed.Nodes.All() {
			result.Rows = append(result.Rows, state.RowUpdate{Key: state.PrefixNode + string(id), Revision: row.Revision, Node: row})
		}
		if lease := &s.managed.Lease; lease.Revision > 0 {
			result.Rows = append(result.Rows, state.RowUpdate{Key: state.KeyFormationLease, Revision: lease.Revision, Lease: &lease.Row})
		}
	}
	return result, true
}

// removeLostNodes drops the registrations of nodes that are gone, so that the shares of
// limits go to the others. Only the holder of the formation lease does it.
func (s *System) removeLostNodes(now time.Duration, out *state.Outbox) {
	lease := s.tables.Leases.Get(state.FormationLeaseName)
	isHolder := lease != nil && now < lease.HeldUntil
	for id, row := range s.managed.Nodes.All() {
		if lastReachableAt, known := s.lastReachableAt[id]; !known || id == s.tables.Self.ID || !isHolder && now-lastReachableAt > reachableTimeout {
			// A new holder gives each node the full time.
			s.lastReachableAt[id] = now
			continue
		}
		if !isHolder || now-s.lastReachableAt[id] < nodeRemovalTimeout {
			continue
		}
		s.lastReachableAt[id] = now
		key := state.PrefixNode + string(id)
		s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Transact: &state.Transaction{
			Conditions: []state.Condition{{Key: key, Revision: row.Revision}},
			Writes:     []state.Write{{Key: key}},
		}})
		out.Log(event.NodeRemoved, slog.String("node", string(id)))
	}
}
