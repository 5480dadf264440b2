package formation

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// standTime is how long the leader of a group whose member is lost stands
	// still before it breaks by itself, with a margin. A leader that nobody
	// reaches may still be in that state. The platform gives 5 s.
	standTime = 5500 * time.Millisecond
	// stuckAfter is how long a group may be silent while all its members answer
	// questions before it is formed anew: the leader does not reach a member.
	stuckAfter = 900 * time.Millisecond
	// unknownMember is how long a member of an open group may be missing from the
	// list without this node ever having seen it.
	unknownMember = time.Second
	// entriesTime is how long after an outage of the store hosts may take to write
	// what they could not write in it. The platform gives 2 s.
	entriesTime = 2 * time.Second
	// forgetGroup is how long a group is remembered that no host names.
	forgetGroup = 20 * time.Second
)

// group is a replica group as its hosts report it, also one whose entries have
// lapsed meanwhile.
type group struct {
	id      state.GroupID
	epoch   uint64
	service string
	model   string
	// members are ordered by rank; an empty id stands for a member never seen.
	members []state.HostID
	seenAt  time.Duration
	// firstAt is when the group was first seen.
	firstAt time.Duration
	// open is set once the leader was seen open, at openAt.
	open   bool
	openAt time.Duration
	// over is set once the process of the leader is known to be gone; leaderBorn
	// tells its lives apart.
	over       bool
	leaderBorn int64
	// brokenAt is when a member was first known to have left, 0 before. A leader
	// that still works stands still from then on.
	brokenAt time.Duration
	// retiring is set once the group is to end; cut is whether its work is cut off.
	retiring  bool
	cut       bool
	retiredAt time.Duration
	closed    bool
	// converting is set when the hosts go to groups of another model.
	converting bool
	// released is set once the end of the group was logged.
	released bool
	// reported is the phase in the leader's last report.
	reported   state.MemberPhase
	reportedAt time.Duration
	// silentSince is when the group was first found silent; 0 when it is not.
	silentSince time.Duration
	// doubted is set while the leader is to be asked whether the group is over.
	doubted bool
}

// closeWithin is how long the leader may finish its work.
func (g *group) closeWithin() time.Duration {
	if g.converting {
		return convertTime
	}
	return closeTime
}

func (g *group) leader() state.HostID {
	if len(g.members) == 0 {
		return ""
	}
	return g.members[0]
}

// observe takes what the list of instances says of hosts and groups.
func (s *System) observe(now time.Duration) {
	services := map[string]*state.ServiceProfile{}
	for i := range s.m.PlatformConfig.Services {
		services[s.m.PlatformConfig.Services[i].Name] = &s.m.PlatformConfig.Services[i]
	}
	for id, in := range s.m.Instances.All() {
		if p := services[in.Service]; p == nil || p.Engine == nil {
			continue
		}
		h := s.hosts[id]
		if h == nil {
			h = &host{id: id}
			s.hosts[id] = h
		}
		if h.born != in.StartID {
			h.sequenced, h.dead, h.staging, h.sent = false, false, "", nil
		}
		if in.LoadedModel != "" || h.born != in.StartID {
			h.model = in.LoadedModel
		}
		h.row, h.address, h.domain, h.dc, h.born = in, in.Address, in.Domain, in.DataCentre, in.StartID
		if h.staging != "" && slices.Contains(in.StagedModels, h.staging) {
			h.staging = ""
		}
		s.observeMember(now, in)
	}
	for id, h := range s.hosts {
		if s.m.Instances.Get(id) == nil {
			h.row = nil
		}
	}
	for id, g := range s.groups {
		if now-g.seenAt > forgetGroup {
			delete(s.groups, id)
		}
	}
	for id, at := range s.neverOpened {
		if s.groups[id] == nil && now-at > forgetGroup {
			delete(s.neverOpened, id)
		}
	}
}

func (s *System) observeMember(now time.Duration, in *state.Instance) {
	m := in.Membership
	if m.Group == "" {
		return
	}
	g := s.groups[m.Group]
	if g == nil || g.epoch < m.Epoch {
		g = &group{id: m.Group, epoch: m.Epoch, service: in.Service, firstAt: now}
		s.groups[m.Group] = g
	}
	if g.epoch != m.Epoch {
		return
	}
	g.seenAt = now
	for len(g.members) <= m.Rank {
		g.members = append(g.members, "")
	}
	g.members[m.Rank] = in.ID
	if m.Rank == 0 {
		g.leaderBorn = in.StartID
	}
	if in.LoadedModel != "" {
		g.model = in.LoadedModel
	}
	if m.Rank == 0 && m.Phase == state.MemberOpen && !g.open {
		g.open, g.openAt = true, now
	}
	s.hosts[in.ID].last = g
}

// phase returns the phase of a group's leader. It is MemberNone once the leader
// cannot serve any more, and known is false while nobody can tell. A leader that
// this node does not reach may still serve for others, also when its entry has
// lapsed: it is cut off from the store then. It breaks standTime after a member
// has left it.
func (s *System) phase(now time.Duration, g *group) (phase state.MemberPhase, known bool) {
	h := s.hosts[g.leader()]
	switch {
	case h == nil:
		return state.MemberNone, g.leader() != ""
	case g.over:
		return state.MemberNone, true
	case h.row != nil && (h.row.Membership.Group != g.id || h.row.Membership.Epoch != g.epoch):
		return state.MemberNone, true
	case h.row != nil && (!h.dead || h.row.Membership.Phase != state.MemberOpen):
		return h.row.Membership.Phase, true
	case h.row == nil && !h.dead && g.reportedAt > 0 && now-g.reportedAt < 2*probePeriod:
		return g.reported, true
	case !g.open && s.wasNeverOpened(g):
		return state.MemberNone, true
	case g.brokenAt > 0 && now-g.brokenAt > standTime:
		return state.MemberNone, true
	}
	return state.MemberOpen, false
}

// maintain keeps an open group whole, or ends it.
func (s *System) maintain(now time.Duration, g *group, out *state.Outbox) {
	if s.plans[g.id] != nil {
		return
	}
	phase, known := s.phase(now, g)
	leader := s.hosts[g.leader()]
	if leader != nil && leader.row == nil && !leader.dead && g.open && (!known || phase == state.MemberOpen) {
		s.probe(now, leader, out)
	}
	switch phase {
	case state.MemberOpen, state.MemberClosing:
	case state.MemberReady:
		if !g.open && !g.retiring {
			s.adopt(now, g, out)
		}
		if s.plans[g.id] == nil && s.mayOpenLate(g) && now-g.firstAt > disarmAfter {
			s.order(now, leader, state.HostOrder{Operation: state.HostLeave, Group: g.id, Epoch: g.epoch}, out)
		}
		fallthrough
	default:
		if g.retiring && !g.released {
			g.released = true
			out.Log(event.RetiredHostsFreed, slog.String("group", string(g.id)), slog.Duration("took", now-g.retiredAt))
		}
		return
	}
	if !g.retiring {
		if reason, cut := s.defect(now, g, out); reason != "" {
			s.startRetiring(now, g, reason, cut, out)
		}
	}
	if g.retiring {
		s.retire(now, g, leader, phase, out)
	}
}

func (s *System) startRetiring(now time.Duration, g *group, reason string, cut bool, out *state.Outbox, why ...slog.Attr) {
	g.retiring, g.cut, g.retiredAt = true, cut, now
	out.Log(event.GroupRetired, append([]slog.Attr{slog.String("group", string(g.id)), slog.Uint64("epoch", g.epoch),
		slog.String("reason", reason), slog.Bool("cut", cut)}, why...)...)
}

// defect returns why a group must end, and whether its work is to be cut off:
// a group that has lost a member makes nothing any more.
func (s *System) defect(now time.Duration, g *group, out *state.Outbox) (reason string, cut bool) {
	draining := false
	size := s.size(g)
	for rank := range max(size, len(g.members)) {
		if rank >= len(g.members) || g.members[rank] == "" {
			if now-g.firstAt > unknownMember {
				return "member never seen", true
			}
			continue
		}
		h := s.hosts[g.members[rank]]
		switch {
		case h == nil:
			return "member gone", true
		case h.dead && rank > 0:
			if s.flows(g) {
				// The leader reaches it, or the streams would stand still.
				continue
			}
			return "member does not answer", true
		case h.dead:
			return "leader does not answer", true
		case h.row == nil:
			// Its entry lapsed; it may be cut off from the store only.
			s.probe(now, h, out)
			draining = draining || rank == 0
		case h.row.Membership.Group != g.id || h.row.Membership.Epoch != g.epoch:
			return "member left", true
		case h.row.Draining:
			draining = true
		}
	}
	if g.silentSince > 0 && now-g.silentSince > stuckAfter {
		return "silent", true
	}
	if draining {
		return "member leaves", false
	}
	return "", false
}

// disarmAfter is how long a group that is ready and not open may take to become
// one that this node can open itself.
const disarmAfter = 300 * time.Millisecond

// wasNeverOpened reports whether this node gave the group up before it told its
// leader to open.
func (s *System) wasNeverOpened(g *group) bool {
	_, ok := s.neverOpened[g.id]
	return ok
}

// mayOpenLate reports whether an order to open a group, given by an earlier
// holder of the lease or without an answer, may still be carried out. Its leader
// must have begun another order before its members join other groups.
func (s *System) mayOpenLate(g *group) bool {
	h := s.hosts[g.leader()]
	return !g.open && !s.wasNeverOpened(g) && !g.over && h != nil && h.row != nil &&
		h.row.Membership.Group == g.id && h.row.Membership.Epoch == g.epoch
}

// flows reports whether streams of a group go on: some node has streams there
// and none finds the target silent.
func (s *System) flows(g *group) bool {
	leader := g.leader()
	if s.m.StalledTargets[leader] > g.openAt || s.m.PeerStalledTargets[leader] > g.openAt {
		return false
	}
	if own := s.m.Loads[leader]; own != nil && own.Running > 0 {
		return true
	}
	for _, loads := range s.m.PeerLoads {
		if slices.ContainsFunc(loads, func(l state.TargetLoad) bool { return l.Target == leader && l.Running > 0 }) {
			return true
		}
	}
	return false
}

func (s *System) size(g *group) int {
	for i := range s.m.PlatformConfig.Services {
		service := &s.m.PlatformConfig.Services[i]
		if service.Name != g.service || service.Engine == nil {
			continue
		}
		if m := service.Engine.Model(g.model); m != nil {
			return m.GroupSize
		}
	}
	return len(g.members)
}

func (s *System) engine(service string) *state.EngineProfile {
	for i := range s.m.PlatformConfig.Services {
		if s.m.PlatformConfig.Services[i].Name == service {
			return s.m.PlatformConfig.Services[i].Engine
		}
	}
	return nil
}

// stagingProbe is the period of questions to a host that stages a model in an
// outage of the store. A load takes 12 s or more.
const stagingProbe = time.Second

// probeChanging asks the hosts that are about to change, in an outage of the
// store, when the list of instances does not show it: members of groups that
// form or end, and hosts that stage a model.
func (s *System) probeChanging(now time.Duration, out *state.Outbox) {
	for _, id := range state.SortedKeys(s.hosts) {
		h := s.hosts[id]
		switch {
		case h.row == nil || h.dead:
		case h.plan != nil, h.last != nil && h.last.retiring && !h.last.released:
			s.probe(now, h, out)
		case h.staging != "" && now-h.probedAt > stagingProbe:
			s.probe(now, h, out)
		}
	}
}

// probeSuspects asks the members of groups that callers' streams show to be
// silent, and the leaders of groups that are over by what may be out of date.
// Nothing else is probed: questions are charged and take a slot.
func (s *System) probeSuspects(now time.Duration, out *state.Outbox) {
	for _, id := range state.SortedKeys(s.groups) {
		g := s.groups[id]
		if h := s.hosts[g.leader()]; g.doubted && h != nil {
			s.probe(now, h, out)
		}
		if !g.open || s.m.StalledTargets[g.leader()] <= g.openAt && s.m.PeerStalledTargets[g.leader()] <= g.openAt {
			g.silentSince = 0
			continue
		}
		switch since, silent := s.m.GloballyStalledTargets[g.leader()]; {
		case !silent || since <= g.openAt:
			g.silentSince = 0
		case g.silentSince == 0:
			g.silentSince = now
		}
		if g.retiring {
			continue
		}
		for _, member := range g.members {
			if h := s.hosts[member]; h != nil && !h.dead {
				s.probe(now, h, out)
			}
		}
	}
	for _, id := range state.SortedKeys(s.hosts) {
		if h := s.hosts[id]; h.dead && now-h.probedAt > deadProbe && (h.row != nil || now-h.deadAt < standTime) {
			s.probe(now, h, out)
		}
	}
}
