// Package routing chooses the target of a request in three stages: filter, score and
// pick.
package routing

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/membership"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// maxPeerCountAge is how long the in-flight counts of a peer are valid for borrowing.
const maxPeerCountAge = 2 * time.Second

// System is the routing system. It reads Config, Groups, Hosts, Peers and the attempt
// columns of Requests. It writes Targets.
type System struct {
	tables          *state.Tables
	version         state.Version
	acceptedVersion state.Version
	changedGroups   *state.DirtySet[state.GroupID]
	changedHosts    *state.DirtySet[state.HostID]
	changedPeers    *state.DirtySet[state.NodeID]
	// suspects are the targets to which a connection failed.
	suspects        []state.TargetID
	changedRequests *state.DirtySet[state.RequestID]
	// reservations maps requests that may resume to the target whose capacity they
	// still use.
	reservations      map[state.RequestID]*targetState
	targets           map[state.TargetID]*targetState
	targetsByModel    map[string][]*targetState
	targetsByService  map[string][]*targetState
	distancePenalties map[state.DataCentre]float64
	loadsByPeer       map[state.NodeID][]state.TargetCount
	// hostSnapshots are the fields of hosts as last applied to the targets.
	hostSnapshots map[state.HostID]hostSnapshot
	// fetchTimers holds targets by the time of their next load request, reportExpiry
	// by the time at which their load report becomes invalid.
	fetchTimers  *state.DueQueue[state.TargetID]
	reportExpiry *state.DueQueue[state.TargetID]
	hints        *cacheHints
	// stalePeers is the number of registered peers whose in-flight counts are too old.
	stalePeers      int
	nextPeerCheckAt time.Duration
	capacityGrew    bool
	// scratch is the candidate buffer that Pick reuses.
	scratch []scoredTarget
	// rankedNodes and rankedPreviousNodes are the registries for which the ranks were
	// computed. hasUnrankedTarget is set while a new target has no rank.
	rankedNodes         []state.NodeEntry
	rankedPreviousNodes []state.NodeEntry
	hasUnrankedTarget   bool
}

// targetState is the state of a target that is not part of its row.
type targetState struct {
	row *state.Target
	// group is the row of the target's group; nil for a replica of a service.
	group *state.Group
	// distancePenalty is the score penalty for the distance to the target's data centre.
	distancePenalty float64
	// rank and previousRank are the ranks of this node in the rendezvous order of the
	// registry and of the previous registry; negative when it is not registered.
	rank         int
	previousRank int
	// declared is false once the configuration no longer contains the target.
	declared   bool
	lastUsedAt time.Duration
	// fetching is set while load requests are scheduled.
	fetching bool
	// sentSinceFetch counts attempts since the last load request.
	sentSinceFetch int
	// peerInFlightAtReport is the PeerInFlight of the row at the last report.
	peerInFlightAtReport int
	hasReport            bool
	firstTokenCount      int
	meanFirstTokenTime   time.Duration
	// hostLeaving is set while a host of the group is leaving.
	hostLeaving bool
	// checked is set once a load request was answered or failed. checkedAt is the send
	// time of the latest such request.
	checked   bool
	checkedAt time.Duration
	// healthy and healthyAt are the health of the group as last applied.
	healthy   bool
	healthyAt time.Duration
}

// hostSnapshot holds the fields of a host that targets depend on.
type hostSnapshot struct {
	address string
	group   state.GroupID
	leaving bool
}

// New returns the routing system.
func New(tables *state.Tables) *System {
	return &System{
		tables: tables, changedGroups: tables.Groups.Subscribe(), changedHosts: tables.Hosts.Subscribe(), changedPeers: tables.Peers.Subscribe(),
		changedRequests: tables.Requests.Subscribe(), reservations: map[state.RequestID]*targetState{},
		targets: map[state.TargetID]*targetState{}, loadsByPeer: map[state.NodeID][]state.TargetCount{},
		hostSnapshots: map[state.HostID]hostSnapshot{},
		fetchTimers:   state.NewDueQueue[state.TargetID](), reportExpiry: state.NewDueQueue[state.TargetID](),
		hints: newCacheHints(),
	}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	c := &s.tables.Config
	if c.Loaded && (s.version != c.Head.Version || s.acceptedVersion != c.AcceptedVersion) {
		s.version, s.acceptedVersion = c.Head.Version, c.AcceptedVersion
		s.applyConfiguration(now)
	}
	for _, id := range s.changedHosts.Take() {
		s.hostChanged(id)
	}
	for _, id := range s.changedGroups.Take() {
		s.groupChanged(now, id)
	}
	for _, id := range s.changedRequests.Take() {
		s.releaseReservation(id)
	}
	for _, id := range s.changedPeers.Take() {
		s.peerChanged(id)
	}
	switch in := in.(type) {
	case state.AttemptEvent:
		s.handleAttemptEvent(now, in, out)
	case state.LoadReport:
		s.handleLoadReport(now, in, out)
	case state.Tick:
		s.handleTick(now, out)
	}
	s.clearSuspects()
}

// CapacityGrew reports whether a target may accept more requests than at the last call.
func (s *System) CapacityGrew() bool {
	grew := s.capacityGrew
	s.capacityGrew = false
	return grew
}

// applyConfiguration updates the targets, ranks and limits from the configuration in
// force.
func (s *System) applyConfiguration(now time.Duration) {
	doc, head := &s.tables.Config.Document, &s.tables.Config.Head
	disabledGroups := s.tables.Config.Preset().DisabledGroups
	s.targetsByModel, s.targetsByService, s.capacityGrew = map[string][]*targetState{}, map[string][]*targetState{}, true
	for _, target := range s.targets {
		target.declared = false
	}
	s.setDistancePenalties(doc)
	for _, g := range doc.Groups {
		target := s.declareTarget(state.TargetID(g.Name))
		row := target.row
		row.Group, row.DataCentre, row.Model, row.Version = g.Name, g.DataCentre, g.Model, g.Version
		row.Adapters, row.ColdLimit, row.WarmLimit = g.Adapters, g.ColdLimit, g.WarmLimit
		row.Disabled = slices.Contains(disabledGroups, g.Name)
		s.targetsByModel[g.Model] = append(s.targetsByModel[g.Model], target)
		s.groupChanged(now, g.Name)
	}
	for _, svc := range doc.Services {
		for _, r := range svc.Replicas {
			target := s.declareTarget(state.TargetID(svc.Name + "/" + r.Name))
			row := target.row
			row.Service, row.DataCentre, row.Address = svc.Name, r.DataCentre, r.Address
			row.ColdLimit, row.WarmLimit, row.Disabled = svc.ColdLimit, svc.WarmLimit, false
			s.targetsByService[svc.Name] = append(s.targetsByService[svc.Name], target)
		}
	}
	for _, id := range slices.Clone(s.tables.Targets.Keys()) {
		target := s.targets[id]
		if target == nil {
			continue
		}
		target.row.Disabled = target.row.Disabled || !target.declared ||
			slices.Contains(head.DisabledDataCentres, target.row.DataCentre) || slices.Contains(head.DisabledTargets, id)
		if !target.declared && target.row.InFlight == 0 {
			s.removeTarget(id)
			continue
		}
		target.distancePenalty = s.distancePenalties[target.row.DataCentre]
		s.tables.Targets.Touch(id)
	}
	s.updateRanks()
	for _, target := range s.targets {
		s.updateLimit(now, target)
	}
}

// updateRanks computes the rank of this node in the rendezvous order of each target. It
// hashes every pair of target and node, so it runs only when a target is new or a
// registry has changed.
func (s *System) updateRanks() {
	c := &s.tables.Config
	if !s.hasUnrankedTarget && sameNodes(s.rankedNodes, c.Head.Nodes) && sameNodes(s.rankedPreviousNodes, c.PreviousNodes) {
		return
	}
	s.rankedNodes, s.rankedPreviousNodes, s.hasUnrankedTarget = c.Head.Nodes, c.PreviousNodes, false
	for id, target := range s.targets {
		target.rank, target.previousRank = s.nodeRank(id, s.rankedNodes), s.nodeRank(id, s.rankedPreviousNodes)
	}
}

func sameNodes(a, b []state.NodeEntry) bool {
	return slices.EqualFunc(a, b, func(x, y state.NodeEntry) bool { return x.ID == y.ID })
}

// declareTarget returns the state of a target in the configuration and creates it if the
// target is new.
func (s *System) declareTarget(id state.TargetID) *targetState {
	target := s.targets[id]
	if target == nil {
		target = &targetState{row: &state.Target{ID: id, PeerInFlight: s.sumPeerInFlight(id)}, rank: -1, previousRank: -1}
		s.hasUnrankedTarget = true
		s.targets[id] = target
		s.tables.Targets.Put(id, target.row)
	}
	target.declared = true
	return target
}

// sumPeerInFlight returns the requests in flight that the peers last reported for a
// target.
func (s *System) sumPeerInFlight(id state.TargetID) int {
	sum := 0
	for _, loads := range s.loadsByPeer {
		for _, c := range loads {
			if c.Target == id {
				sum += c.Count
			}
		}
	}
	return sum
}

func (s *System) removeTarget(id state.TargetID) {
	delete(s.targets, id)
	s.fetchTimers.Cancel(id)
	s.reportExpiry.Cancel(id)
	s.tables.Targets.Delete(id)
}

// groupChanged updates a target from the members and the health of its group.
func (s *System) groupChanged(now time.Duration, id state.GroupID) {
	group, target := s.tables.Groups.Get(id), s.targets[state.TargetID(id)]
	if target == nil {
		return
	}
	target.group = group
	if group == nil {
		target.healthy, target.row.Address = false, ""
		return
	}
	stale := now-target.healthyAt > membership.MaxHealthEvidenceAge
	if group.Healthy && (!target.healthy || stale) {
		s.capacityGrew = true
	}
	target.healthy, target.healthyAt = group.Healthy, group.HealthyAt
	s.updateFromHosts(group, target)
}

// updateFromHosts sets the address of a target to that of the group's leader and
// determines whether a member is leaving.
func (s *System) updateFromHosts(group *state.Group, target *targetState) {
	if host := s.tables.Hosts.Get(group.Leader); host != nil {
		target.row.Address = host.Address
	}
	target.hostLeaving = false
	for _, m := range group.Members {
		host := s.tables.Hosts.Get(m)
		target.hostLeaving = target.hostLeaving || (host != nil && host.Leaving)
	}
	s.updateLeaving(target)
}

func (s *System) updateLeaving(target *targetState) {
	leaving := target.hostLeaving || target.row.Report.Leaving
	if leaving != target.row.Leaving {
		target.row.Leaving = leaving
		s.capacityGrew = s.capacityGrew || !leaving
		s.tables.Targets.Touch(target.row.ID)
	}
}

func (s *System) hostChanged(id state.HostID) {
	host := s.tables.Hosts.Get(id)
	if host == nil {
		delete(s.hostSnapshots, id)
		return
	}
	snapshot := hostSnapshot{host.Address, host.Group, host.Leaving}
	if s.hostSnapshots[id] == snapshot {
		return
	}
	s.hostSnapshots[id] = snapshot
	group, target := s.tables.Groups.Get(host.Group), s.targets[state.TargetID(host.Group)]
	if group != nil && target != nil {
		s.updateFromHosts(group, target)
		s.capacityGrew = true
	}
}

// peerChanged applies the change of a peer's in-flight counts to the targets.
func (s *System) peerChanged(id state.NodeID) {
	var loads []state.TargetCount
	if peer := s.tables.Peers.Get(id); peer != nil {
		loads = peer.Loads
	}
	previous := s.loadsByPeer[id]
	if slices.Equal(previous, loads) {
		return
	}
	for _, c := range previous {
		if target := s.targets[c.Target]; target != nil {
			target.row.PeerInFlight -= c.Count
		}
	}
	for _, c := range loads {
		if target := s.targets[c.Target]; target != nil {
			target.row.PeerInFlight += c.Count
		}
	}
	s.loadsByPeer[id] = slices.Clone(loads)
	s.capacityGrew = true
}

// handleTick sends due load requests, lowers the limits of targets whose report has
// expired and counts the stale peers.
func (s *System) handleTick(now time.Duration, out *state.Outbox) {
	s.fetchLoads(now, out)
	for id, ok := s.reportExpiry.Pop(now); ok; id, ok = s.reportExpiry.Pop(now) {
		if target := s.targets[id]; target != nil {
			s.updateLimit(now, target)
		}
	}
	if now < s.nextPeerCheckAt {
		return
	}
	s.nextPeerCheckAt = now + maxPeerCountAge/8
	stalePeersBefore := s.stalePeers
	s.stalePeers = 0
	for _, entry := range s.tables.Config.Head.Nodes {
		peer := s.tables.Peers.Get(entry.ID)
		if entry.ID != s.tables.Self.ID && (peer == nil || now-peer.LastReplyAt > maxPeerCountAge) {
			s.stalePeers++
		}
	}
	s.capacityGrew = s.capacityGrew || s.stalePeers < stalePeersBefore
}
