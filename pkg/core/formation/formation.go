// Package formation forms and repairs replica groups of hosts and stages models
// on hosts. Only the holder of the formation lease sends orders. All other
// nodes track the state that hosts report, so that any of them can take over.
package formation

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// systemName identifies the store requests of this system.
	systemName = "formation"
	// joinSlack is how much longer than expected a join may take. Hosts report a
	// change at once, and the list of instances lags by less than a second.
	joinSlack = 2 * time.Second
	// rejoinTime is how long a host takes to join a group of the model that it
	// served last.
	rejoinTime = 200 * time.Millisecond
	// openRetryDelay is the delay before a failed open order is sent to a leader
	// again.
	openRetryDelay = 150 * time.Millisecond
	// gracefulCloseTimeout bounds how long a leader may finish its work before the
	// work is aborted. A draining member keeps running for at most 10 s.
	gracefulCloseTimeout = 6 * time.Second
	// maxListAge is the maximum age of a list of instances that orders are based
	// on: two and a half watch calls.
	maxListAge = 2500 * time.Millisecond
	// preTrafficLoadFactor is the ratio of the load time before traffic starts to
	// the full load time.
	preTrafficLoadFactor = 0.1
)

// System forms replica groups. It reads ManagedState and writes the formation
// lease in Leases. It sends orders as HostOrder outputs.
type System struct {
	tables  *state.Tables
	managed *state.ManagedState

	lease  lease
	hosts  hostIndex
	groups map[state.GroupID]*group
	// changedInstances collects the changed entries, and changes what this step has changed.
	changedInstances *state.DirtySet[state.HostID]
	observed         observed
	changes          changeSet
	// nextExpiryAt is when groups that no entry names are next deleted.
	nextExpiryAt time.Duration
	// plans holds the groups that this node is forming, by group ID.
	plans map[state.GroupID]*plan
	// neverOpened holds the groups that this node abandoned before it sent the
	// open order to their leader, with the time of abandonment. Entries are
	// removed together with the groups.
	neverOpened   map[state.GroupID]time.Duration
	pendingOrders map[uint64]*host
	nextOrder     uint64
	nextEpoch     uint64
	// loadStarts holds the start times of recent weight loads.
	loadStarts    []time.Duration
	nextIdleLogAt time.Duration
	// conversions holds the domains whose hosts are reserved for groups of another
	// model.
	conversions map[state.DomainID]conversion
	// trafficSince is when traffic was first seen. smoothedDemand is the moving
	// average of the demand measured since then, last updated at smoothedAt.
	trafficSince   time.Duration
	smoothedDemand map[string]float64
	smoothedAt     time.Duration
	// hostCount is the number of hosts at the last tick, unchanged since hostCountSince.
	hostCount      int
	hostCountSince time.Duration
	// nextUnassignedCheckAt is when this node next looks for hosts that it does not use.
	nextUnassignedCheckAt time.Duration
}

// New returns the formation system.
func New(t *state.Tables) *System {
	return &System{
		tables: t, managed: t.Managed, hosts: newHostIndex(), groups: map[state.GroupID]*group{},
		changedInstances: t.Managed.Instances.Subscribe(), changes: newChangeSet(),
		plans: map[state.GroupID]*plan{}, pendingOrders: map[uint64]*host{},
		conversions: map[state.DomainID]conversion{}, neverOpened: map[state.GroupID]time.Duration{},
	}
}

// Step implements state.System. A tick looks at all hosts and groups, any other input only at
// those that it changes: a start, or the loss of a data centre, has several inputs for each
// host.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	isTick := false
	s.changes.clear()
	switch in := in.(type) {
	case state.HostReport:
		s.handleHostReport(now, in, out)
	case state.HostOrderResult:
		s.handleOrderResult(now, in, out)
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
		isTick = true
	}
	if s.managed.PlatformConfig == nil || !s.managed.Tables[state.InstanceTable].Loaded {
		return
	}
	s.observeInstances(now)
	if isTick {
		s.expireGroups(now)
	}
	switch {
	case !isTick && s.changes.isEmpty(), !s.holdsLease(now), !s.isViewCurrent(now):
	case isTick:
		s.reconcile(now, out)
	default:
		s.reconcileChanges(now, out)
	}
}

// isViewCurrent reports whether the state of this node shows the effects of the
// orders of earlier lease holders. Either the list of instances was requested
// after the lease was acquired, or, in a store outage, reports are recent enough
// to show everything that was ordered before the lease was handed over.
func (s *System) isViewCurrent(now time.Duration) bool {
	if s.isOutage(now) {
		return s.lease.handedOverAt == 0 || now-s.lease.handedOverAt > state.MaxReportLag
	}
	return s.isListFresh(now) && s.managed.Tables[state.InstanceTable].AnsweredAt > s.lease.acquiredAt
}

// isOutage reports whether the store is down for this node and all peers that
// it receives status from. Host reports then replace the list of instances.
func (s *System) isOutage(now time.Duration) bool { return now < s.managed.StoreOutageUntil }

// isListFresh reports whether the list of instances is recent enough to base
// orders on. The watch call for the list is repeated every second.
func (s *System) isListFresh(now time.Duration) bool {
	instances := &s.managed.Tables[state.InstanceTable]
	return instances.AnsweredAt >= 0 && now-instances.AnsweredAt < maxListAge
}

// reconcile advances and repairs all groups, forms new ones and stages models.
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
		if service.Engine == nil {
			continue
		}
		free := s.freeHosts(now, service.Name, s.hosts.all())
		if s.isHostCountStable(now, s.countHosts(service.Name)) {
			free = s.formGroups(now, service, free, out)
			s.reassignHosts(now, service, free, out)
		}
		s.stageHosts(now, service, free, out)
	}
	s.checkUnassigned(now, out)
}

// plan is a group that this node is forming.
type plan struct {
	id      state.GroupID
	epoch   uint64
	service string
	model   *state.ModelProfile
	members []state.HostID
	// joinAccepted holds the members that have accepted the join order.
	joinAccepted map[state.HostID]bool
	startedAt    time.Duration
	expectedTime time.Duration
	opening      bool
	nextOpenAt   time.Duration
	// openOrdered is set once the open order was sent to the leader, whether or
	// not it was answered.
	openOrdered bool
}

// advancePlan takes the next step of a plan: all members join, all report
// ready, the leader opens. A member that has joined can no longer carry out an
// order from before, because its order count and its epoch have increased.
func (s *System) advancePlan(now time.Duration, p *plan, out *state.Outbox) {
	if now-p.startedAt > p.expectedTime+joinSlack {
		s.abandonPlan(now, p, "timeout", out)
		return
	}
	ready := 0
	for _, id := range p.members {
		h := s.hosts.get(id)
		if h == nil || h.row == nil || h.dead || h.row.Draining {
			s.abandonPlan(now, p, "member unavailable or draining", out)
			return
		}
		if !p.joinAccepted[id] {
			if h.lastGroup != nil && h.lastGroup.id != p.id && !s.isEnded(now, h.lastGroup) {
				// The entry of the member was stale when the group was planned.
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
	leader := s.hosts.get(p.members[0])
	if s.sendOrder(now, leader, state.HostOrder{Operation: state.HostOpen, Group: p.id, Epoch: p.epoch}, out) {
		p.opening, p.openOrdered = true, true
		out.Log(event.GroupOpened, slog.String("group", string(p.id)), slog.Uint64("epoch", p.epoch),
			slog.String("model", p.model.Name), slog.Duration("took", now-p.startedAt))
	}
}

// abandonPlan gives up a plan. Its members are free again: none of them serves,
// and their next group has a higher epoch.
func (s *System) abandonPlan(now time.Duration, p *plan, reason string, out *state.Outbox) {
	s.removePlan(now, p)
	out.Log(event.GroupAbandoned, slog.String("group", string(p.id)), slog.Uint64("epoch", p.epoch),
		slog.String("reason", reason), slog.Duration("age", now-p.startedAt))
}

// removePlan deletes a plan and makes its members available for other plans.
func (s *System) removePlan(now time.Duration, p *plan) {
	delete(s.plans, p.id)
	if !p.openOrdered {
		s.neverOpened[p.id] = now
	}
	for _, id := range p.members {
		if h := s.hosts.get(id); h != nil && h.plan == p {
			h.plan = nil
		}
	}
}

func (s *System) newEpoch() uint64 {
	// A later lease holder has a higher fencing token and therefore higher epochs.
	s.nextEpoch++
	return uint64(s.lease.row.FencingToken)<<epochBits + s.nextEpoch
}

// epochBits is the number of low bits of an epoch that count the groups of one
// lease holder. The high bits are the fencing token.
const epochBits = 16
