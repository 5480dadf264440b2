package inventory

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// aliveFor is how long a word on a node that another one hears holds.
const aliveFor = 3 * time.Second

// register writes this node's row in the system's own table where it is absent
// or from an earlier life.
func (s *System) register(now time.Duration, out *state.Outbox) {
	if !s.m.Tables[state.NodeTable].Loaded || s.t.Draining || s.registering != 0 || now < s.registerAt {
		return
	}
	self := state.NodeEntry{
		ID: s.t.Self.ID, DataCentre: s.t.Self.DataCentre, Address: s.t.Self.Address, Incarnation: s.t.Self.Incarnation,
	}
	if row := s.m.Nodes.Get(self.ID); row != nil && row.Entry == self {
		return
	}
	s.registerAt = now + registerPeriod
	s.registering = s.t.SendStoreRequest(out, name, state.StoreRequest{Transact: &state.Transaction{
		Writes: []state.Write{{Key: state.PrefixNode + string(self.ID), Value: state.Encode(self)}},
	}})
}

func (s *System) link(now time.Duration, in state.PeerLinkChanged, out *state.Outbox) {
	if in.Up {
		s.linked[in.Peer] = true
		out.Log(event.PeerUp, slog.String("peer", string(in.Peer)))
		return
	}
	delete(s.linked, in.Peer)
	s.unhear(in.Peer)
	out.Log(event.PeerDown, slog.String("peer", string(in.Peer)))
	s.follow(now, out)
}

// unhear forgets what a peer last said.
func (s *System) unhear(id state.NodeID) {
	delete(s.m.PeerStatusAt, id)
	delete(s.m.PeerLoads, id)
	delete(s.m.PeerDemand, id)
	delete(s.bulletins, id)
}

func (s *System) message(now time.Duration, in state.PeerMessage, out *state.Outbox) {
	switch m := &in.Message; {
	case m.PeerStatus != nil:
		s.heard(now, in.From, m.PeerStatus)
	case m.TableRequest != nil:
		if rows, ok := s.rows(m.TableRequest.Table); ok {
			out.Add(state.SendPeer{To: in.From, Message: state.Message{TableUpdate: &rows}})
		}
	case m.TableUpdate != nil:
		s.relayed(now, in.From, *m.TableUpdate, out)
	case m.HostState != nil:
		s.relayedHostState(now, in.From, m.HostState, out)
	}
}

// relayed takes rows that a peer passed on. Rows after a gap are left out: the
// whole table is asked for when the peer's bulletin shows it to be ahead.
func (s *System) relayed(now time.Duration, from state.NodeID, rows state.TableUpdate, out *state.Outbox) {
	if int(rows.Table) >= len(s.m.Tables) {
		return
	}
	view := &s.m.Tables[rows.Table]
	if rows.Revision <= view.Revision || !rows.Snapshot && rows.BaseRevision > view.Revision {
		return
	}
	if rows.Snapshot {
		out.Log(event.TableReceivedFromPeer, slog.Int("table", int(rows.Table)), slog.String("peer", string(from)),
			slog.Uint64("revision", rows.Revision))
	}
	since := view.Revision
	s.apply(now, rows, out)
	view.Revision = max(view.Revision, rows.Revision)
	s.judge(now, out)
	if !rows.Snapshot {
		s.passOn(rows, since, from, out)
	}
}

func (s *System) heard(now time.Duration, from state.NodeID, b *state.PeerStatus) {
	if !s.linked[from] {
		return
	}
	s.m.PeerStatusAt[from] = now
	s.alive[from] = now
	s.bulletins[from] = b
	for _, id := range b.ReachableNodes {
		s.alive[id] = max(s.alive[id], now-aliveFor/2)
	}
	loads := b.Loads
	if b.ClusterTotals {
		loads = subtract(loads, s.sent)
	}
	s.m.PeerLoads[from] = loads
	for _, id := range b.StalledTargets {
		s.m.PeerStalledTargets[id] = now
	}
	demand := map[string]float64{}
	for _, d := range b.Demand {
		demand[d.Model] = d.Work
	}
	s.m.PeerDemand[from] = demand
	s.m.TrafficStarted = s.m.TrafficStarted || b.TrafficStarted
}

// bulletin tells peers what this node does and knows. A hub speaks for its
// leaves to the other hubs, and tells its leaves the sums over all nodes.
func (s *System) bulletin(now time.Duration, out *state.Outbox) {
	s.forgetWords(now)
	s.findSilent(now)
	own := s.newBulletin(now)
	own.Loads, own.StalledTargets = s.ownLoads(), state.SortedKeys(s.m.StalledTargets)
	own.Demand = demandList(s.m.Demand)
	if s.hubs == nil {
		for _, id := range state.SortedKeys(s.linked) {
			out.Add(state.SendPeer{To: id, Message: state.Message{PeerStatus: own}})
		}
		return
	}
	if !s.hubs[s.t.Self.ID] {
		if hub := s.primaryHub(now); hub != "" {
			s.sent = own.Loads
			out.Add(state.SendPeer{To: hub, Message: state.Message{PeerStatus: own}})
		}
		return
	}
	s.hubBulletins(now, own, out)
}

func (s *System) hubBulletins(now time.Duration, own *state.PeerStatus, out *state.Outbox) {
	forHubs, forLeaves := *own, *own
	part, total := [][]state.TargetLoad{own.Loads}, [][]state.TargetLoad{own.Loads}
	demand := []map[string]float64{s.m.Demand}
	for _, id := range state.SortedKeys(s.m.PeerLoads) {
		total = append(total, s.m.PeerLoads[id])
		if s.isLeaf(id) {
			part = append(part, s.m.PeerLoads[id])
			demand = append(demand, s.m.PeerDemand[id])
		}
	}
	forHubs.Loads, forHubs.Demand = sum(part), demandList(sumDemand(demand))
	forHubs.StalledTargets = state.SortedKeys(unanimous(s.witnesses(s.isLeaf)))
	forLeaves.Loads, forLeaves.Demand, forLeaves.ClusterTotals = sum(total), nil, true
	forLeaves.StalledTargets = union(s.m.StalledTargets, s.m.PeerStalledTargets)
	for _, id := range state.SortedKeys(s.linked) {
		switch {
		case s.hubs[id]:
			out.Add(state.SendPeer{To: id, Message: state.Message{PeerStatus: &forHubs}})
		case now-s.m.PeerStatusAt[id] < heardFor:
			out.Add(state.SendPeer{To: id, Message: state.Message{PeerStatus: &forLeaves}})
		}
	}
}

func (s *System) newBulletin(now time.Duration) *state.PeerStatus {
	b := &state.PeerStatus{StoreReplyAge: -1, InstancesAge: s.instancesAge(now), TrafficStarted: s.m.TrafficStarted}
	for i := range s.m.Tables {
		b.TableRevisions = append(b.TableRevisions, s.m.Tables[i].Revision)
	}
	b.StoreReplyAge = s.m.Tables[state.OperatorTable].Age(now)
	if now >= s.nextAlive {
		s.nextAlive = now + aliveFor/3
		for _, id := range state.SortedKeys(s.m.PeerStatusAt) {
			if now-s.m.PeerStatusAt[id] < heardFor {
				b.ReachableNodes = append(b.ReachableNodes, id)
			}
		}
	}
	return b
}

// instancesAge returns the age of the list of instances: that of the own call of
// the store, or of the peer from which the rows come.
func (s *System) instancesAge(now time.Duration) time.Duration {
	age := s.m.Tables[state.InstanceTable].Age(now)
	if b := s.bulletins[s.m.Lease.Row.Holder]; b != nil && b.InstancesAge >= 0 {
		if other := b.InstancesAge + now - s.m.PeerStatusAt[s.m.Lease.Row.Holder]; age < 0 || other < age {
			age = other
		}
	}
	return age
}

// forgetWords drops what peers said too long ago.
func (s *System) forgetWords(now time.Duration) {
	for id, at := range s.m.PeerStalledTargets {
		if now-at > stalledFor {
			delete(s.m.PeerStalledTargets, id)
		}
	}
	for id, at := range s.m.PeerStatusAt {
		if now-at > aliveFor {
			s.unhear(id)
		}
	}
}

func (s *System) ownLoads() []state.TargetLoad {
	var loads []state.TargetLoad
	for _, id := range state.SortedKeys(s.m.Loads) {
		if l := s.m.Loads[id]; l.Running != 0 || l.Waiting != 0 {
			loads = append(loads, *l)
		}
	}
	return loads
}

// askPeers asks a peer that holds a newer table than this node, where neither
// the feed of the store nor the rows passed on have brought it.
func (s *System) askPeers(now time.Duration, out *state.Outbox) {
	for i := range s.m.Tables {
		best, from := s.m.Tables[i].Revision, state.NodeID("")
		for _, id := range state.SortedKeys(s.bulletins) {
			if b := s.bulletins[id]; i < len(b.TableRevisions) && b.TableRevisions[i] > best {
				best, from = b.TableRevisions[i], id
			}
		}
		if from == "" {
			s.aheadSince[i] = 0
			continue
		}
		if s.aheadSince[i] == 0 {
			s.aheadSince[i] = now
		}
		if now-s.aheadSince[i] < relayDelay || now < s.nextAsk[i] {
			continue
		}
		s.nextAsk[i] = now + relayPeriod
		out.Add(state.SendPeer{To: from, Message: state.Message{TableRequest: &state.TableRequest{Table: state.TableKind(i)}}})
	}
}

// rows returns a table as this node holds it.
func (s *System) rows(table state.TableKind) (state.TableUpdate, bool) {
	if int(table) >= len(s.m.Tables) || !s.m.Tables[table].Loaded {
		return state.TableUpdate{}, false
	}
	out := state.TableUpdate{Table: table, Snapshot: true, Revision: s.m.Tables[table].Revision}
	switch table {
	case state.OperatorTable:
		if s.m.PlatformConfig != nil {
			out.Rows = append(out.Rows, state.RowUpdate{Key: "config", Revision: out.Revision, PlatformConfig: s.m.PlatformConfig})
		}
		for _, dc := range state.SortedKeys(s.m.Evacuated) {
			out.Rows = append(out.Rows, state.RowUpdate{Key: evacuationKey(dc), Revision: out.Revision, Evacuated: dc})
		}
	case state.InstanceTable:
		for id, row := range s.m.Instances.All() {
			if !s.missing.Has(id) {
				out.Rows = append(out.Rows, state.RowUpdate{Key: string(id), Revision: row.Revision, Instance: row})
			}
		}
	default:
		for id, row := range s.m.Nodes.All() {
			out.Rows = append(out.Rows, state.RowUpdate{Key: state.PrefixNode + string(id), Revision: row.Revision, Node: row})
		}
		if l := &s.m.Lease; l.Revision > 0 {
			out.Rows = append(out.Rows, state.RowUpdate{Key: state.KeyFormationLease, Revision: l.Revision, Lease: &l.Row})
		}
	}
	return out, true
}

// forget drops the registrations of nodes that are gone, so that the shares of
// limits go to the others. Only the holder of the formation lease does it.
func (s *System) forget(now time.Duration, out *state.Outbox) {
	lease := s.t.Leases.Get(state.FormationLeaseName)
	holds := lease != nil && now < lease.HeldUntil
	for id, row := range s.m.Nodes.All() {
		if at, known := s.alive[id]; !known || id == s.t.Self.ID || !holds && now-at > aliveFor {
			// A new holder gives each node the full time.
			s.alive[id] = now
			continue
		}
		if !holds || now-s.alive[id] < forgetAfter {
			continue
		}
		s.alive[id] = now
		key := state.PrefixNode + string(id)
		s.t.SendStoreRequest(out, name, state.StoreRequest{Transact: &state.Transaction{
			Conditions: []state.Condition{{Key: key, Revision: row.Revision}},
			Writes:     []state.Write{{Key: key}},
		}})
		out.Log(event.NodeRemoved, slog.String("node", string(id)))
	}
}
