// Package formation forms replica groups of hosts, keeps them whole and stages
// models on spare hosts. One node does it at a time, under a lease; the others
// follow what the hosts report, so that any of them can take over.
package formation

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// systemName is this system's name for replies of the store.
	systemName = "formation"
	// joinSlack is how much longer than expected a join may take. Hosts report at
	// once, and the list of instances lags by less than a second.
	joinSlack = 2 * time.Second
	// rejoinTime is how long a host takes to join a group of the model that it
	// served last.
	rejoinTime = 200 * time.Millisecond
	// openRetryDelay is the pause before a leader is told again to open.
	openRetryDelay = 150 * time.Millisecond
	// gracefulCloseTimeout bounds how long a leader may finish its work before it is cut off.
	// A member that drains stays for 10 s at most.
	gracefulCloseTimeout = 6 * time.Second
	// maxListAge is the age of the list of instances up to which it is acted on: two
	// calls of the feed and a half.
	maxListAge = 2500 * time.Millisecond
	// preTrafficLoadFactor is the factor on the time of loads before traffic.
	preTrafficLoadFactor = 0.1
)

// System reads Managed; it writes the lease in Leases. Its orders go out as
// HostOrder.
type System struct {
	tables  *state.Tables
	managed *state.ManagedState

	lease  lease
	hosts  map[state.HostID]*host
	groups map[state.GroupID]*group
	// plans are the groups that this node is forming, by name.
	plans map[state.GroupID]*plan
	// neverOpened holds the groups that this node gave up before it told their
	// leader to open, with the time at which it did. They are forgotten with the
	// groups.
	neverOpened   map[state.GroupID]time.Duration
	pendingOrders map[uint64]*host
	nextOrder     uint64
	nextEpoch     uint64
	// loadStarts are the start times of loads of weights.
	loadStarts    []time.Duration
	nextIdleLogAt time.Duration
	// conversions are the domains whose hosts are collected for a larger group.
	conversions map[state.DomainID]conversion
	// trafficSince is when traffic was first seen; smooth are the needs measured
	// since, averaged up to smoothAt.
	trafficSince   time.Duration
	smoothedDemand map[string]float64
	smoothedAt     time.Duration
	// hostCount is the number of hosts since hostCountAt.
	hostCount      int
	hostCountSince time.Duration
}

// New returns the formation system.
func New(t *state.Tables) *System {
	return &System{
		tables: t, managed: t.Managed, hosts: map[state.HostID]*host{}, groups: map[state.GroupID]*group{},
		plans: map[state.GroupID]*plan{}, pendingOrders: map[uint64]*host{},
		conversions: map[state.DomainID]conversion{}, neverOpened: map[state.GroupID]time.Duration{},
	}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	needsReconcile := false
	switch in := in.(type) {
	case state.TableUpdate:
		needsReconcile = in.Table == state.InstanceTable
	case state.HostReport:
		s.handleHostReport(now, in, out)
		needsReconcile = true
	case state.HostOrderResult:
		s.handleOrderResult(now, in, out)
		needsReconcile = true
	case state.PeerMessage:
		if handover := in.Message.LeaseHandover; handover != nil {
			s.handleLeaseHandover(now, in.From, handover, out)
		}
	case state.StoreReply:
		s.handleLeaseReply(now, in, out)
	case state.Tick:
		if s.managed.TrafficStarted && s.trafficSince == 0 {
			s.trafficSince = now
		}
		s.maintainLease(now, out)
		needsReconcile = true
	}
	if !needsReconcile || s.managed.PlatformConfig == nil || !s.managed.Tables[state.InstanceTable].Loaded {
		return
	}
	s.observeInstances(now)
	if s.holdsLease(now) && s.isViewCurrent(now) {
		s.reconcile(now, out)
	}
}

// isViewCurrent reports whether this node knows what an earlier holder of the lease
// has ordered: the list was asked for after the lease was taken, or, in an outage,
// reports show by now what was done before the lease was handed over.
func (s *System) isViewCurrent(now time.Duration) bool {
	if s.isOutage(now) {
		return s.lease.handedOverAt == 0 || now-s.lease.handedOverAt > state.MaxReportLag
	}
	return s.isListFresh(now) && s.managed.Tables[state.InstanceTable].AnsweredAt > s.lease.acquiredAt
}

// isOutage reports whether the store is down for all nodes that this one hears.
// The reports of hosts then take the place of the list of instances.
func (s *System) isOutage(now time.Duration) bool { return now < s.managed.StoreOutageUntil }

// isListFresh reports whether the list of instances is recent enough to act on.
// The feed is asked again each second.
func (s *System) isListFresh(now time.Duration) bool {
	view := &s.managed.Tables[state.InstanceTable]
	return view.AnsweredAt >= 0 && now-view.AnsweredAt < maxListAge
}

// reconcile does what the state of the hosts asks for.
func (s *System) reconcile(now time.Duration, out *state.Outbox) {
	s.probeSuspects(now, out)
	if s.isOutage(now) {
		s.probeChanging(now, out)
	}
	for _, id := range state.SortedKeys(s.plans) {
		s.advancePlan(now, s.plans[id], out)
	}
	for _, id := range state.SortedKeys(s.groups) {
		s.maintainGroup(now, s.groups[id], out)
	}
	for i := range s.managed.PlatformConfig.Services {
		service := &s.managed.PlatformConfig.Services[i]
		if service.Engine != nil {
			s.formGroups(now, service, out)
			s.stageHosts(now, service, out)
		}
	}
}

// plan is a group that this node is forming.
type plan struct {
	id      state.GroupID
	epoch   uint64
	service string
	model   *state.ModelProfile
	members []state.HostID
	// joinAccepted counts the members that have begun to join.
	joinAccepted map[state.HostID]bool
	startedAt    time.Duration
	expectedTime time.Duration
	opening      bool
	nextOpenAt   time.Duration
	// openOrdered is set once the leader was told to open, also without an answer.
	openOrdered bool
}

// advancePlan moves a group in formation on: all members join, all report ready,
// the leader opens.
func (s *System) advancePlan(now time.Duration, p *plan, out *state.Outbox) {
	if now-p.startedAt > p.expectedTime+joinSlack {
		s.abandonPlan(now, p, "timeout", out)
		return
	}
	ready := 0
	for _, id := range p.members {
		h := s.hosts[id]
		if h == nil || h.row == nil || h.dead || h.row.Draining {
			s.abandonPlan(now, p, "member lost", out)
			return
		}
		if !p.joinAccepted[id] {
			if h.lastGroup != nil && h.lastGroup.id != p.id && !s.isEnded(now, h.lastGroup) {
				// Its entry was behind when the group was planned.
				s.abandonPlan(now, p, "member serves in another group", out)
				return
			}
			s.sendOrder(now, h, state.HostOrder{
				Operation: state.HostJoin, Group: p.id, Epoch: p.epoch, Model: p.model.Name, Members: p.members,
			}, out)
			continue
		}
		membership := h.row.Membership
		if membership.Group != p.id || membership.Epoch != p.epoch {
			continue
		}
		switch membership.Phase {
		case state.MemberReady:
			ready++
		case state.MemberOpen:
			s.removePlan(now, p)
			return
		}
	}
	if ready < len(p.members) || p.opening || now < p.nextOpenAt {
		return
	}
	leader := s.hosts[p.members[0]]
	if s.sendOrder(now, leader, state.HostOrder{Operation: state.HostOpen, Group: p.id, Epoch: p.epoch}, out) {
		p.opening, p.openOrdered = true, true
		out.Log(event.GroupOpened, slog.String("group", string(p.id)), slog.Uint64("epoch", p.epoch),
			slog.String("model", p.model.Name), slog.Duration("took", now-p.startedAt))
	}
}

// abandonPlan gives up a group in formation. Its members are free: none of them
// serves, and their next group has a higher epoch.
func (s *System) abandonPlan(now time.Duration, p *plan, reason string, out *state.Outbox) {
	s.removePlan(now, p)
	out.Log(event.GroupAbandoned, slog.String("group", string(p.id)), slog.Uint64("epoch", p.epoch),
		slog.String("reason", reason), slog.Duration("age", now-p.startedAt))
}

// removePlan forgets a plan, so that its members can be planned with again.
func (s *System) removePlan(now time.Duration, p *plan) {
	delete(s.plans, p.id)
	if !p.openOrdered {
		s.neverOpened[p.id] = now
	}
	for _, id := range p.members {
		if h := s.hosts[id]; h != nil && h.plan == p {
			h.plan = nil
		}
	}
}

func (s *System) newEpoch() uint64 {
	// Epochs of a later holder of the lease are higher, since its fence is.
	s.nextEpoch++
	return uint64(s.lease.row.FencingToken)<<epochBits + s.nextEpoch
}

// epochBits leaves room for the groups of one holder.
const epochBits = 16
