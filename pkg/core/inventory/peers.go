package inventory

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// register writes this node's row in the system's own table where it is absent
// or from an earlier life.
func (s *System) register(now time.Duration, out *state.Outbox) {
	if !s.m.Tables[state.NodeTable].Known || s.t.Draining || s.registering != 0 || now < s.registerAt {
		return
	}
	self := state.NodeEntry{
		ID: s.t.Self.ID, DataCentre: s.t.Self.DataCentre, Address: s.t.Self.Address, Incarnation: s.t.Self.Incarnation,
	}
	if row := s.m.Nodes.Get(self.ID); row != nil && row.Entry == self {
		return
	}
	s.registerAt = now + registerPeriod
	s.registering = s.t.Store(out, name, state.StoreRequest{Transact: &state.Transaction{
		Writes: []state.Write{{Key: state.PrefixNode + string(self.ID), Value: state.Encode(self)}},
	}})
}

// setPeers keeps links to all registered nodes.
func (s *System) setPeers(out *state.Outbox) {
	var peers []state.NodeEntry
	for id, row := range s.m.Nodes.All() {
		if id != s.t.Self.ID {
			peers = append(peers, row.Entry)
		}
	}
	if slices.Equal(peers, s.peers) {
		return
	}
	s.peers = peers
	s.m.Changed++
	out.Add(state.SetPeers{Peers: peers})
}

func (s *System) link(now time.Duration, in state.PeerLink, out *state.Outbox) {
	if in.Up {
		s.linked[in.Peer] = true
		s.m.Heard[in.Peer] = now
		out.Log(event.PeerUp, slog.String("peer", string(in.Peer)))
		return
	}
	delete(s.linked, in.Peer)
	delete(s.m.Heard, in.Peer)
	delete(s.m.PeerLoads, in.Peer)
	delete(s.m.PeerDemand, in.Peer)
	delete(s.revisions, in.Peer)
	out.Log(event.PeerDown, slog.String("peer", string(in.Peer)))
}

func (s *System) message(now time.Duration, in state.PeerMessage, out *state.Outbox) {
	switch m := &in.Message; {
	case m.Bulletin != nil:
		s.heard(now, in.From, m.Bulletin)
	case m.RowsRequest != nil:
		if rows, ok := s.rows(m.RowsRequest.Table); ok {
			out.Add(state.SendPeer{To: in.From, Message: state.Message{Rows: &rows}})
		}
	case m.Rows != nil:
		rows := *m.Rows
		if int(rows.Table) >= len(s.m.Tables) || rows.Revision <= s.m.Tables[rows.Table].Revision {
			return
		}
		out.Log(event.RowsRelayed, slog.Int("table", int(rows.Table)), slog.String("peer", string(in.From)),
			slog.Uint64("revision", rows.Revision))
		s.m.Tables[rows.Table].RelayedAt = now
		s.apply(now, rows, out)
	}
}

func (s *System) heard(now time.Duration, from state.NodeID, b *state.Bulletin) {
	s.m.Heard[from] = now
	s.m.PeerLoads[from] = b.Loads
	s.revisions[from] = [2]uint64{b.Operator, b.Instances}
	for _, id := range b.Stalled {
		s.m.PeerStalled[id] = now
	}
	demand := map[string]float64{}
	for _, d := range b.Demand {
		demand[d.Model] = d.Work
	}
	s.m.PeerDemand[from] = demand
	s.m.TrafficSeen = s.m.TrafficSeen || b.Traffic
}

// bulletin tells all linked peers what this node does and knows.
func (s *System) bulletin(now time.Duration, out *state.Outbox) {
	for id, at := range s.m.PeerStalled {
		if now-at > stalledFor {
			delete(s.m.PeerStalled, id)
		}
	}
	b := &state.Bulletin{
		Operator:    s.m.Tables[state.OperatorTable].Revision,
		Instances:   s.m.Tables[state.InstanceTable].Revision,
		EvidenceAge: -1, Traffic: s.m.TrafficSeen,
	}
	if seen := s.m.Tables[state.OperatorTable].SeenAt; seen >= 0 {
		b.EvidenceAge = now - seen
	}
	for _, id := range sortedKeys(s.m.Loads) {
		b.Loads = append(b.Loads, *s.m.Loads[id])
	}
	b.Stalled = sortedKeys(s.m.Stalled)
	for _, model := range sortedKeys(s.m.Demand) {
		b.Demand = append(b.Demand, state.ModelDemand{Model: model, Work: s.m.Demand[model]})
	}
	for _, id := range sortedKeys(s.linked) {
		out.Add(state.SendPeer{To: id, Message: state.Message{Bulletin: b}})
	}
}

// askPeers asks a peer that holds a newer table than this node, where the feed
// of the store has not brought it.
func (s *System) askPeers(now time.Duration, out *state.Outbox) {
	for i, table := range []state.TableKind{state.OperatorTable, state.InstanceTable} {
		view := &s.m.Tables[table]
		best, from := view.Revision, state.NodeID("")
		for _, id := range sortedKeys(s.revisions) {
			if r := s.revisions[id][i]; r > best {
				best, from = r, id
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
		out.Add(state.SendPeer{To: from, Message: state.Message{RowsRequest: &state.RowsRequest{Table: table}}})
	}
}

// rows returns a table as this node holds it.
func (s *System) rows(table state.TableKind) (state.RowsSeen, bool) {
	if int(table) >= len(s.m.Tables) || !s.m.Tables[table].Known {
		return state.RowsSeen{}, false
	}
	out := state.RowsSeen{Table: table, Whole: true, Revision: s.m.Tables[table].Revision}
	switch table {
	case state.OperatorTable:
		if s.m.Catalogue != nil {
			out.Rows = append(out.Rows, state.SeenRow{Key: "config", Revision: out.Revision, Catalogue: s.m.Catalogue})
		}
		for _, dc := range sortedKeys(s.m.Evacuated) {
			out.Rows = append(out.Rows, state.SeenRow{Key: evacuationKey(dc), Revision: out.Revision, Evacuated: dc})
		}
	case state.InstanceTable:
		for id, row := range s.m.Instances.All() {
			if !s.missing.Has(id) {
				out.Rows = append(out.Rows, state.SeenRow{Key: string(id), Revision: row.Revision, Instance: row})
			}
		}
	default:
		return state.RowsSeen{}, false
	}
	return out, true
}

// forget drops the registrations of nodes that are gone, so that the shares of
// limits go to the others. Only the holder of the formation lease does it.
func (s *System) forget(now time.Duration, out *state.Outbox) {
	lease := s.t.Leases.Get(state.FormationLeaseName)
	holds := lease != nil && now < lease.HeldUntil
	for id, row := range s.m.Nodes.All() {
		if at, heard := s.m.Heard[id]; id == s.t.Self.ID || heard && now-at < heardFor || !holds {
			s.firstHeard[id] = now
			continue
		}
		if now-s.firstHeard[id] < forgetAfter {
			continue
		}
		s.firstHeard[id] = now
		key := state.PrefixNode + string(id)
		s.t.Store(out, name, state.StoreRequest{Transact: &state.Transaction{
			Conditions: []state.Condition{{Key: key, Revision: row.Revision}},
			Writes:     []state.Write{{Key: key}},
		}})
		out.Log(event.NodeRemoved, slog.String("node", string(id)))
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
