// Package routing chooses the target of a request: filter, score, pick.
package routing

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/membership"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// heardFor is how long the counts of a peer hold for borrowing.
const heardFor = 2 * time.Second

// System reads Config, Groups, Hosts, Peers and the attempt columns of
// Requests; it writes Targets.
type System struct {
	t        *state.Tables
	version  state.Version
	accepted state.Version
	groups   *state.DirtySet[state.GroupID]
	hosts    *state.DirtySet[state.HostID]
	peers    *state.DirtySet[state.NodeID]
	// suspects are the targets to which a connection failed.
	suspects []state.TargetID
	requests *state.DirtySet[state.RequestID]
	// held maps requests that may resume to the target that keeps their place.
	held     map[state.RequestID]*track
	tracks   map[state.TargetID]*track
	models   map[string][]*track
	services map[string][]*track
	distance map[state.DataCentre]float64
	loads    map[state.NodeID][]state.TargetCount
	seen     map[state.HostID]seenHost
	fetches  *state.DueQueue[state.TargetID]
	expiry   *state.DueQueue[state.TargetID]
	hints    *hints
	// unheard counts registered peers whose counts are too old.
	unheard   int
	nextHeard time.Duration
	grew      bool
	scratch   []scored
	// registry and previous are the node lists that the ranks are for.
	registry []state.NodeEntry
	previous []state.NodeEntry
	unranked bool
}

// track is what this node knows about a target besides its row.
type track struct {
	row *state.Target
	// group is the row of the target's group; nil for a replica of a service.
	group *state.Group
	// distance is the price of the way to the target's data centre.
	distance float64
	// rank and oldRank are this node's places in the rendezvous order of the
	// registry and of the one before it; negative when it is not registered.
	rank    int
	oldRank int
	// declared is false once the configuration has dropped the target.
	declared bool
	lastUsed time.Duration
	fetching bool
	// sentSinceFetch counts attempts since the last load request.
	sentSinceFetch int
	peersAtReport  int
	hasReport      bool
	firstTokens    int
	usualFirst     time.Duration
	hostLeaving    bool
	// asked is set once a load request was answered or failed; askedAt dates it.
	asked   bool
	askedAt time.Duration
	whole   bool
	wholeAt time.Duration
}

type seenHost struct {
	address string
	group   state.GroupID
	leaving bool
}

// New returns the routing system.
func New(t *state.Tables) *System {
	return &System{
		t: t, groups: t.Groups.Subscribe(), hosts: t.Hosts.Subscribe(), peers: t.Peers.Subscribe(),
		requests: t.Requests.Subscribe(), held: map[state.RequestID]*track{},
		tracks: map[state.TargetID]*track{}, loads: map[state.NodeID][]state.TargetCount{},
		seen:    map[state.HostID]seenHost{},
		fetches: state.NewDueQueue[state.TargetID](), expiry: state.NewDueQueue[state.TargetID](),
		hints: newHints(),
	}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	c := &s.t.Config
	if c.Loaded && (s.version != c.Head.Version || s.accepted != c.AcceptedVersion) {
		s.version, s.accepted = c.Head.Version, c.AcceptedVersion
		s.rebuild(now)
	}
	for _, id := range s.hosts.Take() {
		s.hostChanged(id)
	}
	for _, id := range s.groups.Take() {
		s.groupChanged(now, id)
	}
	for _, id := range s.requests.Take() {
		s.releaseHeld(id)
	}
	for _, id := range s.peers.Take() {
		s.peerChanged(id)
	}
	switch in := in.(type) {
	case state.AttemptEvent:
		s.attempted(now, in, out)
	case state.LoadReport:
		s.reported(now, in, out)
	case state.Tick:
		s.tick(now, out)
	}
	s.clearSuspects()
}

// CapacityGrew reports whether a target may take more than at the last call.
func (s *System) CapacityGrew() bool {
	grew := s.grew
	s.grew = false
	return grew
}

// rebuild takes the targets from the configuration.
func (s *System) rebuild(now time.Duration) {
	doc, head := &s.t.Config.Document, &s.t.Config.Head
	idle := s.t.Config.Preset().DisabledGroups
	s.models, s.services, s.grew = map[string][]*track{}, map[string][]*track{}, true
	for _, tr := range s.tracks {
		tr.declared = false
	}
	s.measure(doc)
	for _, g := range doc.Groups {
		tr := s.track(state.TargetID(g.Name))
		row := tr.row
		row.Group, row.DataCentre, row.Model, row.Version = g.Name, g.DataCentre, g.Model, g.Version
		row.Adapters, row.ColdLimit, row.WarmLimit = g.Adapters, g.ColdLimit, g.WarmLimit
		row.Disabled = slices.Contains(idle, g.Name)
		s.models[g.Model] = append(s.models[g.Model], tr)
		s.groupChanged(now, g.Name)
	}
	for _, svc := range doc.Services {
		for _, r := range svc.Replicas {
			tr := s.track(state.TargetID(svc.Name + "/" + r.Name))
			row := tr.row
			row.Service, row.DataCentre, row.Address = svc.Name, r.DataCentre, r.Address
			row.ColdLimit, row.WarmLimit, row.Disabled = svc.ColdLimit, svc.WarmLimit, false
			s.services[svc.Name] = append(s.services[svc.Name], tr)
		}
	}
	for _, id := range slices.Clone(s.t.Targets.Keys()) {
		tr := s.tracks[id]
		if tr == nil {
			continue
		}
		tr.row.Disabled = tr.row.Disabled || !tr.declared ||
			slices.Contains(head.DisabledDataCentres, tr.row.DataCentre) || slices.Contains(head.DisabledTargets, id)
		if !tr.declared && tr.row.InFlight == 0 {
			s.drop(id)
			continue
		}
		tr.distance = s.distance[tr.row.DataCentre]
		s.t.Targets.Touch(id)
	}
	s.rankAll()
	for _, tr := range s.tracks {
		s.limit(now, tr)
	}
}

// rankAll places this node in the rendezvous order of each target. It hashes
// every pair of target and node, so it runs only when one of them is new.
func (s *System) rankAll() {
	c := &s.t.Config
	if !s.unranked && sameNodes(s.registry, c.Head.Nodes) && sameNodes(s.previous, c.PreviousNodes) {
		return
	}
	s.registry, s.previous, s.unranked = c.Head.Nodes, c.PreviousNodes, false
	for id, tr := range s.tracks {
		tr.rank, tr.oldRank = s.rank(id, s.registry), s.rank(id, s.previous)
	}
}

func sameNodes(a, b []state.NodeEntry) bool {
	return slices.EqualFunc(a, b, func(x, y state.NodeEntry) bool { return x.ID == y.ID })
}

func (s *System) track(id state.TargetID) *track {
	tr := s.tracks[id]
	if tr == nil {
		tr = &track{row: &state.Target{ID: id, PeerInFlight: s.peerInFlight(id)}, rank: -1, oldRank: -1}
		s.unranked = true
		s.tracks[id] = tr
		s.t.Targets.Put(id, tr.row)
	}
	tr.declared = true
	return tr
}

// peerInFlight sums what the peers last reported about a target.
func (s *System) peerInFlight(id state.TargetID) int {
	sum := 0
	for _, loads := range s.loads {
		for _, c := range loads {
			if c.Target == id {
				sum += c.Count
			}
		}
	}
	return sum
}

func (s *System) drop(id state.TargetID) {
	delete(s.tracks, id)
	s.fetches.Cancel(id)
	s.expiry.Cancel(id)
	s.t.Targets.Delete(id)
}

// groupChanged takes the address and the readiness of a group.
func (s *System) groupChanged(now time.Duration, id state.GroupID) {
	group, tr := s.t.Groups.Get(id), s.tracks[state.TargetID(id)]
	if tr == nil {
		return
	}
	tr.group = group
	if group == nil {
		tr.whole, tr.row.Address = false, ""
		return
	}
	stale := now-tr.wholeAt > membership.VerdictFor
	if group.Healthy && (!tr.whole || stale) {
		s.grew = true
	}
	tr.whole, tr.wholeAt = group.Healthy, group.HealthyAt
	s.locate(group, tr)
}

func (s *System) locate(group *state.Group, tr *track) {
	if host := s.t.Hosts.Get(group.Leader); host != nil {
		tr.row.Address = host.Address
	}
	tr.hostLeaving = false
	for _, m := range group.Members {
		host := s.t.Hosts.Get(m)
		tr.hostLeaving = tr.hostLeaving || (host != nil && host.Leaving)
	}
	s.setLeaving(tr)
}

func (s *System) setLeaving(tr *track) {
	leaving := tr.hostLeaving || tr.row.Report.Leaving
	if leaving != tr.row.Leaving {
		tr.row.Leaving = leaving
		s.grew = s.grew || !leaving
		s.t.Targets.Touch(tr.row.ID)
	}
}

func (s *System) hostChanged(id state.HostID) {
	host := s.t.Hosts.Get(id)
	if host == nil {
		delete(s.seen, id)
		return
	}
	is := seenHost{host.Address, host.Group, host.Leaving}
	if s.seen[id] == is {
		return
	}
	s.seen[id] = is
	group, tr := s.t.Groups.Get(host.Group), s.tracks[state.TargetID(host.Group)]
	if group != nil && tr != nil {
		s.locate(group, tr)
		s.grew = true
	}
}

// peerChanged moves the difference of a peer's counts into the targets.
func (s *System) peerChanged(id state.NodeID) {
	var loads []state.TargetCount
	if peer := s.t.Peers.Get(id); peer != nil {
		loads = peer.Loads
	}
	old := s.loads[id]
	if slices.Equal(old, loads) {
		return
	}
	for _, c := range old {
		if tr := s.tracks[c.Target]; tr != nil {
			tr.row.PeerInFlight -= c.Count
		}
	}
	for _, c := range loads {
		if tr := s.tracks[c.Target]; tr != nil {
			tr.row.PeerInFlight += c.Count
		}
	}
	s.loads[id] = slices.Clone(loads)
	s.grew = true
}

func (s *System) tick(now time.Duration, out *state.Outbox) {
	s.fetch(now, out)
	for id, ok := s.expiry.Pop(now); ok; id, ok = s.expiry.Pop(now) {
		if tr := s.tracks[id]; tr != nil {
			s.limit(now, tr)
		}
	}
	if now < s.nextHeard {
		return
	}
	s.nextHeard = now + heardFor/8
	before := s.unheard
	s.unheard = 0
	for _, e := range s.t.Config.Head.Nodes {
		peer := s.t.Peers.Get(e.ID)
		if e.ID != s.t.Self.ID && (peer == nil || now-peer.LastReplyAt > heardFor) {
			s.unheard++
		}
	}
	s.grew = s.grew || s.unheard < before
}
