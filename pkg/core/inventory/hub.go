package inventory

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// hubsPerDataCentre is the number of nodes of a data centre that pass on
	// bulletins and rows where there are more nodes. Two of them may be lost.
	hubsPerDataCentre = 3
	// leafLinks is the number of hubs to which a leaf is linked: the one that it
	// talks to, and one to take its place at once.
	leafLinks = 2
)

// chooseHubs returns the hubs of an installation, or nil where all nodes are
// linked with each other. All nodes choose the same ones from the registry.
func chooseHubs(nodes *state.Table[state.NodeID, state.RegisteredNode]) map[state.NodeID]bool {
	if nodes.Len() <= state.MaxFullMeshNodes {
		return nil
	}
	hubs, count := map[state.NodeID]bool{}, map[state.DataCentre]int{}
	for id, row := range nodes.All() {
		if dc := row.Entry.DataCentre; count[dc] < hubsPerDataCentre {
			count[dc]++
			hubs[id] = true
		}
	}
	return hubs
}

// setPeers keeps the links that this node's place asks for: hubs with all hubs,
// leaves with hubs of their own data centre.
func (s *System) setPeers(out *state.Outbox) {
	s.hubs = chooseHubs(s.m.Nodes)
	var peers []state.NodeEntry
	isHub := s.hubs[s.t.Self.ID]
	for id, row := range s.m.Nodes.All() {
		switch {
		case id == s.t.Self.ID, s.hubs != nil && !s.hubs[id]:
		case s.hubs == nil, isHub:
			peers = append(peers, row.Entry)
		case row.Entry.DataCentre == s.t.Self.DataCentre && len(peers) < leafLinks:
			peers = append(peers, row.Entry)
		}
	}
	if slices.Equal(peers, s.peers) {
		return
	}
	s.peers = peers
	s.m.TargetInputsVersion++
	out.Add(state.SetPeers{Peers: peers})
}

// isLeaf reports whether a peer is one that this hub speaks for.
func (s *System) isLeaf(id state.NodeID) bool {
	return s.hubs != nil && s.hubs[s.t.Self.ID] && !s.hubs[id]
}

// primaryHub returns the hub that this leaf talks to: the first one linked that
// was heard a short time ago, or that has not had the time to answer.
func (s *System) primaryHub(now time.Duration) state.NodeID {
	first := state.NodeID("")
	for _, p := range s.peers {
		if !s.linked[p.ID] {
			continue
		}
		if at, heard := s.m.PeerStatusAt[p.ID]; heard && now-at < heardFor {
			return p.ID
		}
		if first == "" {
			first = p.ID
		}
	}
	return first
}

// follow decides whether this node follows the store's tables itself: unless a
// peer of its data centre with a lower id does and says so. The calls and the
// bytes of the store are charged, and rows passed on arrive within a few
// milliseconds. The holder of the formation lease always follows.
func (s *System) follow(now time.Duration, out *state.Outbox) {
	lease := s.t.Leases.Get(state.FormationLeaseName)
	urgent := lease != nil && now < lease.HeldUntil
	want := state.WatchTables{
		Enabled: urgent || !s.isFollowedFor(now), Instances: urgent || !s.holderFollows(now), LowLatency: urgent,
		LongBackoff: !urgent && s.hubs != nil && !s.hubs[s.t.Self.ID],
	}
	if s.started && want == s.following {
		return
	}
	s.started, s.following, s.m.WatchesStore = true, want, want.Enabled
	out.Log(event.StoreWatchChanged, slog.Bool("configuration", want.Enabled), slog.Bool("instances", want.Instances))
	out.Add(want)
}

// yieldsLease reports whether this node is a leaf whose hub reaches the store.
// Hubs do not hear a leaf of another hub: with a leaf as the holder of the
// formation lease, each of twelve hubs followed the list of instances itself.
func (s *System) yieldsLease(now time.Duration) bool {
	if s.hubs == nil || s.hubs[s.t.Self.ID] {
		return false
	}
	hub := s.primaryHub(now)
	b := s.bulletins[hub]
	return b != nil && now-s.m.PeerStatusAt[hub] < heardFor && isRecent(b.StoreReplyAge)
}

// isFollowedFor reports whether a peer follows the tables for this node.
func (s *System) isFollowedFor(now time.Duration) bool {
	if !s.isUpToDate() {
		return false
	}
	for id, b := range s.bulletins {
		row := s.m.Nodes.Get(id)
		if row != nil && row.Entry.DataCentre == s.t.Self.DataCentre && id < s.t.Self.ID &&
			now-s.m.PeerStatusAt[id] < heardFor && isRecent(b.StoreReplyAge) {
			return true
		}
	}
	return false
}

// holderFollows reports whether the holder of the formation lease passes on the
// list of instances, which changes all the time.
func (s *System) holderFollows(now time.Duration) bool {
	holder := s.m.Lease.Row.Holder
	b := s.bulletins[holder]
	if s.hubs != nil && !s.hubs[s.t.Self.ID] {
		// A leaf gets the rows from its hub.
		b = s.bulletins[s.primaryHub(now)]
		holder = s.primaryHub(now)
	}
	at, heard := s.m.PeerStatusAt[holder]
	return s.isUpToDate() && b != nil && heard && now-at < heardFor && isRecent(b.InstancesAge)
}

// isUpToDate reports whether this node holds all tables, so that rows passed on
// follow those that it has.
func (s *System) isUpToDate() bool {
	for i := range s.m.Tables {
		if !s.m.Tables[i].Loaded {
			return false
		}
	}
	return true
}

// passOn gives rows to the peers that do not follow the store: those of the own
// data centre, and the leaves of a hub. The holder of the formation lease gives
// the list of instances to all. A hub that got rows from another hub gives them
// to its leaves only.
func (s *System) passOn(rows state.TableUpdate, since uint64, from state.NodeID, out *state.Outbox) {
	if from != "" && !s.hubs[s.t.Self.ID] {
		return
	}
	rows.BaseRevision = since
	rows.Revision = s.m.Tables[rows.Table].Revision
	lease := s.t.Leases.Get(state.FormationLeaseName)
	everywhere := from == "" && rows.Table == state.InstanceTable && lease != nil && lease.HeldUntil > 0
	for _, id := range state.SortedKeys(s.linked) {
		row := s.m.Nodes.Get(id)
		if id == from || row == nil || from != "" && s.hubs[id] || !everywhere && row.Entry.DataCentre != s.t.Self.DataCentre {
			continue
		}
		out.Add(state.SendPeer{To: id, Message: state.Message{TableUpdate: &rows}})
	}
}

// witness is what one node, or a hub for its leaves, says of its streams.
type witness struct {
	loads   []state.TargetLoad
	stalled []state.HostID
}

func (s *System) witnesses(which func(state.NodeID) bool) []witness {
	all := []witness{{s.ownLoads(), state.SortedKeys(s.m.StalledTargets)}}
	for _, id := range state.SortedKeys(s.bulletins) {
		if b := s.bulletins[id]; !b.ClusterTotals && which(id) {
			all = append(all, witness{b.Loads, b.StalledTargets})
		}
	}
	return all
}

// unanimous returns the targets that are silent for every witness with streams
// there, with the number of such witnesses. One node that is slow, or whose links
// lose packets, finds all its targets silent.
func unanimous(all []witness) map[state.HostID]int {
	count, flows := map[state.HostID]int{}, map[state.HostID]bool{}
	for _, w := range all {
		for _, id := range w.stalled {
			count[id]++
		}
		for _, l := range w.loads {
			flows[l.Target] = flows[l.Target] || l.Running > 0 && !slices.Contains(w.stalled, l.Target)
		}
	}
	for id := range flows {
		if flows[id] {
			delete(count, id)
		}
	}
	return count
}

// minWitnesses is the number of nodes that must find a target silent, where there
// are as many.
const minWitnesses = 2

// findSilent keeps the targets that all nodes with streams there find silent.
func (s *System) findSilent(now time.Duration) {
	all := s.witnesses(func(state.NodeID) bool { return true })
	count := unanimous(all)
	for id := range s.m.GloballyStalledTargets {
		if count[id] < min(minWitnesses, len(all)) {
			delete(s.m.GloballyStalledTargets, id)
		}
	}
	for id, n := range count {
		if _, known := s.m.GloballyStalledTargets[id]; !known && n >= min(minWitnesses, len(all)) {
			s.m.GloballyStalledTargets[id] = now
		}
	}
}

// sum adds counts by target.
func sum(lists [][]state.TargetLoad) []state.TargetLoad {
	byTarget := map[state.HostID]*state.TargetLoad{}
	for _, list := range lists {
		for _, l := range list {
			t := byTarget[l.Target]
			if t == nil {
				t = &state.TargetLoad{Target: l.Target}
				byTarget[l.Target] = t
			}
			t.Running += l.Running
			t.Waiting += l.Waiting
			t.WaitingTokens += l.WaitingTokens
		}
	}
	out := make([]state.TargetLoad, 0, len(byTarget))
	for _, id := range state.SortedKeys(byTarget) {
		out = append(out, *byTarget[id])
	}
	return out
}

// subtract takes a node's own counts from the sums over all nodes. The sums may
// be older than the own counts, so that a difference is never below zero.
func subtract(total, own []state.TargetLoad) []state.TargetLoad {
	minus := map[state.HostID]state.TargetLoad{}
	for _, l := range own {
		minus[l.Target] = l
	}
	out := make([]state.TargetLoad, 0, len(total))
	for _, l := range total {
		m := minus[l.Target]
		out = append(out, state.TargetLoad{
			Target: l.Target, Running: max(l.Running-m.Running, 0), Waiting: max(l.Waiting-m.Waiting, 0),
			WaitingTokens: max(l.WaitingTokens-m.WaitingTokens, 0),
		})
	}
	return out
}

func sumDemand(list []map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for _, demand := range list {
		for model, work := range demand {
			out[model] += work
		}
	}
	return out
}

func demandList(demand map[string]float64) []state.ModelDemand {
	var out []state.ModelDemand
	for _, model := range state.SortedKeys(demand) {
		out = append(out, state.ModelDemand{Model: model, Work: demand[model]})
	}
	return out
}

func union(a, b map[state.HostID]time.Duration) []state.HostID {
	all := map[state.HostID]bool{}
	for id := range a {
		all[id] = true
	}
	for id := range b {
		all[id] = true
	}
	return state.SortedKeys(all)
}
