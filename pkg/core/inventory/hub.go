package inventory

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// hubsPerDataCentre is the number of nodes per data centre that relay peer
	// status and table updates in installations without a full mesh. Two of them
	// may fail.
	hubsPerDataCentre = 3
	// leafLinks is the number of hubs that a leaf is linked to: the one that it
	// uses and an immediate replacement.
	leafLinks = 2
)

// chooseHubs returns the hubs of an installation, or nil if all nodes are
// linked with each other: in each data centre the nodes with the largest processor shares. All nodes
// derive the same hubs from the registry.
//
// Load pattern: a hub sends to each leaf ten times a second, and the one that holds the
// formation lease orders and reads all hosts. The machines of an installation may differ several times in
// what they can bear.
func chooseHubs(nodes *state.Table[state.NodeID, state.RegisteredNode]) map[state.NodeID]bool {
	if nodes.Len() <= state.MaxFullMeshNodes {
		return nil
	}
	candidates := make([]*state.RegisteredNode, 0, nodes.Len())
	for _, row := range nodes.All() {
		candidates = append(candidates, row)
	}
	slices.SortStableFunc(candidates, func(a, b *state.RegisteredNode) int {
		return cmp.Compare(b.Entry.ProcessorShare, a.Entry.ProcessorShare)
	})
	hubs, hubCounts := map[state.NodeID]bool{}, map[state.DataCentre]int{}
	for _, row := range candidates {
		if dc := row.Entry.DataCentre; hubCounts[dc] < hubsPerDataCentre {
			hubCounts[dc]++
			hubs[row.Entry.ID] = true
		}
	}
	return hubs
}

// setPeers requests the links for the role of this node: hubs are linked with
// all hubs, leaves with hubs of their own data centre.
func (s *System) setPeers(out *state.Outbox) {
	s.hubs = chooseHubs(s.managed.Nodes)
	s.managed.Hubs = s.hubs
	var peers []state.NodeEntry
	isHub := s.hubs[s.tables.Self.ID]
	for id, row := range s.managed.Nodes.All() {
		switch {
		case id == s.tables.Self.ID, s.hubs != nil && !s.hubs[id]:
		case s.hubs == nil, isHub:
			peers = append(peers, row.Entry)
		case row.Entry.DataCentre == s.tables.Self.DataCentre && len(peers) < leafLinks:
			peers = append(peers, row.Entry)
		}
	}
	if slices.Equal(peers, s.peers) {
		return
	}
	s.peers = peers
	s.managed.TargetInputsVersion++
	out.Add(state.SetPeers{Peers: peers, DialAtOnce: s.hubs != nil && !isHub})
}

// isLeaf reports whether this node is a hub and the peer is a leaf.
func (s *System) isLeaf(id state.NodeID) bool {
	return s.hubs != nil && s.hubs[s.tables.Self.ID] && !s.hubs[id]
}

// primaryHub returns the hub that this leaf uses: the first linked one whose
// status is recent, or else the first linked one that has not sent a status yet, since a
// hub sends none before this leaf does. A hub whose status is old is probably paused.
func (s *System) primaryHub(now time.Duration) state.NodeID {
	silent, untried := state.NodeID(""), state.NodeID("")
	for _, p := range s.peers {
		if !s.linkedPeers[p.ID] {
			continue
		}
		at, hasStatus := s.managed.PeerStatusAt[p.ID]
		switch {
		case hasStatus && now-at < peerStatusTimeout:
			return p.ID
		case hasStatus && silent == "":
			silent = p.ID
		case !hasStatus && untried == "":
			untried = p.ID
		}
	}
	return cmp.Or(untried, silent)
}

// updateWatching decides whether this node watches the tables of the store
// itself. It does not if a peer of its data centre that precedes it reports a
// recent store reply. Calls and bytes of the store are charged, and relayed
// rows arrive within a few milliseconds. The holder of the formation lease
// always watches.
func (s *System) updateWatching(now time.Duration, out *state.Outbox) {
	lease := s.tables.Leases.Get(state.FormationLeaseName)
	isHolder := lease != nil && now < lease.ValidUntil
	watches := isHolder || !s.hasWatchingPeer(now)
	isLeaf := !isHolder && s.hubs != nil && !s.hubs[s.tables.Self.ID]
	desired := state.WatchTables{
		Nodes: watches, Configuration: watches, Instances: isHolder || !s.holderRelaysInstances(now), LowLatency: isHolder,
		LongBackoff: isLeaf, LongDelay: isLeaf, Era: s.managed.StoreEra,
	}
	if s.watchStarted && desired == s.watching {
		return
	}
	if s.watchStarted && desired.Instances != s.watching.Instances {
		s.answers.watchedSince, s.answers.callFailed = now, s.answers.callFailed && desired.Instances
	}
	s.watchStarted, s.watching, s.managed.WatchesStore = true, desired, desired.Nodes
	out.Log(event.StoreWatchChanged, slog.Bool("configuration", desired.Configuration), slog.Bool("instances", desired.Instances))
	// What follows changes often and matters only when a watcher is enabled, so that it is
	// no part of the comparison.
	desired.AnswerSoon = !isLeaf || !s.hasRecentPeerStatus(now)
	for i := range desired.ContinueFrom {
		desired.ContinueFrom[i] = s.completeRevision(now, &s.managed.Tables[i])
	}
	out.Add(desired)
}

// completeRevision returns the revision up to which this node has all rows of a table,
// from the store or from peers, or 0 if the table must be read whole. After the store has
// come back from a copy, nodes hold rows back and relay them later.
func (s *System) completeRevision(now time.Duration, table *state.TableStatus) uint64 {
	era := state.EraOf(table.Revision)
	if !table.Loaded || state.VersionOf(table.Revision) == 0 || era != s.managed.StoreEra || era > 0 && !s.managed.IsEraSettled(now) {
		return 0
	}
	return table.Revision
}

// shouldReleaseLease reports whether another node is the better holder of the formation lease:
// for a leaf, a hub that reaches the store, and for a hub, others with larger processor shares.
// Hubs receive no status from a leaf of another hub: with a leaf as the holder, each of twelve
// hubs watched the list of instances itself.
func (s *System) shouldReleaseLease(now time.Duration) bool {
	switch {
	case s.hubs == nil:
		return false
	case s.hubs[s.tables.Self.ID]:
		return s.largerHubs(now) >= minLargerHubs
	}
	return s.reachesStore(now, s.primaryHub(now))
}

// reachesStore reports whether a peer has a recent status and a recent answer of the store.
func (s *System) reachesStore(now time.Duration, id state.NodeID) bool {
	status := s.peerStatuses[id]
	return status != nil && now-s.managed.PeerStatusAt[id] < peerStatusTimeout && isRecent(status.StoreReplyAge)
}

const (
	// largerHubFactor is how many times larger the processor share of a better holder is.
	largerHubFactor = 1.5
	// minLargerHubs is the number of better holders that must be reachable, since one of them
	// may be shutting down.
	minLargerHubs = 2
)

// largerHubs returns the number of hubs that would hold the formation lease better.
//
// Load pattern: each data centre has two large machines and many small ones, so that its third
// hub is small. With 91 nodes and 171 hosts, of which two are lost each three seconds, a holder
// with 0.192 of a core sent its orders up to 1.5 s late, and 12 of 15 groups were lost in 8 s.
func (s *System) largerHubs(now time.Duration) int {
	own, larger := s.managed.Nodes.Get(s.tables.Self.ID), 0
	if own == nil {
		return 0
	}
	for id := range s.hubs {
		row := s.managed.Nodes.Get(id)
		if row == nil || row.Entry.ProcessorShare <= own.Entry.ProcessorShare || row.Entry.ProcessorShare < largerHubFactor*own.Entry.ProcessorShare {
			continue
		}
		if s.reachesStore(now, id) {
			larger++
		}
	}
	return larger
}

const (
	// relayDelay is how much older evidence of the store may be that has passed through
	// a hub: it waits for one status message at the watching node and one at the hub.
	relayDelay = 2 * state.PeerStatusPeriod
	// hubTakeoverAge is the age of relayed evidence at which a hub watches the store
	// itself. It is below the age at which its leaves do, so that they receive the rows
	// from the hub again before.
	hubTakeoverAge = 2200 * time.Millisecond
)

// isRelayed reports whether evidence in the last status of a peer is recent enough to
// rely on the rows that the peer relays.
//
// Load pattern: the node that watches a table is paused or ends. If all nodes find the
// evidence too old at the same time, each of 295 nodes reads the whole table.
func (s *System) isRelayed(now time.Duration, id state.NodeID, age time.Duration) bool {
	switch {
	case age < 0:
		return false
	case s.hubs == nil:
		return age < maxStoreReplyAge
	case s.hubs[s.tables.Self.ID]:
		return age+now-s.managed.PeerStatusAt[id] < hubTakeoverAge
	}
	return age < maxStoreReplyAge+relayDelay
}

// precedes reports whether a node watches the store before this one: hubs do before their
// leaves, and otherwise those with lower IDs.
func (s *System) precedes(id state.NodeID) bool {
	if isHub := s.hubs[id]; isHub != s.hubs[s.tables.Self.ID] {
		return isHub
	}
	return id < s.tables.Self.ID
}

// hasWatchingPeer reports whether a peer of the same data centre watches the
// tables, or receives them from one that does, and relays them to this node.
func (s *System) hasWatchingPeer(now time.Duration) bool {
	if !s.hasAllTables() {
		return false
	}
	for id, status := range s.peerStatuses {
		row := s.managed.Nodes.Get(id)
		if row != nil && row.Entry.DataCentre == s.tables.Self.DataCentre && s.precedes(id) &&
			now-s.managed.PeerStatusAt[id] < peerStatusTimeout && s.isRelayed(now, id, status.StoreReplyAge) {
			return true
		}
	}
	return s.otherHubFollows(now, state.OperatorTable)
}

// lostHub is the last status of a hub whose link to this leaf has ended.
type lostHub struct {
	status *state.PeerStatus
	at     time.Duration
}

// otherHubFollows reports whether this leaf has lost its hub so recently that another one,
// which is linked and relays the rows already, cannot have sent a status yet.
//
// Load pattern: a hub ends. Its leaves, 27 of 91 nodes, had no status of another hub, and
// each of them read all tables and watched them for a second.
func (s *System) otherHubFollows(now time.Duration, table state.TableKind) bool {
	lost := s.lostHub
	if lost.status == nil || now-lost.at >= peerStatusTimeout || s.hubs == nil || s.hubs[s.tables.Self.ID] || s.primaryHub(now) == "" {
		return false
	}
	age := lost.status.StoreReplyAge
	if table == state.InstanceTable {
		age = lost.status.InstancesAge
	}
	return age >= 0 && age+now-lost.at < maxStoreReplyAge+relayDelay
}

// holderRelaysInstances reports whether the holder of the formation lease
// relays the list of instances, which changes continuously.
func (s *System) holderRelaysInstances(now time.Duration) bool {
	holder := s.managed.Lease.Row.Holder
	status := s.peerStatuses[holder]
	if s.hubs != nil && !s.hubs[s.tables.Self.ID] {
		// A leaf receives the rows from its hub.
		status = s.peerStatuses[s.primaryHub(now)]
		holder = s.primaryHub(now)
	}
	if !s.hasAllTables() {
		return false
	}
	at, hasStatus := s.managed.PeerStatusAt[holder]
	return status != nil && hasStatus && now-at < peerStatusTimeout && s.isRelayed(now, holder, status.InstancesAge) ||
		s.otherHubFollows(now, state.InstanceTable)
}

// hasAllTables reports whether this node has loaded all tables, so that relayed
// rows can be applied to them.
func (s *System) hasAllTables() bool {
	for i := range s.managed.Tables {
		if !s.managed.Tables[i].Loaded {
			return false
		}
	}
	return true
}

// relayUpdate sends rows to the peers that do not watch the store: those of the
// same data centre, which include the leaves of a hub. The holder of the
// formation lease sends the list of instances to all linked peers. A hub sends
// rows from another hub only to its leaves.
func (s *System) relayUpdate(rows state.TableUpdate, baseRevision uint64, from state.NodeID, out *state.Outbox) {
	if from != "" && !s.hubs[s.tables.Self.ID] {
		return
	}
	rows.BaseRevision = baseRevision
	rows.Revision = s.managed.Tables[rows.Table].Revision
	lease := s.tables.Leases.Get(state.FormationLeaseName)
	toAllDataCentres := from == "" && rows.Table == state.InstanceTable && lease != nil && lease.ValidUntil > 0
	for _, id := range state.SortedKeys(s.linkedPeers) {
		row := s.managed.Nodes.Get(id)
		if id == from || row == nil || from != "" && s.hubs[id] || !toAllDataCentres && row.Entry.DataCentre != s.tables.Self.DataCentre {
			continue
		}
		out.Add(state.SendPeer{To: id, Message: state.Message{TableUpdate: &rows}})
	}
}

// streamReport holds the loads and stalled targets that one node, or a hub for
// its leaves, has reported.
type streamReport struct {
	loads   []state.TargetLoad
	stalled []state.HostID
}

func (s *System) streamReports(include func(state.NodeID) bool) []streamReport {
	reports := []streamReport{{s.ownLoads(), state.SortedKeys(s.managed.StalledTargets)}}
	for _, id := range state.SortedKeys(s.peerStatuses) {
		if status := s.peerStatuses[id]; !status.ClusterTotals && include(id) {
			reports = append(reports, streamReport{status.Loads, status.StalledTargets})
		}
	}
	return reports
}

// unanimouslyStalled returns the targets that all reporters with streams to
// them find stalled, with the number of reporters. A single node that is slow,
// or whose links lose packets, finds all its targets stalled.
//
// Load pattern: 99 replicas lose the answers of 4 in 100 requests for 4 s. With 91 nodes, some
// node has just lost a connection to each of two thirds of the targets, and the other nodes
// have streams there that go on. If a report of one node kept all of them away, they would
// refuse requests while half of the slots are free.
func unanimouslyStalled(reports []streamReport) map[state.HostID]int {
	stallCounts, active := map[state.HostID]int{}, map[state.HostID]bool{}
	for _, report := range reports {
		for _, id := range report.stalled {
			stallCounts[id]++
		}
		for _, l := range report.loads {
			active[l.Target] = active[l.Target] || l.Running > 0 && !slices.Contains(report.stalled, l.Target)
		}
	}
	for id := range active {
		if active[id] {
			delete(stallCounts, id)
		}
	}
	return stallCounts
}

// minStallReporters is the number of nodes that must find a target stalled.
// One is enough if no other node has reported.
const minStallReporters = 2

// updateGloballyStalled updates the targets that all nodes with streams to them
// find stalled.
func (s *System) updateGloballyStalled(now time.Duration) {
	reports := s.streamReports(func(state.NodeID) bool { return true })
	stallCounts := unanimouslyStalled(reports)
	s.stallReporters = stallCounts
	for id := range s.managed.GloballyStalledTargets {
		if stallCounts[id] < min(minStallReporters, len(reports)) {
			delete(s.managed.GloballyStalledTargets, id)
		}
	}
	for id, n := range stallCounts {
		if _, known := s.managed.GloballyStalledTargets[id]; !known && n >= min(minStallReporters, len(reports)) {
			s.managed.GloballyStalledTargets[id] = now
		}
	}
}

// sumLoads adds up loads by target.
func sumLoads(lists [][]state.TargetLoad) []state.TargetLoad {
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

// subtractLoads subtracts the loads of a node from the sums over all nodes. The
// sums may be older than the node's loads, so a difference is at least zero.
func subtractLoads(total, own []state.TargetLoad) []state.TargetLoad {
	ownByTarget := map[state.HostID]state.TargetLoad{}
	for _, l := range own {
		ownByTarget[l.Target] = l
	}
	out := make([]state.TargetLoad, 0, len(total))
	for _, l := range total {
		m := ownByTarget[l.Target]
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
