package formation

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// leaderBreakTime is how long the leader of a group whose member is lost stands
	// still before it breaks by itself, with a margin. A leader that nobody
	// reaches may still be in that state. The platform gives 5 s.
	leaderBreakTime = 5500 * time.Millisecond
	// stuckTimeout is how long a group may be silent while all its members answer
	// questions before it is formed anew: the leader does not reach a member.
	stuckTimeout = 900 * time.Millisecond
	// unknownMemberTimeout is how long a member of an open group may be missing from the
	// list without this node ever having seen it.
	unknownMemberTimeout = time.Second
	// entryCatchUpTime is how long after an outage of the store hosts may take to write
	// what they could not write in it. The platform gives 2 s.
	entryCatchUpTime = 2 * time.Second
	// groupRetention is how long a group is remembered that no host names.
	groupRetention = 20 * time.Second
)

// group is a replica group as its hosts report it, also one whose entries have
// lapsed meanwhile.
type group struct {
	id      state.GroupID
	epoch   uint64
	service string
	model   string
	// members are ordered by rank; an empty id stands for a member never seen.
	members    []state.HostID
	lastSeenAt time.Duration
	// firstSeenAt is when the group was first seen.
	firstSeenAt time.Duration
	// opened is set once the leader was seen open, at openAt.
	opened   bool
	openedAt time.Duration
	// leaderGone is set once the process of the leader is known to be gone; leaderBorn
	// tells its lives apart.
	leaderGone    bool
	leaderStartID int64
	// memberLeftAt is when a member was first known to have left, 0 before. A leader
	// that still works stands still from then on.
	memberLeftAt time.Duration
	// retiring is set once the group is to end; cut is whether its work is cut off.
	retiring         bool
	closeImmediately bool
	retiredAt        time.Duration
	closeStarted     bool
	// converting is set when the hosts go to groups of another model.
	converting bool
	// released is set once the end of the group was logged.
	released bool
	// reportedPhase is the phase in the leader's last report.
	reportedPhase state.MemberPhase
	reportedAt    time.Duration
	// silentSince is when the group was first found silent; 0 when it is not.
	silentSince time.Duration
	// needsConfirmation is set while the leader is to be asked whether the group is over.
	needsConfirmation bool
}

// closeTimeLimit is how long the leader may finish its work.
func (g *group) closeTimeLimit() time.Duration {
	if g.converting {
		return conversionCloseTimeout
	}
	return gracefulCloseTimeout
}

func (g *group) leader() state.HostID {
	if len(g.members) == 0 {
		return ""
	}
	return g.members[0]
}

// observeInstances takes what the list of instances says of hosts and groups.
func (s *System) observeInstances(now time.Duration) {
	services := map[string]*state.ServiceProfile{}
	for i := range s.managed.PlatformConfig.Services {
		services[s.managed.PlatformConfig.Services[i].Name] = &s.managed.PlatformConfig.Services[i]
	}
	for id, instance := range s.managed.Instances.All() {
		if profile := services[instance.Service]; profile == nil || profile.Engine == nil {
			continue
		}
		h := s.hosts[id]
		if h == nil {
			h = &host{id: id}
			s.hosts[id] = h
		}
		if h.startID != instance.StartID {
			h.sequenceKnown, h.dead, h.stagingModel, h.orderInFlight = false, false, "", nil
		}
		if instance.LoadedModel != "" || h.startID != instance.StartID {
			h.model = instance.LoadedModel
		}
		h.row, h.address, h.domain, h.dataCentre, h.startID = instance, instance.Address, instance.Domain, instance.DataCentre, instance.StartID
		if h.stagingModel != "" && slices.Contains(instance.StagedModels, h.stagingModel) {
			h.stagingModel = ""
		}
		s.observeMember(now, instance)
	}
	for id, h := range s.hosts {
		if s.managed.Instances.Get(id) == nil {
			h.row = nil
		}
	}
	for id, g := range s.groups {
		if now-g.lastSeenAt > groupRetention {
			delete(s.groups, id)
		}
	}
	for id, at := range s.neverOpened {
		if s.groups[id] == nil && now-at > groupRetention {
			delete(s.neverOpened, id)
		}
	}
}

func (s *System) observeMember(now time.Duration, instance *state.Instance) {
	membership := instance.Membership
	if membership.Group == "" {
		return
	}
	g := s.groups[membership.Group]
	if g == nil || g.epoch < membership.Epoch {
		g = &group{id: membership.Group, epoch: membership.Epoch, service: instance.Service, firstSeenAt: now}
		s.groups[membership.Group] = g
	}
	if g.epoch != membership.Epoch {
		return
	}
	g.lastSeenAt = now
	for len(g.members) <= membership.Rank {
		g.members = append(g.members, "")
	}
	g.members[membership.Rank] = instance.ID
	if membership.Rank == 0 {
		g.leaderStartID = instance.StartID
	}
	if instance.LoadedModel != "" {
		g.model = instance.LoadedModel
	}
	if membership.Rank == 0 && membership.Phase == state.MemberOpen && !g.opened {
		g.opened, g.openedAt = true, now
	}
	s.hosts[instance.ID].lastGroup = g
}

// leaderPhase returns the phase of a group's leader. It is MemberNone once the leader
// cannot serve any more, and known is false while nobody can tell. A leader that
// this node does not reach may still serve for others, also when its entry has
// lapsed: it is cut off from the store then. It breaks standTime after a member
// has left it.
func (s *System) leaderPhase(now time.Duration, g *group) (phase state.MemberPhase, known bool) {
	leader := s.hosts[g.leader()]
	switch {
	case leader == nil:
		return state.MemberNone, g.leader() != ""
	case g.leaderGone:
		return state.MemberNone, true
	case leader.row != nil && (leader.row.Membership.Group != g.id || leader.row.Membership.Epoch != g.epoch):
		return state.MemberNone, true
	case leader.row != nil && (!leader.dead || leader.row.Membership.Phase != state.MemberOpen):
		return leader.row.Membership.Phase, true
	case leader.row == nil && !leader.dead && g.reportedAt > 0 && now-g.reportedAt < 2*minProbeInterval:
		return g.reportedPhase, true
	case !g.opened && s.wasNeverOpened(g):
		return state.MemberNone, true
	case g.memberLeftAt > 0 && now-g.memberLeftAt > leaderBreakTime:
		return state.MemberNone, true
	}
	return state.MemberOpen, false
}

// maintainGroup keeps an open group whole, or ends it.
func (s *System) maintainGroup(now time.Duration, g *group, out *state.Outbox) {
	if s.plans[g.id] != nil {
		return
	}
	phase, known := s.leaderPhase(now, g)
	leader := s.hosts[g.leader()]
	if leader != nil && leader.row == nil && !leader.dead && g.opened && (!known || phase == state.MemberOpen) {
		s.probe(now, leader, out)
	}
	switch phase {
	case state.MemberOpen, state.MemberClosing:
	case state.MemberReady:
		if !g.opened && !g.retiring {
			s.adoptGroup(now, g, out)
		}
		if s.plans[g.id] == nil && s.mayOpenLate(g) && now-g.firstSeenAt > adoptionTimeout {
			s.sendOrder(now, leader, state.HostOrder{Operation: state.HostLeave, Group: g.id, Epoch: g.epoch}, out)
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
		if reason, closeImmediately := s.retireReason(now, g, out); reason != "" {
			s.startRetiring(now, g, reason, closeImmediately, out)
		}
	}
	if g.retiring {
		s.retireGroup(now, g, leader, phase, out)
	}
}

func (s *System) startRetiring(now time.Duration, g *group, reason string, closeImmediately bool, out *state.Outbox, attrs ...slog.Attr) {
	g.retiring, g.closeImmediately, g.retiredAt = true, closeImmediately, now
	out.Log(event.GroupRetired, append([]slog.Attr{slog.String("group", string(g.id)), slog.Uint64("epoch", g.epoch),
		slog.String("reason", reason), slog.Bool("cut", closeImmediately)}, attrs...)...)
}

// retireReason returns why a group must end, and whether its work is to be cut off:
// a group that has lost a member makes nothing any more.
func (s *System) retireReason(now time.Duration, g *group, out *state.Outbox) (reason string, closeImmediately bool) {
	draining := false
	size := s.groupSize(g)
	for rank := range max(size, len(g.members)) {
		if rank >= len(g.members) || g.members[rank] == "" {
			if now-g.firstSeenAt > unknownMemberTimeout {
				return "member never seen", true
			}
			continue
		}
		h := s.hosts[g.members[rank]]
		switch {
		case h == nil:
			return "member gone", true
		case h.dead && rank > 0:
			if s.hasActiveStreams(g) {
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
	if g.silentSince > 0 && now-g.silentSince > stuckTimeout {
		return "silent", true
	}
	if draining {
		return "member leaves", false
	}
	return "", false
}

// adoptionTimeout is how long a group that is ready and not open may take to become
// one that this node can open itself.
const adoptionTimeout = 300 * time.Millisecond

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
	leader := s.hosts[g.leader()]
	return !g.opened && !s.wasNeverOpened(g) && !g.leaderGone && leader != nil && leader.row != nil &&
		leader.row.Membership.Group == g.id && leader.row.Membership.Epoch == g.epoch
}

// hasActiveStreams reports whether streams of a group go on: some node has streams there
// and none finds the target silent.
func (s *System) hasActiveStreams(g *group) bool {
	leader := g.leader()
	if s.managed.StalledTargets[leader] > g.openedAt || s.managed.PeerStalledTargets[leader] > g.openedAt {
		return false
	}
	if load := s.managed.Loads[leader]; load != nil && load.Running > 0 {
		return true
	}
	for _, loads := range s.managed.PeerLoads {
		if slices.ContainsFunc(loads, func(l state.TargetLoad) bool { return l.Target == leader && l.Running > 0 }) {
			return true
		}
	}
	return false
}

func (s *System) groupSize(g *group) int {
	for i := range s.managed.PlatformConfig.Services {
		service := &s.managed.PlatformConfig.Services[i]
		if service.Name != g.service || service.Engine == nil {
			continue
		}
		if m := service.Engine.Model(g.model); m != nil {
			return m.GroupSize
		}
	}
	return len(g.members)
}

func (s *System) engineProfile(service string) *state.EngineProfile {
	for i := range s.managed.PlatformConfig.Services {
		if s.managed.PlatformConfig.Services[i].Name == service {
			return s.managed.PlatformConfig.Services[i].Engine
		}
	}
	return nil
}

// stagingProbePeriod is the period of questions to a host that stages a model in an
// outage of the store. A load takes 12 s or more.
const stagingProbePeriod = time.Second

// probeChanging asks the hosts that are about to change, in an outage of the
// store, when the list of instances does not show it: members of groups that
// form or end, and hosts that stage a model.
func (s *System) probeChanging(now time.Duration, out *state.Outbox) {
	for _, id := range state.SortedKeys(s.hosts) {
		h := s.hosts[id]
		switch {
		case h.row == nil || h.dead:
		case h.plan != nil, h.lastGroup != nil && h.lastGroup.retiring && !h.lastGroup.released:
			s.probe(now, h, out)
		case h.stagingModel != "" && now-h.probedAt > stagingProbePeriod:
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
		if h := s.hosts[g.leader()]; g.needsConfirmation && h != nil {
			s.probe(now, h, out)
		}
		if !g.opened || s.managed.StalledTargets[g.leader()] <= g.openedAt && s.managed.PeerStalledTargets[g.leader()] <= g.openedAt {
			g.silentSince = 0
			continue
		}
		switch since, silent := s.managed.GloballyStalledTargets[g.leader()]; {
		case !silent || since <= g.openedAt:
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
		if h := s.hosts[id]; h.dead && now-h.probedAt > deadProbePeriod && (h.row != nil || now-h.deadAt < leaderBreakTime) {
			s.probe(now, h, out)
		}
	}
}
