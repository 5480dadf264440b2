package formation

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// leaderBreakTime is how long the leader of a group that has lost a member
	// stalls before its phase becomes broken, with a margin. A leader that no node
	// reaches may still be stalled. The platform specifies 5 s.
	leaderBreakTime = 5500 * time.Millisecond
	// stuckTimeout is how long a group may be stalled while all its members answer
	// probes. It is then formed again, because its leader does not reach a member. Streams
	// count as stalled stallDetectionTime after their last event.
	stuckTimeout       = maxSoundSilence - stallDetectionTime
	stallDetectionTime = 450 * time.Millisecond
	// unknownMemberTimeout is how long a member of an open group that this node
	// has never seen may be missing from the list of instances.
	unknownMemberTimeout = time.Second
	// entryCatchUpTime is how long after a store outage hosts may take to write
	// their pending entries. The platform specifies 2 s.
	entryCatchUpTime = 2 * time.Second
	// unknownLeaderTimeout is how long the leader of a group may be missing from the list of
	// instances that this node has read, before the members are ordered to leave. Entries that
	// expired in an outage return within entryCatchUpTime.
	unknownLeaderTimeout = entryCatchUpTime + unknownMemberTimeout
	// groupRetention is how long a group is kept after the last entry that names
	// it.
	groupRetention = 20 * time.Second
	// groupExpiryPeriod is the interval between looks for groups to delete.
	groupExpiryPeriod = time.Second
)

// group is a replica group as its hosts report it. It is kept after the entries
// of its hosts expire.
type group struct {
	id      state.GroupID
	epoch   uint64
	service string
	model   string
	// members is ordered by rank. An empty ID stands for a member that this node
	// has never seen.
	members    []state.HostID
	lastSeenAt time.Duration
	// firstSeenAt is when an entry first named the group.
	firstSeenAt time.Duration
	// opened is set once the leader was seen open, at openedAt.
	opened   bool
	openedAt time.Duration
	// leaderGone is set once the process of the leader has ended or the leader has
	// accepted an order to leave. leaderStartID identifies the process of the
	// leader.
	leaderGone    bool
	leaderStartID int64
	// memberLeftAt is when a member was first known to have left, 0 before. A
	// leader that still runs stalls from then on.
	memberLeftAt time.Duration
	// retiring is set once the group is to end. closeImmediately is set when its
	// work is to be aborted.
	retiring         bool
	closeImmediately bool
	retiredAt        time.Duration
	closeStarted     bool
	// converting is set when the hosts are reserved for groups of another model.
	converting bool
	// released is set once the end of the group was logged.
	released bool
	// reportedPhase is the phase in the last report of the leader.
	reportedPhase state.MemberPhase
	reportedAt    time.Duration
	// stalledSince is when all nodes with streams to the group first found it
	// stalled, 0 while it is not.
	stalledSince time.Duration
	// needsConfirmation is set while the leader must be probed to confirm that the
	// group has ended.
	needsConfirmation bool
}

// closeTimeLimit returns how long the leader may finish its work.
func (g *group) closeTimeLimit() time.Duration {
	if g.converting {
		return conversionCloseTimeout
	}
	return gracefulCloseTimeout
}

// hasBroken reports whether the leader has stalled for so long that it does not serve, whether
// this node knows it or not.
func (g *group) hasBroken(now time.Duration) bool {
	return g.memberLeftAt > 0 && now-g.memberLeftAt > leaderBreakTime
}

func (g *group) leader() state.HostID {
	if len(g.members) == 0 {
		return ""
	}
	return g.members[0]
}

// observed is what the last look at the entries was based on. A change of any of it changes what
// other entries mean.
type observed struct {
	config       *state.PlatformConfig
	era          uint64
	highestToken state.FencingToken
	// engines is the set of services with a model engine.
	engines map[string]bool
}

// observeInstances updates hosts and groups from the entries that have changed.
func (s *System) observeInstances(now time.Duration) {
	ids := s.changedInstances.Take()
	basis := observed{config: s.managed.PlatformConfig, era: s.managed.StoreEra, highestToken: s.lease.highestToken, engines: s.observed.engines}
	if s.observed.config != basis.config {
		basis.engines = map[string]bool{}
		for i := range basis.config.Services {
			basis.engines[basis.config.Services[i].Name] = basis.config.Services[i].Engine != nil
		}
	}
	if s.observed.config != basis.config || s.observed.era != basis.era || s.observed.highestToken != basis.highestToken {
		ids = s.managed.Instances.Keys()
	}
	s.observed = basis
	for _, id := range ids {
		if instance := s.managed.Instances.Get(id); instance != nil {
			s.observeInstance(now, instance)
		} else {
			s.observeRemoval(now, id)
		}
	}
}

func (s *System) observeInstance(now time.Duration, instance *state.Instance) {
	if !s.observed.engines[instance.Service] {
		return
	}
	h := s.hosts.get(instance.ID)
	if h == nil {
		h = &host{id: instance.ID, domain: instance.Domain}
		s.hosts.put(h)
	}
	s.changes.add(h)
	if h.startID != instance.StartID {
		h.sequenceKnown, h.dead, h.stagingModel, h.orderInFlight = false, false, "", nil
	}
	if instance.LoadedModel != "" || h.startID != instance.StartID {
		h.model = instance.LoadedModel
	}
	if h.domain != instance.Domain {
		h.domain = instance.Domain
		s.hosts.domainChanged()
	}
	h.row, h.address, h.dataCentre, h.startID = instance, instance.Address, instance.DataCentre, instance.StartID
	h.endStaging()
	s.observeMember(now, instance)
	s.changes.add(h)
}

func (s *System) observeRemoval(now time.Duration, id state.HostID) {
	h := s.hosts.get(id)
	if h == nil || h.row == nil {
		return
	}
	s.changes.add(h)
	s.keepGroup(now, h)
	h.row = nil
}

// keepGroup renews the time at which an entry last named the group of a host.
func (s *System) keepGroup(now time.Duration, h *host) {
	if g := h.lastGroup; g != nil && h.row != nil && h.row.Membership.Group == g.id && h.row.Membership.Epoch == g.epoch {
		g.lastSeenAt = now
	}
}

// expireGroups deletes the groups that no entry has named for groupRetention.
func (s *System) expireGroups(now time.Duration) {
	if now < s.nextExpiryAt {
		return
	}
	s.nextExpiryAt = now + groupExpiryPeriod
	for _, h := range s.hosts.all() {
		s.keepGroup(now, h)
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
	if membership.Group == "" || !s.isPlausible(membership.Epoch) {
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
	s.hosts.get(instance.ID).lastGroup = g
}

// leaderPhase returns the phase of the leader of a group. The phase is
// MemberNone once the leader can no longer serve. known is false while this
// node cannot determine the phase. A leader that this node does not reach may
// still serve requests of other nodes, even if its entry has expired because it
// is cut off from the store. It breaks within leaderBreakTime after a member
// has left.
func (s *System) leaderPhase(now time.Duration, g *group) (phase state.MemberPhase, known bool) {
	leader := s.hosts.get(g.leader())
	switch {
	case leader == nil:
		return state.MemberNone, g.leader() != "" || g.hasBroken(now)
	case g.leaderGone:
		return state.MemberNone, true
	case leader.row != nil && leader.row.FromCopy && leader.dead && g.opened && !g.hasBroken(now):
		// The copy is older than the group, or than its opening, and the leader may be cut off.
		return state.MemberOpen, false
	case leader.row != nil && (leader.row.Membership.Group != g.id || leader.row.Membership.Epoch != g.epoch):
		return state.MemberNone, true
	case leader.row != nil && (!leader.dead || leader.row.Membership.Phase != state.MemberOpen):
		return leader.row.Membership.Phase, true
	case leader.row == nil && !leader.dead && g.reportedAt > 0 && now-g.reportedAt < 2*minProbeInterval:
		return g.reportedPhase, true
	case !g.opened && s.wasNeverOpened(g):
		return state.MemberNone, true
	case g.hasBroken(now):
		return state.MemberNone, true
	}
	return state.MemberOpen, false
}

// maintainGroup retires an open group that is defective and ends a ready group
// that this node does not form. Such a group must not be opened: its members may
// still carry out joins of other groups, which an earlier lease holder has sent.
func (s *System) maintainGroup(now time.Duration, g *group, out *state.Outbox) {
	if s.plans[g.id] != nil {
		return
	}
	phase, known := s.leaderPhase(now, g)
	if s.isLeaderUnknown(now, g) && !g.hasBroken(now) {
		s.orderMembersToLeave(now, g, out)
		return
	}
	leader := s.hosts.get(g.leader())
	if leader != nil && leader.row == nil && !leader.dead && g.opened && (!known || phase == state.MemberOpen) {
		s.probe(now, leader, out)
	}
	switch phase {
	case state.MemberOpen, state.MemberClosing:
	case state.MemberReady:
		if s.mayOpenLate(g) {
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

// isLeaderUnknown reports whether no entry has named this group as that of its leader for
// unknownLeaderTimeout. The leader is in another group, or its entry has gone: members notice
// neither and name their group for good. A node that has seen the leader knows more, but may
// have ended since.
func (s *System) isLeaderUnknown(now time.Duration, g *group) bool {
	return g.leader() == "" && now-max(g.firstSeenAt, s.managed.StoreReturnedAt()) > unknownLeaderTimeout
}

func (s *System) startRetiring(now time.Duration, g *group, reason string, closeImmediately bool, out *state.Outbox, attrs ...slog.Attr) {
	g.retiring, g.closeImmediately, g.retiredAt = true, closeImmediately, now
	out.Log(event.GroupRetired, append([]slog.Attr{slog.String("group", string(g.id)), slog.Uint64("epoch", g.epoch),
		slog.String("reason", reason), slog.Bool("cut", closeImmediately)}, attrs...)...)
}

// retireReason returns why a group must end, or an empty reason, and whether
// its work is to be aborted: a group that has lost a member makes no progress.
func (s *System) retireReason(now time.Duration, g *group, out *state.Outbox) (reason string, closeImmediately bool) {
	draining := false
	size := s.groupSize(g)
	for rank := range max(size, len(g.members)) {
		if rank >= len(g.members) || g.members[rank] == "" {
			if now-g.firstSeenAt > unknownMemberTimeout {
				return "member missing from the instance list", true
			}
			continue
		}
		h := s.hosts.get(g.members[rank])
		switch {
		case h == nil:
			return "member unknown", true
		case h.dead && rank > 0:
			if s.hasActiveStreams(g) {
				// The leader still reaches the member, or the streams would have stalled.
				continue
			}
			return "member does not answer", true
		case h.dead:
			return "leader does not answer", true
		case h.row == nil:
			// The entry has expired, but the host may only be cut off from the store.
			s.probe(now, h, out)
			draining = draining || rank == 0
		case h.row.Membership.Group != g.id || h.row.Membership.Epoch != g.epoch:
			return "member left the group", true
		case h.row.Draining:
			draining = true
		}
	}
	if g.stalledSince > 0 && now-g.stalledSince > stuckTimeout {
		return "silent", true
	}
	if draining {
		return "member draining or leader entry expired", false
	}
	return "", false
}

// wasNeverOpened reports whether this node abandoned the group before it sent
// the open order.
func (s *System) wasNeverOpened(g *group) bool {
	_, ok := s.neverOpened[g.id]
	return ok
}

// mayOpenLate reports whether an open order from an earlier lease holder, or
// one that was not answered, may still take effect. The leader must accept
// another order before the members join other groups.
func (s *System) mayOpenLate(g *group) bool {
	leader := s.hosts.get(g.leader())
	return !g.opened && !s.wasNeverOpened(g) && !g.leaderGone && leader != nil && leader.row != nil &&
		leader.row.Membership.Group == g.id && leader.row.Membership.Epoch == g.epoch
}

// hasActiveStreams reports whether streams of a group make progress: some node
// has streams to it and no node finds it stalled.
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
	if engine := s.engineOf(g.service); engine != nil {
		if m := engine.Model(g.model); m != nil {
			return m.GroupSize
		}
	}
	return len(g.members)
}

// engineOf returns the engine profile of a service, or nil if it is none of the configuration's
// services with an engine.
func (s *System) engineOf(service string) *state.EngineProfile {
	for i := range s.managed.PlatformConfig.Services {
		if p := &s.managed.PlatformConfig.Services[i]; p.Name == service {
			return p.Engine
		}
	}
	return nil
}

// stagingProbePeriod is the interval between probes of a host that stages a
// model during a store outage. A load takes 12 s or more.
const stagingProbePeriod = time.Second

// probeChanging probes the hosts whose state is about to change during a store
// outage, because the list of instances does not show the change: members of
// groups that form or end, and hosts that stage a model.
func (s *System) probeChanging(now time.Duration, out *state.Outbox) {
	for _, h := range s.hosts.all() {
		switch {
		case h.row == nil || h.dead:
		case h.plan != nil, h.lastGroup != nil && h.lastGroup.retiring && !h.lastGroup.released:
			s.probe(now, h, out)
		case h.stagingModel != "" && now-h.probedAt > stagingProbePeriod:
			s.probe(now, h, out)
		}
	}
}

// probeSuspects probes the members of groups whose streams have stalled, and
// the leaders of groups that have ended according to possibly stale entries. No
// other host is probed, because each probe is charged and occupies a slot.
func (s *System) probeSuspects(now time.Duration, out *state.Outbox) {
	for _, id := range state.SortedKeys(s.groups) {
		g := s.groups[id]
		s.probeUnconfirmed(now, g, out)
		if !g.opened || s.managed.StalledTargets[g.leader()] <= g.openedAt && s.managed.PeerStalledTargets[g.leader()] <= g.openedAt {
			g.stalledSince = 0
			continue
		}
		switch since, stalled := s.managed.GloballyStalledTargets[g.leader()]; {
		case !stalled || since <= g.openedAt:
			g.stalledSince = 0
		case g.stalledSince == 0:
			g.stalledSince = now
		}
		if g.retiring {
			continue
		}
		for _, member := range g.members {
			if h := s.hosts.get(member); h != nil && !h.dead {
				s.probe(now, h, out)
			}
		}
	}
	for _, h := range s.hosts.all() {
		if h.dead && now-h.probedAt > deadProbePeriod && (h.row != nil || now-h.deadAt < leaderBreakTime) {
			s.probe(now, h, out)
		}
	}
}

// probeUnconfirmed probes the leader of a group whose end must be confirmed.
func (s *System) probeUnconfirmed(now time.Duration, g *group, out *state.Outbox) {
	if h := s.hosts.get(g.leader()); g.needsConfirmation && h != nil {
		s.probe(now, h, out)
	}
}
