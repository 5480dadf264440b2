package inventory

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// reachableTimeout is how long a node counts as reachable after its last status
// or after a peer reported it as reachable.
const reachableTimeout = 3 * time.Second

// register writes the row of this node to the node table if it is missing or
// from an earlier incarnation.
func (s *System) register(now time.Duration, out *state.Outbox) {
	if !s.managed.Tables[state.NodeTable].Loaded || s.tables.Draining || s.registerCallID != 0 || now < s.nextRegisterAt {
		return
	}
	self := state.NodeEntry{
		ID: s.tables.Self.ID, DataCentre: s.tables.Self.DataCentre, Address: s.tables.Self.Address, Incarnation: s.tables.Self.Incarnation,
		ProcessorShare: s.tables.Self.ProcessorShare,
	}
	if s.isRegistered(self) {
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
		if !s.startup.known {
			out.Add(state.SendPeer{To: in.Peer, Message: state.Message{HistoryRequest: &state.HistoryRequest{}}})
		}
		s.sendLeaving(in.Peer, out)
		s.sendLimits(now, in.Peer, out)
		return
	}
	delete(s.linkedPeers, in.Peer)
	if status := s.peerStatuses[in.Peer]; status != nil && s.hubs[in.Peer] {
		s.lostHub = lostHub{status: status, at: s.managed.PeerStatusAt[in.Peer]}
	}
	s.forgetPeer(in.Peer)
	out.Log(event.PeerDown, slog.String("peer", string(in.Peer)))
	s.updateWatching(now, out)
}

// forgetPeer removes the last status of a peer with its loads and demand.
func (s *System) forgetPeer(id state.NodeID) {
	delete(s.managed.PeerStatusAt, id)
	delete(s.managed.PeerLoads, id)
	delete(s.managed.PeerDemand, id)
	delete(s.peerStatuses, id)
}

func (s *System) handlePeerMessage(now time.Duration, in state.PeerMessage, out *state.Outbox) {
	switch m := &in.Message; {
	case m.PeerStatus != nil:
		s.handlePeerStatus(now, in.From, m.PeerStatus, out)
	case m.TableRequest != nil:
		if rows, ok := s.tableSnapshot(m.TableRequest.Table); ok {
			out.Add(state.SendPeer{To: in.From, Message: state.Message{TableUpdate: &rows}})
		}
	case m.TableUpdate != nil:
		s.handleRelayedUpdate(now, in.From, *m.TableUpdate, out)
	case m.HostState != nil:
		s.handleRelayedHostState(now, in.From, m.HostState, out)
	case m.HistoryRequest != nil:
		out.Add(state.SendPeer{To: in.From, Message: state.Message{History: s.history(now)}})
	case m.History != nil:
		s.handleHistory(in.From, m.History)
		s.updateFreshness(now, out)
	case m.Departure != nil:
		s.recordLeaving(now, *m.Departure, in.From, out)
	case m.TargetLimitReport != nil:
		s.handleLimitReport(now, m.TargetLimitReport, in.From, out)
	}
}

// handleRelayedUpdate applies rows that a peer relayed. Rows after a gap are
// ignored: the whole table is requested once the status of the peer shows a
// newer revision.
func (s *System) handleRelayedUpdate(now time.Duration, from state.NodeID, rows state.TableUpdate, out *state.Outbox) {
	if int(rows.Table) >= len(s.managed.Tables) {
		return
	}
	if rows.Table == state.InstanceTable && !rows.Snapshot && !rows.Confirmed {
		s.recordPeerAnswer(now, now, out)
	}
	if rows.Confirmed {
		for i := range rows.Rows {
			s.applyRow(now, rows.Table, &rows.Rows[i], out)
		}
		s.relayUpdate(rows, rows.BaseRevision, from, out)
		return
	}
	table := &s.managed.Tables[rows.Table]
	if rows.Revision <= table.Revision || !rows.Snapshot && rows.BaseRevision > table.Revision {
		return
	}
	if rows.Snapshot {
		out.Log(event.TableReceivedFromPeer, slog.Int("table", int(rows.Table)), slog.String("peer", string(from)),
			slog.Uint64("revision", rows.Revision))
	}
	previousRevision := table.Revision
	s.applyUpdate(now, rows, from, out)
	table.Revision = max(table.Revision, rows.Revision)
	s.updateFreshness(now, out)
	if !rows.Snapshot {
		s.relayUpdate(rows, previousRevision, from, out)
	}
}

func (s *System) handlePeerStatus(now time.Duration, from state.NodeID, status *state.PeerStatus, out *state.Outbox) {
	if !s.linkedPeers[from] {
		return
	}
	for _, revision := range status.TableRevisions {
		s.observeEra(now, state.EraOf(revision), out)
	}
	s.managed.PeerStatusAt[from] = now
	s.lastReachableAt[from] = now
	s.peerStatuses[from] = status
	s.handleListAnswers(now, status, out)
	for _, id := range status.ReachableNodes {
		s.lastReachableAt[id] = max(s.lastReachableAt[id], now-reachableTimeout/2)
	}
	loads := status.Loads
	if status.ClusterTotals {
		loads = subtractLoads(loads, s.sentLoads)
		s.dropOtherTotals(from)
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

// dropOtherTotals removes the loads that other hubs have reported for all nodes. For some
// seconds after a leaf has changed its hub it has the status of both, and each request would
// count twice: on one day leaves saw 820 requests in flight at 780 slots, of which about half
// were there, and refused what the targets had room for.
func (s *System) dropOtherTotals(from state.NodeID) {
	for id, status := range s.peerStatuses {
		if id != from && status.ClusterTotals {
			delete(s.managed.PeerLoads, id)
		}
	}
}

// sendPeerStatus sends the status of this node to its peers. A hub sends the
// sums over its leaves to the other hubs, and the sums over all nodes to its
// leaves.
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
	forLeaves.StoreReplyAge, forLeaves.InstancesAge = s.relayedAge(now, state.OperatorTable), s.relayedAge(now, state.InstanceTable)
	forLeaves.ListAnswers = s.relayedListAnswers(now)
	forLeaves.StalledTargets = state.SortedKeys(s.stallReporters)
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
	status := &state.PeerStatus{StoreReplyAge: -1, InstancesAge: s.instancesAge(now), TrafficStarted: s.managed.TrafficStarted, ListAnswers: s.ownListAnswers(now)}
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

// relayedAge returns the age of a table at a hub: that of the last store reply, or that
// of another hub which relays the rows. A leaf whose hub does not watch the store itself
// thus knows that it receives the rows all the same, and a call of the hub that fails
// does not make its leaves watch at once. Hubs do not see this age, since each would take
// its own evidence for that of another.
func (s *System) relayedAge(now time.Duration, table state.TableKind) time.Duration {
	age := s.managed.Tables[table].EvidenceAge(now)
	for id, status := range s.peerStatuses {
		if !s.hubs[id] || !s.relaysTable(id, table) {
			continue
		}
		reported := status.StoreReplyAge
		if table == state.InstanceTable {
			reported = status.InstancesAge
		}
		if reported < 0 {
			continue
		}
		if relayed := reported + now - s.managed.PeerStatusAt[id]; age < 0 || relayed < age {
			age = relayed
		}
	}
	return age
}

// relaysTable reports whether a hub sends the rows of a table that it watches to this
// one: hubs do so inside their data centre, and the holder of the formation lease sends
// the list of instances to all.
func (s *System) relaysTable(id state.NodeID, table state.TableKind) bool {
	row := s.managed.Nodes.Get(id)
	return row != nil && (row.Entry.DataCentre == s.tables.Self.DataCentre || table == state.InstanceTable && id == s.managed.Lease.Row.Holder)
}

// instancesAge returns the age of the list of instances: that of the last store
// reply, or that of the lease holder, which relays the rows.
func (s *System) instancesAge(now time.Duration) time.Duration {
	age := s.managed.Tables[state.InstanceTable].Age(now)
	if holderStatus := s.peerStatuses[s.managed.Lease.Row.Holder]; holderStatus != nil && holderStatus.InstancesAge >= 0 {
		if relayedAge := holderStatus.InstancesAge + now - s.managed.PeerStatusAt[s.managed.Lease.Row.Holder]; age < 0 || relayedAge < age {
			age = relayedAge
		}
	}
	return age
}

// expirePeerReports removes peer reports that are too old.
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

// requestNewerTables requests a table from a peer with a newer revision if
// neither the watch of the store nor relayed rows have delivered it.
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

// tableSnapshot returns a whole table with the current state of this node.
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
			if !s.expiredInstances.Has(id) {
				result.Rows = append(result.Rows, state.RowUpdate{Key: string(id), Revision: row.Revision, Instance: row})
			}
		}
	default:
		for id, row := range s.managed.Nodes.All() {
			result.Rows = append(result.Rows, state.RowUpdate{Key: state.PrefixNode + string(id), Revision: row.Revision, Node: row})
		}
		for _, key := range state.SortedKeys(s.managed.QuarantineRows) {
			if row := s.managed.QuarantineRows[key]; row.Revision > 0 {
				result.Rows = append(result.Rows, state.RowUpdate{Key: key, Revision: row.Revision, Quarantine: &row})
			}
		}
		if lease := &s.managed.Lease; lease.Revision > 0 {
			result.Rows = append(result.Rows, state.RowUpdate{Key: state.KeyFormationLease, Revision: lease.Revision, Lease: &lease.Row})
		}
	}
	return result, true
}

// removeLostNodes removes the registrations of nodes that are gone, so that the
// other nodes get their shares of limits. Only the holder of the formation
// lease does so.
func (s *System) removeLostNodes(now time.Duration, out *state.Outbox) {
	lease := s.tables.Leases.Get(state.FormationLeaseName)
	isHolder := lease != nil && now < lease.ValidUntil
	for id, row := range s.managed.Nodes.All() {
		if lastReachableAt, known := s.lastReachableAt[id]; !known || id == s.tables.Self.ID || !isHolder && now-lastReachableAt > reachableTimeout {
			// A new lease holder gives each node the full timeout.
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
