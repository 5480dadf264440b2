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
	// name is this system's name for replies of the store.
	name = "formation"
	// joinSlack is how much longer than expected a join may take. Hosts report at
	// once, and the list of instances lags by less than a second.
	joinSlack = 2 * time.Second
	// rejoinTime is how long a host takes to join a group of the model that it
	// served last.
	rejoinTime = 200 * time.Millisecond
	// openRetry is the pause before a leader is told again to open.
	openRetry = 150 * time.Millisecond
	// closeTime bounds how long a leader may finish its work before it is cut off.
	// A member that drains stays for 10 s at most.
	closeTime = 6 * time.Second
	// listFor is the age of the list of instances up to which it is acted on: two
	// calls of the feed and a half.
	listFor = 2500 * time.Millisecond
	// loadsBeforeTraffic is the factor on the time of loads before traffic.
	loadsBeforeTraffic = 0.1
)

// System reads Managed; it writes the lease in Leases. Its orders go out as
// HostOrder.
type System struct {
	t *state.Tables
	m *state.ManagedState

	lease  lease
	hosts  map[state.HostID]*host
	groups map[state.GroupID]*group
	// plans are the groups that this node is forming, by name.
	plans map[state.GroupID]*plan
	// neverOpened holds the groups that this node gave up before it told their
	// leader to open, with the time at which it did. They are forgotten with the
	// groups.
	neverOpened map[state.GroupID]time.Duration
	orders      map[uint64]*host
	nextOrder   uint64
	nextEpoch   uint64
	// loads are the start times of loads of weights.
	loads   []time.Duration
	nextLog time.Duration
	// conversions are the domains whose hosts are collected for a larger group.
	conversions map[state.DomainID]conversion
	// trafficAt is when traffic was first seen; smooth are the needs measured
	// since, averaged up to smoothAt.
	trafficAt time.Duration
	smooth    map[string]float64
	smoothAt  time.Duration
	// hostCount is the number of hosts since hostCountAt.
	hostCount   int
	hostCountAt time.Duration
}

// New returns the formation system.
func New(t *state.Tables) *System {
	return &System{
		t: t, m: t.Managed, hosts: map[state.HostID]*host{}, groups: map[state.GroupID]*group{},
		plans: map[state.GroupID]*plan{}, orders: map[uint64]*host{},
		conversions: map[state.DomainID]conversion{}, neverOpened: map[state.GroupID]time.Duration{},
	}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	act := false
	switch in := in.(type) {
	case state.TableUpdate:
		act = in.Table == state.InstanceTable
	case state.HostReport:
		s.reported(now, in, out)
		act = true
	case state.HostOrderResult:
		s.answered(now, in, out)
		act = true
	case state.PeerMessage:
		if h := in.Message.LeaseHandover; h != nil {
			s.handedOver(now, in.From, h, out)
		}
	case state.StoreReply:
		s.leaseReply(now, in, out)
	case state.Tick:
		if s.m.TrafficStarted && s.trafficAt == 0 {
			s.trafficAt = now
		}
		s.keepLease(now, out)
		act = true
	}
	if !act || s.m.PlatformConfig == nil || !s.m.Tables[state.InstanceTable].Loaded {
		return
	}
	s.observe(now)
	if s.holds(now) && s.isInformed(now) {
		s.act(now, out)
	}
}

// isInformed reports whether this node knows what an earlier holder of the lease
// has ordered: the list was asked for after the lease was taken, or, in an outage,
// reports show by now what was done before the lease was handed over.
func (s *System) isInformed(now time.Duration) bool {
	if s.isOutage(now) {
		return s.lease.handedAt == 0 || now-s.lease.handedAt > state.MaxReportLag
	}
	return s.isListFresh(now) && s.m.Tables[state.InstanceTable].AnsweredAt > s.lease.takenAt
}

// isOutage reports whether the store is down for all nodes that this one hears.
// The reports of hosts then take the place of the list of instances.
func (s *System) isOutage(now time.Duration) bool { return now < s.m.StoreOutageUntil }

// isListFresh reports whether the list of instances is recent enough to act on.
// The feed is asked again each second.
func (s *System) isListFresh(now time.Duration) bool {
	view := &s.m.Tables[state.InstanceTable]
	return view.AnsweredAt >= 0 && now-view.AnsweredAt < listFor
}

// act does what the state of the hosts asks for.
func (s *System) act(now time.Duration, out *state.Outbox) {
	s.probeSuspects(now, out)
	if s.isOutage(now) {
		s.probeChanging(now, out)
	}
	for _, id := range state.SortedKeys(s.plans) {
		s.advance(now, s.plans[id], out)
	}
	for _, id := range state.SortedKeys(s.groups) {
		s.maintain(now, s.groups[id], out)
	}
	for i := range s.m.PlatformConfig.Services {
		service := &s.m.PlatformConfig.Services[i]
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
	// joined counts the members that have begun to join.
	joined  map[state.HostID]bool
	since   time.Duration
	expect  time.Duration
	opening bool
	openAt  time.Duration
	// told is set once the leader was told to open, also without an answer.
	told bool
}

// advance moves a group in formation on: all members join, all report ready,
// the leader opens.
func (s *System) advance(now time.Duration, p *plan, out *state.Outbox) {
	if now-p.since > p.expect+joinSlack {
		s.abandon(now, p, "timeout", out)
		return
	}
	ready := 0
	for _, id := range p.members {
		h := s.hosts[id]
		if h == nil || h.row == nil || h.dead || h.row.Draining {
			s.abandon(now, p, "member lost", out)
			return
		}
		if !p.joined[id] {
			if h.last != nil && h.last.id != p.id && !s.isOver(now, h.last) {
				// Its entry was behind when the group was planned.
				s.abandon(now, p, "member serves in another group", out)
				return
			}
			s.order(now, h, state.HostOrder{
				Operation: state.HostJoin, Group: p.id, Epoch: p.epoch, Model: p.model.Name, Members: p.members,
			}, out)
			continue
		}
		in := h.row.Membership
		if in.Group != p.id || in.Epoch != p.epoch {
			continue
		}
		switch in.Phase {
		case state.MemberReady:
			ready++
		case state.MemberOpen:
			s.finish(now, p)
			return
		}
	}
	if ready < len(p.members) || p.opening || now < p.openAt {
		return
	}
	leader := s.hosts[p.members[0]]
	if s.order(now, leader, state.HostOrder{Operation: state.HostOpen, Group: p.id, Epoch: p.epoch}, out) {
		p.opening, p.told = true, true
		out.Log(event.GroupOpened, slog.String("group", string(p.id)), slog.Uint64("epoch", p.epoch),
			slog.String("model", p.model.Name), slog.Duration("took", now-p.since))
	}
}

// abandon gives up a group in formation. Its members are free: none of them
// serves, and their next group has a higher epoch.
func (s *System) abandon(now time.Duration, p *plan, reason string, out *state.Outbox) {
	s.finish(now, p)
	out.Log(event.GroupAbandoned, slog.String("group", string(p.id)), slog.Uint64("epoch", p.epoch),
		slog.String("reason", reason), slog.Duration("age", now-p.since))
}

// finish forgets a plan, so that its members can be planned with again.
func (s *System) finish(now time.Duration, p *plan) {
	delete(s.plans, p.id)
	if !p.told {
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
